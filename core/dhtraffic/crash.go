package dhtraffic

import (
	"cmp"
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
)

// crashDetector distinguishes a crashed upstream from connections that broke for another
// reason. An upstream has crashed if attempts at it broke and its address refuses
// connections afterwards. After a reset it accepts them, and behind a partition it
// doesn't respond.
type crashDetector struct {
	suspected map[upstreamName]*suspectedCrash
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
	return crashDetector{suspected: map[upstreamName]*suspectedCrash{}}
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
func (r *request) upstreamOf() (upstreamProcess, bool) {
	switch {
	case r.member != nil:
		return upstreamProcess{
			upstreamName: upstreamName{r.service, r.member.Name()}, address: r.member.Address(), incarnation: r.member.Incarnation(),
		}, true
	case r.upstream != nil:
		return upstreamProcess{upstreamName: upstreamName{r.service, r.upstream.Name()}, address: r.upstream.Address()}, true
	default:
		return upstreamProcess{}, false
	}
}

// recordBroken records an attempt that broke at an upstream and probes the upstream. An
// isolated instance can't distinguish crashes from the failure of its own links.
func (s *State) recordBroken(now dhclock.Millis, r *request, out *dheffect.List) {
	u, ok := r.upstreamOf()
	fingerprint := r.fingerprint()
	if !ok || fingerprint == nil || s.reachability.isolated || !s.crashes.recordBroken(now, u, *fingerprint) {
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
	crash := dhquarantine.HashCrash(u.service, u.name, process.incarnation)
	for _, r := range s.suspects.RecordCrash(now, crash, requests...) {
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "quarantines the request with this content", Peer: r.String()}))
	}
	s.reportSuspects(now, out)
}
