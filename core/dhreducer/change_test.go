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

// changeInput identifies a change set: its ID, which may be sent again, and the
// version that it is based on.
type changeInput struct {
	id   string
	base uint64
}

// configurationModel is the model of the configuration: its version, and the
// version that each accepted change ID created.
type configurationModel struct {
	version  uint64
	versions map[string]uint64
}

// compareAndSetModel models the configuration as a register with compare-and-set.
// A change with an unknown outcome may have been accepted or not.
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

// pendingChange is a proposed change without a reply.
type pendingChange struct {
	input changeInput
	call  int64
}

// history records proposals and their results for the linearizability checker
// porcupine.
type history struct {
	network       *network
	pending       map[uint64]pendingChange
	operations    []porcupine.Operation
	operationTime int64
}

// propose proposes a change set at a machine; an ID that was used before is a
// resend.
func (h *history) propose(m *machine, id string, base uint64) {
	if m.state == nil || m.frozen {
		return
	}
	h.operationTime++
	in := changeInput{id: id, base: base}
	call := h.operationTime
	correlationID := h.network.propose(m, organisationChange(in))
	h.pending[correlationID] = pendingChange{input: in, call: call}
	h.recordReplies()
}

// recordReplies records the operations that got a reply.
func (h *history) recordReplies() {
	for correlationID, p := range h.pending {
		if r, found := h.network.replies[correlationID]; found {
			h.operationTime++
			h.recordOperation(p, r, h.operationTime)
			delete(h.pending, correlationID)
		}
	}
}

func (h *history) recordOperation(p pendingChange, r dhmessage.Result, at int64) {
	if r.OutcomeUnknown() {
		at = 1 << 60 // the change may still be accepted at any later time
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations), Input: p.input, Output: r, Call: p.call, Return: at,
	})
}

// check ends the history and checks that it is linearizable.
func (h *history) check(t *rapid.T) {
	h.recordReplies()
	unknown := dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true})
	for _, p := range h.pending {
		h.recordOperation(p, unknown, 0)
	}
	if result := porcupine.CheckOperationsTimeout(compareAndSetModel(), h.operations, 20*time.Second); result != porcupine.Ok {
		t.Fatalf("%s: the history isn't linearizable: %+v", result, h.operations)
	}
}

// TestChangesAreLinearizable drives voters and entry instances while messages are
// lost, duplicated, delayed and reordered, connections are cut, processes freeze
// or crash with loss of unsynced data, and disks are lost. Accepted changes must
// be linearizable as a register with compare-and-set, and versions must never
// decrease. In the end every process must have the same version, with every
// accepted change.
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
				t.Skip("the last wiped disk has not been replaced yet")
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

// allVotersCurrent reports whether every voter runs on the data folder that holds
// its vote and has caught up, so that the cluster tolerates the loss of a disk.
func allVotersCurrent(n *network, lead *machine) bool {
	for _, v := range n.status(lead).Members() {
		m := n.find(v.Name())
		if v.Learner() || v.Advice() != "" || m.state == nil || m.disk.folder != v.FolderID() {
			return false
		}
	}
	return true
}

// replaceWipedVoters makes the empty data folder of each wiped voter a member in
// place of the lost one.
func replaceWipedVoters(n *network) {
	for range 3 {
		lead := n.leader()
		if lead == nil || allVotersCurrent(n, lead) {
			return
		}
		for _, v := range n.status(lead).Members() {
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
		t.Fatalf("no leader after all faults ended")
	}
	version := n.status(lead).Version()
	for _, o := range h.operations {
		r := o.Output.(dhmessage.Result)
		if r.Err() == nil && !r.OutcomeUnknown() && r.Version() > version {
			t.Fatalf("the accepted version %d is lost: the leader has version %d", r.Version(), version)
		}
	}
	for _, m := range n.machines {
		if m.version != version {
			t.Fatalf("%s has version %d, the leader has version %d", m.name, m.version, version)
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
