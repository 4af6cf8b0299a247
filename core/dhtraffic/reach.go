package dhtraffic

import (
	"maps"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
)

// isolationThreshold is how many registered upstreams must refuse or not answer a new
// connection, with no success in between, before this instance counts as isolated.
const isolationThreshold = 3

// reach tracks whether this instance can open connections to registered upstreams.
// If it can't reach any, its own links have failed rather than the upstreams.
type reach struct {
	// lastConnected is when the last connection that succeeded was started.
	lastConnected dhclock.Millis
	// unreachable holds, for each upstream to which a later connection has failed,
	// when that one was started.
	unreachable map[*dhsteer.Member]dhclock.Millis
	isolated    bool
}

// recordConnect updates the reach with the result of a new connection to one of a
// number of upstreams. Results are compared by their starts, because a failure is
// known later than a success.
func (r *reach) recordConnect(startedAt dhclock.Millis, m *dhsteer.Member, connected bool, upstreams int) {
	if connected {
		r.lastConnected = max(r.lastConnected, startedAt)
		maps.DeleteFunc(r.unreachable, func(_ *dhsteer.Member, failedAt dhclock.Millis) bool { return failedAt < startedAt })
	} else if startedAt >= r.lastConnected {
		r.unreachable[m] = startedAt
	}
	r.isolated = upstreams > 0 && len(r.unreachable) >= min(isolationThreshold, upstreams)
}

// recordConnect updates the reach with an attempt at a registered upstream, and logs a
// change.
func (s *State) recordConnect(m *dhsteer.Member, e *dhevent.AttemptEnded, out *dheffect.List) {
	if e.Connected() == nil {
		return
	}
	upstreams := 0
	for _, g := range s.groups {
		upstreams += g.Size()
	}
	before := s.reach.isolated
	s.reach.recordConnect(e.At()-e.Latency(), m, *e.Connected(), upstreams)
	switch {
	case s.reach.isolated && !before:
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "can't connect to any upstream", Peer: m.Name(), Number: uint64(len(s.reach.unreachable))}))
	case before && !s.reach.isolated:
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "connects to upstreams again", Peer: m.Name()}))
	}
}
