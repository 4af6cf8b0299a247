package dhreducer

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// TestInstanceWithoutALinkToTheLeaderGetsNoClaim cuts the link of an instance with the leader alone, in
// one way or both. Look-ups name the instance, so the claims of its requests must be answered.
func TestInstanceWithoutALinkToTheLeaderGetsNoClaim(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"from the leader", "to the leader", "both"} {
		n := newLostInstanceNetwork(t)
		lead, cut := n.leader(), n.find("a1-2")
		answered := 0
		n.postToTraffic = func(_ *machine, e dhevent.Event) {
			if r, ok := e.(*dhevent.ClaimResultReceived); ok && isAccepted(r.Result()) {
				answered++
			}
		}
		if way != "from the leader" {
			n.cutLink(cut, lead)
		}
		if way != "to the leader" {
			n.cutLink(lead, cut)
		}
		n.run(lostInstanceLimit)
		for i := range uint64(5) {
			n.propose(cut, dhmessage.NewClaim(dhmessage.ClaimOptions{
				Key: dhmessage.NewClaimKey("org", fmt.Sprint("key-", i)), Claimant: dhmessage.NewClaimant(cut.name, 1, i), Timeout: 3000, Retention: 60_000,
			}))
			n.run(5000)
		}
		if isNamed := !lead.view.IsUnavailable(cut.name); isNamed && answered < 5 {
			t.Errorf("messages %s cut: look-ups name %s, which gets %d of 5 claims", way, cut.name, answered)
		}
	}
}
