package dhdistribution

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// contact is the latest time at which an instance may have acknowledged a version to a
// leader.
type contact struct {
	at dhclock.Millis
	// neverHeard is set if no leader that is known of has heard of the instance: at is
	// when the first of them was elected.
	neverHeard bool
}

// leaderContacts is what the leader last reported of the instances.
type leaderContacts struct {
	// recordedAt is when that was; 0 if never. Instances that aren't in silent had
	// acknowledged a version shortly before.
	recordedAt dhclock.Millis
	silent     map[string]contact
}

// newLeaderContacts returns what a list that arrives now says of a time.
func newLeaderContacts(now, recordedAt dhclock.Millis, list []dhmessage.Silence) leaderContacts {
	c := leaderContacts{recordedAt: recordedAt, silent: make(map[string]contact, len(list))}
	for _, x := range list {
		c.silent[x.Instance()] = contact{at: now - x.Age(), neverHeard: x.NeverHeard()}
	}
	return c
}

func (c leaderContacts) isKnown() bool { return c.recordedAt != 0 }

func (c leaderContacts) of(name string) contact {
	if x, silent := c.silent[name]; silent {
		return x
	}
	return contact{at: c.recordedAt}
}

// wasSilent reports whether an instance was silent at the time of the report.
func (c leaderContacts) wasSilent(name string) bool {
	x, found := c.silent[name]
	return found && c.recordedAt-x.at > silenceReportAge
}

// followedBy returns what is known after a newer report. Of an instance that its leader never
// heard of, the earlier report may know when it was last in contact.
func (c leaderContacts) followedBy(newer leaderContacts) leaderContacts {
	if !c.isKnown() {
		return newer
	}
	for name, x := range newer.silent {
		if old := c.of(name); x.neverHeard && old.at < x.at {
			newer.silent[name] = old
		}
	}
	return newer
}

// silences lists the instances of the report that were silent or that its leader knew of only
// from a predecessor.
func (c leaderContacts) silences(now dhclock.Millis) []dhmessage.Silence {
	var list []dhmessage.Silence
	for _, name := range slices.Sorted(maps.Keys(c.silent)) {
		x := c.silent[name]
		list = append(list, dhmessage.NewSilence(name, now.Since(x.at)).WithNeverHeard(x.neverHeard))
	}
	return list
}
