package dhcontrol

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhgrant"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// sweepInterval is how often grants of silent holders are looked through, in
// milliseconds.
const sweepInterval dhclock.Millis = 250

// limits is the leader's side of the organisations' limits. A new leader
// starts with empty buckets and gives nothing until every grant that its
// predecessor can have made has run out.
type limits struct {
	version   uint64
	owners    map[string]*dhgrant.Owner
	lastSweep dhclock.Millis
}

// sendGrantRequest sends a holder's wishes to the leader.
func (s *State) sendGrantRequest(e *dhevent.GrantsWanted, out *dheffect.List) {
	to := s.leader()
	if to == "" {
		return
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: to, Message: dhmessage.NewGrantAsk(dhmessage.GrantAskOptions{
		Stream: e.Stream(), Owner: e.Owner(), Sent: s.now, Asks: e.Asks(),
	})}))
}

// handleGrantRequest answers a holder. Only a leader that holds its lease may grant:
// no other can have been elected yet.
func (s *State) handleGrantRequest(from dhmessage.Peer, m *dhmessage.GrantAsk, out *dheffect.List) {
	v := s.voter
	if v == nil {
		return
	}
	if !v.node.IsLeader() {
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: dhmessage.NewRedirect(dhmessage.RedirectOptions{
			Leader: v.node.Leader(),
		})}))
		return
	}
	if v.limits == nil || !v.node.HoldsLease(s.now) {
		return
	}
	var gives []dhmessage.Give
	for _, a := range m.Asks() {
		if g, ok := v.grantTokens(s.now, from.Name(), m, a); ok {
			gives = append(gives, g)
		}
	}
	if len(gives) == 0 {
		return
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: dhmessage.NewGrantGive(dhmessage.GrantGiveOptions{
		Stream: m.Stream(), Owner: v.node.Term(), Sent: m.Sent(), Life: dhgrant.Life, Gives: gives,
	})}))
}

func (v *voter) grantTokens(now dhclock.Millis, holder string, m *dhmessage.GrantAsk, a dhmessage.Ask) (dhmessage.Give, bool) {
	w, found := v.limits.owners[a.Organisation()]
	if !found {
		return dhmessage.Give{}, false
	}
	if m.Owner() == v.node.Term() {
		w.Report(now, holder, m.Stream(), a.Used(), a.Dropped())
	}
	if a.Want() <= 0 || now < v.leadership.grantsAllowedAt {
		return dhmessage.Give{}, false
	}
	amount, through := w.Give(now, holder, m.Stream(), a.Want())
	// Only whole tokens are given, so less than one missing is no shortage.
	return dhmessage.NewGive(a.Organisation(), amount, through, a.Want()-amount >= dhmessage.Token), true
}

// tickLimits follows leadership and the configuration.
func (v *voter) tickLimits(now dhclock.Millis) {
	if !v.node.IsLeader() {
		v.limits = nil
		return
	}
	if _, sure := v.node.ConfirmedAt(); !sure {
		return
	}
	if v.limits == nil {
		v.limits = &limits{owners: map[string]*dhgrant.Owner{}}
	}
	if v.limits.version != v.ledger.Catalog().Version() {
		v.limits.configure(now, v.ledger.Catalog(), v.node.ElectedAt())
	}
	if now.Since(v.limits.lastSweep) >= sweepInterval {
		v.limits.lastSweep = now
		for _, w := range v.limits.owners {
			w.Sweep(now)
		}
	}
}

// earliestGrant is when a leader that was just elected may start to grant: after
// the predecessor's grants, and after floors of an earlier version that some
// instance may still use. Before the first version there was no limit.
func (v *voter) earliestGrant(now dhclock.Millis) dhclock.Millis {
	switch {
	case v.ledger.Catalog().Version() == 0:
		return now
	case v.ledger.Limited() > 0 && v.node.LogTime().Since(v.ledger.Limited()) < dhview.FreshnessLease:
		return now + max(dhgrant.OwnerLife, dhview.FreshnessLease)
	default:
		return now + dhgrant.OwnerLife
	}
}

// configure takes the limits of a version. Buckets of a new leader fill from
// its election, when its predecessor could no longer grant.
func (l *limits) configure(now dhclock.Millis, c *dhcatalog.Catalog, since dhclock.Millis) {
	first := l.version == 0
	l.version = c.Version()
	kept := map[string]bool{}
	for _, o := range c.List(dhcatalog.KindLimit) {
		limit := o.(dhcatalog.Limit)
		share, _ := dhgrant.Split(limit, c.InstanceCount())
		kept[limit.Organisation()] = true
		w, found := l.owners[limit.Organisation()]
		switch {
		case found:
			w.Set(now, share, now+dhview.FreshnessLease)
		case first:
			l.owners[limit.Organisation()] = dhgrant.NewOwner(since, share)
		default:
			l.owners[limit.Organisation()] = dhgrant.NewOwner(now, share)
		}
	}
	for name := range l.owners {
		if !kept[name] {
			delete(l.owners, name)
		}
	}
}
