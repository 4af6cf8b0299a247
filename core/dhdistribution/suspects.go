package dhdistribution

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhquarantine"
	"dogwoodhitch/core/dhview"
)

// suspectInterval is the least time between two messages to a child or the parent that
// only bring suspects, in milliseconds.
const suspectInterval dhclock.Millis = 60

// RecordSuspects merges suspects that the traffic state of this instance reports or that
// the data folder holds.
func (s *State) RecordSuspects(now dhclock.Millis, list []dhmessage.Suspect) {
	if s.suspects.Merge(now, list) {
		s.recordSuspectChange(now)
	}
}

// receiveSuspects merges what another process reports, which may be nil.
func (s *State) receiveSuspects(now dhclock.Millis, sent *dhquarantine.Replication, r *dhmessage.SuspectReport) {
	if sent.Receive(now, s.suspects, r) {
		s.recordSuspectChange(now)
	}
}

// recordSuspectChange makes the change due at the children and in the view.
func (s *State) recordSuspectChange(now dhclock.Millis) {
	s.suspectsChanged, s.viewChanged = true, true
	s.viewSuspects = dhview.NewSuspects(now, new(dhquarantine.Replication).NextReport(now, s.suspects))
}

// saveSuspects stores the suspects in a voter's data folder, so that a restart of all
// processes ends no quarantine.
func (s *State) saveSuspects(now dhclock.Millis, out *dheffect.List) {
	if !s.isVoter {
		return
	}
	if list, due := s.suspectBackup.Due(now, s.suspects); due {
		out.Add(dheffect.NewSaveSuspects(dheffect.SaveSuspectsOptions{Suspects: list}))
	}
}

// tickSuspects removes expired suspects, stores changes and sends them to the children
// without waiting for their polls.
func (s *State) tickSuspects(now dhclock.Millis, out *dheffect.List) {
	s.suspects.RemoveExpired(now)
	s.saveSuspects(now, out)
	if !s.suspectsChanged || now.Since(s.lastSuspectPush) < suspectInterval {
		return
	}
	s.suspectsChanged, s.lastSuspectPush = false, now
	for _, name := range slices.Sorted(maps.Keys(s.children)) {
		if c := s.children[name]; !c.probing && c.suspects.HasUnsent(s.suspects) {
			out.Add(dheffect.NewSend(dheffect.SendOptions{To: name, Message: s.newUpdate(now, c, 0)}))
		}
	}
}
