package dhtraffic

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhquarantine"
)

// Parameters of finding out whether an upstream has crashed, in milliseconds.
const (
	// brokenAttemptTTL is how long after a broken attempt a refused connection shows
	// that the upstream crashed during the attempt.
	brokenAttemptTTL dhclock.Millis = 1000
	// crashProbeInterval is the least time between two probes of one upstream after
	// broken attempts.
	crashProbeInterval dhclock.Millis = 200
	// closingTime is the time within which a process that crashes may still accept
	// connections although others broke already.
	closingTime dhclock.Millis = 100
	// announcedProcessTTL is how long the processes of an announced upstream are
	// distinguished after a crash.
	announcedProcessTTL = 3600 * dhclock.Second
)

// crashDetector distinguishes a crashed upstream from connections that broke for another
// reason. An upstream has crashed if attempts at it broke and its address refuses
// connections afterwards. After a reset it accepts them, and behind a partition it
// doesn't respond.
type crashDetector struct {
	suspected map[upstreamName]*suspectedCrash
	// announced are the announced upstreams that have crashed. Their announcements don't
	// tell one process from the next, and pools forget an upstream whose restart takes long.
	announced map[upstreamName]*announcedProcess
}

// announcedProcess is the present process of an announced upstream that has crashed before.
type announcedProcess struct {
	incarnation int64 // time of its first response; 0 for the first process
	crashedAt   dhclock.Millis
	hasCrashed  bool // and not responded since
}

// upstreamName is the name of an upstream in its service.
type upstreamName struct {
	service string
	name    string
}

// upstreamProcess is one start of an upstream.
type upstreamProcess struct {
	upstreamName
	address     string
	incarnation int64
}

// suspectedCrash holds the attempts that broke at an upstream and may have been in flight
// when it crashed.
type suspectedCrash struct {
	upstream upstreamProcess
	attempts []brokenAttempt
	probedAt dhclock.Millis
}

// brokenAttempt is an attempt that broke, and when.
type brokenAttempt struct {
	request dhmessage.Fingerprint
	at      dhclock.Millis
}

func newCrashDetector() crashDetector {
	return crashDetector{suspected: map[upstreamName]*suspectedCrash{}, announced: map[upstreamName]*announcedProcess{}}
}

// incarnation returns the incarnation of an announced upstream's process.
func (d *crashDetector) incarnation(u upstreamName) int64 {
	if p := d.announced[u]; p != nil {
		return p.incarnation
	}
	return 0
}

// recordAnnouncedCrash records a crash of an announced upstream.
func (d *crashDetector) recordAnnouncedCrash(now dhclock.Millis, u upstreamProcess) {
	d.announced[u.upstreamName] = &announcedProcess{incarnation: u.incarnation, crashedAt: now, hasCrashed: true}
}

// recordResponse records a response of an announced upstream. One after a crash comes from
// a new process.
func (d *crashDetector) recordResponse(now dhclock.Millis, u upstreamName) {
	if p := d.announced[u]; p != nil && p.hasCrashed {
		p.incarnation, p.hasCrashed = now.Milliseconds(), false
	}
}

// recordBroken records an attempt that broke, and reports whether the upstream should be
// probed.
func (d *crashDetector) recordBroken(now dhclock.Millis, u upstreamProcess, request dhmessage.Fingerprint) bool {
	c, found := d.suspected[u.upstreamName]
	if !found || c.upstream != u {
		c, found = &suspectedCrash{upstream: u}, false
		d.suspected[u.upstreamName] = c
	}
	c.attempts = append(c.attempts, brokenAttempt{request: request, at: now})
	if found && now.Since(c.probedAt) < crashProbeInterval {
		return false
	}
	c.probedAt = now
	return true
}

// recordAccepted drops the attempts that broke more than closingTime before the upstream
// accepted a connection.
func (d *crashDetector) recordAccepted(startedAt dhclock.Millis, u upstreamName) {
	c, found := d.suspected[u]
	if !found {
		return
	}
	c.attempts = slices.DeleteFunc(c.attempts, func(b brokenAttempt) bool { return b.at+closingTime <= startedAt })
	if len(c.attempts) == 0 {
		delete(d.suspected, u)
	}
}

// isSuspected reports whether attempts broke at an upstream that has accepted no
// connection since.
func (d *crashDetector) isSuspected(u upstreamName) bool { return d.suspected[u] != nil }

// takeCrashed returns the process that crashed and the requests that were in flight at an
// upstream which refused a connection, and forgets them.
func (d *crashDetector) takeCrashed(now dhclock.Millis, u upstreamName) (upstreamProcess, []dhmessage.Fingerprint) {
	c, found := d.suspected[u]
	if !found {
		return upstreamProcess{}, nil
	}
	delete(d.suspected, u)
	var list []dhmessage.Fingerprint
	for _, b := range c.attempts {
		if now.Since(b.at) <= brokenAttemptTTL && !slices.Contains(list, b.request) {
			list = append(list, b.request)
		}
	}
	return c.upstream, list
}

// removeExpired forgets the attempts that are too old to be explained by a crash. It
// returns the upstreams with other attempts that are due for a probe.
func (d *crashDetector) removeExpired(now dhclock.Millis) []upstreamProcess {
	maps.DeleteFunc(d.announced, func(_ upstreamName, p *announcedProcess) bool { return now.Since(p.crashedAt) > announcedProcessTTL })
	var due []upstreamProcess
	for u, c := range d.suspected {
		c.attempts = slices.DeleteFunc(c.attempts, func(b brokenAttempt) bool { return now.Since(b.at) > brokenAttemptTTL })
		switch {
		case len(c.attempts) == 0:
			delete(d.suspected, u)
		case now.Since(c.probedAt) >= crashProbeInterval:
			c.probedAt = now
			due = append(due, c.upstream)
		}
	}
	slices.SortFunc(due, func(a, b upstreamProcess) int {
		return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.name, b.name))
	})
	return due
}

// tickCrashes probes the upstreams that may have crashed.
func (s *State) tickCrashes(now dhclock.Millis, out *dheffect.List) {
	for _, u := range s.crashes.removeExpired(now) {
		s.probeCrashed(u, out)
	}
}

// probeCrashed probes an upstream that may have crashed.
func (s *State) probeCrashed(u upstreamProcess, out *dheffect.List) {
	out.Add(dheffect.NewProbeUpstream(dheffect.ProbeUpstreamOptions{Service: u.service, Upstream: u.name, Address: u.address}))
}

// upstreamOf returns the upstream that a running request was sent to; false if it was
// sent to a peer.
func (s *State) upstreamOf(r *request) (upstreamProcess, bool) {
	switch {
	case r.member != nil:
		return upstreamProcess{
			upstreamName: upstreamName{r.service, r.member.Name()}, address: r.member.Address(), incarnation: r.member.Incarnation(),
		}, true
	case r.upstream != nil:
		name := upstreamName{r.service, r.upstream.Name()}
		return upstreamProcess{upstreamName: name, address: r.upstream.Address(), incarnation: s.crashes.incarnation(name)}, true
	default:
		return upstreamProcess{}, false
	}
}

// recordBroken records an attempt that broke at an upstream and probes the upstream. An
// isolated instance can't distinguish crashes from the failure of its own links.
func (s *State) recordBroken(now dhclock.Millis, r *request, out *dheffect.List) {
	u, ok := s.upstreamOf(r)
	if !ok || r.fingerprint == nil || s.reachability.isolated || !s.crashes.recordBroken(now, u, *r.fingerprint) {
		return
	}
	s.probeCrashed(u, out)
}

// recordConnection updates the crash detector with the result of a connection to an
// upstream. A connection that fails later than maxRefusalTime has timed out.
func (s *State) recordConnection(now, latency dhclock.Millis, u upstreamName, connected bool, out *dheffect.List) {
	if connected {
		s.crashes.recordAccepted(now-latency, u)
		return
	}
	if latency > maxRefusalTime || s.reachability.isolated {
		return
	}
	process, requests := s.crashes.takeCrashed(now, u)
	if len(requests) == 0 {
		return
	}
	out.Add(dheffect.NewLog(dheffect.LogOptions{
		Layer: "upstreams", Text: "crashed: attempts broke and its address refuses connections; number of requests in flight", Peer: u.name, Number: uint64(len(requests)),
	}))
	if s.groups[u.service] == nil {
		s.crashes.recordAnnouncedCrash(now, process)
	}
	crash := dhquarantine.HashCrash(u.service, u.name, process.incarnation)
	for _, r := range s.suspects.RecordCrash(now, crash, requests...) {
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "quarantines the request with this content", Peer: r.String()}))
	}
	s.reportSuspects(now, out)
}
