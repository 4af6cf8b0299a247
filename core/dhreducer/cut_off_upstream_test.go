package dhreducer

import (
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// referableHeartbeat sends the heartbeat of an upstream that follows referrals to a machine, and
// reports whether it was acknowledged.
func (n *network) referableHeartbeat(m *machine, record dhcatalog.UpstreamOptions) bool {
	for referrals := 0; m != nil; referrals++ {
		n.lastCorrelationID++
		id := n.lastCorrelationID
		n.handle(m, dhevent.NewUpstreamHeartbeatReceived(n.clock(m), dhevent.UpstreamHeartbeatReceivedOptions{
			CorrelationID: id, Upstream: dhcatalog.NewUpstream(record), IsReferable: referrals < maxReferrals,
		}))
		for waited := dhclock.Millis(0); waited < orderTimeout; waited += 20 {
			if _, answered := n.replies[id]; answered {
				break
			}
			n.run(20)
		}
		r, answered := n.replies[id]
		if answered && r.Referral() == "" {
			return r.Err() == nil && !r.OutcomeUnknown()
		}
		m = n.find(r.Referral())
	}
	return false
}

// TestUpstreamOfACutOffProcessIsRemoved lets an upstream send its heartbeats to a control process
// that is cut off from the others. Its record must be kept, and its departure acknowledged.
func TestUpstreamOfACutOffProcessIsRemoved(t *testing.T) {
	const heartbeatInterval, cutTime = 1500, 20 * dhclock.Second
	for _, cut := range [][]int{{1}, {0, 1}, {3, 4}, {0, 2, 5}} {
		n := newManagedNetwork(t, 6, "a1-1")
		n.run(4000)
		service := dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s", HealthPath: "/health"})
		n.propose(n.leader(), dhmessage.NewEdit("test", []dhcatalog.Object{service}, nil))
		n.run(500)
		leader, cutOff := n.cutOff(cut)
		record := upstreamRecord("u", dhcatalog.UpstreamReady)
		target := cutOff[len(cutOff)-1]
		for end := n.now + cutTime; n.now < end; n.run(heartbeatInterval) {
			n.referableHeartbeat(target, record)
			if end-n.now > cutTime-5*dhclock.Second {
				continue
			}
			if leader.view.Catalog().Get(dhcatalog.NewUpstream(record).Ref()) == nil {
				t.Errorf("%v cut off: the leader has no record of an upstream that sends heartbeats to %s", cut, target.name)
				break
			}
		}
		record.State = dhcatalog.UpstreamDraining
		if !n.referableHeartbeat(target, record) {
			t.Errorf("%v cut off: a drain that is sent to %s isn't acknowledged", cut, target.name)
		}
	}
}
