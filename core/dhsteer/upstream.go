// Package dhsteer decides which upstream serves a request, who waits, and who
// is refused, from what one entry instance knows by itself: its own count of
// running requests, the latency and failures it has seen, and the upstreams'
// reports, which may lag or lie.
package dhsteer

import "dogwoodhitch/core/dhclock"

// Constants of the choice among upstreams, in milliseconds unless noted.
const (
	// AnnounceLife is how long an announcement holds without renewal.
	AnnounceLife dhclock.Millis = 3000
	// reportLife is how long a load report counts.
	reportLife dhclock.Millis = 2000
	// ejectFailures is how many failures in a row eject an upstream.
	ejectFailures = 3
	// ejectFirst and ejectMost bound how long an ejection lasts.
	ejectFirst dhclock.Millis = 1000
	ejectMost  dhclock.Millis = 30_000
	// shedFirst and shedMost bound how long an upstream that sheds load is left
	// alone.
	shedFirst dhclock.Millis = 50
	shedMost  dhclock.Millis = 1000
	// latencyScale is the fixed-point scale of the latency estimate.
	latencyScale = 64
	// latencyWeight is the weight of a new latency, one in so many.
	latencyWeight = 8
	// MaxSlots bounds the slots that one upstream may announce.
	MaxSlots = 10_000
)

// AnnounceOptions are the fields of an Announce.
type AnnounceOptions struct {
	Name    string
	Service string
	Address string
	// Slots is how many requests this entry instance may run there at once.
	Slots int
	// Running is how many requests the upstream says it runs.
	Running int
	// Echoes promises that answers repeat the attempt's number, so that crossed
	// answers are noticed.
	Echoes bool
}

// Announce is an upstream's word about itself, renewed about once a second.
type Announce struct{ options AnnounceOptions }

// NewAnnounce returns an announcement.
func NewAnnounce(o AnnounceOptions) Announce { return Announce{options: o} }

// Name returns the upstream's name, unique within the service.
func (a Announce) Name() string { return a.options.Name }

// Service returns the service that the upstream belongs to.
func (a Announce) Service() string { return a.options.Service }

// Address returns the IP address and port that serve requests.
func (a Announce) Address() string { return a.options.Address }

// Slots returns how many requests this instance may run there at once.
func (a Announce) Slots() int { return a.options.Slots }

// Running returns how many requests the upstream says it runs.
func (a Announce) Running() int { return a.options.Running }

// Echoes tells whether answers repeat the attempt's number.
func (a Announce) Echoes() bool { return a.options.Echoes }

// Upstream is one upstream as this entry instance sees it.
type Upstream struct {
	announce Announce
	running  int
	renewed  dhclock.Millis
	warmFrom dhclock.Millis
	cold     dhclock.Millis
	foreign  int
	reported dhclock.Millis
	leaving  bool
	health
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.announce.Name() }

// Address returns the IP address and port that serve requests.
func (u *Upstream) Address() string { return u.announce.Address() }

// Echoes tells whether answers repeat the attempt's number.
func (u *Upstream) Echoes() bool { return u.announce.Echoes() }

// Running returns how many requests this instance runs there.
func (u *Upstream) Running() int { return u.running }

// Slots returns how many requests this instance may run there at once.
func (u *Upstream) Slots() int { return u.announce.Slots() }

// Leaving tells whether the upstream gets no new work.
func (u *Upstream) Leaving() bool { return u.leaving }

// alive tells whether the upstream may get new work at all.
func (u *Upstream) alive(now dhclock.Millis) bool {
	return !u.leaving && now.Since(u.renewed) <= AnnounceLife
}

// usable tells whether one more request may start there now.
func (u *Upstream) usable(now dhclock.Millis) bool {
	if u.leaving || now.Since(u.renewed) > AnnounceLife || now < u.shed || now < u.ejected {
		return false
	}
	return u.running < u.allowed(now)
}

// triedSlots is the share of its slots that an ejected upstream may get when
// most are ejected, one in so many.
const triedSlots = 4

// worthTrying tells whether an upstream may get one more request although it
// is ejected.
func (u *Upstream) worthTrying(now dhclock.Millis) bool {
	return u.alive(now) && now >= u.shed && u.running < max(1, u.Slots()/triedSlots)
}

// allowed returns how many requests may run there now: all slots, or fewer
// while the upstream is still cold.
func (u *Upstream) allowed(now dhclock.Millis) int {
	slots := u.announce.Slots()
	since := now.Since(u.warmFrom)
	if u.cold <= 0 || since >= u.cold {
		return slots
	}
	return min(slots, 1+int(int64(slots)*int64(since)/int64(u.cold)))
}

// free returns how many more requests may start there now.
func (u *Upstream) free(now dhclock.Millis) int {
	return max(0, u.allowed(now)-u.running)
}

// load returns how busy the upstream is, for comparison: the share of its
// slots that would be taken, weighted by its latency. A report of other load
// adds at most half of the slots, so that a lying report can't close an
// upstream, and never lowers the own count.
func (u *Upstream) load(now dhclock.Millis) int64 {
	taken := int64(u.running + 1)
	if now.Since(u.reported) <= reportLife {
		taken += int64(min(u.foreign, u.announce.Slots()/2))
	}
	return taken * (u.latency + latencyScale) / int64(max(1, u.allowed(now)))
}

// eject leaves the upstream out for a time that doubles with each ejection,
// after which it warms up again.
func (u *Upstream) eject(now dhclock.Millis) {
	u.health.eject(now)
	u.warmFrom = u.ejected
	u.cold = max(u.cold, ejectFirst)
}
