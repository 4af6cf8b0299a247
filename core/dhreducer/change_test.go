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

// configurationModel is the model of the configuration: its version, and the version
// that each accepted change id made.
type configurationModel struct {
	version  uint64
	versions map[string]uint64
}

// compareAndSetModel is a register with compare-and-set. An unsure change may have
// been accepted or not.
func compareAndSetModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{configurationModel{versions: map[string]uint64{}}} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(configurationModel), input.(changeInput), output.(dhmessage.Result)
			return stepModel(s, in, out)
		},
		Equal: func(a, b any) bool {
			x, y := a.(configurationModel), b.(configurationModel)
			return x.version == y.version && maps.Equal(x.versions, y.versions)
		},
	}
	return nondeterministic.ToModel()
}

func stepModel(s configurationModel, in changeInput, out dhmessage.Result) []any {
	first, known := s.versions[in.id]
	after := s
	if !known && in.base == s.version {
		after = configurationModel{version: s.version + 1, versions: maps.Clone(s.versions)}
		after.versions[in.id] = after.version
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

// pendingChange is a change under way, by ticket.
type pendingChange struct {
	input changeInput
	call  int64
}

// history collects proposals and their answers for porcupine.
type history struct {
	network       *network
	pending       map[uint64]pendingChange
	operations    []porcupine.Operation
	operationTime int64
}

// propose sends a change set against a version that a machine knows, or a
// resend of one before.
func (h *history) propose(m *machine, id string, base uint64) {
	if m.state == nil || m.frozen {
		return
	}
	h.operationTime++
	in := changeInput{id: id, base: base}
	call := h.operationTime
	ticket := h.network.propose(m, organisationChange(in))
	h.pending[ticket] = pendingChange{input: in, call: call}
	h.recordReplies()
}

// recordReplies takes the answers that came.
func (h *history) recordReplies() {
	for ticket, p := range h.pending {
		if r, found := h.network.replies[ticket]; found {
			h.operationTime++
			h.recordOperation(p, r, h.operationTime)
			delete(h.pending, ticket)
		}
	}
}

func (h *history) recordOperation(p pendingChange, r dhmessage.Result, at int64) {
	if r.OutcomeUnknown() {
		at = 1 << 60 // it may still be accepted at any later time
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations), Input: p.input, Output: r, Call: p.call, Return: at,
	})
}

// check ends the history and looks for an order that explains it.
func (h *history) check(t *rapid.T) {
	h.recordReplies()
	unsure := dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true})
	for _, p := range h.pending {
		h.recordOperation(p, unsure, 0)
	}
	if result := porcupine.CheckOperationsTimeout(compareAndSetModel(), h.operations, 20*time.Second); result != porcupine.Ok {
		t.Fatalf("%s: no order explains the history %+v", result, h.operations)
	}
}

// TestChangesAreLinearizable drives voters and entry instances under lost, repeated, late and
// crossed messages, cuts, freezes, crashes with loss of what was not synced,
// and lost disks. Accepted changes must form a register with compare-and-set;
// versions never go back; in the end every process has the same version, with
// every accepted change in it.
func TestChangesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"), "a1-1", "a1-2", "b1-1")
		n.compactEntries = rapid.SampledFrom([]int{0, 2, 8}).Draw(t, "entries between snapshots")
		for _, m := range n.machines {
			n.start(m)
		}
		h := &history{network: n, pending: map[uint64]pendingChange{}}
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
			if lead == nil || victim == lead || !allVotersCurrent(n, lead) {
				t.Skip("a disk is still being replaced")
			}
			n.wipe(victim)
			n.run(500)
			n.propose(lead, dhmessage.NewMemberEdit(dhmessage.MemberReplace, victim.name, "", ""))
		}
		actions[""] = func(*rapid.T) { h.recordReplies() }
		t.Repeat(actions)
		n.heal()
		replaceWipedVoters(n)
		h.check(t)
		checkConvergence(t, n, h)
	})
}

// allVotersCurrent tells whether every voter answers from the folder that has
// its vote and has caught up, so that a disk may be lost.
func allVotersCurrent(n *network, lead *machine) bool {
	for _, v := range n.status(lead).Voters() {
		m := n.find(v.Name())
		if v.Learner() || v.Advice() != "" || m.state == nil || m.disk.folder != v.FolderID() {
			return false
		}
	}
	return true
}

// replaceWipedVoters lets in every blank folder that is still without a vote.
func replaceWipedVoters(n *network) {
	for range 3 {
		lead := n.leader()
		if lead == nil || allVotersCurrent(n, lead) {
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

func checkConvergence(t *rapid.T, n *network, h *history) {
	lead := n.leader()
	if lead == nil {
		t.Fatalf("no leader after everything healed")
	}
	version := n.status(lead).Version()
	for _, o := range h.operations {
		r := o.Output.(dhmessage.Result)
		if r.Err() == nil && !r.OutcomeUnknown() && r.Version() > version {
			t.Fatalf("version %d was accepted and is lost: the leader has %d", r.Version(), version)
		}
	}
	for _, m := range n.machines {
		if m.version != version {
			t.Fatalf("%s has version %d, the leader %d", m.name, m.version, version)
		}
		for _, o := range h.operations {
			in, r := o.Input.(changeInput), o.Output.(dhmessage.Result)
			accepted := r.Err() == nil && !r.OutcomeUnknown()
			if _, found := m.view.Catalog().Organisation(in.id); accepted && !found {
				t.Fatalf("%s lacks the accepted change %s", m.name, in.id)
			}
		}
	}
}
