package dhquarantine

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Intervals of storing suspects, in milliseconds.
const (
	// minSaveInterval bounds the writes to the disk while upstreams crash.
	minSaveInterval dhclock.Millis = 200
	// ageInterval is how long the stored ages may stay as they are, so that a restart
	// extends no quarantine by more than that.
	ageInterval = 60 * dhclock.Second
)

// Backup tracks which suspects of a Set are stored on disk. Those below minCrashes are not
// stored: to lose them costs no more crashes than they need to be quarantined.
type Backup struct {
	saved   uint64 // value of Set.repeatedChanges
	savedAt dhclock.Millis
}

// Due returns the suspects that must replace the stored ones now; false if there is nothing
// to store.
func (b *Backup) Due(now dhclock.Millis, s *Set) ([]dhmessage.Suspect, bool) {
	interval := minSaveInterval
	if b.saved == s.repeatedChanges {
		interval = ageInterval
	}
	isUpToDate := b.saved == s.repeatedChanges && len(s.repeated) == 0
	if isUpToDate || now.Since(b.savedAt) < interval {
		return nil, false
	}
	b.saved, b.savedAt = s.repeatedChanges, now
	return messages(now, s.repeated, 0), true
}
