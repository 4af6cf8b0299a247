// Package dhconsensus replicates a log among a majority of voters: leader
// election with pre-vote, replication, snapshots and membership changes of one
// vote at a time, after the Raft algorithm.
//
// A Node is pure state. It gets clock readings and randomness from the events
// that drive it and returns effects. Votes and acknowledgements leave as Send
// effects after the Persist effects that they depend on; the caller must
// execute a batch's Persist effects first.
package dhconsensus

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// Time constants of the algorithm, in milliseconds.
const (
	// HeartbeatInterval is the longest time between two messages of a leader.
	HeartbeatInterval dhclock.Millis = 100
	// ElectionTimeout is the least time without contact from a leader after
	// which a voter starts an election.
	ElectionTimeout dhclock.Millis = 400
	// ElectionJitter is the range of the random part of the timeout.
	ElectionJitter dhclock.Millis = 300
	// quorumTimeout is how long a leader leads on without responses of a majority. It is longer than
	// the gap that links leave whose delay varies by up to an election timeout each way.
	quorumTimeout = 5 * ElectionTimeout / 2
	// preVoteRetryInterval is the least time after an unsuccessful pre-vote
	// until the next one, and preVoteJitter the range of the random part. The
	// interval is short because a pre-vote binds no voter, and because after a
	// restart of all processes the first pre-vote comes before the other voters
	// may grant it.
	preVoteRetryInterval dhclock.Millis = 150
	preVoteJitter        dhclock.Millis = 100
	// lateElectionDelay is how much longer than others a voter that is about to stop, or that may
	// have lost its vote, waits before it starts an election.
	lateElectionDelay dhclock.Millis = 500
	// snapshotResendInterval is the time after which a snapshot without a
	// response is sent again.
	snapshotResendInterval dhclock.Millis = 10_000
	// candidacyLogDelay is how long a node is a candidate before it logs that it wins no election.
	candidacyLogDelay = 2 * dhclock.Second
)

// maxAppendEntries is the greatest number of entries in one message.
const maxAppendEntries = 256

// maxAppendBytes is the approximate size from which on a message gets no further entry, in
// bytes. A declaration alone may have a megabyte.
const maxAppendBytes = 2 << 20

// layer is the name of this package in logs.
const layer = "consensus"

type role int

const (
	follower role = iota
	candidate
	leader
)

// Options configure a node that starts.
type Options struct {
	// Self is the node's name and the identity of its data folder.
	Self dhmessage.Peer
	// Founders are the voters of a new group, for a data folder without a log.
	Founders []dhmessage.Member
	// Term, VotedFor, Snapshot and Entries are read from the data folder.
	Term     uint64
	VotedFor string `journal:"Vote"`
	Snapshot dhmessage.Snapshot
	Entries  []dhmessage.Entry
	// Now is the clock reading at the start.
	Now dhclock.Millis
	// Random seeds the first election timeout.
	Random uint64
	// ExternalPromotion leaves it to the caller to promote learners.
	ExternalPromotion bool `journal:"Managed"`
}

// Node is one voter or learner.
type Node struct {
	self        dhmessage.Peer
	role        role
	term        uint64
	votedFor    string
	leader      string
	log         log
	commitIndex uint64
	now         dhclock.Millis
	random      uint64
	// externalPromotion leaves it to the caller to promote learners.
	externalPromotion bool

	// lastContact is when the last message of a leader of the current term
	// arrived, the last vote was granted, the last election was started or the
	// node itself started.
	lastContact     dhclock.Millis
	electionTimeout dhclock.Millis
	// lastAppendAt is when entries were last appended here, which is not before
	// the newest entry was created.
	lastAppendAt dhclock.Millis
	// grantedVotes holds the names of the voters that granted the current vote
	// or pre-vote; nil if the node leaves it to another candidate.
	grantedVotes map[string]bool
	// refusedVotes holds the names of the voters that refused it.
	refusedVotes map[string]bool
	preVote      bool
	// deferredSince has since when this node leaves elections to each other candidate, while it knows
	// no leader.
	deferredSince map[string]dhclock.Millis
	// candidateSince is when the current or last candidacy started, and isCandidacyLogged is set
	// once it was logged that it wins no election.
	candidateSince    dhclock.Millis
	isCandidacyLogged bool
	// lostMajorityAt is when a majority last responded to this node, if it gave way as leader and has
	// known none since; else 0.
	lostMajorityAt dhclock.Millis
	// leaderHeardAt is when the last message of another leader arrived; 0 if there was none.
	leaderHeardAt dhclock.Millis
	// resigned is set once the process is about to stop: it leaves elections to others.
	resigned bool

	leaderState leaderState
}

// New returns a node with the state from its data folder.
func New(o Options) *Node {
	n := &Node{
		self:         o.Self,
		term:         o.Term,
		votedFor:     o.VotedFor,
		log:          newLog(o.Snapshot, o.Founders, o.Entries),
		commitIndex:  o.Snapshot.Index(),
		now:          o.Now,
		random:       o.Random,
		lastContact:  o.Now,
		lastAppendAt: o.Now,

		deferredSince:     map[string]dhclock.Millis{},
		externalPromotion: o.ExternalPromotion,
	}
	n.resetElectionTimeout()
	return n
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// IsLeader reports whether this node considers itself the leader.
func (n *Node) IsLeader() bool { return n.role == leader }

// Leader returns the name of the leader of the current term, or "" if unknown.
func (n *Node) Leader() string { return n.leader }

// CommitIndex returns the index of the last entry that this node knows to be
// committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// SnapshotIndex returns the index that the newest snapshot covers.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index() }

// LogBytes returns the approximate size of the log entries after the snapshot, in bytes.
func (n *Node) LogBytes() int { return n.log.bytes }

// UncommittedBytes returns the approximate size of the log entries that this node doesn't know to be
// committed, in bytes.
func (n *Node) UncommittedBytes() int {
	size := 0
	for _, e := range n.log.entries[n.commitIndex-n.log.snapshot.Index():] {
		size += e.ApproximateBytes()
	}
	return size
}

// Members returns the voters and learners as of the newest entry, committed or
// not.
func (n *Node) Members() []dhmessage.Member { return n.log.members() }

// Entry returns a committed or uncommitted entry of the log.
func (n *Node) Entry(index uint64) (dhmessage.Entry, bool) { return n.log.entry(index) }

// IsMember reports whether this node is a voter or learner as of the newest entry, committed or
// not.
func (n *Node) IsMember() bool {
	_, found := findMember(n.log.members(), n.self)
	return found
}

// IsVoter reports whether this node has a vote as of the newest entry, committed or not.
func (n *Node) IsVoter() bool { return n.isVoter(n.self) }

// isVoter reports whether a peer has a vote under the current members.
func (n *Node) isVoter(p dhmessage.Peer) bool { return hasVote(n.log.members(), p) }

// hasVote reports whether a peer has a vote under a list of members.
func hasVote(list []dhmessage.Member, p dhmessage.Peer) bool {
	m, found := findMember(list, p)
	return found && !m.Learner()
}

// mayStand reports whether this node may start an election: as a voter, also by the members as of
// the last entry that it knows to be committed. It alone may have the entry that takes its vote, and
// others, which count on its vote, get none from it.
func (n *Node) mayStand() bool {
	return n.isVoter(n.self) || hasVote(n.log.membersAt(n.commitIndex), n.self)
}

func findMember(list []dhmessage.Member, p dhmessage.Peer) (dhmessage.Member, bool) {
	for _, m := range list {
		if m.Peer().Name() != p.Name() {
			continue
		}
		folder := m.Peer().FolderID()
		if folder == "" || folder == p.FolderID() {
			return m, true
		}
	}
	return dhmessage.Member{}, false
}

// quorum returns the number of votes that make a majority.
func (n *Node) quorum() int {
	count := 0
	for _, m := range n.log.members() {
		if !m.Learner() {
			count++
		}
	}
	return count/2 + 1
}

func (n *Node) resetElectionTimeout() { n.electionTimeout = ElectionTimeout + n.jitter(ElectionJitter) }

// jitter returns a random duration below a bound.
func (n *Node) jitter(bound dhclock.Millis) dhclock.Millis {
	n.random = n.random*6364136223846793005 + 1442695040888963407
	return dhclock.Millis((n.random >> 33) % uint64(bound))
}

// Tick advances the clock: a leader sends heartbeats, and other nodes start
// elections when their timeout has passed.
func (n *Node) Tick(now dhclock.Millis, random uint64, out *dheffect.List) {
	n.now = max(n.now, now)
	n.random ^= random
	if n.role == leader {
		n.tickLeader(out)
		return
	}
	if n.now.Since(n.lastContact) < n.electionTimeout {
		return
	}
	standsLate := n.resigned || !n.isVoter(n.self)
	if !n.mayStand() || standsLate && n.now.Since(n.lastContact) < n.electionTimeout+lateElectionDelay {
		// A learner can't start an election, and a voter that stops or may have lost its vote does
		// so only if no other one has won: the others may lack an entry that it has. It forgets
		// the leader, so that its caller looks for the leader at other processes.
		n.leader = ""
		return
	}
	n.startElection(true, out)
}

// Resign leaves elections to others, because the process is about to stop. The node still votes
// and replicates, and a leader leads on: an election would delay the handover of its vote.
func (n *Node) Resign(out *dheffect.List) {
	n.resigned = true
	if n.role == candidate {
		n.becomeFollower("gives way: the process is about to stop", "", out)
	}
}

// Step handles a message from another member.
func (n *Node) Step(now dhclock.Millis, from dhmessage.Peer, m dhmessage.Message, out *dheffect.List) {
	n.now = max(n.now, now)
	switch m := m.(type) {
	case *dhmessage.VoteRequest:
		n.handleVoteRequest(from, m, out)
	case *dhmessage.VoteResponse:
		n.handleVoteResponse(from, m, out)
	case *dhmessage.AppendRequest:
		n.handleAppend(from, m, out)
	case *dhmessage.AppendResponse:
		n.handleAppendResponse(from, m, out)
	case *dhmessage.InstallSnapshot:
		n.handleInstallSnapshot(from, m, out)
	}
}

// stepDown enters a newer term, of which a peer tells, as a follower.
func (n *Node) stepDown(term uint64, from dhmessage.Peer, out *dheffect.List) {
	n.term = term
	n.votedFor = ""
	n.leader = ""
	n.becomeFollower("gives way to a newer term", from.Name(), out)
	n.persist(nil, out)
}

// becomeFollower ends a candidacy or leadership. The reason and the peer that caused it are logged.
func (n *Node) becomeFollower(reason, peer string, out *dheffect.List) {
	if n.role != follower {
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: layer, Text: reason, Peer: peer, Number: n.term}))
	}
	n.role = follower
	n.leaderState = leaderState{}
	n.grantedVotes = nil
}

func (n *Node) persist(entries []dhmessage.Entry, out *dheffect.List) {
	out.Add(dheffect.NewPersist(dheffect.PersistOptions{Term: n.term, VotedFor: n.votedFor, Entries: entries}))
}

func (n *Node) send(to string, m dhmessage.Message, out *dheffect.List) {
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: to, Message: m}))
}
