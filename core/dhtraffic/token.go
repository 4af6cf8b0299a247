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

// grantPatience is for how long a request waits for the owner's answer, if its
// route has it wait less for a slot, in milliseconds: the answer of an owner in
// another region takes 110 ms on the Régie's links, and half of that again.
const grantPatience dhclock.Millis = 200

// reportInterval is the longest time after which used tokens are reported to
// the owner, in milliseconds.
const reportInterval dhclock.Millis = 100

// tenant is an organisation with a limit, as this instance holds it.
type tenant struct {
	limit    dhcatalog.Limit
	holder   *dhgrant.Holder
	waiting  []*request
	reported dhmessage.Tokens
}

func (t *tenant) remove(r *request) {
	t.waiting = slices.DeleteFunc(t.waiting, func(x *request) bool { return x == r })
}

// seekToken takes a token of the organisation's limit, or lets the request
// wait for one.
func (s *State) seekToken(now dhclock.Millis, r *request, out *dheffect.List) {
	t, limited := s.tenants[r.organisation]
	if !limited {
		s.admitted(now, r, out)
		return
	}
	t.holder.Count(now)
	if len(t.waiting) == 0 && t.holder.Spend(now) {
		s.admitted(now, r, out)
		return
	}
	if len(t.waiting) >= t.queueBound(r.route.QueueWait()) || t.waitUntil(now, r) <= now {
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseOverLimit, false, t.retryAfter()), out)
		return
	}
	r.phase = waitsForToken
	t.waiting = append(t.waiting, r)
	s.askFor(now, []string{r.organisation}, out)
}

// waitUntil is until when a request waits for a token: until the owner has
// surely answered, and no longer than for a slot if it says that there is none.
func (t *tenant) waitUntil(now dhclock.Millis, r *request) dhclock.Millis {
	if t.holder.Exhausted(now) {
		return r.waitUntil
	}
	return max(r.waitUntil, min(r.deadline, r.arrived+grantPatience))
}

// queueBound is how many requests can get a token within the time that they
// may wait; more would wait in vain.
func (t *tenant) queueBound(wait dhclock.Millis) int {
	return max(minTokenQueue, int(t.limit.Rate()*wait.Milliseconds()/dhclock.Second.Milliseconds()))
}

// retryAfter is when a token will have been made.
func (t *tenant) retryAfter() dhclock.Millis {
	return max(retrySoon, dhclock.Second/dhclock.Millis(t.limit.Rate()))
}

// admitted goes on with a request that has its token.
func (s *State) admitted(now dhclock.Millis, r *request, out *dheffect.List) {
	if r.claim != nil {
		s.seekClaim(now, r, out)
		return
	}
	s.seekSlot(now, r, out)
}

// spendWaiting gives tokens to the requests that wait, in order.
func (s *State) spendWaiting(now dhclock.Millis, t *tenant, out *dheffect.List) {
	for len(t.waiting) > 0 {
		r := t.waiting[0]
		if t.waitUntil(now, r) <= now {
			t.waiting = t.waiting[1:]
			s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseOverLimit, false, t.retryAfter()), out)
			continue
		}
		if !t.holder.Spend(now) {
			return
		}
		t.waiting = t.waiting[1:]
		r.startWait(now)
		s.admitted(now, r, out)
	}
}

// Grants takes tokens from the owner.
func (s *State) Grants(e *dhevent.GrantsArrived, out *dheffect.List) {
	for _, g := range e.Gives() {
		t, found := s.tenants[g.Organisation()]
		if !found {
			continue
		}
		t.holder.Grant(e.Owner(), g, e.Sent(), e.Life())
		t.holder.Shortage(e.At(), g.Short())
		t.holder.Answered()
		s.spendWaiting(e.At(), t, out)
	}
}

// askFor asks the owner for the tokens that organisations will need.
func (s *State) askFor(now dhclock.Millis, organisations []string, out *dheffect.List) {
	asks := map[uint64][]dhmessage.Ask{}
	for _, name := range organisations {
		t := s.tenants[name]
		want := t.holder.Want(now, len(t.waiting))
		if want == 0 && t.holder.Used() == t.reported {
			continue
		}
		t.reported = t.holder.Used()
		asks[t.holder.Owner()] = append(asks[t.holder.Owner()], t.holder.Ask(name, want))
	}
	for _, owner := range slices.Sorted(maps.Keys(asks)) {
		out.Add(dheffect.NewToControl(dheffect.ToControlOptions{
			Event: dhevent.NewGrantsWanted(now, dhevent.GrantsWantedOptions{
				Stream: s.stream, Owner: owner, Asks: asks[owner],
			}),
		}))
	}
}

// tickTenants reports used tokens, asks for those that demand will need, and
// ends waits that are over.
func (s *State) tickTenants(now dhclock.Millis, out *dheffect.List) {
	for _, name := range s.limited {
		s.spendWaiting(now, s.tenants[name], out)
	}
	if now.Since(s.reported) < reportInterval {
		return
	}
	s.reported = now
	s.askFor(now, s.limited, out)
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
		t, found := s.tenants[l.Organisation()]
		if !found {
			t = &tenant{holder: dhgrant.NewHolder(now)}
			s.tenants[l.Organisation()] = t
		}
		kept[l.Organisation()] = true
		t.limit = l
		_, floor := dhgrant.Split(l, instances)
		if _, declared := c.Instance(s.instance); !declared {
			floor = dhgrant.Share{}
		}
		t.holder.SetFloor(now, floor, from)
	}
	for name, t := range s.tenants {
		if !kept[name] && len(t.waiting) == 0 {
			delete(s.tenants, name)
		}
	}
	s.limited = slices.Sorted(maps.Keys(s.tenants))
}
