package dhmessage

// Join asks the leader to make the sender, a control process, a member of the
// consensus group.
type Join struct {
	address string
	region  string
}

// NewJoin returns a Join. The address is where the sender listens for the
// system's own processes.
func NewJoin(address, region string) *Join { return &Join{address: address, region: region} }

// Region returns the region in which the sender runs.
func (m *Join) Region() string { return m.region }

// Address returns where the sender listens for the system's own processes.
func (m *Join) Address() string { return m.address }

func (*Join) message() {}

// Heard tells the leader from which registered upstreams the sender has heard
// since its last Heard.
type Heard struct{ upstreams []string }

// NewHeard returns a Heard.
func NewHeard(upstreams []string) *Heard { return &Heard{upstreams: upstreams} }

// Upstreams returns the names of the upstreams.
func (m *Heard) Upstreams() []string { return m.upstreams }

func (*Heard) message() {}
