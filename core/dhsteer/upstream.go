// Package dhsteer decides which upstream serves a request, which requests wait
// in a queue, and which are refused. It uses only data local to one entry
// instance: its own count of running requests, the latencies and failures that
// it has measured, and the upstreams' load reports, which may be outdated or
// false.
package dhsteer

import "dogwoodhitch/core/dhclock"

// Constants of upstream selection, in milliseconds unless noted.
const (
	// AnnouncementTTL is how long an announcement is valid without renewal.
	AnnouncementTTL dhclock.Millis = 3000
	// reportTTL is how long a load report is used.
	reportTTL dhclock.Millis = 2000
	// ejectAfterFailures is how many consecutive failures eject an upstream.
	ejectAfterFailures = 3
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection dhclock.Millis = 1000
	maxEjection dhclock.Millis = 30_000
	// minShedBackoff and maxShedBackoff bound how long an upstream that sheds load
	// gets no requests.
	minShedBackoff dhclock.Millis = 50
	maxShedBackoff dhclock.Millis = 1000
	// pauseExtensionDivisor is the longest extension of a pause, as the part of it: one
	// in four. maxPauseExtension bounds it.
	pauseExtensionDivisor                = 4
	maxPauseExtension     dhclock.Millis = 1000
	// minSlowStart is the least duration of the slow start after an ejection or a pause.
	minSlowStart dhclock.Millis = 1000
	// latencyScale is the fixed-point scale of the latency estimate.
	latencyScale = 64
	// latencySmoothing is the inverse of a new latency's weight in the moving
	// average.
	latencySmoothing = 8
	// MaxSlots bounds the slots that one upstream may announce.
	MaxSlots = 10_000
)

// AnnouncementOptions are the fields of an Announcement.
type AnnouncementOptions struct {
	Name    string
	Service string
	Address string
	// Slots is how many requests this instance may run at the upstream at once.
	Slots int
	// Running is how many requests the upstream reports to run.
	Running int
	// EchoesAttemptID is set if the upstream's responses repeat the ID of the
	// attempt, which allows the instance to detect a response to another request.
	EchoesAttemptID bool `journal:"Echoes"`
}

// Announcement is what an upstream reports to an entry instance to get requests
// from it. Upstreams renew it about once a second.
type Announcement struct{ options AnnouncementOptions }

// NewAnnouncement returns an announcement.
func NewAnnouncement(o AnnouncementOptions) Announcement { return Announcement{options: o} }

// Name returns the upstream's name, unique within the service.
func (a Announcement) Name() string { return a.options.Name }

// Service returns the service that the upstream belongs to.
func (a Announcement) Service() string { return a.options.Service }

// Address returns the IP address and port that serve requests.
func (a Announcement) Address() string { return a.options.Address }

// Slots returns how many requests this instance may run at the upstream at once.
func (a Announcement) Slots() int { return a.options.Slots }

// LimitSlots returns the announcement with at most the given number of slots.
func (a Announcement) LimitSlots(most int) Announcement {
	a.options.Slots = min(a.options.Slots, most)
	return a
}

// Running returns how many requests the upstream reports to run.
func (a Announcement) Running() int { return a.options.Running }

// EchoesAttemptID reports whether responses repeat the ID of the
// attempt.
func (a Announcement) EchoesAttemptID() bool { return a.options.EchoesAttemptID }

// Upstream is one upstream as this entry instance sees it.
type Upstream struct {
	announcement  Announcement
	running       int // requests of this instance
	lastAnnounced dhclock.Millis
	otherRunning  int // reported requests of other instances
	reportedAt    dhclock.Millis
	leaving       bool
	health
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.announcement.Name() }

// Address returns the IP address and port that serve requests.
func (u *Upstream) Address() string { return u.announcement.Address() }

// EchoesAttemptID reports whether responses repeat the ID of the
// attempt.
func (u *Upstream) EchoesAttemptID() bool { return u.announcement.EchoesAttemptID() }

// Running returns how many requests this instance runs at the upstream.
func (u *Upstream) Running() int { return u.running }

// Slots returns how many requests this instance may run at the upstream at once.
func (u *Upstream) Slots() int { return u.announcement.Slots() }

// Leaving reports whether the upstream is deregistered and gets no new requests.
func (u *Upstream) Leaving() bool { return u.leaving }

// available reports whether the upstream's announcement is valid and it isn't
// leaving.
func (u *Upstream) available(now dhclock.Millis) bool {
	return !u.leaving && now.Since(u.lastAnnounced) <= AnnouncementTTL
}

// usable reports whether one more request may start at the upstream now.
func (u *Upstream) usable(now dhclock.Millis) bool {
	if !u.available(now) || now < u.backoffUntil || u.Ejected(now) || u.Paused(now) {
		return false
	}
	return u.freeSlots(now) > 0
}

// probeSlotsDivisor is the part of its slots that an ejected upstream may use for
// probes: one in four.
const probeSlotsDivisor = 4

// mayProbe reports whether an ejected upstream may get one more request as a
// probe.
func (u *Upstream) mayProbe(now dhclock.Millis) bool {
	return u.available(now) && now >= u.backoffUntil && !u.Paused(now) && u.throttle(now, max(1, u.Slots()/probeSlotsDivisor)-u.running) > 0
}

// allowedSlots returns how many requests may run at the upstream now: all slots,
// or fewer during the slow start.
func (u *Upstream) allowedSlots(now dhclock.Millis) int {
	return u.slowStart.allowed(now, u.announcement.Slots())
}

// freeSlots returns how many more requests may start at the upstream now.
func (u *Upstream) freeSlots(now dhclock.Millis) int {
	return u.throttle(now, max(0, u.allowedSlots(now)-u.running))
}

// load returns a value for comparing upstreams: the share of the slots that
// would be in use with one more request, multiplied by the latency. Reported
// requests of other instances count for at most half of the slots, so that a
// false report can't exclude an upstream, and never lower this instance's own
// count.
func (u *Upstream) load(now dhclock.Millis) int64 {
	used := int64(u.running + 1)
	if now.Since(u.reportedAt) <= reportTTL {
		used += int64(min(u.otherRunning, u.announcement.Slots()/2))
	}
	return used * (u.latency + latencyScale) / int64(max(1, u.allowedSlots(now)))
}

// eject excludes the upstream from selection for a time that doubles with each
// ejection. A slow start follows.
func (u *Upstream) eject(now dhclock.Millis) {
	u.health.eject(now)
	u.startSlowlyFrom(u.ejectedUntil)
}
