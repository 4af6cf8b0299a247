package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhclock"
)

// lossSearch loses, restarts and replaces control processes within the limits that a deployment
// states: at most one region, one zone or two processes at a time count as lost, each until
// replacementTime after it or its successor has started.
type lossSearch struct {
	*network
	history     []string
	lost        map[*machine]dhclock.Millis // until when each counts as lost
	declaration uint64                      // the last one that was accepted
}

// whileDown marks a process that counts as lost until it or its successor starts.
const whileDown dhclock.Millis = 1 << 60

// newLossSearch returns a formed cluster with an equal number of control processes in each of
// three zones of three regions.
func newLossSearch(t fatalReporter, controlsPerZone int) *lossSearch {
	zones := []string{"a1", "b1", "c1", "a2", "b2", "c2", "a3", "b3", "c3"}
	return &lossSearch{
		network: newReplacementNetwork(t, len(zones)*controlsPerZone, zones...), lost: map[*machine]dhclock.Millis{}, declaration: 1,
	}
}

func (l *lossSearch) requireDeclaration() {
	l.declaration++
	l.network.requireDeclaration(l.declaration, fmt.Sprint(l.history))
}

// in returns the running processes whose zone begins with a prefix.
func (l *lossSearch) in(prefix string) []*machine {
	return slices.DeleteFunc(l.controls(), func(m *machine) bool { return m.zone[:len(prefix)] != prefix })
}

// lose kills processes and checks that the rest still accepts declarations.
func (l *lossSearch) lose(what string, list []*machine) {
	l.history = append(l.history, fmt.Sprintf("%s lost at %d", what, l.now))
	for _, m := range list {
		l.stop(m)
		l.lost[m] = whileDown
	}
	l.requireDeclaration()
}

// recover starts lost processes again: with their disks, or empty successors.
func (l *lossSearch) recover(list []*machine, how string) {
	l.history = append(l.history, fmt.Sprintf("%s at %d", how, l.now))
	for _, m := range list {
		if how == "successors" {
			l.startSuccessor(m)
		} else {
			l.start(m)
		}
		l.lost[m] = l.now + replacementTime
	}
}

// pass lets time pass and checks at each step that the votes bear each loss that is still allowed.
func (l *lossSearch) pass(span dhclock.Millis) {
	for end := l.now + span; l.now < end; {
		l.run(100)
		for m, until := range l.lost {
			if l.now > until {
				delete(l.lost, m)
			}
		}
		l.check()
	}
}

// check checks the votes that the leader knows against each allowed loss.
func (l *lossSearch) check() {
	lead := l.leader()
	if lead == nil {
		return
	}
	var voters []string
	for _, v := range l.status(lead).Members() {
		if !v.Learner() {
			voters = append(voters, v.Name())
		}
	}
	for _, name := range voters {
		for _, loss := range l.allowedLosses(l.find(name)) {
			left := 0
			for _, other := range voters {
				if m := l.find(other); m.state != nil && !loss(m) {
					left++
				}
			}
			if left <= len(voters)/2 {
				l.t.Fatalf("%v, at %d: the loss of a region, a zone or a pair with %s leaves %d of %v", l.history, l.now, name, left, voters)
			}
		}
	}
}

// allowedLosses returns the losses with a process that may happen now, as functions of whether a
// process is lost.
func (l *lossSearch) allowedLosses(first *machine) []func(*machine) bool {
	list := []func(*machine) bool{
		func(m *machine) bool { return m.zone[:1] == first.zone[:1] },
		func(m *machine) bool { return m.zone == first.zone },
	}
	for _, second := range l.controls() {
		list = append(list, func(m *machine) bool { return m == first || m == second })
	}
	return slices.DeleteFunc(list, func(loss func(*machine) bool) bool {
		for m := range l.lost {
			if !loss(m) {
				return true
			}
		}
		return false
	})
}

// drawTime draws a time between two bounds, in milliseconds.
func drawTime(t *rapid.T, low, high int, label string) dhclock.Millis {
	return dhclock.Millis(rapid.IntRange(low, high).Draw(t, label))
}

func drawPair(t *rapid.T, list []*machine) []*machine {
	i := rapid.IntRange(0, len(list)-1).Draw(t, "first")
	j := rapid.IntRange(0, len(list)-2).Draw(t, "second")
	if j >= i {
		j++
	}
	return []*machine{list[i], list[j]}
}

// step draws a loss and how it ends, or a planned replacement of two processes. Another planned
// replacement may happen during a loss.
func (l *lossSearch) step(t *rapid.T) {
	how := rapid.SampledFrom([]string{"disks back", "successors"}).Draw(t, "how")
	switch kind := rapid.SampledFrom([]string{"region", "zone", "pair", "one by one", "planned", "planned beside a zone"}).Draw(t, "kind"); kind {
	case "region", "zone":
		prefix := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "region")
		if kind == "zone" {
			prefix += rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "zone")
		}
		list := l.in(prefix)
		l.lose(prefix, list)
		l.pass(drawTime(t, 100, 40_000, "down"))
		l.recover(list, how)
	case "pair":
		list := drawPair(t, l.controls())
		l.lose("pair", list)
		l.pass(drawTime(t, 1000, 12_000, "down"))
		l.recover(list, how)
	case "one by one":
		list := drawPair(t, l.controls())
		l.lose("first", list[:1])
		l.pass(drawTime(t, 1000, 6000, "between"))
		l.lose("second", list[1:])
		l.pass(drawTime(t, 1000, 6000, "down"))
		l.recover(list[:1], how)
		l.pass(drawTime(t, 100, 3000, "later"))
		l.recover(list[1:], how)
	case "planned":
		l.replace(drawPair(t, l.controls()))
	case "planned beside a zone":
		prefix := rapid.SampledFrom([]string{"a1", "b2", "c3"}).Draw(t, "zone")
		list := l.in(prefix)
		others := slices.DeleteFunc(l.controls(), func(m *machine) bool { return m.zone == prefix })
		l.lose(prefix, list)
		l.replace(drawPair(t, others))
		l.recover(list, how)
		l.pass(drawTime(t, 100, 3000, "return"))
		l.replace(drawPair(t, slices.DeleteFunc(l.controls(), func(m *machine) bool { return m.zone == prefix })))
	}
	l.pass(replacementTime + 200)
}

// replace starts two successors and stops their predecessors once the successors count.
func (l *lossSearch) replace(pair []*machine) {
	l.history = append(l.history, fmt.Sprintf("%s replaced at %d", namesOf(pair), l.now))
	l.startSuccessors(pair)
	l.pass(replacementTime + 100)
	l.shutDown(pair...)
	l.requireDeclaration()
}

// TestVotesDontBearTheNextLoss draws sequences of losses, returns and replacements. At no point may
// the next allowed loss end the majority.
func TestVotesDontBearTheNextLoss(t *testing.T) {
	for _, test := range []struct{ controlsPerZone, checks int }{{1, 25}, {3, 4}} {
		t.Run(fmt.Sprint(9*test.controlsPerZone), func(t *testing.T) {
			limitChecks(t, test.checks)
			rapid.Check(t, func(t *rapid.T) {
				l := newLossSearch(t, test.controlsPerZone)
				for range rapid.IntRange(1, 5).Draw(t, "steps") {
					l.step(t)
				}
			})
		})
	}
}

// TestRegionsLostInTurnEndTheMajority loses each ordered pair of regions one after the other, as
// long as votes need to leave a region and not to come back.
func TestRegionsLostInTurnEndTheMajority(t *testing.T) {
	for _, regions := range []string{"ab", "ac", "ba", "bc", "ca", "cb"} {
		l := newLossSearch(t, 1)
		first := l.in(regions[:1])
		l.lose(regions[:1], first)
		l.pass(10_000)
		l.recover(first, "disks back")
		l.pass(replacementTime + 100)
		l.lose(regions[1:], l.in(regions[1:]))
	}
}

// TestOneOfFewLostAtATimeEndsTheMajority draws series in which one of three or four control
// processes at a time is lost, comes back, is succeeded or replaced as planned. A declaration must
// be accepted after each loss, and after one more at the end.
func TestOneOfFewLostAtATimeEndsTheMajority(t *testing.T) {
	limitChecks(t, 60)
	rapid.Check(t, func(t *rapid.T) {
		n := newReplacementNetwork(t, rapid.IntRange(3, 4).Draw(t, "controls"))
		history := ""
		number := uint64(1)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			list := n.controls()
			m := list[rapid.IntRange(0, len(list)-1).Draw(t, "which")]
			how := rapid.SampledFrom([]string{"back", "successor", "planned", "all killed"}).Draw(t, "how")
			down := drawTime(t, 20, 8000, "down")
			history += fmt.Sprintf(" %s %s %d;", m.name, how, down)
			declare := func() {
				number++
				n.requireDeclaration(number, history)
			}
			switch how {
			case "planned":
				n.startSuccessorOfFew(m)
				n.run(replacementTime + 100)
				n.shutDown(m)
			case "all killed":
				n.stopAll(list)
				n.run(down)
				for _, m := range list {
					n.start(m)
				}
				n.run(3000)
				declare()
			default:
				n.stop(m)
				declare()
				n.run(down)
				if how == "back" {
					n.start(m)
				} else {
					n.startSuccessorOfFew(m)
				}
				n.run(replacementTime + 100)
			}
		}
		n.stop(n.controls()[0])
		number++
		n.requireDeclaration(number, history)
	})
}
