package dhconsensus

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// log is a snapshot and the entries that follow it.
type log struct {
	base    dhmessage.Snapshot
	entries []dhmessage.Entry
	// first is the list of members before any Members entry of this log.
	first []dhmessage.Voter
	// changes are the indexes of the Members entries of this log, rising.
	changes []uint64
}

func newLog(base dhmessage.Snapshot, founders []dhmessage.Voter, entries []dhmessage.Entry) log {
	l := log{base: base, first: base.Voters()}
	if base.Index() == 0 && len(l.first) == 0 {
		l.first = founders
	}
	for _, e := range entries {
		if e.Index() > base.Index() {
			l.append(e)
		}
	}
	return l
}

func (l *log) lastIndex() uint64 { return l.base.Index() + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.base.Term()
	}
	return l.entries[len(l.entries)-1].Term()
}

func (l *log) lastAt() dhclock.Millis {
	if len(l.entries) == 0 {
		return l.base.At()
	}
	return l.entries[len(l.entries)-1].At()
}

// term returns the term of an entry; false if it isn't in the log any more or
// not yet.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.base.Index() {
		return l.base.Term(), true
	}
	e, found := l.entry(index)
	return e.Term(), found
}

func (l *log) entry(index uint64) (dhmessage.Entry, bool) {
	if index <= l.base.Index() || index > l.lastIndex() {
		return dhmessage.Entry{}, false
	}
	return l.entries[index-l.base.Index()-1], true
}

// from returns at most limit entries starting at an index.
func (l *log) from(index uint64, limit int) []dhmessage.Entry {
	if index <= l.base.Index() || index > l.lastIndex() {
		return nil
	}
	list := l.entries[index-l.base.Index()-1:]
	return slices.Clone(list[:min(limit, len(list))])
}

func (l *log) append(e dhmessage.Entry) {
	if e.Index() <= l.lastIndex() {
		l.truncate(e.Index())
	}
	l.entries = append(l.entries, e)
	if _, ok := e.Command().(dhmessage.Members); ok {
		l.changes = append(l.changes, e.Index())
	}
}

// truncate drops the entry at an index and all that follow.
func (l *log) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.base.Index()-1])
	for len(l.changes) > 0 && l.changes[len(l.changes)-1] >= index {
		l.changes = l.changes[:len(l.changes)-1]
	}
}

// voters returns the members by the newest entry, committed or not.
func (l *log) voters() []dhmessage.Voter {
	if len(l.changes) == 0 {
		return l.first
	}
	e, _ := l.entry(l.changes[len(l.changes)-1])
	return e.Command().(dhmessage.Members).Voters()
}

// changedAt returns the index of the newest Members entry, or 0.
func (l *log) changedAt() uint64 {
	if len(l.changes) == 0 {
		return 0
	}
	return l.changes[len(l.changes)-1]
}

// compact replaces the entries that a snapshot covers.
func (l *log) compact(s dhmessage.Snapshot) {
	var rest []dhmessage.Entry
	if term, found := l.term(s.Index()); found && term == s.Term() {
		rest = slices.Clone(l.entries[s.Index()-l.base.Index():])
	}
	*l = newLog(s, nil, rest)
}
