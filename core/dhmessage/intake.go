package dhmessage

import "dogwoodhitch/core/dhclock"

// IntakeAskOptions are the fields of an IntakeAsk.
type IntakeAskOptions struct {
	// Service is the service that is short of slots.
	Service string
	// Sent is the sender's clock, echoed in the answer.
	Sent dhclock.Millis
	// Want is how many requests at once the sender would like to pass on.
	Want int
}

// IntakeAsk asks another zone's instance how many requests it would take over.
type IntakeAsk struct {
	options IntakeAskOptions
}

// NewIntakeAsk returns an IntakeAsk.
func NewIntakeAsk(o IntakeAskOptions) *IntakeAsk {
	return &IntakeAsk{options: o}
}

// Service returns the service that is short of slots.
func (m *IntakeAsk) Service() string { return m.options.Service }

// Sent returns the sender's clock, echoed in the answer.
func (m *IntakeAsk) Sent() dhclock.Millis { return m.options.Sent }

// Want returns how many requests at once the sender would like to pass on.
func (m *IntakeAsk) Want() int { return m.options.Want }

func (*IntakeAsk) message() {}

// IntakeGiveOptions are the fields of an IntakeGive.
type IntakeGiveOptions struct {
	// Service is the service that is meant.
	Service string
	// Sent is the clock reading of the IntakeAsk.
	Sent dhclock.Millis
	// Life is how long after Sent requests may be passed on.
	Life dhclock.Millis
	// Slots is how many requests may run there at once for the receiver.
	Slots int
}

// IntakeGive answers an IntakeAsk.
type IntakeGive struct {
	options IntakeGiveOptions
}

// NewIntakeGive returns an IntakeGive.
func NewIntakeGive(o IntakeGiveOptions) *IntakeGive {
	return &IntakeGive{options: o}
}

// Service returns the service that is meant.
func (m *IntakeGive) Service() string { return m.options.Service }

// Sent returns the clock reading of the IntakeAsk.
func (m *IntakeGive) Sent() dhclock.Millis { return m.options.Sent }

// Life returns how long after Sent requests may be passed on.
func (m *IntakeGive) Life() dhclock.Millis { return m.options.Life }

// Slots returns how many requests may run there at once for the receiver.
func (m *IntakeGive) Slots() int { return m.options.Slots }

func (*IntakeGive) message() {}
