package dhreducer

import (
	"strings"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
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
