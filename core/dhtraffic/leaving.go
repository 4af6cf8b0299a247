package dhtraffic

import (
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
)

// HandleUpstreamLeaving logs that an upstream is about to stop.
func (s *State) HandleUpstreamLeaving(e *dhevent.UpstreamLeaving, out *dheffect.List) {
	r, found := s.requests[e.RequestID()]
	if !found || r.phase != running {
		return
	}
	switch {
	case r.upstream != nil:
		logLeaving(r.upstream.Name(), out)
	case r.member != nil:
		logLeaving(r.member.Name(), out)
	case r.group != nil:
		if m := memberAt(r.group, e); m != nil {
			logLeaving(m.Name(), out)
		}
	}
}

// memberAt returns the upstream whose response a peer forwarded, or nil if another one is
// registered at its address here.
func memberAt(g *group, e *dhevent.UpstreamLeaving) *dhsteer.Member {
	if m := g.Member(e.Upstream()); m != nil && m.Address() == e.Address() {
		return m
	}
	return nil
}

func logLeaving(upstream string, out *dheffect.List) {
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "is about to stop, as a response says", Peer: upstream}))
}
