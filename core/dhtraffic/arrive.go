package dhtraffic

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// Hints for callers on when to try again, in milliseconds.
const (
	shortRetryAfter dhclock.Millis = 200
	longRetryAfter  dhclock.Millis = 1000
)

// HandleRequest admits a request, or refuses it at once.
func (s *State) HandleRequest(e *dhevent.RequestArrived, out *dheffect.List) {
	now := e.At()
	r := &request{
		id: e.Request(), received: now, weight: 1, fromPeer: e.Passed(), size: e.Size(),
		label: e.Label(), host: e.Host(), path: e.Path(), object: e.Object(), random: e.Random(),
	}
	route, found := s.view.Catalog().RouteFor(e.Host(), e.Path())
	if !found {
		s.refuse(now, r, s.unknownRouteRefusal(now), out)
		return
	}
	r.route = route
	r.service = s.serviceFor(route)
	r.deadline = now + route.Timeout()
	if e.Patience() > 0 {
		r.deadline = min(r.deadline, now+e.Patience())
	}
	r.setQueueDeadline(now)
	s.requests[r.id] = r
	if r.fromPeer {
		r.organisation = e.Organisation()
		s.acquireSlot(now, r, out)
		return
	}
	if refusal, ok := s.authenticate(now, r, e.KeyHash()); !ok {
		s.refuse(now, r, refusal, out)
		return
	}
	if refusal, ok := s.setClaimKey(r, e); !ok {
		s.refuse(now, r, refusal, out)
		return
	}
	s.acquireToken(now, r, out)
}

// unknownRouteRefusal refuses a path without a route; an instance that has no current
// configuration can't know that there is none.
func (s *State) unknownRouteRefusal(now dhclock.Millis) dheffect.Refusal {
	if !s.view.Fresh(now, 0) {
		return dheffect.NewRefusal(dheffect.RefuseStale, false, longRetryAfter)
	}
	return dheffect.NewRefusal(dheffect.RefuseNoRoute, false, 0)
}

// authenticate finds the organisation that a key stands for.
func (s *State) authenticate(now dhclock.Millis, r *request, h dhcatalog.KeyHash) (dheffect.Refusal, bool) {
	if r.route.Open() {
		return dheffect.Refusal{}, true
	}
	if h == (dhcatalog.KeyHash{}) {
		return dheffect.NewRefusal(dheffect.RefuseKeyMissing, false, 0), false
	}
	r.key = h
	if refusal, ok := s.checkKey(now, r); !ok {
		return refusal, false
	}
	key, _ := s.view.Catalog().KeyByHash(h)
	organisation, _ := s.view.Catalog().Organisation(key.Organisation())
	r.organisation = organisation.Name()
	r.weight = organisation.Weight()
	return dheffect.Refusal{}, true
}

// checkKey tells whether a request's key holds now. While the configuration may
// be out of date the key may have been withdrawn, so the request is refused
// unless the organisation has accepted a longer grace.
func (s *State) checkKey(now dhclock.Millis, r *request) (dheffect.Refusal, bool) {
	if r.route.Open() || r.fromPeer {
		return dheffect.Refusal{}, true
	}
	key, found := s.view.Catalog().KeyByHash(r.key)
	organisation, _ := s.view.Catalog().Organisation(key.Organisation())
	if !s.view.Fresh(now, organisation.StaleGrace()) {
		return dheffect.NewRefusal(dheffect.RefuseStale, false, longRetryAfter), false
	}
	if !found {
		return dheffect.NewRefusal(dheffect.RefuseKeyUnknown, false, 0), false
	}
	return dheffect.Refusal{}, true
}

// setClaimKey keeps the idempotency key of a request that needs a claim.
func (s *State) setClaimKey(r *request, e *dhevent.RequestArrived) (dheffect.Refusal, bool) {
	if !r.route.ClaimRequired() {
		return dheffect.Refusal{}, true
	}
	if e.IdempotencyKey() == "" {
		return dheffect.NewRefusal(dheffect.RefuseClaimMissing, false, 0), false
	}
	k := dhmessage.NewClaimKey(r.organisation, e.IdempotencyKey())
	r.claimKey = &k
	r.digest = e.Digest()
	return dheffect.Refusal{}, true
}

// HandleCancellation ends a request whose caller went away while it waited. A request
// that runs ends with its attempt.
func (s *State) HandleCancellation(e *dhevent.RequestAbandoned, out *dheffect.List) {
	r, found := s.requests[e.Request()]
	if !found || r.phase == running {
		return
	}
	s.dequeue(r)
	if r.claimGranted || r.phase == waitingForClaim {
		s.proposeClaimOutcome(e.At(), r, dhmessage.ClaimReleased, nil, out)
	}
	s.end(e.At(), r, dheffect.CallerGone, 0, out)
}

func (s *State) dequeue(r *request) {
	switch r.phase {
	case waitingForToken:
		s.rateLimiters[r.organisation].removeWaiting(r)
	case waitingForSlot:
		if r.waiter != nil {
			r.pool.Cancel(r.waiter)
		}
	case waitingForClaim, running:
	}
}
