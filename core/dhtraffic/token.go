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

// minTokenQueue is how many requests of one organisation may wait for a token
// however low its rate is.
const minTokenQueue = 16

// grantTimeout is for how long a request waits for the owner's answer, if its
// route has it wait less for a slot, in milliseconds: the answer of an owner in
// another region takes 110 ms on the Régie's links, and half of that again.
const grantTimeout dhclock.Millis = 200

// tokenReportInterval is the longest time after which used tokens are reported to
// the owner, in milliseconds.
const tokenReportInterval dhclock.Millis = 100

// rateLimiter is an organisation with a limit, as this instance holds it.
type rateLimiter struct {
	limit            dhcatalog.Limit
	holder           *dhgrant.Holder
	waiting          []*request
	reportedPosition dhmessage.Tokens
}

func (t *rateLimiter) removeWaiting(r *request) {
	t.waiting = slices.DeleteFunc(t.waiting, func(x *request) bool { return x == r })
}

// acquireToken takes a token of the organisation's limit, or lets the request
// wait for one.
func (s *State) acquireToken(now dhclock.Millis, r *request, out *dheffect.List) {
	t, limited := s.rateLimiters[r.organisation]
	if !limited {
		s.proceed(now, r, out)
		return
	}
	t.holder.CountRequest(now)
	if len(t.waiting) == 0 && t.holder.Spend(now) {
		s.proceed(now, r, out)
		return
	}
	if len(t.waiting) >= t.maxQueueLength(r.route.QueueWait()) || t.tokenDeadline(now, r) <= now {
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseOverLimit, false, t.retryAfter()), out)
		return
	}
	r.phase = waitingForToken
	t.waiting = append(t.waiting, r)
	s.requestTokens(now, []string{r.organisation}, out)
}

// tokenDeadline is until when a request waits for a token: until the owner has
// surely answered, and no longer than for a slot if it says that there is none.
func (t *rateLimiter) tokenDeadline(now dhclock.Millis, r *request) dhclock.Millis {
	if t.holder.Exhausted(now) {
		return r.queueDeadline
	}
	return max(r.queueDeadline, min(r.deadline, r.received+grantTimeout))
}

// maxQueueLength is how many requests can get a token within the time that they
// may wait; more would wait in vain.
func (t *rateLimiter) maxQueueLength(wait dhclock.Millis) int {
	return max(minTokenQueue, int(t.limit.Rate()*wait.Milliseconds()/dhclock.Second.Milliseconds()))
}

// retryAfter is when a token will have been made.
func (t *rateLimiter) retryAfter() dhclock.Millis {
	return max(shortRetryAfter, dhclock.Second/dhclock.Millis(t.limit.Rate()))
}

// proceed goes on with a request that has its token.
func (s *State) proceed(now dhclock.Millis, r *request, out *dheffect.List) {
	if r.claimKey != nil {
		s.requestClaim(now, r, out)
		return
	}
	s.acquireSlot(now, r, out)
}

// admitWaiting gives tokens to the requests that wait, in order.
func (s *State) admitWaiting(now dhclock.Millis, t *rateLimiter, out *dheffect.List) {
	for len(t.waiting) > 0 {
		r := t.waiting[0]
		if t.tokenDeadline(now, r) <= now {
			t.waiting = t.waiting[1:]
			s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseOverLimit, false, t.retryAfter()), out)
			continue
		}
		if !t.holder.Spend(now) {
			return
		}
		t.waiting = t.waiting[1:]
		r.setQueueDeadline(now)
		s.proceed(now, r, out)
	}
}

// HandleGrants takes tokens from the owner.
func (s *State) HandleGrants(e *dhevent.GrantsArrived, out *dheffect.List) {
	for _, g := range e.Gives() {
		t, found := s.rateLimiters[g.Organisation()]
		if !found {
			continue
		}
		t.holder.AddGrant(e.Owner(), g, e.Sent(), e.Life())
		t.holder.RecordShortfall(e.At(), g.Short())
		t.holder.ResponseReceived()
		s.admitWaiting(e.At(), t, out)
	}
}

// requestTokens asks the owner for the tokens that organisations will need.
func (s *State) requestTokens(now dhclock.Millis, organisations []string, out *dheffect.List) {
	asks := map[uint64][]dhmessage.Ask{}
	for _, name := range organisations {
		t := s.rateLimiters[name]
		want := t.holder.TokensToRequest(now, len(t.waiting))
		if want == 0 && t.holder.Position() == t.reportedPosition {
			continue
		}
		t.reportedPosition = t.holder.Position()
		asks[t.holder.OwnerTerm()] = append(asks[t.holder.OwnerTerm()], t.holder.TokenDemand(name, want))
	}
	for _, owner := range slices.Sorted(maps.Keys(asks)) {
		out.Add(dheffect.NewToControl(dheffect.ToControlOptions{
			Event: dhevent.NewGrantsWanted(now, dhevent.GrantsWantedOptions{
				Stream: s.startID, Owner: owner, Asks: asks[owner],
			}),
		}))
	}
}

// tickRateLimiters reports used tokens, asks for those that demand will need, and
// ends waits that are over.
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

// setLimits takes the limits of a new version. A floor that grows holds only
// once no instance can still use the version before.
func (s *State) setLimits(now dhclock.Millis) {
	c := s.view.Catalog()
	from := max(now, s.view.Limited()+dhview.FreshnessLease)
	instances := c.InstanceCount()
	kept := map[string]bool{}
	for _, o := range c.List(dhcatalog.KindLimit) {
		l := o.(dhcatalog.Limit)
		t, found := s.rateLimiters[l.Organisation()]
		if !found {
			t = &rateLimiter{holder: dhgrant.NewHolder(now)}
			s.rateLimiters[l.Organisation()] = t
		}
		kept[l.Organisation()] = true
		t.limit = l
		_, floor := dhgrant.Split(l, instances)
		if _, declared := c.Instance(s.instance); !declared {
			floor = dhgrant.Share{}
		}
		t.holder.SetFloor(now, floor, from)
	}
	for name, t := range s.rateLimiters {
		if !kept[name] && len(t.waiting) == 0 {
			delete(s.rateLimiters, name)
		}
	}
	s.limitedOrganisations = slices.Sorted(maps.Keys(s.rateLimiters))
}
