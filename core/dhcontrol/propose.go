package dhcontrol

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// retryInterval is how long a proposal waits for its answer before it is sent
// again, in milliseconds. Commands may be repeated without harm.
const retryInterval dhclock.Millis = 300

// proposals are the commands that this process wants committed elsewhere.
type proposals struct {
	lastID   uint64
	voters   []string
	attempts int
	open     map[uint64]*proposal
}

type proposal struct {
	correlationID uint64 // of the local component
	command       dhmessage.Command
	deadline      dhclock.Millis
	lastSent      dhclock.Millis
	wasSent       bool
}

func newProposals(stream uint64, voters []string) proposals {
	return proposals{lastID: stream, voters: voters, open: map[uint64]*proposal{}}
}

// propose takes a local component's wish.
func (s *State) propose(e *dhevent.ProposalWanted, out *dheffect.List) {
	s.proposals.lastID++
	s.proposals.open[s.proposals.lastID] = &proposal{
		correlationID: e.Ticket(), command: e.Command(), deadline: s.now + e.Patience(),
	}
	s.proposals.send(s.proposals.lastID, s.now, s.leader(), out)
}

// proposeUnattended proposes a command whose result nobody waits for.
func (s *State) proposeUnattended(c dhmessage.Command, out *dheffect.List) {
	s.propose(dhevent.NewProposalWanted(s.now, dhevent.ProposalWantedOptions{Command: c, Patience: unattendedTimeout}), out)
}

// unattendedTimeout is how long a command that nobody waits for is offered to the
// voters, in milliseconds. Whoever wishes it comes back to it.
const unattendedTimeout = 2 * dhclock.Second

// send offers a proposal to the leader, or to each voter in turn while none is
// known. A process may send to itself.
func (p *proposals) send(number uint64, now dhclock.Millis, leader string, out *dheffect.List) {
	o := p.open[number]
	to := leader
	if to == "" && len(p.voters) > 0 {
		p.attempts++
		to = p.voters[p.attempts%len(p.voters)]
	}
	if to == "" {
		return
	}
	o.lastSent, o.wasSent = now, true
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: to, Message: dhmessage.NewPropose(dhmessage.ProposeOptions{
		Ticket: number, Command: o.command,
	})}))
}

// retry sends unanswered proposals again and gives up those whose time is
// over. After a first unanswered try every voter is asked in turn, since the
// leader that was known may be gone.
func (p *proposals) retry(now dhclock.Millis, leader string, out *dheffect.List) {
	for _, n := range slices.Sorted(maps.Keys(p.open)) {
		o := p.open[n]
		if now >= o.deadline {
			p.complete(n, now, dhmessage.NewResult(dhmessage.ResultOptions{Unsure: true}), out)
			continue
		}
		if o.wasSent && now.Since(o.lastSent) < retryInterval {
			continue
		}
		to := leader
		if o.wasSent && p.attempts%2 == 0 {
			to = ""
		}
		p.attempts++
		p.send(n, now, to, out)
	}
}

// handleResponse takes the leader's answer.
func (p *proposals) handleResponse(m *dhmessage.Proposed, now dhclock.Millis, out *dheffect.List) {
	if _, found := p.open[m.Ticket()]; found {
		p.complete(m.Ticket(), now, m.Result(), out)
	}
}

// complete tells the component that wanted the command.
func (p *proposals) complete(number uint64, now dhclock.Millis, r dhmessage.Result, out *dheffect.List) {
	o := p.open[number]
	delete(p.open, number)
	switch o.command.(type) {
	case dhmessage.Claim:
		out.Add(dheffect.NewToTraffic(dheffect.ToTrafficOptions{
			Event: dhevent.NewClaimAnswered(now, dhevent.ClaimAnsweredOptions{Request: o.correlationID, Result: r}),
		}))
	case dhmessage.Outcome:
	default:
		if o.correlationID != 0 {
			out.Add(dheffect.NewReply(dheffect.ReplyOptions{Ticket: o.correlationID, Result: r}))
		}
	}
}

// handleRedirect takes the word of a voter that doesn't lead.
func (s *State) handleRedirect(m *dhmessage.Redirect, out *dheffect.List) {
	if m.Leader() == "" {
		return
	}
	s.distribution.SetLeader(m.Leader())
	if s.automation != nil && m.Ticket() == 0 && m.Leader() != s.self.Name() {
		s.sendJoinRequestTo(m.Leader(), out)
	}
	if _, found := s.proposals.open[m.Ticket()]; found {
		s.proposals.send(m.Ticket(), s.now, m.Leader(), out)
	}
}

// pendingProposal is a command in the log whose proposer waits.
type pendingProposal struct {
	term uint64
	from string
	key  proposalKey
}

// proposalKey identifies a proposal of another process.
type proposalKey struct {
	from          string
	correlationID uint64
}

// handleProposeRequest takes another process's proposal, or the own one.
func (s *State) handleProposeRequest(from dhmessage.Peer, m *dhmessage.Propose, out *dheffect.List) {
	v := s.voter
	if v == nil {
		return
	}
	if !v.node.IsLeader() {
		if s.leader() != s.self.Name() {
			out.Add(dheffect.NewSend(dheffect.SendOptions{To: from.Name(), Message: dhmessage.NewRedirect(dhmessage.RedirectOptions{
				Ticket: m.Ticket(), Leader: v.node.Leader(),
			})}))
		}
		return
	}
	p := pendingProposal{term: v.node.Term(), from: from.Name(), key: proposalKey{from: from.Name(), correlationID: m.Ticket()}}
	if _, repeated := v.pendingIndex[p.key]; repeated {
		return
	}
	command, result, settled := v.prepare(m.Command())
	if settled {
		s.sendProposeResponse(p, result, out)
		return
	}
	index, _ := v.node.Propose(command, out)
	v.pending[index] = p
	v.pendingIndex[p.key] = index
}

func (s *State) sendProposeResponse(p pendingProposal, r dhmessage.Result, out *dheffect.List) {
	out.Add(dheffect.NewSend(dheffect.SendOptions{To: p.from, Message: dhmessage.NewProposed(dhmessage.ProposedOptions{
		Ticket: p.key.correlationID, Result: r,
	})}))
}

// prepare answers what needs no entry in the log, and turns edits of members
// into the list that they lead to.
func (v *voter) prepare(c dhmessage.Command) (dhmessage.Command, dhmessage.Result, bool) {
	switch c := c.(type) {
	case dhmessage.Change:
		r, settled := v.previewChange(c)
		return c, r, settled
	case dhmessage.MemberEdit:
		next, err := v.editMembers(c)
		if err != nil {
			return nil, dhmessage.NewResult(dhmessage.ResultOptions{Err: err}), true
		}
		return dhmessage.NewMembers(next), dhmessage.Result{}, false
	case dhmessage.Declare:
		r, settled := v.previewDeclare(c)
		return c, r, settled
	case dhmessage.Claim, dhmessage.Outcome, dhmessage.Resolve, dhmessage.Edit:
		return c, dhmessage.Result{}, false
	default:
		return nil, dhmessage.NewResult(dhmessage.ResultOptions{
			Err: dhmessage.NewRefusedError("commandUnknown", "this command can't be proposed", "bring all processes to the same release"),
		}), true
	}
}

// previewChange refuses a change set that can't be accepted any more, so that
// it doesn't fill the log. Only a leader that knows every committed entry may
// judge.
func (v *voter) previewChange(c dhmessage.Change) (dhmessage.Result, bool) {
	if _, sure := v.node.ConfirmedAt(); !sure || c.Set().Base() > v.ledger.Catalog().Version() {
		return dhmessage.Result{}, false
	}
	r := v.ledger.Preview(c.Set())
	if r.Err() == nil {
		return dhmessage.Result{}, false
	}
	return r, true
}

// previewDeclare answers a declaration that changes nothing or can't be
// accepted, so that it doesn't fill the log.
func (v *voter) previewDeclare(d dhmessage.Declare) (dhmessage.Result, bool) {
	if _, sure := v.node.ConfirmedAt(); !sure {
		return dhmessage.Result{}, false
	}
	r := v.ledger.PreviewDeclare(d)
	return r, r.Err() != nil
}

// editMembers returns the members after an edit.
func (v *voter) editMembers(e dhmessage.MemberEdit) ([]dhmessage.Voter, error) {
	next := slices.Clone(v.node.Members())
	i := slices.IndexFunc(next, func(w dhmessage.Voter) bool { return w.Peer().Name() == e.Name() })
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

// withLearner adds a learner, in the place of member i unless i is negative.
func (v *voter) withLearner(next []dhmessage.Voter, i int, e dhmessage.MemberEdit) ([]dhmessage.Voter, error) {
	folder, address := e.Folder(), e.Address()
	if i >= 0 {
		if folder == "" {
			folder = v.node.Progress()[i].FolderID()
		}
		if address == "" {
			address = next[i].Address()
		}
		if folder == next[i].Peer().Folder() {
			return nil, dhmessage.NewRefusedError("memberSame", "the member answers from the folder that has the vote",
				"start the replacement with an empty data folder first")
		}
	}
	if folder == "" || address == "" {
		return nil, dhmessage.NewRefusedError("folderUnknown", "the data folder or the address of the member isn't known",
			"start the process, then give the folder that it logs and its peer address")
	}
	learner := dhmessage.NewVoter(dhmessage.NewPeer(e.Name(), folder), address, true)
	if i < 0 {
		return append(next, learner), nil
	}
	next[i] = learner
	return next, nil
}
