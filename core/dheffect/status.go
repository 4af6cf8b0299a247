package dheffect

import "dogwoodhitch/core/dhclock"

// StatusOptions are the fields of a Status.
type StatusOptions struct {
	// Name is the name of the process.
	Name string
	// Version is the version in force here.
	Version uint64
	// InForce is the newest version known to be in force on every instance.
	InForce uint64
	// Age is the time since the version was last confirmed as current, in
	// milliseconds.
	Age dhclock.Millis
	// EverConfirmed reports whether the process's version has ever been
	// confirmed as current.
	EverConfirmed bool `journal:"Confirmed"`
	// Leader is the name of the leader, or "".
	Leader string
	// IsLeader reports whether this process is the leader.
	IsLeader bool `journal:"Leads"`
	// Term is the consensus term, set only at a voter.
	Term uint64
	// CommitIndex is the commit index, set only at a voter.
	CommitIndex uint64 `journal:"Commit"`
	// ClaimCount is the number of claims kept, set only at a voter.
	ClaimCount int `journal:"Claims"`
	// Members are the members of the consensus group, set only at a voter.
	Members []MemberStatus `journal:"Voters"`
	// Instances are the entry instances, set only at the leader.
	Instances []InstanceStatus
	// Drains are all drains, in progress and finished.
	Drains []DrainStatus
}

// Status is a process's view of the system.
type Status struct {
	options StatusOptions
}

// NewStatus returns a Status.
func NewStatus(o StatusOptions) Status {
	return Status{options: o}
}

// Name returns the name of the process.
func (s Status) Name() string { return s.options.Name }

// Version returns the version in force here.
func (s Status) Version() uint64 { return s.options.Version }

// InForce returns the newest version known to be in force on every instance.
func (s Status) InForce() uint64 { return s.options.InForce }

// Age returns the time since the version was last confirmed as current, in
// milliseconds.
func (s Status) Age() dhclock.Millis { return s.options.Age }

// EverConfirmed reports whether the process's version has ever been confirmed
// as current.
func (s Status) EverConfirmed() bool { return s.options.EverConfirmed }

// Leader returns the name of the leader, or "".
func (s Status) Leader() string { return s.options.Leader }

// IsLeader reports whether this process is the leader.
func (s Status) IsLeader() bool { return s.options.IsLeader }

// Term returns the consensus term, set only at a voter.
func (s Status) Term() uint64 { return s.options.Term }

// CommitIndex returns the commit index, set only at a voter.
func (s Status) CommitIndex() uint64 { return s.options.CommitIndex }

// ClaimCount returns the number of claims kept, set only at a voter.
func (s Status) ClaimCount() int { return s.options.ClaimCount }

// Members returns the members of the consensus group, set only at a voter.
func (s Status) Members() []MemberStatus { return s.options.Members }

// Instances returns the entry instances, set only at the leader.
func (s Status) Instances() []InstanceStatus { return s.options.Instances }

// Drains returns all drains, in progress and finished.
func (s Status) Drains() []DrainStatus { return s.options.Drains }

// MemberStatusOptions are the fields of a MemberStatus.
type MemberStatusOptions struct {
	// Name is the member's name.
	Name string
	// Address is the IP address and port for the system's own processes.
	Address string
	// FolderID is the identity of the data folder that has the vote.
	FolderID string `journal:"Folder"`
	// RespondingFolderID is the identity of the data folder that responds, or
	// "".
	RespondingFolderID string `journal:"Answers"`
	// Learner reports whether the member has no vote yet.
	Learner bool
	// Lag is the number of log entries that the member lacks.
	Lag uint64
	// SinceLastContact is the time since the last contact, in milliseconds.
	SinceLastContact dhclock.Millis `journal:"Silent"`
	// HasResponded reports whether the member has responded to this leader.
	HasResponded bool `journal:"Heard"`
	// Advice is what an operator should do about the member, or "".
	Advice string
}

// MemberStatus describes a member of the consensus group.
type MemberStatus struct {
	options MemberStatusOptions
}

// NewMemberStatus returns a MemberStatus.
func NewMemberStatus(o MemberStatusOptions) MemberStatus {
	return MemberStatus{options: o}
}

// Name returns the member's name.
func (s MemberStatus) Name() string { return s.options.Name }

// Address returns the IP address and port for the system's own processes.
func (s MemberStatus) Address() string { return s.options.Address }

// FolderID returns the identity of the data folder that has the vote.
func (s MemberStatus) FolderID() string { return s.options.FolderID }

// RespondingFolderID returns the identity of the data folder that responds, or
// "".
func (s MemberStatus) RespondingFolderID() string { return s.options.RespondingFolderID }

// Learner reports whether the member has no vote yet.
func (s MemberStatus) Learner() bool { return s.options.Learner }

// Lag returns the number of log entries that the member lacks.
func (s MemberStatus) Lag() uint64 { return s.options.Lag }

// SinceLastContact returns the time since the last contact, in milliseconds.
func (s MemberStatus) SinceLastContact() dhclock.Millis { return s.options.SinceLastContact }

// HasResponded reports whether the member has responded to this leader.
func (s MemberStatus) HasResponded() bool { return s.options.HasResponded }

// Advice returns what an operator should do about the member, or "".
func (s MemberStatus) Advice() string { return s.options.Advice }

// InstanceStatusOptions are the fields of an InstanceStatus.
type InstanceStatusOptions struct {
	// Name is the instance's name.
	Name string
	// Zone is the instance's availability zone.
	Zone string
	// Version is the version that the instance has acknowledged.
	Version uint64
	// SinceLastContact is the time since the last contact, in milliseconds.
	SinceLastContact dhclock.Millis `journal:"Silent"`
	// HasAcknowledged reports whether the leader has received an acknowledgement
	// of the instance.
	HasAcknowledged bool `journal:"Heard"`
	// Leaving reports whether the instance is about to stop.
	Leaving bool
}

// InstanceStatus describes an entry instance.
type InstanceStatus struct {
	options InstanceStatusOptions
}

// NewInstanceStatus returns an InstanceStatus.
func NewInstanceStatus(o InstanceStatusOptions) InstanceStatus {
	return InstanceStatus{options: o}
}

// Name returns the instance's name.
func (s InstanceStatus) Name() string { return s.options.Name }

// Zone returns the instance's availability zone.
func (s InstanceStatus) Zone() string { return s.options.Zone }

// Version returns the version that the instance has acknowledged.
func (s InstanceStatus) Version() uint64 { return s.options.Version }

// SinceLastContact returns the time since the last contact, in milliseconds.
func (s InstanceStatus) SinceLastContact() dhclock.Millis { return s.options.SinceLastContact }

// HasAcknowledged reports whether the leader has received an acknowledgement of
// the instance.
func (s InstanceStatus) HasAcknowledged() bool { return s.options.HasAcknowledged }

// Leaving reports whether the instance is about to stop.
func (s InstanceStatus) Leaving() bool { return s.options.Leaving }

// DrainStatusOptions are the fields of a DrainStatus.
type DrainStatusOptions struct {
	// Name is the drain's name.
	Name string
	// Target is what is drained, as kind/name.
	Target string
	// MovedPercent is the share of look-ups that has moved, in percent.
	MovedPercent int
	// Paused reports whether the drain is paused.
	Paused bool
	// Remaining is the time until all look-ups have moved and no client caches
	// an older answer, in milliseconds; 0 for a paused drain.
	Remaining dhclock.Millis
}

// DrainStatus describes a drain.
type DrainStatus struct {
	options DrainStatusOptions
}

// NewDrainStatus returns a DrainStatus.
func NewDrainStatus(o DrainStatusOptions) DrainStatus {
	return DrainStatus{options: o}
}

// Name returns the drain's name.
func (s DrainStatus) Name() string { return s.options.Name }

// Target returns what is drained, as kind/name.
func (s DrainStatus) Target() string { return s.options.Target }

// MovedPercent returns the share of look-ups that has moved, in percent.
func (s DrainStatus) MovedPercent() int { return s.options.MovedPercent }

// Paused reports whether the drain is paused.
func (s DrainStatus) Paused() bool { return s.options.Paused }

// Remaining returns the time until all look-ups have moved and no client caches
// an older answer, in milliseconds; 0 for a paused drain.
func (s DrainStatus) Remaining() dhclock.Millis { return s.options.Remaining }
