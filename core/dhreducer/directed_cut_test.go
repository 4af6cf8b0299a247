package dhreducer

import (
	"slices"
	"strings"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// cutLink drops the messages from one machine to another one.
func (n *network) cutLink(from, to *machine) { n.cutLinks[link{from.name, to.name}] = true }

// TestLeaderThatHearsNobodyLeadsOn drops the messages of the other control processes to the leader
// for 30 s. Declarations must be accepted at the others meanwhile, and at the leader with referrals.
func TestLeaderThatHearsNobodyLeadsOn(t *testing.T) {
	t.Parallel()
	n := newReplacementNetwork(t, 6)
	lead, others := n.leader(), n.followers()
	for _, m := range others {
		n.cutLink(m, lead)
	}
	n.run(3 * dhclock.Second)
	for number := uint64(2); number < 11; number++ {
		n.run(3 * dhclock.Second)
		if problem := n.followOrder(others[int(number)%len(others)], number*2); problem != "" {
			t.Fatalf("declaration %d: %s; %s", number, problem, n.describeControl())
		}
		if problem := n.followOrder(lead, number*2+1); problem != "" {
			t.Fatalf("declaration %d at the old leader: %s; %s", number, problem, n.describeControl())
		}
	}
}

// TestOrderWaitsForALeaderThatIsNotHeard drops the leader's messages to each pair of the others, which
// hear a majority all the same. A declaration there must be accepted with referrals.
func TestOrderWaitsForALeaderThatIsNotHeard(t *testing.T) {
	t.Parallel()
	for i := range 5 {
		n := newReplacementNetwork(t, 6)
		lead, others := n.leader(), n.followers()
		pair := []*machine{others[i], others[(i+1)%len(others)]}
		for _, m := range pair {
			n.cutLink(lead, m)
		}
		n.run(3 * dhclock.Second)
		n.requireAcceptance(pair, 2*dhclock.Second, func() string { return "" })
	}
}

// TestLostFolderIsNamedNoMember drops the leader's messages to two seeds and another process, and lets
// one seed lose its disk. The other one doesn't know the leader, and has the lost folder in its list.
// It must name the members all the same, so that the empty process finds one that knows the leader.
func TestLostFolderIsNamedNoMember(t *testing.T) {
	t.Parallel()
	n := newReplacementNetwork(t, 6)
	lead, others := n.leader(), n.followers()
	if !slices.Contains(n.voters, lead.name) {
		t.Fatalf("%s leads, want one of the seeds %v", lead.name, n.voters)
	}
	for _, m := range []*machine{others[0], others[1], others[4]} {
		n.cutLink(lead, m)
	}
	n.run(dhclock.Second)
	n.wipe(others[0])
	n.run(3 * dhclock.Second)
	n.requireAcceptance(others[:1], 4*dhclock.Second, func() string { return "" })
}

// TestOrdersWaitAcrossALeaderThatGivesWay sends declarations to all control processes, and reads, just as
// the leader ceases to hear the others. Those of the others must be served within their timeouts. The
// leader must refer its caller, and answer its read as unconfirmed.
func TestOrdersWaitAcrossALeaderThatGivesWay(t *testing.T) {
	t.Parallel()
	n := newReplacementNetwork(t, 6)
	lead := n.leader()
	for _, m := range n.followers() {
		n.cutLink(m, lead)
	}
	n.run(100)
	const timeout = 5 * dhclock.Second
	orders, reads := map[*machine]uint64{}, map[*machine]uint64{}
	for i, m := range n.controls() {
		orders[m], reads[m] = n.lastCorrelationID+1, n.lastCorrelationID+2
		n.lastCorrelationID += 2
		n.handle(m, dhevent.NewProposalRequested(n.clock(m), dhevent.ProposalRequestedOptions{
			CorrelationID: orders[m], Command: declareCommand(uint64(i + 2)), Timeout: timeout, IsReferable: true,
		}))
		n.handle(m, dhevent.NewReadRequested(n.clock(m), dhevent.ReadRequestedOptions{CorrelationID: reads[m], Timeout: timeout}))
	}
	n.run(timeout)
	for m, id := range orders {
		order, ordered := n.replies[id]
		read, hasRead := n.replies[reads[m]]
		if isLost := m == lead; !ordered || !hasRead || order.OutcomeUnknown() != isLost || read.OutcomeUnknown() != isLost || isLost && order.Referral() == "" {
			t.Errorf("%s, led before: %v: order answered %v, unknown %v, refers to %q; read answered %v, unknown %v",
				m.name, isLost, ordered, order.OutcomeUnknown(), order.Referral(), hasRead, read.OutcomeUnknown())
		}
	}
}

// TestSlowLinksEndLeadership lets each message take up to 300 ms. No leader may give way.
func TestSlowLinksEndLeadership(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		n := newReplacementNetwork(t, 6)
		n.random += seed
		n.linkDelay = func(*machine, string, dhmessage.Message) dhclock.Millis { return dhclock.Millis(n.nextRandom() % 300) }
		n.recordLog = func(m *machine, e *dheffect.Log) {
			if strings.HasPrefix(e.Text(), "gives way") {
				t.Fatalf("seed %d: %s %s", seed, m.name, e.Text())
			}
		}
		n.run(30 * dhclock.Second)
	}
}
