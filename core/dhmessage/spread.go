package dhmessage

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// Ack says which version an instance has in force.
type Ack struct {
	instance     string
	version      uint64
	leaving      bool
	registered   bool
	registration dhcatalog.Instance
}

// NewAck returns an acknowledgement.
func NewAck(instance string, version uint64, leaving bool) Ack {
	return Ack{instance: instance, version: version, leaving: leaving}
}

// WithRegistration returns the acknowledgement of an instance that the configuration
// doesn't hold as it runs.
func (a Ack) WithRegistration(i dhcatalog.Instance) Ack {
	a.registered, a.registration = true, i
	return a
}

// Instance returns the name of the instance.
func (a Ack) Instance() string { return a.instance }

// Version returns the version that the instance has in force.
func (a Ack) Version() uint64 { return a.version }

// Leaving tells whether the instance is about to stop.
func (a Ack) Leaving() bool { return a.leaving }

// Registration returns the instance as it runs, and false if the configuration
// holds it so.
func (a Ack) Registration() (dhcatalog.Instance, bool) { return a.registration, a.registered }

// PollOptions are the fields of a Poll.
type PollOptions struct {
	// Version is the version that the sender has.
	Version uint64
	// SentAt is the sender's clock when it asked, echoed in the Update.
	SentAt dhclock.Millis
	// Acks is the versions of the sender and of those that poll it.
	Acks []Ack
	// Replica is whether the sender has the changes from the replicated log, so
	// that it asks for the proof alone.
	Replica bool
}

// Poll asks for newer configuration and for proof that the sender's is current.
type Poll struct {
	options PollOptions
}

// NewPoll returns a Poll.
func NewPoll(o PollOptions) *Poll {
	return &Poll{options: o}
}

// Version returns the version that the sender has.
func (m *Poll) Version() uint64 { return m.options.Version }

// SentAt returns the sender's clock when it asked, echoed in the Update.
func (m *Poll) SentAt() dhclock.Millis { return m.options.SentAt }

// Acks returns the versions of the sender and of those that poll it.
func (m *Poll) Acks() []Ack { return m.options.Acks }

// Replica tells whether the sender has the changes from the replicated log.
func (m *Poll) Replica() bool { return m.options.Replica }

func (*Poll) message() {}

// UpdateOptions are the fields of an Update.
type UpdateOptions struct {
	// PollSentAt is the clock reading of the Poll, or 0 when unasked.
	PollSentAt dhclock.Millis
	// Version is the answerer's version.
	Version uint64
	// Confirmed is whether the answerer can vouch for a time at which its version was current.
	Confirmed bool
	// Age is how long ago the answerer's version was certainly current.
	Age dhclock.Millis
	// Full is the whole configuration when the sender's version is too old, else nil.
	Full *dhcatalog.Catalog
	// Changes is the change sets that follow the receiver's version, in order.
	Changes []dhcatalog.ChangeSet
	// Unavailable is the instances that look-ups must not name.
	Unavailable []UnavailableInstance
	// Leader is the voter that leads, or "" if unknown.
	Leader string
	// InForce is the newest version known to be in force on every instance.
	InForce uint64
	// DrainAges is how long ago each drain started.
	DrainAges []DrainAge
	// Voters is the members of the consensus group.
	Voters []Voter
	// LimitsAge is how long ago limits, or the instances that share them, last
	// changed.
	LimitsAge dhclock.Millis
}

// Update answers a Poll, or comes unasked when the version rises.
type Update struct {
	options UpdateOptions
}

// NewUpdate returns an Update.
func NewUpdate(o UpdateOptions) *Update {
	return &Update{options: o}
}

// PollSentAt returns the clock reading of the Poll, or 0 when unasked.
func (m *Update) PollSentAt() dhclock.Millis { return m.options.PollSentAt }

// Version returns the answerer's version.
func (m *Update) Version() uint64 { return m.options.Version }

// Confirmed returns whether the answerer can vouch for a time at which its version was current.
func (m *Update) Confirmed() bool { return m.options.Confirmed }

// Age returns how long ago the answerer's version was certainly current.
func (m *Update) Age() dhclock.Millis { return m.options.Age }

// Full returns the whole configuration when the sender's version is too old, else nil.
func (m *Update) Full() *dhcatalog.Catalog { return m.options.Full }

// Changes returns the change sets that follow the receiver's version, in order.
func (m *Update) Changes() []dhcatalog.ChangeSet { return m.options.Changes }

// Unavailable returns the instances that look-ups must not name.
func (m *Update) Unavailable() []UnavailableInstance { return m.options.Unavailable }

// Leader returns the voter that leads, or "" if unknown.
func (m *Update) Leader() string { return m.options.Leader }

// InForce returns the newest version known to be in force on every instance.
func (m *Update) InForce() uint64 { return m.options.InForce }

// DrainAges returns how long ago each drain started.
func (m *Update) DrainAges() []DrainAge { return m.options.DrainAges }

// Voters returns the members of the consensus group.
func (m *Update) Voters() []Voter { return m.options.Voters }

// LimitsAge returns how long ago limits, or the instances that share them, last
// changed.
func (m *Update) LimitsAge() dhclock.Millis { return m.options.LimitsAge }

func (*Update) message() {}

// DrainAge says how long ago a drain started.
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

// UnavailableInstance names an instance that look-ups must not name.
type UnavailableInstance struct {
	instance string
	leaving  bool
}

// NewUnavailableInstance returns an instance that is gone, or leaving while it still serves.
func NewUnavailableInstance(instance string, leaving bool) UnavailableInstance {
	return UnavailableInstance{instance: instance, leaving: leaving}
}

// Instance returns the name of the instance.
func (a UnavailableInstance) Instance() string { return a.instance }

// Leaving tells whether the instance still serves what comes to it.
func (a UnavailableInstance) Leaving() bool { return a.leaving }
