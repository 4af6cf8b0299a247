package dhconsensus

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// maxRounds is how many heartbeat rounds a leader remembers the time of.
const maxRounds = 64

// roundInterval is the least time between the starts of two rounds, so that
// the remembered rounds outlast the round trip to any voter.
const roundInterval dhclock.Millis = 20

// leading is what only a leader knows.
type leading struct {
	since     dhclock.Millis
	firstTerm uint64 // index of the no-op that started the term
	synced    uint64 // last index that the own disk holds
	progress  map[string]*progress
	round     uint64
	rounds    [maxRounds]dhclock.Millis
	confirmed dhclock.Millis
	everSure  bool
	beat      dhclock.Millis
	logStart  dhclock.Millis // log time at since
	dirty     bool
}

// progress is what a leader knows of another member.
type progress struct {
	next      uint64
	match     uint64
	round     uint64
	heard     dhclock.Millis
	installed dhclock.Millis
	folder    string
	ever      bool
}

// Progress describes a member as the leader sees it.
type Progress struct {
	voter  dhmessage.Voter
	folder string
	match  uint64
	silent dhclock.Millis
	ever   bool
}

// Voter returns the member.
func (p Progress) Voter() dhmessage.Voter { return p.voter }

// Folder returns the identity of the data folder that answers under the
// member's name, or "" if none did.
func (p Progress) Folder() string { return p.folder }

// Match returns the last index that the member has synced.
func (p Progress) Match() uint64 { return p.match }

// Silent returns for how long the member has been silent.
func (p Progress) Silent() dhclock.Millis { return p.silent }

// Heard tells whether the member has answered this leader at all.
func (p Progress) Heard() bool { return p.ever }

func (n *Node) becomeLeader(out *dheffect.List) {
	n.role = leader
	n.leader = n.self.Name()
	n.votes = nil
	n.lead = leading{
		since:    n.now,
		progress: map[string]*progress{},
		logStart: n.log.lastAt() + n.now.Since(n.grown),
		synced:   n.log.lastIndex(),
	}
	n.lead.firstTerm = n.append(dhmessage.Noop{}, out)
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: layer, Text: "became leader", Number: n.term}))
	n.broadcast(out)
}

// append adds a command to the own log.
func (n *Node) append(c dhmessage.Command, out *dheffect.List) uint64 {
	at := n.LogNow()
	e := dhmessage.NewEntry(n.log.lastIndex()+1, n.term, at, c)
	n.log.append(e)
	n.grown = n.now
	n.persist([]dhmessage.Entry{e}, out)
	n.lead.dirty = true
	return e.Index()
}

// Propose appends a command if this node leads. The command is committed when
// Commit reaches the returned index while the entry there keeps the term.
func (n *Node) Propose(c dhmessage.Command, out *dheffect.List) (index uint64, ok bool) {
	if n.role != leader {
		return 0, false
	}
	return n.append(c, out), true
}

// Synced reports that the own disk holds the log up to an index of a term.
func (n *Node) Synced(index, term uint64) {
	if n.role != leader || term != n.term {
		return
	}
	n.lead.synced = max(n.lead.synced, min(index, n.log.lastIndex()))
	n.advance()
}

// Flush sends what was appended since the last Flush, as one message a
// member.
func (n *Node) Flush(out *dheffect.List) {
	if n.role == leader && n.lead.dirty {
		n.broadcast(out)
	}
}

func (n *Node) tickLeader(out *dheffect.List) {
	if n.now.Since(n.lead.beat) >= HeartbeatInterval {
		n.broadcast(out)
	}
	n.promote(out)
}

// broadcast starts a heartbeat round and sends each member what it lacks.
func (n *Node) broadcast(out *dheffect.List) {
	l := &n.lead
	l.dirty = false
	l.beat = n.now
	if l.round == 0 || n.now.Since(l.rounds[l.round%maxRounds]) >= roundInterval {
		l.round++
		l.rounds[l.round%maxRounds] = n.now
	}
	for _, v := range n.log.voters() {
		if v.Peer().Name() != n.self.Name() {
			n.sendAppend(v.Peer().Name(), out)
		}
	}
	n.confirm()
	n.advance()
}

func (n *Node) progressOf(name string) *progress {
	p, found := n.lead.progress[name]
	if !found {
		p = &progress{next: n.log.lastIndex() + 1}
		n.lead.progress[name] = p
	}
	return p
}

func (n *Node) sendAppend(to string, out *dheffect.List) {
	p := n.progressOf(to)
	if p.next <= n.log.base.Index() {
		n.sendInstall(to, p, out)
		return
	}
	term, _ := n.log.term(p.next - 1)
	entries := n.log.from(p.next, maxAppendEntries)
	n.send(to, dhmessage.NewAppend(dhmessage.AppendOptions{
		Term: n.term, PreviousIndex: p.next - 1, PreviousTerm: term,
		Entries: entries, Commit: n.commit, Round: n.lead.round,
	}), out)
	p.next += uint64(len(entries))
}

// sendInstall sends the snapshot once, and heartbeats while it is under way.
func (n *Node) sendInstall(to string, p *progress, out *dheffect.List) {
	if p.installed != 0 && n.now.Since(p.installed) < installRetry {
		n.send(to, dhmessage.NewAppend(dhmessage.AppendOptions{
			Term: n.term, PreviousIndex: n.log.base.Index(), PreviousTerm: n.log.base.Term(),
			Commit: n.commit, Round: n.lead.round,
		}), out)
		return
	}
	p.installed = n.now
	n.send(to, dhmessage.NewInstall(dhmessage.InstallOptions{
		Term: n.term, Snapshot: n.log.base, Round: n.lead.round,
	}), out)
}

func (n *Node) onAppendAnswer(from dhmessage.Peer, m *dhmessage.AppendAnswer, out *dheffect.List) {
	if m.Term() > n.term {
		n.adopt(m.Term(), out)
		return
	}
	if n.role != leader || m.Term() < n.term {
		return
	}
	p := n.progressOf(from.Name())
	if p.folder != from.Folder() {
		// Another data folder answers under the name: what the old one had
		// says nothing about it.
		*p = progress{next: n.log.lastIndex() + 1, folder: from.Folder()}
	}
	if _, member := findVoter(n.log.voters(), from); !member {
		return
	}
	p.heard = n.now
	p.ever = true
	p.round = max(p.round, m.Round())
	n.confirm()
	if !m.Accepted() {
		p.next = min(p.next, max(m.Match(), p.match)+1)
		n.sendAppend(from.Name(), out)
		return
	}
	p.installed = 0
	p.match = max(p.match, m.Match())
	p.next = max(p.next, p.match+1)
	n.advance()
	n.confirm()
	if p.next <= n.log.lastIndex() {
		n.sendAppend(from.Name(), out)
	}
}

// ranked returns a value that a majority of voters have reached.
func (n *Node) ranked(own uint64, of func(p *progress) uint64) uint64 {
	var values []uint64
	for _, v := range n.log.voters() {
		switch {
		case v.Learner():
		case v.Peer().Name() == n.self.Name():
			values = append(values, own)
		default:
			p := n.progressOf(v.Peer().Name())
			value := uint64(0)
			if v.Peer().Folder() == "" || v.Peer().Folder() == p.folder {
				value = of(p)
			}
			values = append(values, value)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-n.quorum()]
}

// confirm works out the newest round that a majority has answered.
func (n *Node) confirm() {
	l := &n.lead
	r := n.ranked(l.round, func(p *progress) uint64 { return p.round })
	if r == 0 || r+maxRounds <= l.round || n.commit < l.firstTerm {
		return
	}
	l.confirmed = max(l.confirmed, l.rounds[r%maxRounds])
	l.everSure = true
}

// advance commits what a majority has synced, counting only entries of the
// current term.
func (n *Node) advance() {
	index := n.ranked(n.lead.synced, func(p *progress) uint64 { return p.match })
	term, found := n.log.term(index)
	if found && term == n.term && index > n.commit {
		n.commit = index
		n.lead.dirty = true
	}
}

// Confirmed returns a time at which this node certainly led and knew every
// committed entry; false if there is none.
func (n *Node) Confirmed() (dhclock.Millis, bool) {
	if n.role != leader || !n.lead.everSure {
		return 0, false
	}
	return n.lead.confirmed, true
}

// HoldsLease tells whether no other leader can have been elected yet: a
// majority answered within the election timeout, in which it gives no vote.
func (n *Node) HoldsLease(now dhclock.Millis) bool {
	at, ok := n.Confirmed()
	return ok && now.Since(at) < ElectionTimeout*9/10
}

// Since returns when this node became leader.
func (n *Node) Since() dhclock.Millis { return n.lead.since }

// Members describes every member as this leader sees it.
func (n *Node) Members() []Progress {
	var list []Progress
	for _, v := range n.log.voters() {
		if v.Peer().Name() == n.self.Name() {
			list = append(list, Progress{voter: v, folder: n.self.Folder(), match: n.log.lastIndex(), ever: true})
			continue
		}
		if n.role != leader {
			list = append(list, Progress{voter: v})
			continue
		}
		p := n.progressOf(v.Peer().Name())
		list = append(list, Progress{
			voter: v, folder: p.folder, match: p.match, silent: n.now.Since(p.heard), ever: p.ever,
		})
	}
	return list
}

// LogNow returns the log time that an entry appended now would carry.
func (n *Node) LogNow() dhclock.Millis {
	if n.role != leader {
		return n.log.lastAt()
	}
	return max(n.log.lastAt(), n.lead.logStart+n.now.Since(n.lead.since))
}
