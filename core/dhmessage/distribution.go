package dhmessage

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// Ack reports which version an instance has in force.
type Ack struct {
	instance           string
	version            uint64
	leaving            bool
	advertised         bool               `journal:"introduced"`
	advertisedInstance dhcatalog.Instance `journal:"introduction"`
	age                dhclock.Millis     `journal:"age,omitZero"`
}

// NewAck returns an acknowledgement.
func NewAck(instance string, version uint64, leaving bool) Ack {
	return Ack{instance: instance, version: version, leaving: leaving}
}

// WithAdvertisedInstance returns the acknowledgement with the record under which
// the instance runs, for an instance whose record in the configuration is missing
// or different.
func (a Ack) WithAdvertisedInstance(i dhcatalog.Instance) Ack {
	a.advertised, a.advertisedInstance = true, i
	return a
}

// WithAge returns the acknowledgement with the time since the instance reported it, in
// milliseconds.
func (a Ack) WithAge(age dhclock.Millis) Ack {
	a.age = age
	return a
}

// Age returns the time since the instance reported the acknowledgement, in milliseconds,
// without the time that messages took.
func (a Ack) Age() dhclock.Millis { return a.age }

// Instance returns the name of the instance.
func (a Ack) Instance() string { return a.instance }

// Version returns the version that the instance has in force.
func (a Ack) Version() uint64 { return a.version }

// Leaving reports whether the instance is about to stop.
func (a Ack) Leaving() bool { return a.leaving }

// AdvertisedInstance returns the record under which the instance runs, and false
// if the configuration already contains it.
func (a Ack) AdvertisedInstance() (dhcatalog.Instance, bool) {
	return a.advertisedInstance, a.advertised
}

// PollOptions are the fields of a Poll.
type PollOptions struct {
	// Version is the version that the sender has.
	Version uint64
	// SentAt is the sender's clock reading at sending. The Update repeats it.
	SentAt dhclock.Millis `journal:"Sent"`
	// Acks are the versions of the sender and of the processes that poll it.
	Acks []Ack
	// Replica reports whether the sender receives changes through the
	// replicated log and asks only for confirmation.
	Replica bool
	// Suspects reports requests that may have crashed upstreams; nil for none.
	Suspects *SuspectReport
	// ZoneUnresponsive reports whether the sender knows the members of the consensus group
	// in its zone and polls another process because they don't respond.
	ZoneUnresponsive bool `journal:"ZoneUnresponsive,omitZero"`
	// Probe reports whether the sender asks only for confirmation, because it has left
	// another process and this one hasn't responded yet.
	Probe bool `journal:"Probe,omitZero"`
	// Contacts is, from a member of the consensus group, what it knows of the instances
	// from the leader; nil if nothing.
	Contacts *ContactReport `journal:"Contacts,omitZero"`
}

// Poll asks the parent for newer configuration, and to confirm that the
// sender's is current.
type Poll struct {
	options PollOptions
}

// NewPoll returns a Poll.
func NewPoll(o PollOptions) *Poll {
	return &Poll{options: o}
}

// Version returns the version that the sender has.
func (m *Poll) Version() uint64 { return m.options.Version }

// SentAt returns the sender's clock reading at sending.
func (m *Poll) SentAt() dhclock.Millis { return m.options.SentAt }

// Acks returns the versions of the sender and of the processes that poll it.
func (m *Poll) Acks() []Ack { return m.options.Acks }

// Replica reports whether the sender receives changes through the replicated
// log and asks only for confirmation.
func (m *Poll) Replica() bool { return m.options.Replica }

// Suspects reports requests that may have crashed upstreams; nil for none.
func (m *Poll) Suspects() *SuspectReport { return m.options.Suspects }

// ZoneUnresponsive reports whether the sender knows the members of the consensus group in
// its zone and polls another process because they don't respond.
func (m *Poll) ZoneUnresponsive() bool { return m.options.ZoneUnresponsive }

// Probe reports whether the sender asks only for confirmation, because it has left another
// process and this one hasn't responded yet.
func (m *Poll) Probe() bool { return m.options.Probe }

// Contacts returns, from a member of the consensus group, what it knows of the instances from
// the leader; nil if nothing.
func (m *Poll) Contacts() *ContactReport { return m.options.Contacts }

func (*Poll) message() {}

// UpdateOptions are the fields of an Update.
type UpdateOptions struct {
	// PollSentAt is the clock reading of the Poll, or 0 if the Update is
	// unrequested.
	PollSentAt dhclock.Millis `journal:"Sent"`
	// Version is the sender's version.
	Version uint64
	// EverConfirmed reports whether the sender's version has ever been confirmed
	// as current.
	EverConfirmed bool `journal:"Confirmed"`
	// Age is the time since the sender's version was last confirmed as
	// current, in milliseconds.
	Age dhclock.Millis
	// Full is the complete configuration if the sender no longer keeps the
	// change sets that the receiver lacks, else nil.
	Full *dhcatalog.Catalog
	// Changes are the change sets that follow the receiver's version, in order.
	Changes []dhcatalog.ChangeSet
	// Unavailable are the instances that look-ups must not return.
	Unavailable []UnavailableInstance `journal:"Away"`
	// Leader is the name of the leader, or "" if unknown.
	Leader string
	// InForce is the newest version known to be in force on every instance.
	InForce uint64
	// DrainAges are the time since the start of each drain.
	DrainAges []DrainAge `journal:"Drains"`
	// Members are the members of the consensus group.
	Members []Member `journal:"Voters"`
	// LimitsAge is the time since limits, or the set of instances that share
	// them, last changed, in milliseconds.
	LimitsAge dhclock.Millis
	// Suspects reports requests that may have crashed upstreams; nil for none.
	Suspects *SuspectReport
	// Silences are, from the leader to members of the consensus group, the instances of
	// which it hasn't heard for a while, or since its election.
	Silences []Silence `journal:"Silences,omitZero"`
}

// Update answers a Poll, or is sent unrequested when the version rises.
type Update struct {
	options UpdateOptions
}

// NewUpdate returns an Update.
func NewUpdate(o UpdateOptions) *Update {
	return &Update{options: o}
}

// PollSentAt returns the clock reading of the Poll, or 0 if the Update is
// unrequested.
func (m *Update) PollSentAt() dhclock.Millis { return m.options.PollSentAt }

// Version returns the sender's version.
func (m *Update) Version() uint64 { return m.options.Version }

// EverConfirmed reports whether the sender's version has ever been confirmed as
// current.
func (m *Update) EverConfirmed() bool { return m.options.EverConfirmed }

// Age returns the time since the sender's version was last confirmed as
// current, in milliseconds.
func (m *Update) Age() dhclock.Millis { return m.options.Age }

// Full returns the complete configuration if the sender no longer keeps the
// change sets that the receiver lacks, else nil.
func (m *Update) Full() *dhcatalog.Catalog { return m.options.Full }

// Changes returns the change sets that follow the receiver's version, in order.
func (m *Update) Changes() []dhcatalog.ChangeSet { return m.options.Changes }

// Unavailable returns the instances that look-ups must not return.
func (m *Update) Unavailable() []UnavailableInstance { return m.options.Unavailable }

// Leader returns the name of the leader, or "" if unknown.
func (m *Update) Leader() string { return m.options.Leader }

// InForce returns the newest version known to be in force on every instance.
func (m *Update) InForce() uint64 { return m.options.InForce }

// DrainAges returns the time since the start of each drain.
func (m *Update) DrainAges() []DrainAge { return m.options.DrainAges }

// Members returns the members of the consensus group.
func (m *Update) Members() []Member { return m.options.Members }

// LimitsAge returns the time since limits, or the set of instances that share
// them, last changed, in milliseconds.
func (m *Update) LimitsAge() dhclock.Millis { return m.options.LimitsAge }

// Suspects reports requests that may have crashed upstreams; nil for none.
func (m *Update) Suspects() *SuspectReport { return m.options.Suspects }

// Silences returns, from the leader to members of the consensus group, the instances of which
// it hasn't heard for a while, or since its election.
func (m *Update) Silences() []Silence { return m.options.Silences }

func (*Update) message() {}

// DrainAge reports how long ago a drain started.
type DrainAge struct {
	name string
	age  dhclock.Millis
}

// NewDrainAge returns a drain's age in milliseconds.
func NewDrainAge(name string, age dhclock.Millis) DrainAge {
	return DrainAge{name: name, age: age}
}

// Name returns the name of the drain.
func (d DrainAge) Name() string { return d.name }

// Age returns how long ago the drain started, in milliseconds.
func (d DrainAge) Age() dhclock.Millis { return d.age }

// Silence reports how long ago an instance last acknowledged a version.
type Silence struct {
	instance   string
	age        dhclock.Millis
	neverHeard bool `journal:"neverHeard,omitZero"`
}

// NewSilence returns an instance's silence in milliseconds.
func NewSilence(instance string, age dhclock.Millis) Silence {
	return Silence{instance: instance, age: age}
}

// Instance returns the name of the instance.
func (s Silence) Instance() string { return s.instance }

// Age returns how long ago the instance last acknowledged a version, in milliseconds.
func (s Silence) Age() dhclock.Millis { return s.age }

// WithNeverHeard returns the silence of an instance of which the leader has never heard, nor
// anyone told it. Its age is the one of the leadership.
func (s Silence) WithNeverHeard(neverHeard bool) Silence {
	s.neverHeard = neverHeard
	return s
}

// NeverHeard reports whether the leader has never heard of the instance.
func (s Silence) NeverHeard() bool { return s.neverHeard }

// ContactReportOptions are the fields of a ContactReport.
type ContactReportOptions struct {
	// Age is the time since the leader reported to the sender, in milliseconds.
	Age dhclock.Millis
	// Silences are the instances that the leader reported; the others had acknowledged a
	// version shortly before.
	Silences []Silence
	// Unavailable are the instances that look-ups must not return.
	Unavailable []UnavailableInstance
}

// ContactReport tells a new leader what a member of the consensus group knows from its
// predecessors.
type ContactReport struct {
	options ContactReportOptions
}

// NewContactReport returns a report.
func NewContactReport(o ContactReportOptions) *ContactReport { return &ContactReport{options: o} }

// Age returns the time since the leader reported to the sender, in milliseconds.
func (r *ContactReport) Age() dhclock.Millis { return r.options.Age }

// Silences returns the instances that the leader reported.
func (r *ContactReport) Silences() []Silence { return r.options.Silences }

// Unavailable returns the instances that look-ups must not return.
func (r *ContactReport) Unavailable() []UnavailableInstance { return r.options.Unavailable }

// UnavailableInstance is an instance that look-ups must not return.
type UnavailableInstance struct {
	instance string
	leaving  bool
}

// NewUnavailableInstance returns an instance that is unresponsive, or that is
// leaving and still serves.
func NewUnavailableInstance(instance string, leaving bool) UnavailableInstance {
	return UnavailableInstance{instance: instance, leaving: leaving}
}

// Instance returns the name of the instance.
func (u UnavailableInstance) Instance() string { return u.instance }

// Leaving reports whether the instance is leaving and still serves the requests
// that reach it.
func (u UnavailableInstance) Leaving() bool { return u.leaving }
