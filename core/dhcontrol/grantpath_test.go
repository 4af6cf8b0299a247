package dhcontrol

import (
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// TestGrantPathLeavesUnresponsiveMembers asks the members of the consensus group for tokens.
// A process that doesn't respond must be replaced by the next one, and the first must be
// asked again later.
func TestGrantPathLeavesUnresponsiveMembers(t *testing.T) {
	var p grantPath
	near := []string{"c1", "c2", "c9"}
	expect := func(step string, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q is asked, want %q", step, got, want)
		}
	}
	expect("at first", p.next(1000, near, "c9"), "c1")
	p.recordRequest(1000)
	expect("while a response is outstanding", p.next(1200, near, "c9"), "c1")
	p.recordResponse()
	expect("after a response", p.next(2000, near, "c9"), "c1")
	p.recordRequest(2000)
	expect("after a time-out", p.next(2301, near, "c9"), "c2")
	p.recordRequest(2301)
	expect("after a second time-out", p.next(2602, near, "c9"), "c9")
	p.recordRequest(2602)
	p.recordResponse()
	expect("after a response of the third", p.next(9000, near, "c9"), "c9")
	expect("10 s later", p.next(12_603, near, "c9"), "c1")
	expect("without members", p.next(12_700, nil, "c9"), "c9")
}

// TestRelayedRequestsShareCalls passes on a request each millisecond. The first must leave at
// once and the others together, once in an interval; without a leader none may be kept.
func TestRelayedRequestsShareCalls(t *testing.T) {
	var r grantRelay
	request := dhmessage.NewHolderRequest("i1", dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{}))
	var calls []int
	for now := dhclock.Millis(1000); now < 1000+2*grantRelayInterval; now++ {
		var out dheffect.List
		r.add(request)
		r.flush(now, "c1", 5, &out)
		r.recordResponse("c1")
		for _, e := range out.Items() {
			calls = append(calls, len(e.(*dheffect.Send).Message().(*dhmessage.RelayedGrantRequests).List()))
		}
	}
	if want := []int{1, int(grantRelayInterval)}; !slices.Equal(calls, want) {
		t.Errorf("the calls carry %v requests, want %v", calls, want)
	}
	for range 2 * maxRelayedRequests {
		r.add(request)
	}
	if len(r.waiting) != maxRelayedRequests {
		t.Errorf("%d requests wait, want at most %d", len(r.waiting), maxRelayedRequests)
	}
	var out dheffect.List
	r.flush(2000, "", 5, &out)
	if len(out.Items()) > 0 || len(r.waiting) > 0 {
		t.Errorf("without a leader %d requests are sent and %d wait, want none", len(out.Items()), len(r.waiting))
	}
}

// relayedCalls passes on a request each millisecond for 3 s in a group with a number of members,
// whose leader responds after a time, and returns the calls in a second.
func relayedCalls(members int, responseTime dhclock.Millis) int {
	var r grantRelay
	request := dhmessage.NewHolderRequest("i1", dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{}))
	calls := 0
	var responses []dhclock.Millis
	for now := dhclock.Millis(1000); now < 4000; now++ {
		for len(responses) > 0 && responses[0] <= now {
			responses = responses[1:]
			r.recordResponse("c1")
		}
		var out dheffect.List
		r.add(request)
		r.flush(now, "c1", members, &out)
		if n := len(out.Items()); n > 0 {
			calls += n
			responses = append(responses, now+responseTime)
		}
	}
	return calls / 3
}

// TestTokenRequestsSaturateTheLeader has 26 members pass requests on to a leader whose time allows
// some 1,500 calls a second for all that it does. Token requests may take a quarter of them, and a
// leader that responds late must get fewer.
func TestTokenRequestsSaturateTheLeader(t *testing.T) {
	const members, maxCalls = 27, 375
	if got := (members - 1) * relayedCalls(members, 42); got > maxCalls {
		t.Errorf("a leader that responds after 42 ms gets %d calls a second, want at most %d", got, maxCalls)
	}
	if got := (members - 1) * relayedCalls(members, 250); got > maxCalls/2 {
		t.Errorf("a leader that responds after 250 ms gets %d calls a second, want at most %d", got, maxCalls/2)
	}
}

// TestTokenRequestWaitsForAnotherOnesWay passes requests on in a group of nine, whose leader is 110 ms
// away and back. A request may wait for the interval, but not until the response to an earlier one
// is there: it gets its own 110 ms later, and waits 200 ms at most.
func TestTokenRequestWaitsForAnotherOnesWay(t *testing.T) {
	if got := relayedCalls(9, 110); got < int(dhclock.Second/grantRelayInterval) {
		t.Errorf("%d calls a second, want one in each %d ms", got, grantRelayInterval)
	}
}
