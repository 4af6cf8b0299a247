package dhreducer

import "testing"

// TestRepeatedDeclarationCostsAsMuchAsTheFirst sends a declaration again, as operators do while its
// acknowledgement is late or lost, and one with a lower number. Both must be acknowledged, without
// another entry in the log, which holds the whole configuration.
func TestRepeatedDeclarationCostsAsMuchAsTheFirst(t *testing.T) {
	n := newManagedNetwork(t, 6)
	n.run(4000)
	commitIndex := func() uint64 { return n.status(n.leader()).CommitIndex() }
	send := func(m *machine, number uint64) {
		if r, _, answered := n.referableOrder(m, number); !answered || r.Err() != nil || r.OutcomeUnknown() {
			t.Fatalf("declaration %d isn't acknowledged at %s", number, m.name)
		}
	}
	send(n.leader(), 7)
	before := commitIndex()
	for _, m := range n.machines {
		send(m, 7)
		send(m, 6)
	}
	if got := commitIndex(); got != before {
		t.Errorf("the repetitions added %d entries to the log", got-before)
	}
}
