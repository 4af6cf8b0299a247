package dheffect

import "dogwoodhitch/core/dhclock"

// Role is the part of a process in the consensus group, as log lines and metrics name it.
type Role string

// The roles of processes. A control process is RoleNonMember until the leader has added it.
const (
	RoleLeader    Role = "leader"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLearner   Role = "learner"
	RoleNonMember Role = "nonMember"
	RoleEntry     Role = "entry"
)

// Roles returns the roles of control processes.
func Roles() []Role {
	return []Role{RoleLeader, RoleFollower, RoleCandidate, RoleLearner, RoleNonMember}
}

// NeverHeard is the time since a message of a process that has sent none since this one started.
const NeverHeard dhclock.Millis = -1

// VoterContact tells when another voter was last heard.
type VoterContact struct {
	name       string
	sinceHeard dhclock.Millis
}

// NewVoterContact returns a VoterContact with the time since the last message, or NeverHeard.
func NewVoterContact(name string, sinceHeard dhclock.Millis) VoterContact {
	return VoterContact{name: name, sinceHeard: sinceHeard}
}

// Name returns the name of the voter.
func (v VoterContact) Name() string { return v.name }

// SinceHeard returns the time since its last message in the consensus group, or NeverHeard.
// Followers hear their leader and candidates only.
func (v VoterContact) SinceHeard() dhclock.Millis { return v.sinceHeard }

// ContactOptions are the fields of a Contact.
type ContactOptions struct {
	// Role is the part of this process in the consensus group.
	Role Role
	// Term is the consensus term.
	Term uint64
	// SinceLeader is the time since the last message of another leader, or NeverHeard.
	SinceLeader dhclock.Millis
	// Voters are the other voters.
	Voters []VoterContact
	// VotersHeard is the number of voters in contact, with this process if it has a vote.
	VotersHeard int
	// Election tells why this process isn't in an election or doesn't win it.
	Election string
}

// Contact tells of a process's contact with the consensus group.
type Contact struct {
	options ContactOptions
}

// NewContact returns a Contact.
func NewContact(o ContactOptions) Contact { return Contact{options: o} }

// Role returns the part of this process in the consensus group.
func (c Contact) Role() Role { return c.options.Role }

// Term returns the consensus term.
func (c Contact) Term() uint64 { return c.options.Term }

// SinceLeader returns the time since the last message of another leader, or NeverHeard.
func (c Contact) SinceLeader() dhclock.Millis { return c.options.SinceLeader }

// Voters returns the other voters.
func (c Contact) Voters() []VoterContact { return c.options.Voters }

// VotersHeard returns the number of voters in contact, with this process if it has a vote.
func (c Contact) VotersHeard() int { return c.options.VotersHeard }

// Election returns why this process isn't in an election or doesn't win it.
func (c Contact) Election() string { return c.options.Election }

// ContactReplyOptions are the fields of a ContactReply.
type ContactReplyOptions struct {
	// CorrelationID is the number of the request.
	CorrelationID uint64
	// Contact is the contact of this process with the consensus group.
	Contact Contact
}

// ContactReply answers a ContactRequested.
type ContactReply struct {
	options ContactReplyOptions
}

// NewContactReply returns a ContactReply.
func NewContactReply(o ContactReplyOptions) *ContactReply { return &ContactReply{options: o} }

// CorrelationID returns the number of the request.
func (e *ContactReply) CorrelationID() uint64 { return e.options.CorrelationID }

// Contact returns the contact of this process with the consensus group.
func (e *ContactReply) Contact() Contact { return e.options.Contact }

func (*ContactReply) effect() {}
