package dhevent

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhsteer"
)

// UpstreamAnnouncedOptions are the fields of an UpstreamAnnounced.
type UpstreamAnnouncedOptions struct {
	// Announcement is what the upstream reports about itself.
	Announcement dhsteer.Announcement `journal:"Announce"`
}

// UpstreamAnnounced is the announcement of an upstream that registers with this
// instance alone.
type UpstreamAnnounced struct {
	stamp
	options UpstreamAnnouncedOptions
}

// NewUpstreamAnnounced returns an UpstreamAnnounced.
func NewUpstreamAnnounced(at dhclock.Millis, o UpstreamAnnouncedOptions) *UpstreamAnnounced {
	return &UpstreamAnnounced{stamp: stamp{at: at}, options: o}
}

// Announcement returns what the upstream reports about itself.
func (e *UpstreamAnnounced) Announcement() dhsteer.Announcement { return e.options.Announcement }

// UpstreamLeftOptions are the fields of an UpstreamLeft.
type UpstreamLeftOptions struct {
	// Service is the service that the upstream belongs to.
	Service string
	// Name is the upstream's name.
	Name string
}

// UpstreamLeft reports that an announced upstream accepts no new requests.
type UpstreamLeft struct {
	stamp
	options UpstreamLeftOptions
}

// NewUpstreamLeft returns an UpstreamLeft.
func NewUpstreamLeft(at dhclock.Millis, o UpstreamLeftOptions) *UpstreamLeft {
	return &UpstreamLeft{stamp: stamp{at: at}, options: o}
}

// Service returns the service that the upstream belongs to.
func (e *UpstreamLeft) Service() string { return e.options.Service }

// Name returns the upstream's name.
func (e *UpstreamLeft) Name() string { return e.options.Name }

// UpstreamProbedOptions are the fields of an UpstreamProbed.
type UpstreamProbedOptions struct {
	// Service is the service that the upstream belongs to.
	Service string
	// Upstream is the upstream's name.
	Upstream string
	// Connected reports whether the upstream accepted the connection.
	Connected bool
	// Latency is how long that took, in milliseconds.
	Latency dhclock.Millis
}

// UpstreamProbed reports whether a connection to a registered upstream succeeded.
type UpstreamProbed struct {
	stamp
	options UpstreamProbedOptions
}

// NewUpstreamProbed returns an UpstreamProbed.
func NewUpstreamProbed(at dhclock.Millis, o UpstreamProbedOptions) *UpstreamProbed {
	return &UpstreamProbed{stamp: stamp{at: at}, options: o}
}

// Service returns the service that the upstream belongs to.
func (e *UpstreamProbed) Service() string { return e.options.Service }

// Upstream returns the upstream's name.
func (e *UpstreamProbed) Upstream() string { return e.options.Upstream }

// Connected reports whether the upstream accepted the connection.
func (e *UpstreamProbed) Connected() bool { return e.options.Connected }

// Latency returns how long that took, in milliseconds.
func (e *UpstreamProbed) Latency() dhclock.Millis { return e.options.Latency }

// UpstreamLeavingOptions are the fields of an UpstreamLeaving.
type UpstreamLeavingOptions struct {
	// RequestID is the number of the request at this instance.
	RequestID uint64
	// Upstream and Address are the name and address of the upstream if a peer forwarded
	// its response, else "".
	Upstream string
	Address  string
}

// UpstreamLeaving reports that, as the response to a request says, the upstream that sent
// it is about to stop. It precedes the end of the attempt.
type UpstreamLeaving struct {
	stamp
	options UpstreamLeavingOptions
}

// NewUpstreamLeaving returns an UpstreamLeaving.
func NewUpstreamLeaving(at dhclock.Millis, o UpstreamLeavingOptions) *UpstreamLeaving {
	return &UpstreamLeaving{stamp: stamp{at: at}, options: o}
}

// RequestID returns the number of the request at this instance.
func (e *UpstreamLeaving) RequestID() uint64 { return e.options.RequestID }

// Upstream returns the upstream's name if a peer forwarded its response, else "".
func (e *UpstreamLeaving) Upstream() string { return e.options.Upstream }

// Address returns the upstream's address if a peer forwarded its response, else "".
func (e *UpstreamLeaving) Address() string { return e.options.Address }
