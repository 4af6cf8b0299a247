package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// configBound is the time after which an accepted change must be in force at instances in touch.
const configBound dhclock.Millis = 2500

// cutOffParentTest changes the configuration of a cluster of instances and six control processes,
// of which some are killed and others are cut off from the rest, but not from the instances.
type cutOffParentTest struct {
	*network
	instances []*machine
	cutOff    map[string]bool
	changes   map[uint64]bool // correlation IDs of changes without a reply
	accepted  []acceptedVersion
	nextEdit  bool
}

type acceptedVersion struct {
	version uint64
	at      dhclock.Millis
}

func newCutOffParentTest(t fatalReporter) *cutOffParentTest {
	zones := []string{"a1", "b1", "c1", "a2", "b2", "c2"}
	c := &cutOffParentTest{network: newReplacementNetwork(t, 6, zones...), cutOff: map[string]bool{}, changes: map[uint64]bool{}}
	for _, z := range zones {
		for i := range 3 {
			m := &machine{name: fmt.Sprint(z, "-", i+1), zone: z, offset: dhclock.Millis(500_000 + i*104_729)}
			c.machines, c.instances = append(c.machines, m), append(c.instances, m)
			c.start(m)
		}
	}
	c.linkDelay = func(from *machine, to string, _ dhmessage.Message) dhclock.Millis {
		if target := c.find(to); from.disk != nil && target.disk != nil && c.cutOff[from.name] != c.cutOff[to] {
			return 1 << 40
		}
		return 0
	}
	c.run(8000)
	return c
}

// runChanges proposes a change at the leader each interval.
func (c *cutOffParentTest) runChanges(span, interval dhclock.Millis) {
	for end := c.now + span; c.now < end; {
		if l := c.leader(); l != nil && !c.cutOff[l.name] {
			c.nextEdit = !c.nextEdit
			c.changes[c.propose(l, orderEdit(c.nextEdit))] = true
		}
		for next := c.now + interval; c.now < min(next, end); {
			c.run(20)
			c.recordAccepted()
		}
	}
}

func (c *cutOffParentTest) recordAccepted() {
	for id := range c.changes {
		r, replied := c.replies[id]
		if !replied {
			continue
		}
		delete(c.changes, id)
		if isAccepted(r) {
			c.accepted = append(c.accepted, acceptedVersion{version: r.Version(), at: c.now})
		}
	}
}

// requireNews requires that each instance has what was accepted more than configBound ago, and
// knows that it can have newer confirmations.
func (c *cutOffParentTest) requireNews(when string) {
	for _, m := range c.instances {
		for _, a := range c.accepted {
			if a.at+configBound < c.now && m.view.Catalog().Version() < a.version {
				c.t.Fatalf("%s: %s has version %d, and %d was accepted %d ms ago", when, m.name, m.view.Catalog().Version(), a.version, c.now-a.at)
			}
		}
		if m.view.IsDetached() {
			age, _ := m.view.Age(c.clock(m))
			c.t.Fatalf("%s: %s goes on with a configuration that was confirmed %d ms ago", when, m.name, age)
		}
	}
}

// TestInstancesFollowACutOffControlProcess kills a control process, and cuts off another one once the
// members that remain have another vote. The instances in its zone must follow the others within
// contactTime.
func TestInstancesFollowACutOffControlProcess(t *testing.T) {
	for _, gap := range []dhclock.Millis{0, 850, 1600, 2400, 4000} {
		for cut := 1; cut < 6; cut++ {
			c := newCutOffParentTest(t)
			lost := c.controls()[(cut+2)%6]
			c.stop(lost)
			c.runChanges(gap, 60)
			c.cutOff[c.find(fmt.Sprintf("c%d", cut+1)).name] = true
			c.runChanges(contactTime, 60)
			for range 50 {
				c.runChanges(100, 60)
				c.requireNews(fmt.Sprintf("c%d cut off %d ms after the end of %s", cut+1, gap, lost.name))
			}
		}
	}
}

// TestInstancesInTouchFollowTheMajority draws which control processes are killed, replaced and cut
// off, and when.
func TestInstancesInTouchFollowTheMajority(t *testing.T) {
	limitChecks(t, 25)
	rapid.Check(t, func(t *rapid.T) {
		c := newCutOffParentTest(t)
		controls := rapid.Permutation(c.controls()).Draw(t, "controls")
		c.messageDelay = rapid.SampledFrom([]dhclock.Millis{20, 100}).Draw(t, "messageDelay")
		interval := rapid.SampledFrom([]dhclock.Millis{60, 300, 2000}).Draw(t, "interval")
		events := rapid.Permutation([]string{"cut", rapid.SampledFrom([]string{"cut", "kill", "restart", "none"}).Draw(t, "other")}).Draw(t, "events")
		for i, e := range events {
			m := controls[i]
			switch e {
			case "cut":
				c.cutOff[m.name] = true
			case "kill":
				c.stop(m)
				if rapid.Bool().Draw(t, "isReplaced") {
					c.startSuccessor(m)
				}
			case "restart":
				c.stop(m)
				c.runChanges(dhclock.Millis(rapid.IntRange(20, 3000).Draw(t, "down")), interval)
				c.start(m)
			}
			c.runChanges(dhclock.Millis(rapid.IntRange(0, 5000).Draw(t, "gap")), interval)
		}
		if rapid.Bool().Draw(t, "instancesRestart") {
			for _, m := range c.instances {
				if m.zone == controls[0].zone {
					c.start(m)
				}
			}
		}
		c.runChanges(contactTime, interval)
		for range 40 {
			c.runChanges(100, interval)
			c.requireNews(fmt.Sprint(events, " of ", namesOf(controls[:2])))
		}
		c.cutOff = map[string]bool{}
		c.runChanges(contactTime+configBound, interval)
		c.requireNews("after the cut")
		if i := slices.IndexFunc(c.instances, func(m *machine) bool { return len(m.view.Unavailable()) > 0 }); i >= 0 {
			t.Fatalf("%s takes %v for unavailable", c.instances[i].name, c.instances[i].view.Unavailable())
		}
	})
}
