package dhmessage

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// Entry is one entry of the replicated log.
type Entry struct {
	index   uint64
	term    uint64
	logTime dhclock.Millis `journal:"at"`
	command Command
}

// NewEntry returns an entry. Log time never decreases along the log; it counts
// the time that has passed at the leaders.
func NewEntry(index, term uint64, logTime dhclock.Millis, c Command) Entry {
	return Entry{index: index, term: term, logTime: logTime, command: c}
}

// Index returns the entry's position in the log, counted from 1.
func (e Entry) Index() uint64 { return e.index }

// Term returns the term of the leader that created the entry.
func (e Entry) Term() uint64 { return e.term }

// LogTime returns the log time, in milliseconds.
func (e Entry) LogTime() dhclock.Millis { return e.logTime }

// Command returns the command to apply.
func (e Entry) Command() Command { return e.command }

// Command is a command in the replicated log.
type Command interface{ command() }

// Noop does nothing. A leader appends it at the start of its term, to commit
// the entries of earlier terms.
type Noop struct{}

func (Noop) command() {}

// Change commits a change set.
type Change struct {
	changeSet dhcatalog.ChangeSet `journal:"set"`
}

// NewChange returns the command for a change set.
func NewChange(s dhcatalog.ChangeSet) Change { return Change{changeSet: s} }

// ChangeSet returns the change set.
func (c Change) ChangeSet() dhcatalog.ChangeSet { return c.changeSet }

func (Change) command() {}

// Declare replaces the complete configuration. It takes effect if its number is
// higher than that of the last one, else it changes nothing.
type Declare struct {
	declaration dhcatalog.Declaration
	objects     []dhcatalog.Object
}

// NewDeclare returns the command for a complete configuration.
func NewDeclare(d dhcatalog.Declaration, objects []dhcatalog.Object) Declare {
	return Declare{declaration: d, objects: objects}
}

// Declaration returns the number and the text of the configuration.
func (d Declare) Declaration() dhcatalog.Declaration { return d.declaration }

// Objects returns all objects of the configuration.
func (d Declare) Objects() []dhcatalog.Object { return d.objects }

func (Declare) command() {}

// Edit puts and deletes single objects, independent of the current version. It
// may delete objects that don't exist. A registered upstream is put only if it
// supersedes the stored record.
type Edit struct {
	author  string
	puts    []dhcatalog.Object
	deletes []dhcatalog.Ref
}

// NewEdit returns the command for single objects.
func NewEdit(author string, puts []dhcatalog.Object, deletes []dhcatalog.Ref) Edit {
	return Edit{author: author, puts: puts, deletes: deletes}
}

// Author returns who or what makes the edit.
func (e Edit) Author() string { return e.author }

// Puts returns the objects to create or replace.
func (e Edit) Puts() []dhcatalog.Object { return e.puts }

// Deletes returns the objects to remove.
func (e Edit) Deletes() []dhcatalog.Ref { return e.deletes }

func (Edit) command() {}

// Member is a voter or learner of the consensus group.
type Member struct {
	peer    Peer
	address string
	learner bool
	zone    string `journal:"zone,omitZero"`
	leaving bool   `journal:"leaving,omitZero"`
}

// NewMember returns a member. A learner receives the log and has no vote. A peer
// without a data folder stands for the folder that responds first under its
// name; this is possible only while a new group is formed.
func NewMember(p Peer, address string, learner bool) Member {
	return Member{peer: p, address: address, learner: learner}
}

// Peer returns the member's name and data folder.
func (m Member) Peer() Peer { return m.peer }

// Address returns the IP address and port for the system's own processes.
func (m Member) Address() string { return m.address }

// Learner reports whether the member has no vote yet.
func (m Member) Learner() bool { return m.learner }

// Zone returns the availability zone in which the member runs, or "" if unknown.
func (m Member) Zone() string { return m.zone }

// WithPeer returns the member with another data folder.
func (m Member) WithPeer(p Peer) Member {
	m.peer = p
	return m
}

// WithLearner returns the member without a vote, or with one.
func (m Member) WithLearner(learner bool) Member {
	m.learner = learner
	return m
}

// WithZone returns the member in an availability zone.
func (m Member) WithZone(zone string) Member {
	m.zone = zone
	return m
}

// Leaving reports whether the member has announced that it is about to stop.
func (m Member) Leaving() bool { return m.leaving }

// WithLeaving returns the member as one that is about to stop, or that stays.
func (m Member) WithLeaving(leaving bool) Member {
	m.leaving = leaving
	return m
}

// MemberNames returns the names of members.
func MemberNames(list []Member) []string {
	names := make([]string, 0, len(list))
	for _, m := range list {
		names = append(names, m.Peer().Name())
	}
	return names
}

// Members replaces the members of the consensus group. A valid Members command
// changes at most one vote.
type Members struct {
	list []Member `journal:"voters"`
}

// NewMembers returns the command for a new list of members.
func NewMembers(list []Member) Members { return Members{list: list} }

// List returns the members, voters and learners.
func (m Members) List() []Member { return m.list }

func (Members) command() {}

// MemberEdit asks the leader to change the members of the consensus group. The
// leader appends the resulting list as a Members command.
type MemberEdit struct {
	action   MemberAction
	name     string
	address  string
	folderID string `journal:"folder"`
}

// MemberAction is the kind of change that a MemberEdit makes.
type MemberAction int

// The kinds of changes to the members.
const (
	// MemberAdd adds a learner, which gets its vote once it has caught up.
	MemberAdd MemberAction = iota
	// MemberRemove removes a voter or learner.
	MemberRemove
	// MemberReplace replaces a voter's data folder with the one that now
	// responds under its name, as a learner at first.
	MemberReplace
)

// NewMemberEdit returns the command. The folder ID is required to add a member.
// To replace one it is required unless the leader has received a message from
// the new folder.
func NewMemberEdit(a MemberAction, name, address, folderID string) MemberEdit {
	return MemberEdit{action: a, name: name, address: address, folderID: folderID}
}

// Action returns the kind of change.
func (m MemberEdit) Action() MemberAction { return m.action }

// Name returns the member's name.
func (m MemberEdit) Name() string { return m.name }

// Address returns the IP address and port for the system's own processes.
func (m MemberEdit) Address() string { return m.address }

// FolderID returns the identity of the data folder, or "".
func (m MemberEdit) FolderID() string { return m.folderID }

func (MemberEdit) command() {}
