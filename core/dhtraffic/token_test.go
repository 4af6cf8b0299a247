package dhtraffic

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// newLimitedState returns the state of an instance whose floor is too small to
// hold a token, so that each request needs one from the owner.
func newLimitedState(t *testing.T) *State {
	t.Helper()
	return newTestState(t, 1<<40,
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "a1-1", Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}),
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"}),
		dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "o", Organisation: "o", Hash: dhcatalog.Hash{1}}),
		dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "o", Organisation: "o", Rate: 5, Burst: 5}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/", Service: "s", Idempotent: true, Timeout: 1000, Objective: 1000}),
		dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{Name: "u", Service: "s", Address: "10.0.0.3:1", Zone: "a1", Slots: 4, Incarnation: 1}),
	)
}

// outcomeOf returns the refusal kind or "forwarded" if the effects end a
// request's wait, and "" if the request still waits.
func outcomeOf(list []dheffect.Effect) string {
	for _, e := range list {
		switch e := e.(type) {
		case *dheffect.Refuse:
			return string(e.Refusal().Kind())
		case *dheffect.ForwardToUpstream:
			return "forwarded"
		}
	}
	return ""
}

// TestTokenFromDistantOwner has an owner that responds after 140 ms, which is
// longer than the route's queue wait of 100 ms. The request must wait for the
// response, and be refused at the grant timeout if there is none.
func TestTokenFromDistantOwner(t *testing.T) {
	cases := []struct {
		name string
		// response is the time until the owner responds in ms, -1 for never.
		response dhclock.Millis
		grant    dhmessage.TokenGrant
		want     string
		at       dhclock.Millis
	}{
		{"token granted", 140, dhmessage.NewTokenGrant("o", dhmessage.Token, dhmessage.Token, false), "forwarded", 140},
		{"owner has a shortfall", 140, dhmessage.NewTokenGrant("o", 0, 0, true), string(dheffect.RefuseOverLimit), 140},
		{"no response", -1, dhmessage.TokenGrant{}, string(dheffect.RefuseLimitUnconfirmed), grantTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newLimitedState(t)
			const start = 10 * dhclock.Second
			for now := start; now <= start+1000; now += 10 {
				var out dheffect.List
				if now == start {
					s.HandleRequest(dhevent.NewRequestReceived(now, dhevent.RequestReceivedOptions{RequestID: 1, Path: "/x", APIKeyHash: dhcatalog.Hash{1}}), &out)
				}
				if c.response >= 0 && now == start+c.response {
					s.HandleGrants(dhevent.NewGrantsReceived(now, dhevent.GrantsReceivedOptions{
						OwnerTerm: 1, RequestSentAt: start, TTL: 600, Grants: []dhmessage.TokenGrant{c.grant},
					}), &out)
				}
				s.Tick(now, &out)
				if got := outcomeOf(out.Items()); got != "" {
					if got != c.want || now != start+c.at {
						t.Errorf("%s after %d ms, want %s after %d ms", got, now-start, c.want, c.at)
					}
					return
				}
			}
			t.Error("the request still waits after 1 s")
		})
	}
}

// TestCallersThatLeftSpendTheTokensOfOthers has 20 callers leave before their requests are read,
// and then a request of a caller that waits. The organisation's floor holds ten tokens, so it must
// be forwarded.
func TestCallersThatLeftSpendTheTokensOfOthers(t *testing.T) {
	s := newTestState(t, 1<<40,
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "a1-1", Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}),
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"}),
		dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "o", Organisation: "o", Hash: dhcatalog.Hash{1}}),
		dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "o", Organisation: "o", Rate: 10, Burst: 10, FloorPercent: 100}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/", Service: "s", Idempotent: true, Timeout: 1000, Objective: 1000}),
		dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{Name: "u", Service: "s", Address: "10.0.0.3:1", Zone: "a1", Slots: 4, Incarnation: 1}),
	)
	send := func(id uint64, callerLeft bool) string {
		var out dheffect.List
		s.HandleRequest(dhevent.NewRequestReceived(5000, dhevent.RequestReceivedOptions{
			RequestID: id, Path: "/", APIKeyHash: dhcatalog.Hash{1}, CallerLeft: callerLeft,
		}), &out)
		return outcomeOf(out.Items())
	}
	for id := range uint64(20) {
		if got := send(id+1, true); got != "" {
			t.Fatalf("a request of a caller that left is %s", got)
		}
	}
	if got := send(21, false); got != "forwarded" {
		t.Errorf("the request of a caller that waits: %q, want forwarded", got)
	}
	if got := s.OpenRequests(); got != 1 {
		t.Errorf("%d requests are open, want 1", got)
	}
}

// TestSpentTokensTakeCallsOfTheirOwn sends 15 requests a second to one of 273 instances, each of
// another one of 60 organisations, whose owner grants a token after 80 ms. The instance may make one call for
// each request, and four a second for the reports of spent tokens.
func TestSpentTokensTakeCallsOfTheirOwn(t *testing.T) {
	const organisations, gap, span = 60, 66 * dhclock.Millis(1), 8 * dhclock.Second
	objects := []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "a1-1", Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s"}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "r", PathPrefix: "/", Service: "s", Idempotent: true, Timeout: 1000, Objective: 1000}),
		dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{Name: "u", Service: "s", Address: "10.0.0.3:1", Zone: "a1", Slots: 400, Incarnation: 1}),
	}
	for i := range 272 {
		objects = append(objects, dhcatalog.NewInstance(dhcatalog.InstanceOptions{
			Name: fmt.Sprint("a1-", i+2), Zone: "a1", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2",
		}))
	}
	for i := range organisations {
		name := fmt.Sprint("o", i)
		objects = append(objects, dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: name}),
			dhcatalog.NewKey(dhcatalog.KeyOptions{Name: name, Organisation: name, Hash: dhcatalog.Hash{byte(i), 1}}),
			dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: name, Organisation: name, Rate: 5, Burst: 5}))
	}
	s := newTestState(t, 1<<40, objects...)
	granted := map[string]dhmessage.Tokens{}
	type response struct {
		at    dhclock.Millis
		event *dhevent.GrantsReceived
	}
	var responses []response
	calls, forwarded, id := 0, 0, uint64(0)
	const start = 10 * dhclock.Second
	for now := start; now < start+span; now++ {
		var out dheffect.List
		for len(responses) > 0 && responses[0].at <= now {
			s.HandleGrants(responses[0].event, &out)
			responses = responses[1:]
		}
		if now.Since(start)%gap == 0 {
			id++
			s.HandleRequest(dhevent.NewRequestReceived(now, dhevent.RequestReceivedOptions{
				RequestID: id, Path: "/x", APIKeyHash: dhcatalog.Hash{byte(id % organisations), 1},
			}), &out)
		}
		if now%10 == 0 {
			s.Tick(now, &out)
		}
		for _, e := range out.Items() {
			switch e := e.(type) {
			case *dheffect.ForwardToUpstream:
				forwarded++
			case *dheffect.PostToControl:
				calls++
				var grants []dhmessage.TokenGrant
				for _, d := range e.Event().(*dhevent.GrantsRequested).Demands() {
					if d.Amount() > 0 {
						granted[d.Organisation()] += d.Amount()
						grants = append(grants, dhmessage.NewTokenGrant(d.Organisation(), d.Amount(), granted[d.Organisation()], false))
					}
				}
				responses = append(responses, response{now + 80, dhevent.NewGrantsReceived(now+80, dhevent.GrantsReceivedOptions{
					OwnerTerm: 1, RequestSentAt: now, TTL: 600, Grants: grants,
				})})
			}
		}
	}
	if want := int(span / gap); forwarded < want-2 {
		t.Errorf("%d of %d requests were forwarded", forwarded, want)
	}
	if most := int(span/gap) + 4*int(span/dhclock.Second); calls > most {
		t.Errorf("%d calls for %d requests in %d ms, want at most %d", calls, id, span, most)
	}
}
