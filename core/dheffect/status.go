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
	// Age is how long ago the version was certainly current.
	Age dhclock.Millis
	// Confirmed is whether the version was ever confirmed.
	Confirmed bool
	// Leader is the voter that leads, or "".
	Leader string
	// IsLeader is whether this process leads.
	IsLeader bool
	// Term is the consensus term, for a voter.
	Term uint64
	// CommitIndex is the commit index, for a voter.
	CommitIndex uint64
	// ClaimCount is how many claims are kept, for a voter.
	ClaimCount int
	// Voters is the members of the consensus group, for a voter.
	Voters []VoterStatus
	// Instances is the entry instances, as the leader knows them.
	Instances []InstanceStatus
	// Drains is the drains under way and done.
	Drains []DrainStatus
}

// Status is what a process knows of the system.
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

// Age returns how long ago the version was certainly current.
func (s Status) Age() dhclock.Millis { return s.options.Age }

// Confirmed returns whether the version was ever confirmed.
func (s Status) Confirmed() bool { return s.options.Confirmed }

// Leader returns the voter that leads, or "".
func (s Status) Leader() string { return s.options.Leader }

// IsLeader returns whether this process leads.
func (s Status) IsLeader() bool { return s.options.IsLeader }

// Term returns the consensus term, for a voter.
func (s Status) Term() uint64 { return s.options.Term }

// CommitIndex returns the commit index, for a voter.
func (s Status) CommitIndex() uint64 { return s.options.CommitIndex }

// ClaimCount returns how many claims are kept, for a voter.
func (s Status) ClaimCount() int { return s.options.ClaimCount }

// Voters returns the members of the consensus group, for a voter.
func (s Status) Voters() []VoterStatus { return s.options.Voters }

// Instances returns the entry instances, as the leader knows them.
func (s Status) Instances() []InstanceStatus { return s.options.Instances }

// Drains returns the drains under way and done.
func (s Status) Drains() []DrainStatus { return s.options.Drains }

// VoterStatusOptions are the fields of a VoterStatus.
type VoterStatusOptions struct {
	// Name is the member's name.
	Name string
	// Address is the IP address and port for the system's own processes.
	Address string
	// FolderID is the identity of the data folder that has the vote.
	FolderID string
	// RespondingFolderID is the identity of the data folder that answers, or "".
	RespondingFolderID string
	// Learner is whether it has no vote yet.
	Learner bool
	// Lag is by how many entries it is behind.
	Lag uint64
	// SinceLastContact is for how long it has been silent.
	SinceLastContact dhclock.Millis
	// Contacted is whether it has answered this leader.
	Contacted bool
	// Advice is what an operator should do, or "".
	Advice string
}

// VoterStatus describes a member of the consensus group.
type VoterStatus struct {
	options VoterStatusOptions
}

// NewVoterStatus returns a VoterStatus.
func NewVoterStatus(o VoterStatusOptions) VoterStatus {
	return VoterStatus{options: o}
}

// Name returns the member's name.
func (s VoterStatus) Name() string { return s.options.Name }

// Address returns the IP address and port for the system's own processes.
func (s VoterStatus) Address() string { return s.options.Address }

// FolderID returns the identity of the data folder that has the vote.
func (s VoterStatus) FolderID() string { return s.options.FolderID }

// RespondingFolderID returns the identity of the data folder that answers, or "".
func (s VoterStatus) RespondingFolderID() string { return s.options.RespondingFolderID }

// Learner returns whether it has no vote yet.
func (s VoterStatus) Learner() bool { return s.options.Learner }

// Lag returns by how many entries it is behind.
func (s VoterStatus) Lag() uint64 { return s.options.Lag }

// SinceLastContact returns for how long it has been silent.
func (s VoterStatus) SinceLastContact() dhclock.Millis { return s.options.SinceLastContact }

// Contacted returns whether it has answered this leader.
func (s VoterStatus) Contacted() bool { return s.options.Contacted }

// Advice returns what an operator should do, or "".
func (s VoterStatus) Advice() string { return s.options.Advice }

// InstanceStatusOptions are the fields of an InstanceStatus.
type InstanceStatusOptions struct {
	// Name is the instance's name.
	Name string
	// Zone is the instance's availability zone.
	Zone string
	// Version is the version that it has acknowledged.
	Version uint64
	// SinceLastContact is for how long it has been silent.
	SinceLastContact dhclock.Millis
	// Contacted is whether it has been heard.
	Contacted bool
	// Leaving is whether it is about to stop.
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

// Version returns the version that it has acknowledged.
func (s InstanceStatus) Version() uint64 { return s.options.Version }

// SinceLastContact returns for how long it has been silent.
func (s InstanceStatus) SinceLastContact() dhclock.Millis { return s.options.SinceLastContact }

// Contacted returns whether it has been heard.
func (s InstanceStatus) Contacted() bool { return s.options.Contacted }

// Leaving returns whether it is about to stop.
func (s InstanceStatus) Leaving() bool { return s.options.Leaving }

// DrainStatusOptions are the fields of a DrainStatus.
type DrainStatusOptions struct {
	// Name is the drain's name.
	Name string
	// Target is what is drained, as kind/name.
	Target string
	// MovedPercent is the share of look-ups that has moved.
	MovedPercent int
	// Paused is whether it stands still.
	Paused bool
	// Remaining is until all look-ups have moved and no client caches an older answer.
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

// MovedPercent returns the share of look-ups that has moved.
func (s DrainStatus) MovedPercent() int { return s.options.MovedPercent }

// Paused returns whether it stands still.
func (s DrainStatus) Paused() bool { return s.options.Paused }

// Remaining returns until all look-ups have moved and no client caches an older answer.
func (s DrainStatus) Remaining() dhclock.Millis { return s.options.Remaining }
