package dhreducer

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// TestUpstreamOfAProcessWithoutALinkToTheLeaderIsRemoved lets an upstream send its heartbeats to a
// control process whose link with the leader alone is cut, in one way or both. Its record must be kept,
// and its departure acknowledged.
func TestUpstreamOfAProcessWithoutALinkToTheLeaderIsRemoved(t *testing.T) {
	t.Parallel()
	for _, way := range []struct {
		name           string
		isTo, isBackTo bool
	}{{"messages of the leader", false, true}, {"messages to the leader", true, false}, {"both", true, true}} {
		n := newLostInstanceNetwork(t)
		service := dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s", HealthPath: "/health"})
		n.propose(n.leader(), dhmessage.NewEdit("test", []dhcatalog.Object{service}, nil))
		n.run(500)
		lead, voters := n.leaderAndVoters()
		target, record := voters[0], upstreamRecord("u", dhcatalog.UpstreamReady)
		n.referableHeartbeat(target, record)
		n.run(1000)
		if way.isTo {
			n.cutLink(target, lead)
		}
		if way.isBackTo {
			n.cutLink(lead, target)
		}
		acknowledged := 0
		for end := n.now + 20*dhclock.Second; n.now < end; n.run(1500) {
			if n.referableHeartbeat(target, record) {
				acknowledged++
			}
		}
		if lead.view.Catalog().Get(dhcatalog.NewUpstream(record).Ref()) == nil {
			t.Errorf("%s cut: the leader has no record of an upstream with %d acknowledged heartbeats", way.name, acknowledged)
		}
		record.State = dhcatalog.UpstreamDraining
		if !n.referableHeartbeat(target, record) {
			t.Errorf("%s cut: a drain isn't acknowledged", way.name)
		}
	}
}
