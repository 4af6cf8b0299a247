// Package dhsteer decides which upstream serves a request, who waits, and who
// is refused, from what one entry instance knows by itself: its own count of
// running requests, the latency and failures it has seen, and the upstreams'
// reports, which may lag or lie.
package dhsteer

import "dogwoodhitch/core/dhclock"

// Constants of the choice among upstreams, in milliseconds unless noted.
const (
	// AnnouncementTTL is how long an announcement holds without renewal.
	AnnouncementTTL dhclock.Millis = 3000
	// reportTTL is how long a load report counts.
	reportTTL dhclock.Millis = 2000
	// ejectAfterFailures is how many failures in a row eject an upstream.
	ejectAfterFailures = 3
	// minEjection and ejectMost bound how long an ejection lasts.
	minEjection dhclock.Millis = 1000
	maxEjection dhclock.Millis = 30_000
	// minShedBackoff and shedMost bound how long an upstream that sheds load is left
	// alone.
	minShedBackoff dhclock.Millis = 50
	maxShedBackoff dhclock.Millis = 1000
	// latencyScale is the fixed-point scale of the latency estimate.
	latencyScale = 64
	// latencySmoothing is the weight of a new latency, one in so many.
	latencySmoothing = 8
	// MaxSlots bounds the slots that one upstream may announce.
	MaxSlots = 10_000
)

// AnnouncementOptions are the fields of an Announce.
type AnnouncementOptions struct {
	Name    string
	Service string
	Address string
	// Slots is how many requests this entry instance may run there at once.
	Slots int
	// Running is how many requests the upstream says it runs.
	Running int
	// EchoesRequestID promises that answers repeat the attempt's number, so that crossed
	// answers are noticed.
	EchoesRequestID bool
}

// Announcement is an upstream's word about itself, renewed about once a second.
type Announcement struct{ options AnnouncementOptions }

// NewAnnouncement returns an announcement.
func NewAnnouncement(o AnnouncementOptions) Announcement { return Announcement{options: o} }

// Name returns the upstream's name, unique within the service.
func (a Announcement) Name() string { return a.options.Name }

// Service returns the service that the upstream belongs to.
func (a Announcement) Service() string { return a.options.Service }

// Address returns the IP address and port that serve requests.
func (a Announcement) Address() string { return a.options.Address }

// Slots returns how many requests this instance may run there at once.
func (a Announcement) Slots() int { return a.options.Slots }

// Running returns how many requests the upstream says it runs.
func (a Announcement) Running() int { return a.options.Running }

// EchoesRequestID tells whether answers repeat the attempt's number.
func (a Announcement) EchoesRequestID() bool { return a.options.EchoesRequestID }

// Upstream is one upstream as this entry instance sees it.
type Upstream struct {
	announcement  Announcement
	running       int
	lastAnnounced dhclock.Millis
	slowStartFrom dhclock.Millis
	slowStart     dhclock.Millis
	otherRunning  int
	reportedAt    dhclock.Millis
	leaving       bool
	health
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.announcement.Name() }

// Address returns the IP address and port that serve requests.
func (u *Upstream) Address() string { return u.announcement.Address() }

// EchoesRequestID tells whether answers repeat the attempt's number.
func (u *Upstream) EchoesRequestID() bool { return u.announcement.EchoesRequestID() }

// Running returns how many requests this instance runs there.
func (u *Upstream) Running() int { return u.running }

// Slots returns how many requests this instance may run there at once.
func (u *Upstream) Slots() int { return u.announcement.Slots() }

// Leaving tells whether the upstream gets no new work.
func (u *Upstream) Leaving() bool { return u.leaving }

// available tells whether the upstream may get new work at all.
func (u *Upstream) available(now dhclock.Millis) bool {
	return !u.leaving && now.Since(u.lastAnnounced) <= AnnouncementTTL
}

// usable tells whether one more request may start there now.
func (u *Upstream) usable(now dhclock.Millis) bool {
	if u.leaving || now.Since(u.lastAnnounced) > AnnouncementTTL || now < u.backoffUntil || now < u.ejectedUntil {
		return false
	}
	return u.running < u.allowedSlots(now)
}

// probeSlotsDivisor is the share of its slots that an ejected upstream may get when
// most are ejected, one in so many.
const probeSlotsDivisor = 4

// mayProbe tells whether an upstream may get one more request although it
// is ejected.
func (u *Upstream) mayProbe(now dhclock.Millis) bool {
	return u.available(now) && now >= u.backoffUntil && u.running < max(1, u.Slots()/probeSlotsDivisor)
}

// allowedSlots returns how many requests may run there now: all slots, or fewer
// while the upstream is still cold.
func (u *Upstream) allowedSlots(now dhclock.Millis) int {
	slots := u.announcement.Slots()
	since := now.Since(u.slowStartFrom)
	if u.slowStart <= 0 || since >= u.slowStart {
		return slots
	}
	return min(slots, 1+int(int64(slots)*int64(since)/int64(u.slowStart)))
}

// freeSlots returns how many more requests may start there now.
func (u *Upstream) freeSlots(now dhclock.Millis) int {
	return max(0, u.allowedSlots(now)-u.running)
}

// load returns how busy the upstream is, for comparison: the share of its
// slots that would be taken, weighted by its latency. A report of other load
// adds at most half of the slots, so that a lying report can't close an
// upstream, and never lowers the own count.
func (u *Upstream) load(now dhclock.Millis) int64 {
	taken := int64(u.running + 1)
	if now.Since(u.reportedAt) <= reportTTL {
		taken += int64(min(u.otherRunning, u.announcement.Slots()/2))
	}
	return taken * (u.latency + latencyScale) / int64(max(1, u.allowedSlots(now)))
}

// eject leaves the upstream out for a time that doubles with each ejection,
// after which it warms up again.
func (u *Upstream) eject(now dhclock.Millis) {
	u.health.eject(now)
	u.slowStartFrom = u.ejectedUntil
	u.slowStart = max(u.slowStart, minEjection)
}
