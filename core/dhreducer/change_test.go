package dhreducer

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// changeInput is a change set against a base; the id may come again.
type changeInput struct {
	id   string
	base uint64
}

// register is the model of the configuration: its version, and the version
// that each accepted change id made.
type register struct {
	version uint64
	ids     map[string]uint64
}

// registerModel is a register with compare-and-set. An unsure change may have
// been accepted or not.
func registerModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{ids: map[string]uint64{}}} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(register), input.(changeInput), output.(dhmessage.Result)
			return stepRegister(s, in, out)
		},
		Equal: func(a, b any) bool {
			x, y := a.(register), b.(register)
			return x.version == y.version && maps.Equal(x.ids, y.ids)
		},
	}
	return nondeterministic.ToModel()
}

func stepRegister(s register, in changeInput, out dhmessage.Result) []any {
	first, known := s.ids[in.id]
	after := s
	if !known && in.base == s.version {
		after = register{version: s.version + 1, ids: maps.Clone(s.ids)}
		after.ids[in.id] = after.version
	}
	var conflict dhcatalog.ConflictError
	switch {
	case out.OutcomeUnknown():
		return []any{s, after}
	case errors.As(out.Err(), &conflict):
		if known || in.base == s.version {
			return nil
		}
		return []any{s}
	case out.Err() != nil:
		return nil
	case known && out.Version() == first:
		return []any{s}
	case !known && in.base == s.version && out.Version() == after.version:
		return []any{after}
	default:
		return nil
	}
}

func organisationChange(in changeInput) dhmessage.Command {
	return dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: in.id, Base: in.base, Author: "test",
		Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: in.id})},
	}))
}

// proposed is a change under way, by ticket.
type proposed struct {
	input changeInput
	call  int64
}

// history collects proposals and their answers for porcupine.
type history struct {
	network *network
	open    map[uint64]proposed
	done    []porcupine.Operation
	clock   int64
}

// propose sends a change set against a version that a machine knows, or a
// resend of one before.
func (h *history) propose(m *machine, id string, base uint64) {
	if m.state == nil || m.frozen {
		return
	}
	h.clock++
	in := changeInput{id: id, base: base}
	call := h.clock
	ticket := h.network.propose(m, organisationChange(in))
	h.open[ticket] = proposed{input: in, call: call}
	h.collect()
}

// collect takes the answers that came.
func (h *history) collect() {
	for ticket, p := range h.open {
		if r, found := h.network.replies[ticket]; found {
			h.clock++
			h.finish(p, r, h.clock)
			delete(h.open, ticket)
		}
	}
}

func (h *history) finish(p proposed, r dhmessage.Result, at int64) {
	if r.OutcomeUnknown() {
		at = 1 << 60 // it may still be accepted at any later time
	}
	h.done = append(h.done, porcupine.Operation{
		ClientId: len(h.done), Input: p.input, Output: r, Call: p.call, Return: at,
	})
}

// check ends the history and looks for an order that explains it.
func (h *history) check(t *rapid.T) {
	h.collect()
	unsure := dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true})
	for _, p := range h.open {
		h.finish(p, unsure, 0)
	}
	if result := porcupine.CheckOperationsTimeout(registerModel(), h.done, 20*time.Second); result != porcupine.Ok {
		t.Fatalf("%s: no order explains the history %+v", result, h.done)
	}
}

// TestChanges drives voters and entry instances under lost, repeated, late and
// crossed messages, cuts, freezes, crashes with loss of what was not synced,
// and lost disks. Accepted changes must form a register with compare-and-set;
// versions never go back; in the end every process has the same version, with
// every accepted change in it.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := withNetwork(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"), "a1-1", "a1-2", "b1-1")
		n.compact = rapid.SampledFrom([]int{0, 2, 8}).Draw(t, "entries between snapshots")
		for _, m := range n.machines {
			n.start(m)
		}
		h := &history{network: n, open: map[uint64]proposed{}}
		n.run(2000)
		actions := n.actions()
		proposals := 0
		actions["propose"] = func(t *rapid.T) {
			m := rapid.SampledFrom(n.machines).Draw(t, "proposer")
			proposals++
			id := fmt.Sprint("id-", rapid.IntRange(0, proposals).Draw(t, "id"))
			h.propose(m, id, m.version)
		}
		actions["wipe"] = func(t *rapid.T) {
			lead := n.leader()
			victim := rapid.SampledFrom(n.machines[:len(n.voters)]).Draw(t, "victim")
			if lead == nil || victim == lead || !fullMembership(n, lead) {
				t.Skip("a disk is still being replaced")
			}
			n.wipe(victim)
			n.run(500)
			n.propose(lead, dhmessage.NewMemberEdit(dhmessage.MemberReplace, victim.name, "", ""))
		}
		actions[""] = func(*rapid.T) { h.collect() }
		t.Repeat(actions)
		n.heal()
		replaceWiped(n)
		h.check(t)
		checkAgreement(t, n, h)
	})
}

// fullMembership tells whether every voter answers from the folder that has
// its vote and has caught up, so that a disk may be lost.
func fullMembership(n *network, lead *machine) bool {
	for _, v := range n.status(lead).Voters() {
		m := n.find(v.Name())
		if v.Learner() || v.Advice() != "" || m.state == nil || m.disk.folder != v.FolderID() {
			return false
		}
	}
	return true
}

// replaceWiped lets in every blank folder that is still without a vote.
func replaceWiped(n *network) {
	for range 3 {
		lead := n.leader()
		if lead == nil || fullMembership(n, lead) {
			return
		}
		for _, v := range n.status(lead).Voters() {
			if v.FolderID() != v.RespondingFolderID() && v.RespondingFolderID() != "" {
				n.propose(lead, dhmessage.NewMemberEdit(dhmessage.MemberReplace, v.Name(), "", ""))
			}
		}
		n.run(4000)
	}
}

func checkAgreement(t *rapid.T, n *network, h *history) {
	lead := n.leader()
	if lead == nil {
		t.Fatalf("no leader after everything healed")
	}
	version := n.status(lead).Version()
	for _, o := range h.done {
		r := o.Output.(dhmessage.Result)
		if r.Err() == nil && !r.OutcomeUnknown() && r.Version() > version {
			t.Fatalf("version %d was accepted and is lost: the leader has %d", r.Version(), version)
		}
	}
	for _, m := range n.machines {
		if m.version != version {
			t.Fatalf("%s has version %d, the leader %d", m.name, m.version, version)
		}
		for _, o := range h.done {
			in, r := o.Input.(changeInput), o.Output.(dhmessage.Result)
			accepted := r.Err() == nil && !r.OutcomeUnknown()
			if _, found := m.view.Catalog().Organisation(in.id); accepted && !found {
				t.Fatalf("%s lacks the accepted change %s", m.name, in.id)
			}
		}
	}
}
