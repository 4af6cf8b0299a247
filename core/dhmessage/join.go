package dhmessage

// JoinRequest asks the leader to make the sender, a control process, a member
// of the consensus group.
type JoinRequest struct {
	address string
	region  string
	zone    string `journal:"zone,omitZero"`
}

// NewJoinRequest returns a JoinRequest. The address is where the sender listens
// for the system's own processes; the zone is "" if the sender has none.
func NewJoinRequest(address, region, zone string) *JoinRequest {
	return &JoinRequest{address: address, region: region, zone: zone}
}

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
