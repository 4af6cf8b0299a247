package dhconsensus

import (
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// maxTrackedRounds is how many heartbeat rounds a leader keeps the start times
// of.
const maxTrackedRounds = 64

// minRoundInterval is the least time between the starts of two rounds, so that
// the tracked rounds span more than the round-trip time to any voter.
const minRoundInterval dhclock.Millis = 20

// leaderState is the volatile state of a leader.
type leaderState struct {
	electedAt     dhclock.Millis
	noopIndex     uint64 // index of the no-op entry that starts the term
	syncedIndex   uint64 // last index synced to this node's disk
	progress      map[string]*progress
	round         uint64
	roundStarts   [maxTrackedRounds]dhclock.Millis
	confirmedAt   dhclock.Millis
	everConfirmed bool
	lastBroadcast dhclock.Millis
	// lastLearnerBroadcast is when the learners got messages; learnersBehind is set if a
	// broadcast has left them out since.
	lastLearnerBroadcast dhclock.Millis
	learnersBehind       bool
	logTimeAtElection    dhclock.Millis // log time at electedAt
	needsBroadcast       bool
}

// progress is the leader's replication state of another member.
type progress struct {
	nextIndex      uint64
	matchIndex     uint64
	ackedRound     uint64
	lastContact    dhclock.Millis
	snapshotSentAt dhclock.Millis
	folderID       string
	responded      bool
	inFlight       inFlight
	// rewoundTo is the value to which nextIndex was last set back after a rejection, and
	// rewoundRound the round in which that happened.
	rewoundTo    uint64
	rewoundRound uint64
}

// MemberProgress is the replication progress of a member in the leader's view.
type MemberProgress struct {
	member           dhmessage.Member
	folderID         string
	matchIndex       uint64
	sinceLastContact dhclock.Millis
	responded        bool
}

// Member returns the member.
func (p MemberProgress) Member() dhmessage.Member { return p.member }

// FolderID returns the identity of the data folder that responds under the
// member's name, or "" if none has responded.
func (p MemberProgress) FolderID() string { return p.folderID }

// MatchIndex returns the last index that the member has synced.
func (p MemberProgress) MatchIndex() uint64 { return p.matchIndex }

// SinceLastContact returns the time since the member's last response.
func (p MemberProgress) SinceLastContact() dhclock.Millis { return p.sinceLastContact }

// RespondedWithin reports whether the member has responded to this leader within a time.
func (p MemberProgress) RespondedWithin(span dhclock.Millis) bool {
	return p.responded && p.sinceLastContact <= span
}

// HasResponded reports whether the member has ever responded to this leader.
func (p MemberProgress) HasResponded() bool { return p.responded }

func (n *Node) becomeLeader(out *dheffect.List) {
	n.role = leader
	n.leader = n.self.Name()
	n.grantedVotes = nil
	n.forgetElections()
	n.leaderState = leaderState{
		electedAt:         n.now,
		progress:          map[string]*progress{},
		logTimeAtElection: n.log.lastLogTime() + n.now.Since(n.lastAppendAt),
		syncedIndex:       n.log.lastIndex(),
	}
	n.leaderState.noopIndex = n.appendEntry(dhmessage.Noop{}, out)
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: layer, Text: "became leader", Number: n.term}))
	n.broadcastAppend(out)
}

// appendEntry appends a command to this node's log.
func (n *Node) appendEntry(c dhmessage.Command, out *dheffect.List) uint64 {
	at := n.LogTime()
	e := dhmessage.NewEntry(n.log.lastIndex()+1, n.term, at, c)
	n.log.append(e)
	n.lastAppendAt = n.now
	n.persist([]dhmessage.Entry{e}, out)
	n.leaderState.needsBroadcast = true
	return e.Index()
}

// Propose appends a command if this node leads. The command is committed when
// CommitIndex reaches the returned index while the entry there keeps the term.
func (n *Node) Propose(c dhmessage.Command, out *dheffect.List) (index uint64, ok bool) {
	if n.role != leader {
		return 0, false
	}
	return n.appendEntry(c, out), true
}

// RecordSynced records that this node's disk holds the log up to an index of a
// term.
func (n *Node) RecordSynced(index, term uint64) {
	if n.role != leader || term != n.term {
		return
	}
	n.leaderState.syncedIndex = max(n.leaderState.syncedIndex, min(index, n.log.lastIndex()))
	n.advanceCommit()
}

// Flush sends the entries appended since the last Flush, as one message to each
// member.
func (n *Node) Flush(out *dheffect.List) {
	if n.role == leader && n.leaderState.needsBroadcast {
		n.broadcastAppend(out)
	}
}

func (n *Node) tickLeader(out *dheffect.List) {
	if n.now.Since(n.lastQuorumContact()) >= quorumTimeout {
		n.giveWay(out)
		return
	}
	isHeartbeatDue := n.now.Since(n.leaderState.lastBroadcast) >= HeartbeatInterval
	if isHeartbeatDue || n.leaderState.learnersBehind && n.areLearnersDue() {
		n.broadcastAppend(out)
	}
	n.proposeMemberUpdate(out)
}

// lastQuorumContact returns when a majority had responded to this leader at that time or later; its
// election counts as a response. The age of the confirmed round doesn't tell: on slow links it grows
// with the round trip, while responses arrive all the time.
func (n *Node) lastQuorumContact() dhclock.Millis {
	at := n.quorumValue(uint64(n.now), func(p *progress) uint64 { return uint64(p.lastContact) })
	return max(dhclock.Millis(at), n.leaderState.electedAt)
}

// giveWay ends the leadership of a node that reaches others, but isn't reached: followers that hear
// from a leader elect no other one. Its lease has ended by then, so it may vote at once. It stands
// later than they do.
func (n *Node) giveWay(out *dheffect.List) {
	n.lostMajorityAt = n.lastQuorumContact()
	n.becomeFollower("gives way: a majority doesn't respond", "", out)
	n.leader = ""
	n.lastContact = n.now - ElectionTimeout
	n.resetElectionTimeout()
	n.electionTimeout += ElectionTimeout + lateElectionDelay
}

// Parameters of messages to learners, on which no commit waits.
const (
	// promptLearners is the number of learners that get each change at once.
	promptLearners = 4
	// learnerInterval is what each further one adds to the least time between two messages to
	// learners, in milliseconds. A message to each of many learners for each change would take
	// most of the leader's processor time.
	learnerInterval dhclock.Millis = 4
)

// areLearnersDue reports whether learners may get messages again.
func (n *Node) areLearnersDue() bool {
	learners := 0
	for _, m := range n.log.members() {
		if m.Learner() {
			learners++
		}
	}
	interval := learnerInterval * dhclock.Millis(max(0, learners-promptLearners))
	return n.now.Since(n.leaderState.lastLearnerBroadcast) >= min(HeartbeatInterval, interval)
}

// broadcastAppend starts a heartbeat round and sends each voter, and each learner if they may get
// messages again, the entries that it lacks.
func (n *Node) broadcastAppend(out *dheffect.List) {
	l := &n.leaderState
	l.needsBroadcast, l.lastBroadcast = false, n.now
	l.learnersBehind = l.round > 0 && !n.areLearnersDue()
	if !l.learnersBehind {
		l.lastLearnerBroadcast = n.now
	}
	if l.round == 0 || n.now.Since(l.roundStarts[l.round%maxTrackedRounds]) >= minRoundInterval {
		l.round++
		l.roundStarts[l.round%maxTrackedRounds] = n.now
	}
	shared := sharedRequests{}
	for _, m := range n.log.members() {
		isLeftOut := m.Learner() && l.learnersBehind
		if m.Peer().Name() != n.self.Name() && !isLeftOut {
			n.sendAppend(m.Peer().Name(), shared, out)
		}
	}
	n.confirmRound()
	n.advanceCommit()
}

func (n *Node) progressOf(name string) *progress {
	p, found := n.leaderState.progress[name]
	if !found {
		p = &progress{nextIndex: n.log.lastIndex() + 1}
		n.leaderState.progress[name] = p
	}
	return p
}

// sharedRequests are requests with entries by the index of the first. Members that lack the same
// entries get the same request, so that it needs to be encoded once.
type sharedRequests map[uint64]appendRequest

// appendRequest is a request with the approximate size of its entries in bytes.
type appendRequest struct {
	message *dhmessage.AppendRequest
	bytes   int
}

// sendAppend sends a member the entries that it lacks, or a heartbeat while it has no room for them.
func (n *Node) sendAppend(to string, shared sharedRequests, out *dheffect.List) {
	p := n.progressOf(to)
	if p.nextIndex <= n.log.snapshot.Index() {
		n.sendInstallSnapshot(to, p, out)
		return
	}
	r, found := shared[p.nextIndex]
	if !found {
		r = n.collectEntries(p.nextIndex)
		shared[p.nextIndex] = r
	}
	entries := r.message.Entries()
	if len(entries) == 0 || !p.inFlight.hasRoom(r.bytes) {
		n.sendHeartbeat(to, p, out)
		return
	}
	n.send(to, r.message, out)
	p.nextIndex += uint64(len(entries))
	p.inFlight.record(n.now, p.nextIndex-1, r.bytes)
}

// sendHeartbeat sends a member a request without entries. Where it may overtake entries, it follows
// the last one that the member has acknowledged, unless that is compacted: a member that lacks
// the entry before a request refuses it, and the leader takes those under way for lost.
func (n *Node) sendHeartbeat(to string, p *progress, out *dheffect.List) {
	previous := p.nextIndex - 1
	if _, found := n.log.term(p.matchIndex); found && p.inFlight.mayBeOvertaken(n.now) {
		previous = p.matchIndex
	}
	n.send(to, n.newAppendRequest(previous, nil), out)
}

// collectEntries returns a request with the entries from an index on.
func (n *Node) collectEntries(from uint64) appendRequest {
	entries := n.log.entriesFrom(from, maxAppendEntries, maxAppendBytes)
	bytes := 0
	for _, e := range entries {
		bytes += e.ApproximateBytes()
	}
	return appendRequest{bytes: bytes, message: n.newAppendRequest(from-1, entries)}
}

// newAppendRequest returns a request with the entries that follow an index; a heartbeat if there are none.
func (n *Node) newAppendRequest(previous uint64, entries []dhmessage.Entry) *dhmessage.AppendRequest {
	term, _ := n.log.term(previous)
	return dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{
		Term: n.term, PreviousIndex: previous, PreviousTerm: term,
		Entries: entries, CommitIndex: n.commitIndex, Round: n.leaderState.round,
	})
}

// sendInstallSnapshot sends the snapshot once, and heartbeats while it is in
// flight.
func (n *Node) sendInstallSnapshot(to string, p *progress, out *dheffect.List) {
	if p.snapshotSentAt != 0 && n.now.Since(p.snapshotSentAt) < snapshotResendInterval {
		n.send(to, n.newAppendRequest(n.log.snapshot.Index(), nil), out)
		return
	}
	p.snapshotSentAt = n.now
	n.send(to, dhmessage.NewInstallSnapshot(dhmessage.InstallSnapshotOptions{
		Term: n.term, Snapshot: n.log.snapshot, Round: n.leaderState.round,
	}), out)
}

func (n *Node) handleAppendResponse(from dhmessage.Peer, m *dhmessage.AppendResponse, out *dheffect.List) {
	if m.Term() > n.term {
		n.stepDown(m.Term(), from, out)
		return
	}
	if n.role != leader || m.Term() < n.term {
		return
	}
	p := n.progressOf(from.Name())
	if p.folderID != from.FolderID() {
		// Another data folder responds under this name: the progress of the
		// previous folder doesn't apply to it.
		*p = progress{nextIndex: n.log.lastIndex() + 1, folderID: from.FolderID()}
	}
	member, found := findMember(n.log.members(), from)
	if !found {
		return
	}
	p.lastContact = n.now
	p.responded = true
	p.ackedRound = max(p.ackedRound, m.Round())
	n.confirmRound()
	if !m.Accepted() {
		next := max(m.MatchIndex(), p.matchIndex) + 1
		if m.Round() <= p.rewoundRound && next >= p.rewoundTo {
			// The request was sent before the entries that an earlier rejection led to. To
			// send them again for each such rejection would multiply the load of a busy leader.
			return
		}
		p.nextIndex = min(p.nextIndex, next)
		p.inFlight.lose()
		p.rewoundTo, p.rewoundRound = p.nextIndex, n.leaderState.round
		n.sendAppend(from.Name(), sharedRequests{}, out)
		return
	}
	p.snapshotSentAt = 0
	p.matchIndex = max(p.matchIndex, m.MatchIndex())
	p.inFlight.acknowledge(n.now, p.matchIndex)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.advanceCommit()
	n.confirmRound()
	// A learner that was left out gets what it lacks with the next broadcast, unless that is much.
	isLeftOut := member.Learner() && n.leaderState.learnersBehind && p.nextIndex+maxAppendEntries > n.log.lastIndex()
	if p.nextIndex <= n.log.lastIndex() && !isLeftOut && p.inFlight.hasRoom(1) {
		n.sendAppend(from.Name(), sharedRequests{}, out)
	}
}

// quorumValue returns the greatest value that a majority of voters have
// reached.
func (n *Node) quorumValue(own uint64, valueOf func(p *progress) uint64) uint64 {
	var values []uint64
	for _, m := range n.log.members() {
		switch {
		case m.Learner():
		case m.Peer().Name() == n.self.Name():
			values = append(values, own)
		default:
			p := n.progressOf(m.Peer().Name())
			value := uint64(0)
			if m.Peer().FolderID() == "" || m.Peer().FolderID() == p.folderID {
				value = valueOf(p)
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

// confirmRound records the start time of the newest round that a majority has
// acknowledged.
func (n *Node) confirmRound() {
	l := &n.leaderState
	round := n.quorumValue(l.round, func(p *progress) uint64 { return p.ackedRound })
	if round == 0 || round+maxTrackedRounds <= l.round || n.commitIndex < l.noopIndex {
		return
	}
	l.confirmedAt = max(l.confirmedAt, l.roundStarts[round%maxTrackedRounds])
	l.everConfirmed = true
}

// advanceCommit commits the entries that a majority has synced, counting only
// entries of the current term.
func (n *Node) advanceCommit() {
	index := n.quorumValue(n.leaderState.syncedIndex, func(p *progress) uint64 { return p.matchIndex })
	term, found := n.log.term(index)
	if found && term == n.term && index > n.commitIndex {
		n.commitIndex = index
		n.leaderState.needsBroadcast = true
	}
}

// ConfirmedAt returns a time at which this node certainly led and held every
// committed entry; false if there is none.
func (n *Node) ConfirmedAt() (dhclock.Millis, bool) {
	if n.role != leader || !n.leaderState.everConfirmed {
		return 0, false
	}
	return n.leaderState.confirmedAt, true
}

// HoldsLease reports whether no other leader can have been elected yet: a
// majority has acknowledged a heartbeat round that started less than nine tenths
// of the election timeout ago, and a voter grants no vote to another candidate
// for a full election timeout after a heartbeat.
func (n *Node) HoldsLease(now dhclock.Millis) bool {
	at, ok := n.ConfirmedAt()
	return ok && now.Since(at) < ElectionTimeout*9/10
}

// CurrentRound returns this leader's newest heartbeat round and when it started.
func (n *Node) CurrentRound() (dhmessage.Round, dhclock.Millis) {
	l := &n.leaderState
	return dhmessage.NewRound(n.term, l.round), l.roundStarts[l.round%maxTrackedRounds]
}

// SinceRound returns the time since a heartbeat round started; false if this node didn't
// start it as the leader of the current term, or no longer tracks it.
func (n *Node) SinceRound(r dhmessage.Round, now dhclock.Millis) (dhclock.Millis, bool) {
	l := &n.leaderState
	if n.role != leader || r.Term() != n.term || r.Number() == 0 || r.Number() > l.round || r.Number()+maxTrackedRounds <= l.round {
		return 0, false
	}
	return now.Since(l.roundStarts[r.Number()%maxTrackedRounds]), true
}

// ElectedAt returns when this node became leader.
func (n *Node) ElectedAt() dhclock.Millis { return n.leaderState.electedAt }

// MemberProgress returns the replication progress of every member. On a node
// that doesn't lead, only its own is set.
func (n *Node) MemberProgress() []MemberProgress {
	var list []MemberProgress
	for _, m := range n.log.members() {
		if m.Peer().Name() == n.self.Name() {
			list = append(list, MemberProgress{member: m, folderID: n.self.FolderID(), matchIndex: n.log.lastIndex(), responded: true})
			continue
		}
		if n.role != leader {
			list = append(list, MemberProgress{member: m})
			continue
		}
		p := n.progressOf(m.Peer().Name())
		list = append(list, MemberProgress{
			member: m, folderID: p.folderID, matchIndex: p.matchIndex, sinceLastContact: n.now.Since(p.lastContact), responded: p.responded,
		})
	}
	return list
}

// LogTime returns the log time that an entry appended now would carry.
func (n *Node) LogTime() dhclock.Millis {
	if n.role != leader {
		return n.log.lastLogTime()
	}
	return max(n.log.lastLogTime(), n.leaderState.logTimeAtElection+n.now.Since(n.leaderState.electedAt))
}
