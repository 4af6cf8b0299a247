package dhtraffic

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// recordOf returns the record of a request that has ended, or nil.
func recordOf(list []dheffect.Effect) *dheffect.RecordRequest {
	for _, e := range list {
		if r, ok := e.(*dheffect.RecordRequest); ok {
			return r
		}
	}
	return nil
}

// TestRefusalHidesThatOwnerIsSilent refuses a request for which the owner sends no token, after one
// that it answered. The record must tell how long the owner has been silent.
func TestRefusalHidesThatOwnerIsSilent(t *testing.T) {
	s := newLimitedState(t)
	const start = 10 * dhclock.Second
	var out dheffect.List
	s.HandleGrants(dhevent.NewGrantsReceived(start-300, dhevent.GrantsReceivedOptions{
		OwnerTerm: 1, RequestSentAt: start - 350, TTL: 600, Grants: []dhmessage.TokenGrant{dhmessage.NewTokenGrant("o", 0, 0, false)},
	}), &out)
	s.HandleRequest(dhevent.NewRequestReceived(start, dhevent.RequestReceivedOptions{RequestID: 1, Path: "/x", APIKeyHash: dhcatalog.Hash{1}}), &out)
	for now := start; recordOf(out.Items()) == nil && now < start+1000; now += 10 {
		s.Tick(now, &out)
	}
	r := recordOf(out.Items())
	if r == nil || r.RefusalKind() == "" {
		t.Fatalf("the request isn't refused: %+v", r)
	}
	if wait := r.TokenWait(); r.OwnerSilence() == nil || *r.OwnerSilence() != wait+300 {
		t.Errorf("the owner was silent for %v ms after a wait of %d ms, want 300 ms more", r.OwnerSilence(), wait)
	}
}

// TestRecordHidesAgeOfConfiguration has a request forwarded with a configuration that was
// confirmed 2 s before, and another with one that was confirmed 0.5 s before.
func TestRecordHidesAgeOfConfiguration(t *testing.T) {
	for _, c := range []struct{ age, want dhclock.Millis }{{2000, 2000}, {500, 0}} {
		s := newReachabilityTestWith(t, 1)
		now := s.view.ConfirmedAt() + c.age
		s.send(now, "/any/", false)
		var out dheffect.List
		s.HandleAttemptEnd(dhevent.NewAttemptEnded(now+5, dhevent.AttemptEndedOptions{
			RequestID: s.request, End: dhevent.EndAnswered, Status: 200, Latency: 5,
		}), &out)
		r := recordOf(out.Items())
		if r == nil || len(r.Attempts()) != 1 || r.Attempts()[0].ConfigAge() != c.want {
			t.Errorf("age %d ms: the record is %+v, want an attempt with age %d ms", c.age, r, c.want)
		}
	}
}
