package dhtraffic

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhgrant"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// minTokenQueue is the least queue bound for requests of one organisation that
// wait for a token, however low its rate is.
const minTokenQueue = 16

// grantTimeout is how long a request waits for the owner's response, even if the
// route's queue wait is shorter, in milliseconds. The response of an owner in
// another region takes 110 ms on the Régie's links; the timeout adds a
// margin of more than half of that.
const grantTimeout dhclock.Millis = 200

// Times after which the owner is told what has become of tokens, in milliseconds. Other demands
// for the same owner carry such reports earlier.
const (
	// tokenReportInterval is the longest time until dropped tokens are reported, which the
	// owner can grant again.
	tokenReportInterval dhclock.Millis = 100
	// maxSpentReportInterval is the longest time until spent tokens are reported in a large
	// cluster, to which each instance adds spentReportIntervalStep. The owner counts them as
	// spent by itself when they expire.
	maxSpentReportInterval  dhclock.Millis = 250
	spentReportIntervalStep dhclock.Millis = 2
)

// rateLimiter is this instance's part of one organisation's rate limit: the
// tokens that it holds and the requests that wait for one.
type rateLimiter struct {
	limit            dhcatalog.Limit
	holder           *dhgrant.Holder
	waiting          []*request
	reportedPosition dhmessage.Tokens
	reportedDropped  dhmessage.Tokens
	reportedAt       dhclock.Millis
}

// hasReport reports whether the owner doesn't know yet what has become of some tokens.
func (l *rateLimiter) hasReport() bool { return l.holder.Position() != l.reportedPosition }

// isReportDue reports whether the owner must be told now what has become of some tokens.
func (l *rateLimiter) isReportDue(now, spentReportInterval dhclock.Millis) bool {
	return l.hasReport() && (l.holder.Dropped() != l.reportedDropped || now.Since(l.reportedAt) >= spentReportInterval)
}

// spentReportInterval returns the longest time until spent tokens are reported.
func (s *State) spentReportInterval() dhclock.Millis {
	instances := dhclock.Millis(s.view.Catalog().InstanceCount())
	return min(maxSpentReportInterval, spentReportIntervalStep*instances)
}

// report returns the demand for some tokens, which may be none, with what has become of others.
func (l *rateLimiter) report(now dhclock.Millis, name string, tokens dhmessage.Tokens) dhmessage.TokenDemand {
	l.reportedPosition, l.reportedDropped, l.reportedAt = l.holder.Position(), l.holder.Dropped(), now
	return l.holder.TokenDemand(name, tokens)
}

func (l *rateLimiter) removeWaiting(r *request) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *request) bool { return other == r })
}

// acquireToken spends a token of the organisation's limit, or queues the request
// and requests tokens from the owner. It refuses a request that can't get a token
// in time.
func (s *State) acquireToken(now dhclock.Millis, r *request, out *dheffect.List) {
	l, limited := s.rateLimiters[r.organisation]
	if !limited {
		s.proceed(now, r, out)
		return
	}
	l.holder.CountRequest(now)
	if len(l.waiting) == 0 && l.holder.Spend(now) {
		s.proceed(now, r, out)
		return
	}
	if len(l.waiting) >= l.maxQueueLength(r.route.QueueWait()) || l.tokenDeadline(now, r) <= now {
		s.refuse(now, r, l.refusal(now), out)
		return
	}
	r.phase = waitingForToken
	l.waiting = append(l.waiting, r)
	s.requestTokens(now, []string{r.organisation}, out)
}

// tokenDeadline returns the time until which a request waits for a token: long
// enough for the owner's response, but only for the queue wait after the owner
// has reported a shortfall.
func (l *rateLimiter) tokenDeadline(now dhclock.Millis, r *request) dhclock.Millis {
	if l.holder.Exhausted(now) {
		return r.queueDeadline
	}
	return max(r.queueDeadline, min(r.deadline, r.receivedAt+grantTimeout))
}

// maxQueueLength returns how many requests can get a token within the queue wait.
// Further requests would only wait until their deadline.
func (l *rateLimiter) maxQueueLength(wait dhclock.Millis) int {
	return max(minTokenQueue, int(l.limit.Rate()*wait.Milliseconds()/dhclock.Second.Milliseconds()))
}

// refusal returns the refusal of a request that got no token: beyond the limit if the owner has
// reported a shortfall, else one that tells that the owner hasn't responded in time.
func (l *rateLimiter) refusal(now dhclock.Millis) dheffect.Refusal {
	if l.holder.Exhausted(now) {
		return dheffect.NewRefusal(dheffect.RefuseOverLimit, false, l.retryAfter())
	}
	return dheffect.NewRefusal(dheffect.RefuseLimitUnconfirmed, false, l.retryAfter())
}

// retryAfter returns the time in which one token accrues at the full rate, but
// at least shortRetryAfter.
func (l *rateLimiter) retryAfter() dhclock.Millis {
	return max(shortRetryAfter, dhclock.Second/dhclock.Millis(l.limit.Rate()))
}

// proceed continues a request that has its token: with its claim if it needs one,
// else with its slot.
func (s *State) proceed(now dhclock.Millis, r *request, out *dheffect.List) {
	if r.claimKey != nil {
		s.requestClaim(now, r, out)
		return
	}
	s.acquireSlot(now, r, out)
}

// admitWaiting spends tokens on waiting requests, oldest first, and refuses those
// past their deadline.
func (s *State) admitWaiting(now dhclock.Millis, l *rateLimiter, out *dheffect.List) {
	for len(l.waiting) > 0 {
		r := l.waiting[0]
		if l.tokenDeadline(now, r) <= now {
			l.waiting = l.waiting[1:]
			s.refuse(now, r, l.refusal(now), out)
			continue
		}
		if !l.holder.Spend(now) {
			return
		}
		l.waiting = l.waiting[1:]
		r.setQueueDeadline(now)
		s.proceed(now, r, out)
	}
}

// HandleGrants adds the tokens that the owner has granted and admits waiting
// requests.
func (s *State) HandleGrants(e *dhevent.GrantsReceived, out *dheffect.List) {
	for _, g := range e.Grants() {
		l, found := s.rateLimiters[g.Organisation()]
		if !found {
			continue
		}
		l.holder.AddGrant(e.OwnerTerm(), g, e.RequestSentAt(), e.TTL())
		l.holder.RecordShortfall(e.At(), g.HasShortfall())
		l.holder.RecordResponse(e.At())
		s.admitWaiting(e.At(), l, out)
	}
}

// requestTokens requests tokens for the given organisations, with one event per
// owner term. It leaves out organisations that need no tokens and whose report isn't due.
// Each event carries the reports of all organisations.
func (s *State) requestTokens(now dhclock.Millis, organisations []string, out *dheffect.List) {
	demands := map[uint64][]dhmessage.TokenDemand{}
	interval := s.spentReportInterval()
	for _, name := range organisations {
		l := s.rateLimiters[name]
		if tokens := l.holder.TokensToRequest(now, len(l.waiting)); tokens > 0 || l.isReportDue(now, interval) {
			demands[l.holder.OwnerTerm()] = append(demands[l.holder.OwnerTerm()], l.report(now, name, tokens))
		}
	}
	if len(demands) == 0 {
		return
	}
	for _, name := range s.limitedOrganisations {
		l := s.rateLimiters[name]
		if list, found := demands[l.holder.OwnerTerm()]; found && l.hasReport() {
			demands[l.holder.OwnerTerm()] = append(list, l.report(now, name, 0))
		}
	}
	for _, owner := range slices.Sorted(maps.Keys(demands)) {
		out.Add(dheffect.NewPostToControl(dheffect.PostToControlOptions{
			Event: dhevent.NewGrantsRequested(now, dhevent.GrantsRequestedOptions{
				StartID: s.startID, OwnerTerm: owner, Demands: demands[owner],
			}),
		}))
	}
}

// tickRateLimiters admits waiting requests, refuses those past their deadline,
// and once per tokenReportInterval reports positions and requests the tokens for
// the expected demand.
func (s *State) tickRateLimiters(now dhclock.Millis, out *dheffect.List) {
	for _, name := range s.limitedOrganisations {
		s.admitWaiting(now, s.rateLimiters[name], out)
	}
	if now.Since(s.lastTokenReport) < tokenReportInterval {
		return
	}
	s.lastTokenReport = now
	s.requestTokens(now, s.limitedOrganisations, out)
}

// setLimits applies the limits of a new configuration version. A larger floor
// applies only after the freshness lease, when no instance uses the previous
// version any more. An instance that isn't declared has no floor.
func (s *State) setLimits(now dhclock.Millis) {
	c := s.view.Catalog()
	revision := c.Revision(dhcatalog.KindLimit, dhcatalog.KindInstance, dhcatalog.KindZone)
	if revision == s.limitsRevision && s.view.LimitsChangedAt() == s.limitsChangedAt {
		return
	}
	s.limitsRevision, s.limitsChangedAt = revision, s.view.LimitsChangedAt()
	from := max(now, s.view.LimitsChangedAt()+dhview.FreshnessLease)
	instances := c.InstanceCount()
	limited := map[string]bool{}
	for _, o := range c.List(dhcatalog.KindLimit) {
		limit := o.(dhcatalog.Limit)
		l, found := s.rateLimiters[limit.Organisation()]
		if !found {
			l = &rateLimiter{holder: dhgrant.NewHolder(now)}
			s.rateLimiters[limit.Organisation()] = l
		}
		limited[limit.Organisation()] = true
		l.limit = limit
		_, floor := dhgrant.Split(limit, instances)
		if _, declared := c.Instance(s.instance); !declared {
			floor = dhgrant.Share{}
		}
		l.holder.SetFloor(now, floor, from)
	}
	for name, l := range s.rateLimiters {
		switch {
		case limited[name]:
		case len(l.waiting) == 0:
			delete(s.rateLimiters, name)
		default:
			s.limitsRevision = 0 // removed with the next version
		}
	}
	s.limitedOrganisations = slices.Sorted(maps.Keys(s.rateLimiters))
}
