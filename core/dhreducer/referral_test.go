package dhreducer

import (
	"fmt"
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// referralLimit is how long a process may take to refer a caller, in milliseconds.
const referralLimit dhclock.Millis = 60

// maxReferrals is the number of referrals that a caller follows.
const maxReferrals = 2

// referableOrder sends a declaration to a machine for a caller that can follow a referral, and
// returns the result, the time that it took, and whether there was one in time.
func (n *network) referableOrder(m *machine, number uint64) (dhmessage.Result, dhclock.Millis, bool) {
	n.lastCorrelationID++
	id, start := n.lastCorrelationID, n.now
	n.handle(m, dhevent.NewProposalRequested(n.clock(m), dhevent.ProposalRequestedOptions{
		CorrelationID: id, Command: declareCommand(number), Timeout: orderTimeout, Expires: true, IsReferable: true,
	}))
	for n.now-start <= orderTimeout {
		if r, found := n.replies[id]; found {
			return r, n.now - start, true
		}
		n.run(20)
	}
	return dhmessage.Result{}, n.now - start, false
}

// followOrder sends a declaration to a machine and follows its referrals. It returns a description
// of the problem, or "" if the declaration was accepted.
func (n *network) followOrder(m *machine, number uint64) string {
	path := m.name
	for range maxReferrals + 1 {
		r, took, answered := n.referableOrder(m, number)
		switch {
		case answered && r.Err() == nil && !r.OutcomeUnknown():
			return ""
		case !answered || r.Referral() == "":
			return fmt.Sprintf("%s waits %d ms in vain", path, took)
		case took > referralLimit:
			return fmt.Sprintf("%s refers after %d ms", path, took)
		}
		m = n.find(r.Referral())
		path += " > " + m.name
	}
	return path + " refers a third time"
}

// cutOff cuts control processes off from the others for three seconds, and returns the leader and the
// control processes on the other side than it.
func (n *network) cutOff(indexes []int) (leader *machine, cutOff []*machine) {
	for _, i := range indexes {
		n.partitioned[n.machines[i].name] = true
	}
	n.run(3000)
	if leader = n.leader(); leader == nil {
		n.t.Fatalf("%v cut off: no side has a majority", indexes)
	}
	return leader, slices.DeleteFunc(n.controls(), func(m *machine) bool { return n.partitioned[m.name] == n.partitioned[leader.name] })
}

// TestOrderAtACutOffProcessWaitsInVain cuts each control process off, then each half of them from
// the other, and sends a declaration to each process of the smaller side. With two referrals at
// most it must be accepted.
func TestOrderAtACutOffProcessWaitsInVain(t *testing.T) {
	var cuts [][]int
	for i := range 6 {
		cuts = append(cuts, []int{i})
		for j := range i {
			cuts = append(cuts, []int{i, j})
			for k := range j {
				cuts = append(cuts, []int{i, j, k})
			}
		}
	}
	number := uint64(0)
	for _, cut := range cuts {
		n := newManagedNetwork(t, 6)
		n.run(4000)
		_, cutOff := n.cutOff(cut)
		for _, m := range cutOff {
			number++
			if problem := n.followOrder(m, number); problem != "" {
				t.Errorf("%v cut off: %s", cut, problem)
			}
		}
	}
}

// TestOrderIsReferredAlthoughItCanBeServed sends declarations while a leader is replaced and after
// a restart of all processes. None must be referred: an election takes less time than a wrong
// referral to the process that was lost.
func TestOrderIsReferredAlthoughItCanBeServed(t *testing.T) {
	n := newManagedNetwork(t, 6)
	n.run(4000)
	n.stop(n.leader())
	number := uint64(0)
	check := func(what string) {
		for range 30 {
			for _, m := range n.machines {
				if m.state == nil {
					continue
				}
				number++
				n.lastCorrelationID++
				n.handle(m, dhevent.NewProposalRequested(n.clock(m), dhevent.ProposalRequestedOptions{
					CorrelationID: n.lastCorrelationID, Command: declareCommand(number), Timeout: orderTimeout, Expires: true, IsReferable: true,
				}))
				if r := n.replies[n.lastCorrelationID]; r.Referral() != "" {
					t.Fatalf("%s: %s refers to %s", what, m.name, r.Referral())
				}
			}
			n.run(100)
		}
	}
	check("leader lost")
	for _, m := range n.machines {
		n.start(m)
	}
	check("all restarted")
	if i := slices.IndexFunc(n.machines, func(m *machine) bool { return n.declarationNumber(m) < number-60 }); i >= 0 {
		t.Errorf("%s has declaration %d of %d", n.machines[i].name, n.declarationNumber(n.machines[i]), number)
	}
}

// TestPendingOrderWaitsOnAtACutOffProcess cuts off a process, which doesn't know it yet when it gets a
// declaration and an evacuation. The declaration must be referred once it knows. The evacuation was
// sent to the leader, which may still apply it until it expires.
func TestPendingOrderWaitsOnAtACutOffProcess(t *testing.T) {
	n := newManagedNetwork(t, 6)
	n.run(4000)
	m := n.followers()[0]
	n.partitioned[m.name] = true
	n.run(1200)
	n.lastCorrelationID++
	evacuation := n.lastCorrelationID
	n.handle(m, dhevent.NewProposalRequested(n.clock(m), dhevent.ProposalRequestedOptions{
		CorrelationID: evacuation, Command: orderEdit(true), Timeout: orderTimeout, Expires: true, IsReferable: true,
	}))
	if r, took, answered := n.referableOrder(m, 1); !answered || r.Referral() == "" || took == 0 {
		t.Errorf("the declaration is answered: %v, after %d ms, refers to %q", answered, took, r.Referral())
	}
	if r, found := n.replies[evacuation]; found {
		t.Errorf("the evacuation is answered before it expires, refers to %q", r.Referral())
	}
	n.run(orderTimeout)
	if r := n.replies[evacuation]; !r.OutcomeUnknown() || r.Referral() != "" {
		t.Errorf("the evacuation ends unknown: %v, refers to %q", r.OutcomeUnknown(), r.Referral())
	}
}

// TestLeaderThatGivesWayHoldsOrdersAgain cuts off a leader. It refers callers once it has lacked a
// majority for contactTimeout, 1 s, and must not stop doing so when its leadership ends.
func TestLeaderThatGivesWayHoldsOrdersAgain(t *testing.T) {
	n := newReplacementNetwork(t, 6)
	leader := n.leader()
	n.partitioned[leader.name] = true
	n.run(1100)
	for number := range uint64(10) {
		if r, took, _ := n.referableOrder(leader, number+10); r.Referral() == "" || took > referralLimit {
			t.Fatalf("%s answers an order after %d ms, with a referral to %q", leader.name, took, r.Referral())
		}
		n.run(100)
	}
}
