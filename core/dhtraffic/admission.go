package dhtraffic

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// Retry-After values of refusals, in milliseconds.
const (
	shortRetryAfter dhclock.Millis = 200
	longRetryAfter  dhclock.Millis = 1000
	// leavingRetryAfter is the time after which a caller may try another instance.
	leavingRetryAfter dhclock.Millis = 50
)

// HandleRequest looks up the route of a request, checks the caller's key and the
// idempotency key, and acquires a rate limit token. It refuses the request if one
// of these fails. For a request from a peer, which has done all this already, it
// only looks up the route and acquires a slot. A request whose caller has left spends
// neither.
func (s *State) HandleRequest(e *dhevent.RequestReceived, out *dheffect.List) {
	now := e.At()
	r := &request{
		id: e.RequestID(), receivedAt: now, weight: 1, fromPeer: e.FromPeer(), bodyBytes: e.BodyBytes(),
		callerRequestID: e.CallerRequestID(), host: e.Host(), path: e.Path(), object: e.ObjectHash(), random: e.Random(),
	}
	if hash := e.ContentHash(); hash != nil {
		r.fingerprint = new(dhmessage.NewFingerprint("", *hash))
	}
	if s.stop != nil && now >= s.stop.RefuseFrom() {
		s.refuse(now, r, leavingRefusal(), out)
		return
	}
	if e.MinDeclaration() != nil && s.declarationNumber() < *e.MinDeclaration() {
		s.refuse(now, r, dheffect.NewRefusal(dheffect.RefuseConfigurationStale, false, shortRetryAfter), out)
		return
	}
	route, found := s.view.Catalog().RouteFor(e.Host(), e.Path())
	if !found {
		s.refuse(now, r, s.configurationRefusal(now, dheffect.RefuseNoRoute), out)
		return
	}
	r.route = route
	r.service = s.serviceFor(route)
	r.deadline = now + route.Timeout()
	if e.Timeout() > 0 {
		r.deadline = min(r.deadline, now+e.Timeout())
	}
	if !s.canFinish(r) {
		s.refuse(now, r, leavingRefusal(), out)
		return
	}
	r.setQueueDeadline(now)
	s.requests[r.id] = r
	if refusal, ok := s.admit(now, r, e); !ok {
		s.refuse(now, r, refusal, out)
		return
	}
	switch {
	case e.CallerLeft():
		s.end(now, r, dheffect.CallerGone, 0, out)
	case r.fromPeer:
		s.acquireSlot(now, r, out)
	default:
		s.acquireToken(now, r, out)
	}
}

// admit sets the organisation of a request and its claim key. It returns false and a refusal
// if the caller's key is not valid, the request is quarantined or its idempotency key is
// missing. A peer that forwards a request has checked all this already.
func (s *State) admit(now dhclock.Millis, r *request, e *dhevent.RequestReceived) (dheffect.Refusal, bool) {
	if r.fromPeer {
		r.setOrganisation(e.Organisation())
		return dheffect.Refusal{}, true
	}
	if refusal, ok := s.authenticate(now, r, e.APIKeyHash()); !ok {
		return refusal, false
	}
	if remaining := s.quarantine(now, r); remaining > 0 {
		return dheffect.NewRefusal(dheffect.RefuseQuarantined, false, remaining), false
	}
	return s.setClaimKey(now, r, e)
}

// declarationNumber returns the number of the declaration in force here; 0 for none.
func (s *State) declarationNumber() uint64 {
	d, _ := s.view.Catalog().Declaration()
	return d.Number()
}

// configurationRefusal returns the refusal of a request that the configuration doesn't allow. An
// instance that may lack an accepted change reports stale configuration instead, because a newer
// version may allow the request.
func (s *State) configurationRefusal(now dhclock.Millis, kind dheffect.RefusalKind) dheffect.Refusal {
	switch {
	case !s.view.Fresh(now, 0):
		return dheffect.NewRefusal(dheffect.RefuseConfigurationStale, false, longRetryAfter)
	case s.changeBound > 0 && now >= s.view.ConfirmedAt()+s.changeBound-transferAllowance:
		return dheffect.NewRefusal(dheffect.RefuseConfigurationStale, false, shortRetryAfter)
	}
	return dheffect.NewRefusal(kind, false, 0)
}

// authenticate sets the organisation that a request's key belongs to and its
// weight. It returns false and a refusal if the key is missing, unknown or can't
// be checked.
func (s *State) authenticate(now dhclock.Millis, r *request, hash dhcatalog.Hash) (dheffect.Refusal, bool) {
	if r.route.Open() {
		return dheffect.Refusal{}, true
	}
	if hash == (dhcatalog.Hash{}) {
		return s.configurationRefusal(now, dheffect.RefuseKeyMissing), false
	}
	r.key = hash
	if refusal, ok := s.checkKey(now, r); !ok {
		return refusal, false
	}
	key, _ := s.view.Catalog().KeyByHash(hash)
	organisation, _ := s.view.Catalog().Organisation(key.Organisation())
	r.setOrganisation(organisation.Name())
	r.weight = organisation.Weight()
	return dheffect.Refusal{}, true
}

// checkKey reports whether a request's key is valid now, and a refusal if not.
// Once the freshness lease has expired the key may have been revoked, so the
// request is refused unless the organisation's grace extends the lease.
func (s *State) checkKey(now dhclock.Millis, r *request) (dheffect.Refusal, bool) {
	if r.route.Open() || r.fromPeer {
		return dheffect.Refusal{}, true
	}
	key, found := s.view.Catalog().KeyByHash(r.key)
	organisation, _ := s.view.Catalog().Organisation(key.Organisation())
	if !s.view.Fresh(now, organisation.StaleGrace()) {
		return dheffect.NewRefusal(dheffect.RefuseConfigurationStale, false, longRetryAfter), false
	}
	if !found {
		return s.configurationRefusal(now, dheffect.RefuseKeyUnknown), false
	}
	return dheffect.Refusal{}, true
}

// setClaimKey sets the claim key and the digest of a request on a route that
// requires a claim. It returns false and a refusal if the caller sent no
// idempotency key.
func (s *State) setClaimKey(now dhclock.Millis, r *request, e *dhevent.RequestReceived) (dheffect.Refusal, bool) {
	if !r.route.ClaimRequired() {
		return dheffect.Refusal{}, true
	}
	if e.IdempotencyKey() == "" {
		return s.configurationRefusal(now, dheffect.RefuseIdempotencyKeyMissing), false
	}
	key := dhmessage.NewClaimKey(r.organisation, e.IdempotencyKey())
	r.claimKey = &key
	r.digest = e.Digest()
	return dheffect.Refusal{}, true
}

// HandleCancellation ends a waiting request whose caller has disconnected. A
// running request ends with its attempt.
func (s *State) HandleCancellation(e *dhevent.RequestCancelled, out *dheffect.List) {
	r, found := s.requests[e.RequestID()]
	if !found || r.phase == running {
		return
	}
	s.dequeue(r)
	if r.claimGranted || r.phase == waitingForClaim {
		s.proposeClaimOutcome(e.At(), r, dhmessage.ClaimReleased, nil, out)
	}
	s.end(e.At(), r, dheffect.CallerGone, 0, out)
}

// dequeue removes a request from the queue that it waits in.
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
