package dhreducer

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// caller sends one declaration to a control process until it is accepted there, with referrals.
type caller struct {
	first, target *machine
	id            uint64
	sentAt        dhclock.Millis
	referrals     int
	path          string
}

// call sends a caller's declaration to its target.
func (n *network) call(c *caller) {
	n.lastCorrelationID++
	c.id, c.sentAt = n.lastCorrelationID, n.now
	c.path += " " + c.target.name
	n.handle(c.target, dhevent.NewProposalRequested(n.clock(c.target), dhevent.ProposalRequestedOptions{
		CorrelationID: c.id, Command: declareCommand(c.id), Timeout: orderTimeout, Expires: true, IsReferable: c.referrals < maxReferrals,
	}))
}

// isAccepted advances a caller; true once its declaration is accepted.
func (n *network) isAccepted(c *caller) bool {
	r, found := n.replies[c.id]
	switch {
	case !found && n.now-c.sentAt <= orderTimeout:
		return false
	case found && r.Err() == nil && !r.OutcomeUnknown():
		return true
	case found && r.Referral() != "":
		c.referrals++
		c.target = n.find(r.Referral())
		c.path += " >"
	default:
		c.referrals, c.target = 0, c.first
		c.path += ","
	}
	n.call(c)
	return false
}

// requireAcceptance lets a caller at each process of a list send a declaration until it is accepted,
// and fails if one isn't within a time. It ends early if no process leads and the list's majority is
// gone: the last leader may have begun to move a vote just before it lost its majority.
func (n *network) requireAcceptance(list []*machine, limit dhclock.Millis, describe func() string) {
	var callers []*caller
	for _, m := range list {
		c := &caller{first: m, target: m}
		n.call(c)
		callers = append(callers, c)
	}
	for end := n.now + limit; len(callers) > 0; {
		if n.now > end && n.leader() == nil && !n.isMajority(list) {
			return
		}
		if n.now > end {
			n.t.Fatalf("%s:%s: no declaration is accepted in %d ms; %s\n%s", callers[0].first.name, callers[0].path, limit, n.describeControl(), describe())
		}
		n.run(20)
		callers = slices.DeleteFunc(callers, n.isAccepted)
	}
}

// connectedMajority returns the largest set of control processes that run, are connected both ways, and
// have a majority of the votes by the list of each process that runs; nil if there is none.
func (n *network) connectedMajority() []*machine {
	running := n.controls()
	var best []*machine
	for bits := range 1 << len(running) {
		var set []*machine
		for i, m := range running {
			if bits>>i&1 == 1 {
				set = append(set, m)
			}
		}
		if len(set) > len(best) && n.isConnected(set) && n.isMajority(set) {
			best = set
		}
	}
	return best
}

func (n *network) isConnected(set []*machine) bool {
	return !slices.ContainsFunc(set, func(a *machine) bool {
		return slices.ContainsFunc(set, func(b *machine) bool { return n.cutLinks[link{a.name, b.name}] })
	})
}

// isMajority reports whether a set has a majority of the votes by the list of each process that runs.
func (n *network) isMajority(set []*machine) bool {
	return !slices.ContainsFunc(n.controls(), func(m *machine) bool { return !n.hasMajority(set, m) })
}

// hasMajority reports whether a set has a majority of the votes by a process's list, or that has none.
func (n *network) hasMajority(set []*machine, lister *machine) bool {
	votes, held := 0, 0
	for _, v := range n.status(lister).Members() {
		if v.Learner() {
			continue
		}
		votes++
		if slices.ContainsFunc(set, func(m *machine) bool { return m.name == v.Name() && m.disk.folder == v.FolderID() }) {
			held++
		}
	}
	return votes == 0 || held > votes/2
}

// drawCuts cuts links of one to three control processes by direction.
func (n *network) drawCuts(t *rapid.T) {
	list := n.controls()
	first := rapid.IntRange(0, len(list)-1).Draw(t, "first")
	if lead := n.leader(); lead != nil && rapid.Bool().Draw(t, "the leader") {
		first = slices.Index(list, lead)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "cut processes") {
		m := list[(first+i)%len(list)]
		kind := rapid.SampledFrom([]string{"in", "out", "some"}).Draw(t, "kind")
		for _, other := range list {
			if other == m {
				continue
			}
			if kind == "in" || kind == "some" && rapid.Bool().Draw(t, "in") {
				n.cutLink(other, m)
			}
			if kind == "out" || kind == "some" && rapid.Bool().Draw(t, "out") {
				n.cutLink(m, other)
			}
		}
	}
}

// TestDirectedCutsEndTheMajority cuts links of control processes by direction, while processes are
// killed, lose their disks, come back and are replaced. Whenever a set that is connected both ways has
// a majority, a declaration must be accepted at each of its processes within 8 s, with referrals, and
// at all of them after the cuts.
func TestDirectedCutsEndTheMajority(t *testing.T) {
	limitChecks(t, 25)
	rapid.Check(t, func(t *rapid.T) {
		n := newReplacementNetwork(t, 6, "a1", "b1", "c1", "a2", "b2", "c2")
		var history []string
		note := func(format string, args ...any) {
			history = append(history, fmt.Sprintf("%d: ", n.now)+fmt.Sprintf(format, args...))
		}
		n.recordLog = func(m *machine, e *dheffect.Log) {
			if e.Layer() == "consensus" || e.Layer() == "fleet" {
				note("    %s: %s %s %d", m.name, e.Text(), e.Peer(), e.Number())
			}
		}
		describe := func() string { return strings.Join(history, "\n") }
		for range rapid.IntRange(1, 3).Draw(t, "steps") {
			stopped := slices.DeleteFunc(slices.Clone(n.machines), func(m *machine) bool { return m.state != nil })
			switch kind := rapid.SampledFrom([]string{"cut", "cut", "cut", "heal", "kill", "disk", "replace", "back"}).Draw(t, "event"); {
			case kind == "heal":
				clear(n.cutLinks)
			case kind == "back" && len(stopped) > 0:
				n.start(stopped[0])
			case (kind == "kill" || kind == "disk" || kind == "replace") && len(n.controls()) > 4:
				m := rapid.SampledFrom(n.controls()).Draw(t, kind)
				note("%s %s", kind, m.name)
				n.stop(m)
				if kind == "disk" {
					n.wipe(m)
				} else if kind == "replace" && len(n.machines) < 8 {
					n.startSuccessor(m)
				}
			default:
				clear(n.cutLinks)
				n.drawCuts(t)
			}
			note("cut %v", slices.Sorted(func(yield func(string) bool) {
				for l := range n.cutLinks {
					yield(l.from + ">" + l.to)
				}
			}))
			n.run(drawTime(t, 0, 4000, "gap"))
			if set := n.connectedMajority(); set != nil {
				note("connected: %v", namesOf(set))
				n.requireAcceptance(set, 8*dhclock.Second, describe)
			}
		}
		note("all healed")
		n.heal()
		if n.connectedMajority() != nil {
			n.requireAcceptance(n.controls(), 8*dhclock.Second, describe)
		}
	})
}
