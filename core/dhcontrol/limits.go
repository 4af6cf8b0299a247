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

// sweepInterval is the time between two sweeps for grants of unresponsive
// holders, in milliseconds.
const sweepInterval dhclock.Millis = 250

// limits is the leader's state of the organisations' limits. A new leader
// starts with empty buckets and grants nothing until every grant that its
// predecessor can have made has expired.
type limits struct {
	configured bool
	// revision is the version in which the limits, or the instances that share them, last
	// changed before the owners were configured.
	revision  uint64
	owners    map[string]*dhgrant.Owner
	lastSweep dhclock.Millis
}

// sendGrantRequest sends a holder's token demands to a member of the consensus group, which
// passes them on, or to the leader if no member is known to run in the zone.
func (s *State) sendGrantRequest(e *dhevent.GrantsRequested, out *dheffect.List) {
	to := s.grantPath.next(s.now, s.distribution.NearestMembers(), s.leader())
	if to == "" {
		return
	}
	m := dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{
		StartID: e.StartID(), OwnerTerm: e.OwnerTerm(), SentAt: s.now, Demands: e.Demands(),
	})
	if m.RequestsTokens() {
		s.grantPath.recordRequest(s.now)
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: to, Message: m}))
}

// handleGrantRequest responds to a holder. A process that doesn't lead passes the request on
// to the leader, or names the leader where operators manage the members.
func (s *State) handleGrantRequest(from dhmessage.Peer, m *dhmessage.GrantRequest, out *dheffect.List) {
	v := s.voter
	if v == nil {
		return
	}
	if !v.node.IsLeader() {
		if s.automation != nil && v.node.Leader() != "" {
			s.grantRelay.add(dhmessage.NewHolderRequest(from.Name(), m))
			s.flushGrantRelay(out)
			return
		}
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: dhmessage.NewRedirect(dhmessage.RedirectOptions{
			Leader: v.node.Leader(),
		})}))
		return
	}
	if r := s.grant(from.Name(), m); r != nil {
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: r}))
	}
}

// flushGrantRelay passes waiting requests on to the leader.
func (s *State) flushGrantRelay(out *dheffect.List) {
	s.grantRelay.flush(s.now, s.voter.node.Leader(), len(s.voter.node.Members()), out)
}

// handleRelayedGrantResponses passes each response on to its holder.
func (s *State) handleRelayedGrantResponses(from dhmessage.Peer, m *dhmessage.RelayedGrantResponses, out *dheffect.List) {
	for _, r := range m.List() {
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: r.Holder(), Message: r.Response()}))
	}
	s.grantRelay.recordResponse(from.Name())
	if s.voter != nil {
		s.flushGrantRelay(out)
	}
}

// handleRelayedGrantRequests responds to holders through the process that passed their requests
// on, which waits for the response even if there is none for any holder. A process that doesn't
// lead drops the requests: the holders repeat them.
func (s *State) handleRelayedGrantRequests(from dhmessage.Peer, m *dhmessage.RelayedGrantRequests, out *dheffect.List) {
	if s.voter == nil || !s.voter.node.IsLeader() {
		return
	}
	var list []dhmessage.HolderResponse
	for _, r := range m.List() {
		if response := s.grant(r.Holder(), r.Request()); response != nil {
			list = append(list, dhmessage.NewHolderResponse(r.Holder(), response))
		}
	}
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: dhmessage.NewRelayedGrantResponses(list)}))
}

// grant returns the response to a holder, or nil for none. Only a leader that holds its lease
// may grant: no other leader can have been elected yet.
func (s *State) grant(holder string, m *dhmessage.GrantRequest) *dhmessage.GrantResponse {
	v := s.voter
	if v.limits == nil || !v.node.HoldsLease(s.now) {
		return nil
	}
	var grants []dhmessage.TokenGrant
	for _, demand := range m.Demands() {
		if grant, ok := v.grantTokens(s.now, holder, m, demand); ok {
			grants = append(grants, grant)
		}
	}
	if len(grants) == 0 {
		return nil
	}
	return dhmessage.NewGrantResponse(dhmessage.GrantResponseOptions{
		StartID: m.StartID(), OwnerTerm: v.node.Term(), RequestSentAt: m.SentAt(), TTL: dhgrant.TTL, Grants: grants,
	})
}

// handleGrantResponse passes the owner's response to the traffic state.
func (s *State) handleGrantResponse(m *dhmessage.GrantResponse, out *dheffect.List) {
	s.grantPath.recordResponse()
	out.Add(dheffect.NewPostToTraffic(dheffect.PostToTrafficOptions{Event: dhevent.NewGrantsReceived(s.now, dhevent.GrantsReceivedOptions{
		OwnerTerm: m.OwnerTerm(), RequestSentAt: m.RequestSentAt(), TTL: m.TTL(), Grants: m.Grants(),
	})}))
}

// grantTokens applies a holder's report of spent and dropped tokens and grants
// tokens for one organisation; false if the response needs no entry for it.
func (v *voter) grantTokens(now dhclock.Millis, holder string, m *dhmessage.GrantRequest, demand dhmessage.TokenDemand) (dhmessage.TokenGrant, bool) {
	owner, found := v.limits.owners[demand.Organisation()]
	if !found {
		return dhmessage.TokenGrant{}, false
	}
	if m.OwnerTerm() == v.node.Term() {
		owner.Report(now, holder, m.StartID(), demand.Consumed(), demand.Dropped())
	}
	if demand.Amount() <= 0 || now < v.leadership.grantsAllowedAt {
		return dhmessage.TokenGrant{}, false
	}
	amount, endPosition := owner.Grant(now, holder, m.StartID(), demand.Amount())
	// Only whole tokens are granted, so a difference of less than one token is no
	// shortfall.
	return dhmessage.NewTokenGrant(demand.Organisation(), amount, endPosition, demand.Amount()-amount >= dhmessage.Token), true
}

// tickLimits creates or discards the limits' owners when leadership changes,
// configures them after a new version, and sweeps expired grants.
func (v *voter) tickLimits(now dhclock.Millis) {
	if !v.node.IsLeader() {
		v.limits = nil
		return
	}
	if _, confirmed := v.node.ConfirmedAt(); !confirmed {
		return
	}
	if v.limits == nil {
		v.limits = &limits{owners: map[string]*dhgrant.Owner{}}
	}
	v.limits.configure(now, v.ledger.Catalog(), v.node.ElectedAt())
	if now.Since(v.limits.lastSweep) >= sweepInterval {
		v.limits.lastSweep = now
		for _, owner := range v.limits.owners {
			owner.Sweep(now)
		}
	}
}

// earliestGrant returns when a leader that was just elected may start to grant:
// after the predecessor's grants have expired, and after the floors of an
// earlier version that some instance may still use. Before the first version
// there was no limit.
func (v *voter) earliestGrant(now dhclock.Millis) dhclock.Millis {
	switch {
	case v.ledger.Catalog().Version() == 0:
		return now
	case v.ledger.LimitsChangedAt() > 0 && v.node.LogTime().Since(v.ledger.LimitsChangedAt()) < dhview.FreshnessLease:
		return now + max(dhgrant.OwnerTTL, dhview.FreshnessLease)
	default:
		return now + dhgrant.OwnerTTL
	}
}

// configure applies the limits of a version if they have changed. Other changes must not hold back
// a share that is about to rise. The buckets of a new leader fill from its election on, when its
// predecessor could no longer grant.
func (l *limits) configure(now dhclock.Millis, c *dhcatalog.Catalog, electedAt dhclock.Millis) {
	revision := c.Revision(dhcatalog.KindLimit, dhcatalog.KindInstance, dhcatalog.KindZone)
	if c.Version() == 0 || l.configured && l.revision == revision {
		return
	}
	first := !l.configured
	l.configured, l.revision = true, revision
	kept := map[string]bool{}
	for _, o := range c.List(dhcatalog.KindLimit) {
		limit := o.(dhcatalog.Limit)
		share, _ := dhgrant.Split(limit, c.InstanceCount())
		kept[limit.Organisation()] = true
		owner, found := l.owners[limit.Organisation()]
		switch {
		case found:
			owner.SetShare(now, share, now+dhview.FreshnessLease)
		case first:
			l.owners[limit.Organisation()] = dhgrant.NewOwner(electedAt, share)
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
