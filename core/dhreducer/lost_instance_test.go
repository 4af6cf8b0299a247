package dhreducer

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhclock"
)

// lostInstanceLimit is how long after the loss of an instance look-ups may still return it.
const lostInstanceLimit = 6 * dhclock.Second

// newLostInstanceNetwork returns a managed cluster of six control processes and six entry
// instances, two in each of three zones, in which every instance is known everywhere.
func newLostInstanceNetwork(t fatalReporter) *network {
	n := newManagedNetwork(t, 6, "a1-1", "a1-2", "b1-1", "b1-2")
	n.messageDelay = 20
	n.run(10_000)
	return n
}

// requireUnavailable fails unless look-ups at every running control process that has run for
// contact leave out an instance, and only that one.
func (n *network) requireUnavailable(name, when string, skip *machine) {
	for _, m := range n.controls() {
		if m == skip {
			continue
		}
		if !m.view.IsUnavailable(name) {
			n.t.Fatalf("%s: %s still names %s", when, m.name, name)
		}
		n.requireAvailable(m, name, when)
	}
}

// requireAvailable fails if look-ups at a process leave out another instance than the lost one.
func (n *network) requireAvailable(m *machine, lost, when string) {
	for _, u := range m.view.Unavailable() {
		if u.Instance() != lost {
			n.t.Fatalf("%s: %s leaves out %s, which runs", when, m.name, u.Instance())
		}
	}
}

// TestLostInstanceIsNamedAfterAChangeOfLeader loses an instance and kills the leader at each
// of many times around the loss. Look-ups must leave out the instance in time, and no other.
func TestLostInstanceIsNamedAfterAChangeOfLeader(t *testing.T) {
	for at := dhclock.Millis(-600); at <= 5000; at += 200 {
		n := newLostInstanceNetwork(t)
		lost, lead := n.find("a1-2"), n.leader()
		loss := n.now + 600
		n.run(600 + min(at, 0))
		if at >= 0 {
			n.stop(lost)
			n.run(at)
		}
		n.stop(lead)
		if at < 0 {
			n.run(-at)
			n.stop(lost)
		}
		n.run(500)
		n.start(lead)
		n.run(max(0, loss+lostInstanceLimit-n.now))
		n.requireUnavailable(lost.name, fmt.Sprintf("leader killed %d ms after the loss", at), lead)
	}
}

// TestLostInstanceIsNamedAfterTwoChangesOfLeader kills the leader and, while it counts as
// lost, its successor.
func TestLostInstanceIsNamedAfterTwoChangesOfLeader(t *testing.T) {
	for first := dhclock.Millis(0); first <= 1500; first += 300 {
		for gap := dhclock.Millis(1200); gap <= 3000; gap += 300 {
			n := newLostInstanceNetwork(t)
			lost := n.find("b1-1")
			loss := n.now
			n.stop(lost)
			n.run(first)
			for range 2 {
				if lead := n.leader(); lead != nil {
					n.stop(lead)
					n.run(300)
					n.start(lead)
				}
				n.run(gap - 300)
			}
			n.run(max(0, loss+lostInstanceLimit-n.now))
			n.requireUnavailable(lost.name, fmt.Sprintf("leaders killed %d ms after the loss and %d ms later", first, gap), nil)
		}
	}
}

// TestLostInstanceIsNamedAfterARestartOfTheCore kills all control processes at once and loses
// an instance shortly before. The control processes count as in touch 3 s after their return.
func TestLostInstanceIsNamedAfterARestartOfTheCore(t *testing.T) {
	const down, outOfTouch = dhclock.Second, 3 * dhclock.Second
	for at := dhclock.Millis(0); at <= 3000; at += 300 {
		n := newLostInstanceNetwork(t)
		lost := n.find("a1-1")
		loss := n.now
		n.stop(lost)
		n.run(at)
		for _, m := range n.machines[:6] {
			n.stop(m)
		}
		n.run(down)
		back := n.now
		for _, m := range n.machines[:6] {
			n.start(m)
		}
		n.run(max(loss+lostInstanceLimit, back+outOfTouch) - n.now)
		n.requireUnavailable(lost.name, fmt.Sprintf("the core killed %d ms after the loss", at), nil)
	}
}

// TestAckThatIsPassedOnMakesAnInstanceLookPresent loses an instance whose acknowledgements reach
// the leader through other processes. Each of them passes on the last one for a while, which
// mustn't count as contact.
func TestAckThatIsPassedOnMakesAnInstanceLookPresent(t *testing.T) {
	n := newLostInstanceNetwork(t)
	lost := n.find("a1-2")
	n.stop(lost)
	n.run(4000)
	n.requireUnavailable(lost.name, "4 s after the loss", nil)
}

// TestLostInstanceIsNamedAfterManyChangesOfLeader loses an instance and kills two or three
// leaders at drawn times, each back soon, so that processes that have just restarted lead or
// answer as if they led. Look-ups must leave out the instance in time and keep to it over two
// more changes of leader, and leave out no other at any time.
func TestLostInstanceIsNamedAfterManyChangesOfLeader(t *testing.T) {
	for seed := range uint64(60) {
		n := newLostInstanceNetwork(t)
		n.random = seed
		draw := func(least, limit uint64) dhclock.Millis { return dhclock.Millis(least + n.nextRandom()%(limit-least)) }
		n.run(draw(3000, 4000))
		lost, loss := n.find([]string{"a1-1", "a1-2", "b1-1", "b1-2"}[seed%4]), n.now
		n.stop(lost)
		when := fmt.Sprint("seed ", seed)
		var killed *machine
		killLeader := func() {
			if lead := n.leader(); lead != nil {
				when += fmt.Sprintf(", leader %s killed %d ms after the loss", lead.name, n.now-loss)
				killed = lead
				n.stop(lead)
				n.runAvailable(draw(100, 700), lost.name, &when)
				n.start(lead)
			}
		}
		n.runAvailable(draw(20, 1500), lost.name, &when)
		for range 2 + seed%2 {
			killLeader()
			n.runAvailable(min(draw(100, 2500), max(20, loss+3500-n.now)), lost.name, &when)
		}
		n.runAvailable(max(0, loss+lostInstanceLimit-n.now), lost.name, &when)
		n.requireUnavailable(lost.name, when, killed)
		for range 2 {
			n.runAvailable(3000, lost.name, &when)
			n.requireUnavailable(lost.name, when, nil)
			killLeader()
			for end := n.now + draw(100, 2500); n.now < end; {
				n.run(20)
				n.requireUnavailable(lost.name, when, killed)
			}
		}
	}
}

// runAvailable advances the time and fails once look-ups at a running control process leave
// out an instance other than the lost one.
func (n *network) runAvailable(span dhclock.Millis, lost string, when *string) {
	for end := n.now + span; n.now < end; {
		n.run(20)
		for _, m := range n.controls() {
			n.requireAvailable(m, lost, *when)
		}
	}
}
