package dhdistribution

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// pendingConfirmation tells that a version, which isn't here yet, was current at a time. Once it
// is here, this process knows everything that was accepted before that time.
type pendingConfirmation struct {
	version uint64
	at      dhclock.Millis
}

// deferConfirmation records the confirmation of a version that isn't here yet. The first one is
// kept: where versions follow one another, later ones are of later versions.
func (s *State) deferConfirmation(m *dhmessage.Update) {
	at := m.PollSentAt() - m.Age()
	if !m.EverConfirmed() || s.everConfirmed && at <= s.confirmedAt || s.pendingConfirmation != nil {
		return
	}
	s.pendingConfirmation = &pendingConfirmation{version: m.Version(), at: at}
}

// applyPendingConfirmation records the pending confirmation once its version is here.
func (s *State) applyPendingConfirmation() {
	if p := s.pendingConfirmation; p != nil && s.catalog.Version() >= p.version {
		s.pendingConfirmation = nil
		s.RecordConfirmation(p.at)
	}
}
