// Package dhcontrol is the control state of one process: a voter's consensus
// node and ledger, the distribution of the configuration, the owner's side of
// the limits, and outstanding proposals. It is pure state, owned by one
// goroutine that passes it one event at a time.
package dhcontrol

import (
	"cmp"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhdistribution"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhledger"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// Options configure the control state of a process that starts.
type Options struct {
	// Self is the process's name and the identity of its data folder.
	Self dhmessage.Peer
	// Zone is the availability zone of the process; empty on a voter without one.
	Zone string
	// Voters are the names of the voters in the settings.
	Voters []string
	// Consensus makes the process a voter or learner; nil for an entry instance.
	Consensus *dhconsensus.Options
	// StartID is a random number, new at each start of the process.
	StartID uint64 `journal:"Stream"`
	Now     dhclock.Millis
	// CompactEntries is the least number of log entries between two snapshots
	// of a voter; 0 stands for 1024.
	CompactEntries int
	// Advertised is the record of this entry instance, which the leader adds to
	// the configuration; nil where operators declare instances.
	Advertised *dhcatalog.Instance `journal:"Introduce"`
	// Managed lets the leader manage members, zones and instances
	// automatically; nil where operators manage them.
	Managed *ManagedOptions
	// Suspects are the suspects that a voter's data folder holds.
	Suspects []dhmessage.Suspect
	// ContactTimeout is the time without a response from another process after which this one
	// counts as cut off; 0 stands for the freshness lease.
	ContactTimeout dhclock.Millis `journal:"ContactTimeout,omitZero"`
}

// State is the control state of one process.
type State struct {
	self         dhmessage.Peer
	now          dhclock.Millis
	voter        *voter // nil on an entry instance
	distribution *dhdistribution.State
	proposals    proposals
	reads        []pendingRead
	registry     registry
	automation   *automation // nil where operators manage members
	grantPath    grantPath
	grantRelay   grantRelay
	leave        *pendingLeave // nil unless this process waits to hand over its vote
	reachability reachability
	// hasMajority reports whether the configuration was confirmed as current
	// within the last freshness lease.
	hasMajority bool
	// isDetached is as of the last line about it.
	isDetached bool
}

// voter is the part of the state that only voters and learners have.
type voter struct {
	node           *dhconsensus.Node
	ledger         *dhledger.Ledger
	appliedMembers []dhmessage.Member // as of the last applied entry
	pending        map[uint64][]pendingProposal
	pendingKeys    map[proposalKey]bool
	answered       map[proposalKey]answeredProposal
	registrations  registrations
	limits         *limits
	wasLeader      bool
	knownTerm      uint64
	leadership     leadership
	// compactEntries is the least number of log entries between two snapshots.
	compactEntries int
	// appliedBytes is the approximate size of the entries that were applied since the last
	// snapshot.
	appliedBytes int
}

// New returns the control state of a process that starts.
func New(o Options) *State {
	s := &State{
		self: o.Self,
		now:  o.Now,
		distribution: dhdistribution.New(dhdistribution.Options{
			Self: o.Self.Name(), Zone: o.Zone, Voters: o.Voters,
			IsVoter: o.Consensus != nil, Advertised: o.Advertised, Suspects: o.Suspects, ContactTimeout: o.ContactTimeout, Now: o.Now,
		}),
		proposals:  newProposals(o.StartID, o.Voters),
		registry:   newRegistry(),
		automation: newAutomation(o.Managed, o.Zone, o.Now),

		reachability: newReachability(o.Now),
	}
	if o.Consensus == nil {
		return s
	}
	snapshot := o.Consensus.Snapshot
	members := snapshot.Members()
	if len(members) == 0 {
		members = o.Consensus.Founders
	}
	s.voter = &voter{
		node:           dhconsensus.New(*o.Consensus),
		ledger:         dhledger.New(snapshot),
		appliedMembers: members,
		pending:        map[uint64][]pendingProposal{},
		pendingKeys:    map[proposalKey]bool{},
		answered:       map[proposalKey]answeredProposal{},

		compactEntries: cmp.Or(o.CompactEntries, defaultCompactEntries),
	}
	s.distributeCatalog()
	return s
}

// Handle applies one event and adds its effects to out.
func (s *State) Handle(e dhevent.Event, out *dheffect.List) {
	s.now = max(s.now, e.At())
	switch e := e.(type) {
	case *dhevent.Ticked:
		s.tick(e, out)
	case *dhevent.BatchEnded:
		s.endBatch(out)
	case *dhevent.MessageReceived:
		s.handleMessage(e.From(), e.Message(), out)
	case *dhevent.LogSynced:
		if s.voter != nil {
			s.voter.node.RecordSynced(e.Index(), e.Term())
		}
	case *dhevent.ProposalRequested:
		s.propose(e, out)
	case *dhevent.ReadRequested:
		s.reads = append(s.reads, pendingRead{correlationID: e.CorrelationID(), requestedAt: s.now, deadline: s.now + e.Timeout()})
		s.distribution.PollNow()
	case *dhevent.StatusRequested:
		out.Add(dheffect.NewStatusReply(dheffect.StatusReplyOptions{CorrelationID: e.CorrelationID(), Status: s.status()}))
	case *dhevent.ContactRequested:
		out.Add(dheffect.NewContactReply(dheffect.ContactReplyOptions{CorrelationID: e.CorrelationID(), Contact: s.contact()}))
	case *dhevent.MemoryRequested:
		out.Add(dheffect.NewMemoryReply(dheffect.MemoryReplyOptions{CorrelationID: e.CorrelationID(), Memory: s.memoryStatus()}))
	case *dhevent.HistoryRequested:
		out.Add(s.historyReply(e))
	case *dhevent.ClaimRequested:
		out.Add(s.claimReply(e))
	case *dhevent.GrantsRequested:
		s.sendGrantRequest(e, out)
	case *dhevent.UpstreamHeartbeatReceived:
		s.handleUpstreamHeartbeat(e, out)
	case *dhevent.UpstreamDeregistered:
		s.handleUpstreamDeregistration(e, out)
	case *dhevent.SuspectsReported:
		s.distribution.RecordSuspects(s.now, e.Report().Suspects())
	case *dhevent.SeedsChanged:
		s.proposals.voters = e.Names()
		s.distribution.SetSeeds(s.now, e.Names())
	case *dhevent.LeaveStarted:
		s.startLeaving(e, out)
	}
	s.applyCommitted(out)
}

func (s *State) tick(e *dhevent.Ticked, out *dheffect.List) {
	if s.voter != nil {
		s.voter.node.Tick(s.now, e.Random(), out)
		s.voter.tickLimits(s.now)
		s.voter.dropExpiredAnswers(s.now)
	}
	s.syncLeadership()
	s.tickReachability()
	s.logConnectivity(out)
	s.logDetachment(out)
	s.tickRegistry(out)
	if s.voter != nil {
		s.voter.proposeRegistrations(s.now, out)
		s.flushGrantRelay(out)
	}
	s.tickAutomation(out)
	s.distribution.Tick(s.now, out)
	s.retryProposals(out)
	s.completeReads(out)
	s.completeLeave(out)
}

// logConnectivity logs when this process loses or regains a majority of voters.
func (s *State) logConnectivity(out *dheffect.List) {
	confirmedAt, ok := s.distribution.ConfirmedAt()
	hasMajority := ok && s.now.Since(confirmedAt) <= dhview.FreshnessLease
	if hasMajority == s.hasMajority {
		return
	}
	s.hasMajority = hasMajority
	text := "lost a majority of the voters: the configuration may be out of date"
	if hasMajority {
		text = "in touch with a majority of the voters"
	}
	out.Add(dheffect.NewLog(dheffect.LogOptions{
		Layer: "spread", Text: text, Peer: s.leader(), Number: s.distribution.Catalog().Version(),
	}))
}

// logDetachment logs when an instance begins or ceases to serve with the configuration that it
// has because no newer confirmation is to be had.
func (s *State) logDetachment(out *dheffect.List) {
	if s.voter != nil || s.distribution.IsDetached() == s.isDetached {
		return
	}
	s.isDetached = !s.isDetached
	text := "hears of newer confirmations again"
	if s.isDetached {
		text = "no newer confirmation is to be had: goes on with the configuration that it has"
	}
	confirmedAt, _ := s.distribution.ConfirmedAt()
	out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "spread", Text: text, Number: uint64(s.now.Since(confirmedAt))}))
}

// endBatch ends a batch of events: it sends appended entries and publishes a
// changed view.
func (s *State) endBatch(out *dheffect.List) {
	if s.voter != nil {
		s.voter.node.Flush(out)
	}
	s.syncLeadership()
	s.distribution.EndBatch(s.now, out)
	s.completeReads(out)
	s.compactLog(out)
}

// handleMessage dispatches a peer's message to its handler.
func (s *State) handleMessage(from dhmessage.Peer, m dhmessage.Message, out *dheffect.List) {
	switch m := m.(type) {
	case *dhmessage.Poll:
		s.distribution.HandlePoll(s.now, from.Name(), m, out)
	case *dhmessage.Update:
		s.distribution.HandleUpdate(s.now, from.Name(), m, out)
	case *dhmessage.GrantRequest:
		s.handleGrantRequest(from, m, out)
	case *dhmessage.GrantResponse:
		s.handleGrantResponse(m, out)
	case *dhmessage.RelayedGrantRequests:
		s.handleRelayedGrantRequests(from, m, out)
	case *dhmessage.RelayedGrantResponses:
		s.handleRelayedGrantResponses(from, m, out)
	case *dhmessage.ReservationRequest:
		out.Add(dheffect.NewPostToTraffic(dheffect.PostToTrafficOptions{Event: dhevent.NewReservationRequested(s.now, dhevent.ReservationRequestedOptions{
			Instance: from.Name(), Request: m,
		})}))
	case *dhmessage.ReservationResponse:
		out.Add(dheffect.NewPostToTraffic(dheffect.PostToTrafficOptions{Event: dhevent.NewReservationReceived(s.now, dhevent.ReservationReceivedOptions{
			Instance: from.Name(), Response: m,
		})}))
	case *dhmessage.ProposeRequest:
		s.handleProposeRequest(from, m, out)
	case *dhmessage.ProposeResponse:
		s.proposals.handleResponse(m, s.now, out)
	case *dhmessage.Redirect:
		s.handleRedirect(m, out)
	case *dhmessage.JoinRequest:
		s.handleJoinRequest(from, m, out)
	case *dhmessage.UpstreamHeartbeats:
		s.registry.recordHeartbeats(s.now, m.Upstreams())
	default:
		s.stepConsensus(from, m, out)
	}
}

// stepConsensus passes a message to the consensus node and records the leader's round.
func (s *State) stepConsensus(from dhmessage.Peer, m dhmessage.Message, out *dheffect.List) {
	if s.voter == nil {
		return
	}
	s.reachability.recordMessage(from.Name(), s.now)
	s.voter.node.Step(s.now, from, m, out)
	if a, ok := m.(*dhmessage.AppendRequest); ok && s.voter.node.Leader() == from.Name() && s.voter.node.Term() == a.Term() {
		s.proposals.recordRound(dhmessage.NewRound(a.Term(), a.Round()), s.now)
	}
}

// leader returns the name of the current leader, or "" if this process knows
// none.
func (s *State) leader() string {
	if s.voter != nil && s.voter.node.Leader() != "" {
		return s.voter.node.Leader()
	}
	return s.distribution.Leader()
}

// pendingRead is a linearizable read. It waits until the configuration is
// confirmed as current at requestedAt or later.
type pendingRead struct {
	correlationID uint64
	requestedAt   dhclock.Millis
	deadline      dhclock.Millis
}

func (s *State) completeReads(out *dheffect.List) {
	kept := s.reads[:0]
	for _, r := range s.reads {
		confirmedAt, ok := s.distribution.ConfirmedAt()
		switch {
		case ok && confirmedAt >= r.requestedAt:
			s.replyRead(r, false, out)
		case s.now >= r.deadline:
			s.replyRead(r, true, out)
		default:
			kept = append(kept, r)
		}
	}
	s.reads = kept
}

func (s *State) replyRead(r pendingRead, outcomeUnknown bool, out *dheffect.List) {
	s.distribution.EndBatch(s.now, out)
	s.reply(r.correlationID, dhmessage.NewResult(dhmessage.ResultOptions{
		Version: s.distribution.Catalog().Version(), OutcomeUnknown: outcomeUnknown,
	}), out)
}

// reply sends a result to a local component.
func (s *State) reply(correlationID uint64, r dhmessage.Result, out *dheffect.List) {
	out.Add(dheffect.NewReply(dheffect.ReplyOptions{CorrelationID: correlationID, Result: r}))
}

// historyReply returns the reply with the accepted change sets that this process keeps.
func (s *State) historyReply(e *dhevent.HistoryRequested) dheffect.Effect {
	o := dheffect.HistoryReplyOptions{CorrelationID: e.CorrelationID(), Changes: s.distribution.History().Changes()}
	if s.voter != nil {
		o.Older = append([]dhmessage.Receipt(nil), s.voter.ledger.OlderReceipts()...)
	}
	return dheffect.NewHistoryReply(o)
}

// claimReply returns the reply with the voter's record of a claim.
func (s *State) claimReply(e *dhevent.ClaimRequested) dheffect.Effect {
	o := dheffect.ClaimReplyOptions{CorrelationID: e.CorrelationID()}
	if s.voter != nil {
		o.Record, o.Found = s.voter.ledger.Claim(e.Key())
	}
	return dheffect.NewClaimReply(o)
}
