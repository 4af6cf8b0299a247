package dhmessage

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// Entry is one entry of the replicated log.
type Entry struct {
	index   uint64
	term    uint64
	logTime dhclock.Millis
	command Command
}

// NewEntry returns an entry. The log time at only ever rises along the log; it
// counts the time that leaders have seen pass.
func NewEntry(index, term uint64, at dhclock.Millis, c Command) Entry {
	return Entry{index: index, term: term, logTime: at, command: c}
}

// Index returns the entry's place in the log, from 1.
func (e Entry) Index() uint64 { return e.index }

// Term returns the term of the leader that made the entry.
func (e Entry) Term() uint64 { return e.term }

// LogTime returns the log time, in milliseconds.
func (e Entry) LogTime() dhclock.Millis { return e.logTime }

// Command returns what the entry does.
func (e Entry) Command() Command { return e.command }

// Command is a replicated decision.
type Command interface{ command() }

// Noop starts a leader's term.
type Noop struct{}

func (Noop) command() {}

// Change commits a change set.
type Change struct{ changeSet dhcatalog.ChangeSet }

// NewChange returns the command for a change set.
func NewChange(s dhcatalog.ChangeSet) Change { return Change{changeSet: s} }

// ChangeSet returns the change set.
func (c Change) ChangeSet() dhcatalog.ChangeSet { return c.changeSet }

func (Change) command() {}

// Declare puts a whole configuration by number. It holds if the number is
// higher than that of the last one; else it changes nothing.
type Declare struct {
	declaration dhcatalog.Declaration
	objects     []dhcatalog.Object
}

// NewDeclare returns the command for a whole configuration.
func NewDeclare(d dhcatalog.Declaration, objects []dhcatalog.Object) Declare {
	return Declare{declaration: d, objects: objects}
}

// Declaration returns the number and the text of the configuration.
func (d Declare) Declaration() dhcatalog.Declaration { return d.declaration }

// Objects returns every object of the configuration.
func (d Declare) Objects() []dhcatalog.Object { return d.objects }

func (Declare) command() {}

// Edit puts and deletes single objects, whatever the version is. Objects that
// it deletes may be missing. A registered upstream is put only if it supersedes
// the record that is kept.
type Edit struct {
	author  string
	puts    []dhcatalog.Object
	deletes []dhcatalog.Ref
}

// NewEdit returns the command for single objects.
func NewEdit(author string, puts []dhcatalog.Object, deletes []dhcatalog.Ref) Edit {
	return Edit{author: author, puts: puts, deletes: deletes}
}

// Author returns who or what edits.
func (e Edit) Author() string { return e.author }

// Puts returns the objects to create or replace.
func (e Edit) Puts() []dhcatalog.Object { return e.puts }

// Deletes returns the objects to remove.
func (e Edit) Deletes() []dhcatalog.Ref { return e.deletes }

func (Edit) command() {}

// Voter is a member of the consensus group.
type Voter struct {
	peer    Peer
	address string
	learner bool
}

// NewVoter returns a member; a learner receives the log and has no vote. A
// peer without a folder stands for whichever folder answers first, which is
// possible only while a new group is formed.
func NewVoter(p Peer, address string, learner bool) Voter {
	return Voter{peer: p, address: address, learner: learner}
}

// Peer returns the member's name and data folder.
func (v Voter) Peer() Peer { return v.peer }

// Address returns the IP address and port for the system's own processes.
func (v Voter) Address() string { return v.address }

// Learner tells whether the member has no vote yet.
func (v Voter) Learner() bool { return v.learner }

// Members replaces the consensus group's members. A valid Members command
// changes at most one vote.
type Members struct{ voters []Voter }

// NewMembers returns the command for a new list of members.
func NewMembers(v []Voter) Members { return Members{voters: v} }

// Voters returns the members.
func (m Members) Voters() []Voter { return m.voters }

func (Members) command() {}

// MemberEdit asks the leader to change the members; the leader turns it into a
// Members command.
type MemberEdit struct {
	action   MemberAction
	name     string
	address  string
	folderID string
}

// MemberAction is what a MemberEdit does.
type MemberAction int

// The actions.
const (
	// MemberAdd adds a learner, which gets its vote once it has caught up.
	MemberAdd MemberAction = iota
	// MemberRemove removes a voter or learner.
	MemberRemove
	// MemberReplace gives a voter's place to the data folder that now answers
	// under its name, as a learner first.
	MemberReplace
)

// NewMemberEdit returns the command. The folder is needed to add, and to
// replace unless the leader has heard from the new folder.
func NewMemberEdit(a MemberAction, name, address, folder string) MemberEdit {
	return MemberEdit{action: a, name: name, address: address, folderID: folder}
}

// Action returns what to do.
func (m MemberEdit) Action() MemberAction { return m.action }

// Name returns the member's name.
func (m MemberEdit) Name() string { return m.name }

// Address returns the IP address and port for the system's own processes.
func (m MemberEdit) Address() string { return m.address }

// FolderID returns the identity of the data folder, or "".
func (m MemberEdit) FolderID() string { return m.folderID }

func (MemberEdit) command() {}
