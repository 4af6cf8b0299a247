package dhtraffic

import (
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
)

// HandleUpstreamLeaving stops new requests to an upstream that is about to stop. Unlike the
// record of an upstream, its response also reaches an instance that is cut off.
func (s *State) HandleUpstreamLeaving(e *dhevent.UpstreamLeaving, out *dheffect.List) {
	r, found := s.requests[e.RequestID()]
	if !found || r.phase != running {
		return
	}
	name, stopped := "", false
	switch {
	case r.upstream != nil:
		name, stopped = r.upstream.Name(), r.pool.Deregister(r.upstream.Name())
	case r.member != nil:
		name, stopped = r.member.Name(), r.member.Stop()
	case r.group != nil:
		if m := memberAt(r.group, e); m != nil {
			name, stopped = m.Name(), m.Stop()
		}
	}
	if stopped {
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "upstreams", Text: "is about to stop, as a response says", Peer: name}))
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
