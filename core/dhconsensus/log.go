package dhconsensus

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// log is a snapshot and the entries that follow it.
type log struct {
	snapshot dhmessage.Snapshot
	entries  []dhmessage.Entry
	bytes    int // approximate size of the entries
	// baseMembers is the list of members before the first Members entry of this
	// log.
	baseMembers []dhmessage.Member
	// memberChanges are the indexes of this log's Members entries, in ascending
	// order.
	memberChanges []uint64
}

func newLog(snapshot dhmessage.Snapshot, founders []dhmessage.Member, entries []dhmessage.Entry) log {
	l := log{snapshot: snapshot, baseMembers: snapshot.Members()}
	if snapshot.Index() == 0 && len(l.baseMembers) == 0 {
		l.baseMembers = founders
	}
	for _, e := range entries {
		if e.Index() > snapshot.Index() {
			l.append(e)
		}
	}
	return l
}

func (l *log) lastIndex() uint64 { return l.snapshot.Index() + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.snapshot.Term()
	}
	return l.entries[len(l.entries)-1].Term()
}

func (l *log) lastLogTime() dhclock.Millis {
	if len(l.entries) == 0 {
		return l.snapshot.LogTime()
	}
	return l.entries[len(l.entries)-1].LogTime()
}

// term returns the term of an entry; false if the entry is compacted or not yet
// in the log.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index() {
		return l.snapshot.Term(), true
	}
	e, found := l.entry(index)
	return e.Term(), found
}

func (l *log) entry(index uint64) (dhmessage.Entry, bool) {
	if index <= l.snapshot.Index() || index > l.lastIndex() {
		return dhmessage.Entry{}, false
	}
	return l.entries[index-l.snapshot.Index()-1], true
}

// entriesFrom returns at most limit entries starting at an index, and no more than have about
// maxBytes together, but at least one.
func (l *log) entriesFrom(index uint64, limit, maxBytes int) []dhmessage.Entry {
	if index <= l.snapshot.Index() || index > l.lastIndex() {
		return nil
	}
	list := l.entries[index-l.snapshot.Index()-1:]
	list = list[:min(limit, len(list))]
	for i, e := range list {
		if maxBytes -= e.ApproximateBytes(); maxBytes < 0 && i > 0 {
			return slices.Clone(list[:i])
		}
	}
	return slices.Clone(list)
}

func (l *log) append(e dhmessage.Entry) {
	if e.Index() <= l.lastIndex() {
		l.truncate(e.Index())
	}
	l.entries = append(l.entries, e)
	l.bytes += e.ApproximateBytes()
	if _, ok := e.Command().(dhmessage.Members); ok {
		l.memberChanges = append(l.memberChanges, e.Index())
	}
}

// truncate removes the entry at an index and all that follow.
func (l *log) truncate(index uint64) {
	kept := index - l.snapshot.Index() - 1
	for _, e := range l.entries[kept:] {
		l.bytes -= e.ApproximateBytes()
	}
	l.entries = slices.Clip(l.entries[:kept])
	for len(l.memberChanges) > 0 && l.memberChanges[len(l.memberChanges)-1] >= index {
		l.memberChanges = l.memberChanges[:len(l.memberChanges)-1]
	}
}

// members returns the members as of the newest entry, committed or not.
func (l *log) members() []dhmessage.Member { return l.membersAt(l.lastIndex()) }

// membersAt returns the members as of an entry of this log.
func (l *log) membersAt(index uint64) []dhmessage.Member {
	for _, i := range slices.Backward(l.memberChanges) {
		if i <= index {
			e, _ := l.entry(i)
			return e.Command().(dhmessage.Members).List()
		}
	}
	return l.baseMembers
}

// lastMemberChange returns the index of the newest Members entry, or 0.
func (l *log) lastMemberChange() uint64 {
	if len(l.memberChanges) == 0 {
		return 0
	}
	return l.memberChanges[len(l.memberChanges)-1]
}

// compact replaces the entries that a snapshot covers by the snapshot. Later
// entries are kept only if the log's entry at the snapshot's index has the same
// term.
func (l *log) compact(s dhmessage.Snapshot) {
	var rest []dhmessage.Entry
	if term, found := l.term(s.Index()); found && term == s.Term() {
		rest = slices.Clone(l.entries[s.Index()-l.snapshot.Index():])
	}
	*l = newLog(s, nil, rest)
}
