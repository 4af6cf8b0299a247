// Package dhcontrol is the control state of one process: the consensus node
// and the ledger of a voter, the spread of the configuration, the owner's side
// of the limits, and the proposals under way. It is pure state, owned by one
// goroutine that drives it one event at a time.
package dhcontrol

import (
	"cmp"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhledger"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhspread"
	"dogwoodhitch/core/dhview"
)

// Options are what control state starts from.
type Options struct {
	// Self is the process's name and the identity of its data folder.
	Self dhmessage.Peer
	// Zone is the availability zone of an entry instance.
	Zone string
	// Voters are the names of the voters that the settings give.
	Voters []string
	// Consensus makes the process a voter; nil for an entry instance.
	Consensus *dhconsensus.Options
	// StartID is a random number, new at each start.
	StartID uint64
	Now     dhclock.Millis
	// CompactEntries is how many log entries a voter keeps at least between two
	// snapshots; 0 stands for 1024.
	CompactEntries int
	// Advertised is an entry instance as it runs, which the leader adds to the
	// configuration; nil where operators declare instances.
	Advertised *dhcatalog.Instance
	// Managed lets the leader look after members, zones and instances by itself;
	// nil where operators do.
	Managed *ManagedOptions
}

// State is the control state of one process.
type State struct {
	self         dhmessage.Peer
	now          dhclock.Millis
	voter        *voter // nil on an entry instance
	distribution *dhspread.State
	proposals    proposals
	reads        []pendingRead
	registry     registry
	automation   *automation // nil where operators look after members
	// hasMajority is whether the configuration was certainly current a freshness
	// lease ago or later.
	hasMajority bool
}

// voter is what only a voter has.
type voter struct {
	node           *dhconsensus.Node
	ledger         *dhledger.Ledger
	appliedMembers []dhmessage.Voter // by the last applied entry
	pending        map[uint64]pendingProposal
	pendingIndex   map[proposalKey]uint64
	limits         *limits
	wasLeader      bool
	knownTerm      uint64
	leadership     leadership
	// compactEntries is how many entries are kept between two snapshots.
	compactEntries int
}

// New returns the state of a process that starts.
func New(o Options) *State {
	s := &State{
		self: o.Self,
		now:  o.Now,
		distribution: dhspread.New(dhspread.Options{
			Self: o.Self.Name(), Zone: o.Zone, Voters: o.Voters,
			IsVoter: o.Consensus != nil, Advertised: o.Advertised, Now: o.Now,
		}),
		proposals:  newProposals(o.StartID, o.Voters),
		registry:   newRegistry(),
		automation: newAutomation(o.Managed),
	}
	if o.Consensus == nil {
		return s
	}
	snapshot := o.Consensus.Snapshot
	members := snapshot.Voters()
	if len(members) == 0 {
		members = o.Consensus.Founders
	}
	s.voter = &voter{
		node:           dhconsensus.New(*o.Consensus),
		ledger:         dhledger.New(snapshot),
		appliedMembers: members,
		pending:        map[uint64]pendingProposal{},
		pendingIndex:   map[proposalKey]uint64{},

		compactEntries: cmp.Or(o.CompactEntries, defaultCompactEntries),
	}
	s.distributeCatalog()
	return s
}

// Handle takes one event.
func (s *State) Handle(e dhevent.Event, out *dheffect.List) {
	s.now = max(s.now, e.At())
	switch e := e.(type) {
	case *dhevent.Ticked:
		s.tick(e, out)
	case *dhevent.Settled:
		s.endBatch(out)
	case *dhevent.MessageReceived:
		s.handleMessage(e.From(), e.Message(), out)
	case *dhevent.LogSynced:
		if s.voter != nil {
			s.voter.node.RecordSynced(e.Index(), e.Term())
		}
	case *dhevent.ProposalWanted:
		s.propose(e, out)
	case *dhevent.CurrentWanted:
		s.reads = append(s.reads, pendingRead{correlationID: e.Ticket(), requestedAt: s.now, deadline: s.now + e.Patience()})
		s.distribution.PollNow()
	case *dhevent.StatusWanted:
		out.Add(dheffect.NewStatusReply(dheffect.StatusReplyOptions{Ticket: e.Ticket(), Status: s.status()}))
	case *dhevent.HistoryWanted:
		out.Add(dheffect.NewHistoryReply(dheffect.HistoryReplyOptions{Ticket: e.Ticket(), Accepted: s.distribution.History()}))
	case *dhevent.ClaimWanted:
		out.Add(s.claimReply(e))
	case *dhevent.GrantsWanted:
		s.sendGrantRequest(e, out)
	case *dhevent.UpstreamChecked:
		s.handleUpstreamHeartbeat(e, out)
	case *dhevent.UpstreamCheckedOut:
		s.handleUpstreamDeregistration(e, out)
	case *dhevent.LeaveStarted:
		s.distribution.StartLeaving()
	}
	s.applyCommitted(out)
}

func (s *State) tick(e *dhevent.Ticked, out *dheffect.List) {
	if s.voter != nil {
		s.voter.node.Tick(s.now, e.Random(), out)
		s.voter.tickLimits(s.now)
	}
	s.syncLeadership()
	s.logConnectivity(out)
	s.tickRegistry(out)
	s.tickAutomation(out)
	s.distribution.Tick(s.now, out)
	s.proposals.retry(s.now, s.leader(), out)
	s.completeReads(out)
}

// logConnectivity logs when the voters are lost or regained.
func (s *State) logConnectivity(out *dheffect.List) {
	confirmed, ever := s.distribution.ConfirmedAt()
	inTouch := ever && s.now.Since(confirmed) <= dhview.FreshnessLease
	if inTouch == s.hasMajority {
		return
	}
	s.hasMajority = inTouch
	text := "lost a majority of the voters: the configuration may be out of date"
	if inTouch {
		text = "in touch with a majority of the voters"
	}
	out.Add(dheffect.NewLog(dheffect.LogOptions{
		Layer: "spread", Text: text, Peer: s.leader(), Number: s.distribution.Catalog().Version(),
	}))
}

// endBatch ends a batch: what was appended is sent, and a changed view is
// published.
func (s *State) endBatch(out *dheffect.List) {
	if s.voter != nil {
		s.voter.node.Flush(out)
	}
	s.syncLeadership()
	s.distribution.EndBatch(s.now, out)
	s.completeReads(out)
	s.compactLog(out)
}

// handleMessage hands a message to the part that it is for.
func (s *State) handleMessage(from dhmessage.Peer, m dhmessage.Message, out *dheffect.List) {
	switch m := m.(type) {
	case *dhmessage.Poll:
		s.distribution.HandlePoll(s.now, from.Name(), m, out)
	case *dhmessage.Update:
		s.distribution.HandleUpdate(s.now, from.Name(), m, out)
	case *dhmessage.GrantAsk:
		s.handleGrantRequest(from, m, out)
	case *dhmessage.GrantGive:
		out.Add(dheffect.NewToTraffic(dheffect.ToTrafficOptions{Event: dhevent.NewGrantsArrived(s.now, dhevent.GrantsArrivedOptions{
			Owner: m.Owner(), Sent: m.Sent(), Life: m.Life(), Gives: m.Gives(),
		})}))
	case *dhmessage.IntakeAsk:
		out.Add(dheffect.NewToTraffic(dheffect.ToTrafficOptions{Event: dhevent.NewIntakeAsked(s.now, dhevent.IntakeAskedOptions{
			Instance: from.Name(), Ask: m,
		})}))
	case *dhmessage.IntakeGive:
		out.Add(dheffect.NewToTraffic(dheffect.ToTrafficOptions{Event: dhevent.NewIntakeArrived(s.now, dhevent.IntakeArrivedOptions{
			Instance: from.Name(), Give: m,
		})}))
	case *dhmessage.Propose:
		s.handleProposeRequest(from, m, out)
	case *dhmessage.Proposed:
		s.proposals.handleResponse(m, s.now, out)
	case *dhmessage.Redirect:
		s.handleRedirect(m, out)
	case *dhmessage.Join:
		s.handleJoinRequest(from, m, out)
	case *dhmessage.Heard:
		s.registry.recordHeartbeats(s.now, m.Upstreams())
	default:
		if s.voter != nil {
			s.voter.node.Step(s.now, from, m, out)
		}
	}
}

// leader returns the name of the voter that leads, as far as is known.
func (s *State) leader() string {
	if s.voter != nil && s.voter.node.Leader() != "" {
		return s.voter.node.Leader()
	}
	return s.distribution.Leader()
}

// pendingRead waits until the configuration is certainly as new as when it came.
type pendingRead struct {
	correlationID uint64
	requestedAt   dhclock.Millis
	deadline      dhclock.Millis
}

func (s *State) completeReads(out *dheffect.List) {
	kept := s.reads[:0]
	for _, r := range s.reads {
		confirmed, ever := s.distribution.ConfirmedAt()
		switch {
		case ever && confirmed >= r.requestedAt:
			s.replyRead(r, false, out)
		case s.now >= r.deadline:
			s.replyRead(r, true, out)
		default:
			kept = append(kept, r)
		}
	}
	s.reads = kept
}

func (s *State) replyRead(r pendingRead, unsure bool, out *dheffect.List) {
	s.distribution.EndBatch(s.now, out)
	s.reply(r.correlationID, dhmessage.NewResult(dhmessage.ResultOptions{
		Version: s.distribution.Catalog().Version(), Unsure: unsure,
	}), out)
}

// reply answers a local component.
func (s *State) reply(ticket uint64, r dhmessage.Result, out *dheffect.List) {
	out.Add(dheffect.NewReply(dheffect.ReplyOptions{Ticket: ticket, Result: r}))
}

// claimReply tells what a voter knows of a claim.
func (s *State) claimReply(e *dhevent.ClaimWanted) dheffect.Effect {
	o := dheffect.ClaimReplyOptions{Ticket: e.Ticket()}
	if s.voter != nil {
		o.Record, o.Found = s.voter.ledger.Claim(e.Key())
	}
	return dheffect.NewClaimReply(o)
}
