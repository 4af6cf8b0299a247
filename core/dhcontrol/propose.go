package dhcontrol

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// retryInterval is how long a proposal waits for a response before it is sent
// again, in milliseconds. Commands are idempotent.
const retryInterval dhclock.Millis = 300

// proposalRate is the rate at which a command must reach the leader, in bytes a millisecond. While its leader leads, a
// large command is sent again only after the time for it: each copy adds to what delays the response.
const proposalRate = 1 << 10

// proposals are the commands that this process has proposed and whose results
// are outstanding.
type proposals struct {
	lastID      uint64
	voters      []string
	retryCount  int // alternates retries between the leader and the voters
	nextVoter   int // round-robin position
	outstanding map[uint64]*proposal
	bytes       int // approximate size of the outstanding commands
	// round is the leader's newest heartbeat round that is known here, and roundAt when
	// this process learned of it.
	round   dhmessage.Round
	roundAt dhclock.Millis
}

// proposal is one outstanding command.
type proposal struct {
	correlationID uint64 // of the local component
	command       dhmessage.Command
	deadline      dhclock.Millis
	lastSent      dhclock.Millis
	sentTo        string // "" until it is sent
	expires       bool   // the command must not be applied after the deadline
	isReferable   bool   // the caller can send the command to another process
}

func newProposals(startID uint64, voters []string) proposals {
	return proposals{lastID: startID, voters: voters, outstanding: map[uint64]*proposal{}}
}

// propose starts a local component's proposal. It completes one with an invalid value
// at once: neither messages nor the log can hold every value that a caller may send.
func (s *State) propose(e *dhevent.ProposalRequested, out *dheffect.List) {
	s.proposals.lastID++
	s.proposals.outstanding[s.proposals.lastID] = &proposal{
		correlationID: e.CorrelationID(), command: e.Command(), deadline: s.now + e.Timeout(),
		expires: e.Expires() && canUndoLater(e.Command()), isReferable: e.IsReferable(),
	}
	pending := s.proposals.bytes
	s.proposals.bytes += dhmessage.CommandBytes(e.Command())
	if err := checkCapacity(pending, e.Command(), maxOutstandingBytes); err != nil {
		s.proposals.complete(s.proposals.lastID, s.now, dhmessage.NewResult(dhmessage.ResultOptions{Err: err}), out)
		return
	}
	if err := checkCommand(e.Command()); err != nil {
		s.proposals.complete(s.proposals.lastID, s.now, dhmessage.NewResult(dhmessage.ResultOptions{Err: err}), out)
		return
	}
	if r := s.unknownOutcome(e.IsReferable()); r.Referral() != "" {
		s.proposals.complete(s.proposals.lastID, s.now, r, out)
		return
	}
	s.proposals.send(s.proposals.lastID, s.now, s.leader(), out)
}

// Bounds of the commands that wait for a majority, by their approximate size in bytes. Commands
// beyond them are refused at once; see dhmessage.Fits.
const (
	// maxOutstandingBytes bounds those that a process has proposed.
	maxOutstandingBytes = 16 << 20
	// maxUncommittedBytes bounds the log entries of a leader that aren't committed.
	maxUncommittedBytes = 16 << 20
)

// newBusyError returns the error for a command that has to wait for others.
func newBusyError() error {
	return dhmessage.NewRefusedError("busy", "too many changes wait for a majority of the voters; this one is not applied", "send it again later, or to another process")
}

// checkCapacity returns a RefusedError if a command doesn't fit beside the pending ones. The outcome
// of a claim is never refused: its request has run.
func checkCapacity(pending int, c dhmessage.Command, bound int) error {
	if _, ok := c.(dhmessage.Outcome); ok || dhmessage.Fits(pending, dhmessage.CommandBytes(c), bound) {
		return nil
	}
	return newBusyError()
}

// checkCommand returns an InvalidError if an edit or a declaration has a value that is
// invalid in any configuration.
func checkCommand(c dhmessage.Command) error {
	switch c := c.(type) {
	case dhmessage.Edit:
		if err := dhcatalog.CheckObjects(c.Puts()...); err != nil {
			return err
		}
		return dhcatalog.CheckRefs(c.Deletes()...)
	case dhmessage.Declare:
		return dhcatalog.CheckObjects(append(slices.Clone(c.Objects()), c.Declaration())...)
	default:
		return nil
	}
}

// proposeUnattended proposes a command whose result no component waits for.
func (s *State) proposeUnattended(c dhmessage.Command, out *dheffect.List) {
	s.propose(dhevent.NewProposalRequested(s.now, dhevent.ProposalRequestedOptions{Command: c, Timeout: unattendedTimeout, Expires: true}), out)
}

// unattendedTimeout is how long a command of proposeUnattended is sent to the
// voters, in milliseconds. Its caller proposes it again if it is still needed.
const unattendedTimeout = 2 * dhclock.Second

// send sends a proposal to the leader, or to each voter in turn while no leader
// is known. A process may send to itself.
func (p *proposals) send(id uint64, now dhclock.Millis, leader string, out *dheffect.List) {
	o := p.outstanding[id]
	to := leader
	if to == "" && len(p.voters) > 0 {
		p.nextVoter++
		to = p.voters[p.nextVoter%len(p.voters)]
	}
	if to == "" {
		return
	}
	o.lastSent, o.sentTo = now, to
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: to, Message: dhmessage.NewProposeRequest(dhmessage.ProposeRequestOptions{
		CorrelationID: id, Command: o.command, Deadline: p.leaderDeadline(o),
	})}))
}

// retryProposals resends proposals without a response and completes those past their
// deadline, and those whose callers are referred, with an unknown outcome. A proposal that the known leader didn't
// respond to goes to the voters in turn, since that leader may have failed.
func (s *State) retryProposals(out *dheffect.List) {
	p, now, leader := &s.proposals, s.now, s.leader()
	for _, id := range slices.Sorted(maps.Keys(p.outstanding)) {
		o := p.outstanding[id]
		if now >= o.deadline {
			p.complete(id, now, dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true}), out)
			continue
		}
		if !o.expires { // one that expires may still be applied if it was sent
			if r := s.unknownOutcome(o.isReferable); r.Referral() != "" {
				p.complete(id, now, r, out)
				continue
			}
		}
		if o.sentTo != "" && now.Since(o.lastSent) < o.responseTimeout(leader) {
			continue
		}
		to := leader
		if o.sentTo != "" && p.retryCount%2 == 0 {
			to = ""
		}
		p.retryCount++
		p.send(id, now, to, out)
	}
}

// responseTimeout returns how long a proposal that was sent waits for a response, given the current leader.
func (o *proposal) responseTimeout(leader string) dhclock.Millis {
	if o.sentTo != leader {
		return retryInterval
	}
	return retryInterval + dhclock.Millis(dhmessage.CommandBytes(o.command)/proposalRate)
}

// handleResponse completes a proposal with the leader's result.
func (p *proposals) handleResponse(m *dhmessage.ProposeResponse, now dhclock.Millis, out *dheffect.List) {
	if _, found := p.outstanding[m.CorrelationID()]; found {
		p.complete(m.CorrelationID(), now, m.Result(), out)
	}
}

// complete removes a proposal and passes its result to the component that
// proposed the command.
func (p *proposals) complete(id uint64, now dhclock.Millis, r dhmessage.Result, out *dheffect.List) {
	o := p.outstanding[id]
	delete(p.outstanding, id)
	p.bytes -= dhmessage.CommandBytes(o.command)
	switch o.command.(type) {
	case dhmessage.Claim:
		out.Add(dheffect.NewPostToTraffic(dheffect.PostToTrafficOptions{
			Event: dhevent.NewClaimResultReceived(now, dhevent.ClaimResultReceivedOptions{RequestID: o.correlationID, Result: r}),
		}))
	case dhmessage.Outcome:
	default:
		if o.correlationID != 0 {
			out.Add(dheffect.NewReply(dheffect.ReplyOptions{CorrelationID: o.correlationID, Result: r}))
		}
	}
}

// handleRedirect handles the response of a voter that doesn't lead, or of a leader that
// can't tell whether a proposal is in time: it records the leader and the round that the
// voter names, and repeats the join request or the proposal there. Grant requests are not
// repeated.
func (s *State) handleRedirect(m *dhmessage.Redirect, out *dheffect.List) {
	s.recordReferral(m.Members(), out)
	if m.Leader() == "" {
		return
	}
	s.distribution.SetLeader(m.Leader())
	s.reachability.recordNamedLeader(m.Leader(), s.now)
	if m.Round() != nil {
		s.proposals.recordRound(*m.Round(), s.now)
	}
	if s.automation != nil && m.CorrelationID() == 0 && m.Leader() != s.self.Name() {
		s.sendJoinRequestTo(m.Leader(), out)
	}
	if o, found := s.proposals.outstanding[m.CorrelationID()]; found && s.now < o.deadline {
		s.proposals.send(m.CorrelationID(), s.now, m.Leader(), out)
	}
}

// pendingProposal is a command in the log whose proposer awaits the result.
type pendingProposal struct {
	term uint64
	from string
	key  proposalKey
	// lifetime is for how long a copy of the proposal may still be in time; 0 if it has no
	// deadline.
	lifetime dhclock.Millis
}

// proposalKey identifies a proposal across processes.
type proposalKey struct {
	from          string
	correlationID uint64
}

// handleProposeRequest handles a proposal of another process or of this one.
func (s *State) handleProposeRequest(from dhmessage.Peer, m *dhmessage.ProposeRequest, out *dheffect.List) {
	v := s.voter
	if v == nil {
		return
	}
	if !v.node.IsLeader() {
		if s.leader() != s.self.Name() {
			out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: dhmessage.NewRedirect(dhmessage.RedirectOptions{
				CorrelationID: m.CorrelationID(), Leader: v.node.Leader(),
			})}))
		}
		return
	}
	p := pendingProposal{term: v.node.Term(), from: from.Name(), key: proposalKey{from: from.Name(), correlationID: m.CorrelationID()}}
	if _, repeated := v.pendingKeys[p.key]; repeated {
		return
	}
	if a, answered := v.answered[p.key]; answered {
		s.sendProposeResponse(p, a.result, out)
		return
	}
	if !v.isInTime(m.Deadline(), s.now) {
		s.refuseLate(from, m, out)
		return
	}
	if m.Deadline() != nil {
		p.lifetime = m.Deadline().After()
	}
	command, result, done := v.prepare(m.Command())
	if done {
		s.sendProposeResponse(p, result, out)
		return
	}
	if err := checkCapacity(v.node.UncommittedBytes(), command, maxUncommittedBytes); err != nil {
		s.sendProposeResponse(p, dhmessage.NewResult(dhmessage.ResultOptions{Err: err}), out)
		return
	}
	if edit, ok := command.(dhmessage.Edit); ok && isRegistration(edit) {
		v.pendingKeys[p.key] = true
		v.registrations.add(p, edit)
		v.proposeRegistrations(s.now, out)
		return
	}
	index, _ := v.node.Propose(command, out)
	v.pending[index] = []pendingProposal{p}
	v.pendingKeys[p.key] = true
}

func (s *State) sendProposeResponse(p pendingProposal, r dhmessage.Result, out *dheffect.List) {
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: p.from, Message: dhmessage.NewProposeResponse(dhmessage.ProposeResponseOptions{
		CorrelationID: p.key.correlationID, Result: r,
	})}))
}

// prepare returns the command to append to the log, with edits of members
// turned into the resulting list; true and the result if the proposal needs no
// log entry.
func (v *voter) prepare(c dhmessage.Command) (dhmessage.Command, dhmessage.Result, bool) {
	switch c := c.(type) {
	case dhmessage.Change:
		r, done := v.previewChange(c)
		return c, r, done
	case dhmessage.MemberEdit:
		next, err := v.editMembers(c)
		if err != nil {
			return nil, dhmessage.NewResult(dhmessage.ResultOptions{Err: err}), true
		}
		return dhmessage.NewMembers(next), dhmessage.Result{}, false
	case dhmessage.Declare:
		r, done := v.previewDeclare(c)
		return c, r, done
	case dhmessage.Claim, dhmessage.Outcome, dhmessage.Resolve, dhmessage.Edit:
		return c, dhmessage.Result{}, false
	default:
		return nil, dhmessage.NewResult(dhmessage.ResultOptions{
			Err: dhmessage.NewRefusedError("commandUnknown", "this command can't be proposed", "bring all processes to the same release"),
		}), true
	}
}

// previewChange refuses a change set that can no longer be accepted, so that it
// takes no space in the log. Only a leader that knows every committed entry can
// decide this.
func (v *voter) previewChange(c dhmessage.Change) (dhmessage.Result, bool) {
	if _, confirmed := v.node.ConfirmedAt(); !confirmed || c.ChangeSet().Base() > v.ledger.Catalog().Version() {
		return dhmessage.Result{}, false
	}
	r := v.ledger.Preview(c.ChangeSet())
	if r.Err() == nil {
		return dhmessage.Result{}, false
	}
	return r, true
}

// previewDeclare completes a declaration that can't be accepted, or that changes nothing because
// its number isn't higher than the current one, so that it takes no space in the log.
func (v *voter) previewDeclare(d dhmessage.Declare) (dhmessage.Result, bool) {
	if _, confirmed := v.node.ConfirmedAt(); !confirmed {
		return dhmessage.Result{}, false
	}
	r, changes := v.ledger.PreviewDeclare(d)
	return r, !changes
}

// editMembers returns the list of members after an edit.
func (v *voter) editMembers(e dhmessage.MemberEdit) ([]dhmessage.Member, error) {
	next := slices.Clone(v.node.Members())
	i := slices.IndexFunc(next, func(m dhmessage.Member) bool { return m.Peer().Name() == e.Name() })
	switch {
	case e.Action() == dhmessage.MemberAdd && i >= 0:
		return nil, dhmessage.NewRefusedError("memberExists", "a member of that name exists", "choose another name, or replace the member")
	case e.Action() != dhmessage.MemberAdd && i < 0:
		return nil, dhmessage.NewRefusedError("memberUnknown", "there is no member of that name", "read status for the members")
	case e.Action() == dhmessage.MemberRemove:
		next = slices.Delete(next, i, i+1)
	default:
		var err error
		if next, err = v.withLearner(next, i, e); err != nil {
			return nil, err
		}
	}
	return next, v.node.CheckMembers(next)
}

// withLearner returns the list with a learner in place of member i, or appended
// to it if i is negative.
func (v *voter) withLearner(next []dhmessage.Member, i int, e dhmessage.MemberEdit) ([]dhmessage.Member, error) {
	folder, address := e.FolderID(), e.Address()
	if i >= 0 {
		if folder == "" {
			folder = v.node.MemberProgress()[i].FolderID()
		}
		if address == "" {
			address = next[i].Address()
		}
		if folder == next[i].Peer().FolderID() {
			return nil, dhmessage.NewRefusedError("memberSame", "the member answers from the folder that has the vote",
				"start the replacement with an empty data folder first")
		}
	}
	if folder == "" || address == "" {
		return nil, dhmessage.NewRefusedError("folderUnknown", "the data folder or the address of the member isn't known",
			"start the process, then give the folder that it logs and its peer address")
	}
	learner := dhmessage.NewMember(dhmessage.NewPeer(e.Name(), folder), address, true)
	if i < 0 {
		return append(next, learner), nil
	}
	next[i] = learner
	return next, nil
}
