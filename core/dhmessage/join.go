package dhmessage

// JoinRequest asks the leader to make the sender, a control process, a member
// of the consensus group.
type JoinRequest struct {
	address string
	region  string
}

// NewJoinRequest returns a JoinRequest. The address is where the sender listens
// for the system's own processes.
func NewJoinRequest(address, region string) *JoinRequest {
	return &JoinRequest{address: address, region: region}
}

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
