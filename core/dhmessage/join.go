package dhmessage

// JoinRequest asks the leader to make the sender, a control process, a member
// of the consensus group, or to move its vote to another member.
type JoinRequest struct {
	address string
	region  string
	zone    string `journal:"zone,omitZero"`
	leaving bool   `journal:"leaving,omitZero"`
}

// NewJoinRequest returns a JoinRequest. The address is where the sender listens
// for the system's own processes; the zone is "" if the sender has none.
func NewJoinRequest(address, region, zone string) *JoinRequest {
	return &JoinRequest{address: address, region: region, zone: zone}
}

// WithLeaving returns the request of a sender that is about to stop, or not.
func (m *JoinRequest) WithLeaving(leaving bool) *JoinRequest {
	c := *m
	c.leaving = leaving
	return &c
}

// Leaving reports whether the sender is about to stop and hands over its vote.
func (m *JoinRequest) Leaving() bool { return m.leaving }

// Zone returns the availability zone in which the sender runs, or "".
func (m *JoinRequest) Zone() string { return m.zone }

// Region returns the region in which the sender runs.
func (m *JoinRequest) Region() string { return m.region }

// Address returns where the sender listens for the system's own processes.
func (m *JoinRequest) Address() string { return m.address }

func (*JoinRequest) message() {}

// UpstreamHeartbeats reports to the leader which registered upstreams have sent
// the sender a heartbeat since its last message of this kind.
type UpstreamHeartbeats struct{ upstreams []string }

// NewUpstreamHeartbeats returns an UpstreamHeartbeats.
func NewUpstreamHeartbeats(upstreams []string) *UpstreamHeartbeats {
	return &UpstreamHeartbeats{upstreams: upstreams}
}

// Upstreams returns the names of the upstreams.
func (m *UpstreamHeartbeats) Upstreams() []string { return m.upstreams }

func (*UpstreamHeartbeats) message() {}
