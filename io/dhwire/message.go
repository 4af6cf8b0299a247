package dhwire

import (
	"errors"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
)

// ProtocolVersion is the version of the protocol between the system's
// processes.
const ProtocolVersion = 1

// MessageToWire converts a message between processes to protobuf.
func MessageToWire(m dhmessage.Message) *dhproto.Message {
	switch m := m.(type) {
	case *dhmessage.VoteRequest:
		return &dhproto.Message{Message: &dhproto.Message_VoteAsk{VoteAsk: &dhproto.VoteAsk{
			Term: m.Term(), LastIndex: m.LastIndex(), LastTerm: m.LastTerm(), Pre: m.PreVote(),
		}}}
	case *dhmessage.VoteResponse:
		return &dhproto.Message{Message: &dhproto.Message_VoteAnswer{VoteAnswer: &dhproto.VoteAnswer{
			Term: m.Term(), Granted: m.Granted(), Pre: m.PreVote(),
		}}}
	case *dhmessage.AppendRequest:
		return &dhproto.Message{Message: &dhproto.Message_Append{Append: appendRequestToWire(m)}}
	case *dhmessage.AppendResponse:
		return &dhproto.Message{Message: &dhproto.Message_AppendAnswer{AppendAnswer: &dhproto.AppendAnswer{
			Term: m.Term(), Accepted: m.Accepted(), Match: m.MatchIndex(), Round: m.Round(),
		}}}
	case *dhmessage.InstallSnapshot:
		return &dhproto.Message{Message: &dhproto.Message_Install{Install: &dhproto.Install{
			Term: m.Term(), Snapshot: SnapshotToWire(m.Snapshot()), Round: m.Round(),
		}}}
	case *dhmessage.Poll:
		return &dhproto.Message{Message: &dhproto.Message_Poll{Poll: pollToWire(m)}}
	case *dhmessage.Update:
		return &dhproto.Message{Message: &dhproto.Message_Update{Update: updateToWire(m)}}
	case *dhmessage.GrantRequest:
		return &dhproto.Message{Message: &dhproto.Message_GrantAsk{GrantAsk: grantRequestToWire(m)}}
	case *dhmessage.GrantResponse:
		return &dhproto.Message{Message: &dhproto.Message_GrantGive{GrantGive: grantResponseToWire(m)}}
	case *dhmessage.ProposeRequest:
		return &dhproto.Message{Message: &dhproto.Message_Propose{Propose: &dhproto.Propose{
			Ticket: m.CorrelationID(), Command: commandToWire(m.Command()), Deadline: deadlineToWire(m.Deadline()),
		}}}
	case *dhmessage.ProposeResponse:
		return &dhproto.Message{Message: &dhproto.Message_Proposed{Proposed: &dhproto.Proposed{
			Ticket: m.CorrelationID(), Result: resultToWire(m.Result()),
		}}}
	case *dhmessage.Redirect:
		return &dhproto.Message{Message: &dhproto.Message_Redirect{Redirect: &dhproto.Redirect{
			Ticket: m.CorrelationID(), Leader: m.Leader(), Round: roundToWire(m.Round()),
			Members: MembersToWire(m.Members()),
		}}}
	case *dhmessage.ReservationRequest:
		return &dhproto.Message{Message: &dhproto.Message_IntakeAsk{IntakeAsk: &dhproto.IntakeAsk{
			Service: m.Service(), SentMs: m.SentAt().Milliseconds(), Want: int32(m.Slots()),
		}}}
	case *dhmessage.ReservationResponse:
		return &dhproto.Message{Message: &dhproto.Message_IntakeGive{IntakeGive: &dhproto.IntakeGive{
			Service: m.Service(), SentMs: m.RequestSentAt().Milliseconds(), LifeMs: m.TTL().Milliseconds(), Slots: int32(m.Slots()),
		}}}
	case *dhmessage.JoinRequest:
		return &dhproto.Message{Message: &dhproto.Message_Join{Join: &dhproto.Join{Address: m.Address(), Region: m.Region(), Zone: m.Zone(), Leaving: m.Leaving()}}}
	case *dhmessage.RelayedGrantRequests:
		return &dhproto.Message{Message: &dhproto.Message_RelayedAsks{RelayedAsks: relayedRequestsToWire(m)}}
	case *dhmessage.RelayedGrantResponses:
		return &dhproto.Message{Message: &dhproto.Message_RelayedGives{RelayedGives: relayedResponsesToWire(m)}}
	case *dhmessage.UpstreamHeartbeats:
		return &dhproto.Message{Message: &dhproto.Message_Heard{Heard: &dhproto.Heard{Upstreams: m.Upstreams()}}}
	default:
		return &dhproto.Message{}
	}
}

func appendRequestToWire(m *dhmessage.AppendRequest) *dhproto.Append {
	w := &dhproto.Append{
		Term: m.Term(), PreviousIndex: m.PreviousIndex(), PreviousTerm: m.PreviousTerm(),
		Commit: m.CommitIndex(), Round: m.Round(),
	}
	for _, e := range m.Entries() {
		w.Entries = append(w.Entries, EntryToWire(e))
	}
	return w
}

func pollToWire(m *dhmessage.Poll) *dhproto.Poll {
	w := &dhproto.Poll{Version: m.Version(), SentMs: m.SentAt().Milliseconds(), Replica: m.Replica(), Suspects: SuspectReportToWire(m.Suspects()), ZoneUnresponsive: m.ZoneUnresponsive(), Probe: m.Probe(), Contacts: contactReportToWire(m.Contacts())}
	for _, a := range m.Acks() {
		ack := &dhproto.Ack{Instance: a.Instance(), Version: a.Version(), Leaving: a.Leaving(), AgeMs: a.Age().Milliseconds()}
		if i, found := a.AdvertisedInstance(); found {
			ack.Introduction = instanceToWire(i)
		}
		w.Acks = append(w.Acks, ack)
	}
	return w
}

func contactReportToWire(r *dhmessage.ContactReport) *dhproto.ContactReport {
	if r == nil {
		return nil
	}
	return &dhproto.ContactReport{AgeMs: r.Age().Milliseconds(), Silences: silencesToWire(r.Silences()), Away: unavailableToWire(r.Unavailable())}
}

func silencesToWire(list []dhmessage.Silence) []*dhproto.Silence {
	var w []*dhproto.Silence
	for _, x := range list {
		w = append(w, &dhproto.Silence{Instance: x.Instance(), AgeMs: x.Age().Milliseconds(), NeverHeard: x.NeverHeard()})
	}
	return w
}

func unavailableToWire(list []dhmessage.UnavailableInstance) []*dhproto.Away {
	var w []*dhproto.Away
	for _, a := range list {
		w = append(w, &dhproto.Away{Instance: a.Instance(), Leaving: a.Leaving()})
	}
	return w
}

func updateToWire(m *dhmessage.Update) *dhproto.Update {
	w := &dhproto.Update{
		SentMs: m.PollSentAt().Milliseconds(), Version: m.Version(), Confirmed: m.EverConfirmed(), AgeMs: m.Age().Milliseconds(),
		Full: catalogToWire(m.Full()), Leader: m.Leader(), InForce: m.InForce(), Voters: MembersToWire(m.Members()),
		LimitsAgeMs: m.LimitsAge().Milliseconds(), Suspects: SuspectReportToWire(m.Suspects()),
		Away: unavailableToWire(m.Unavailable()), Silences: silencesToWire(m.Silences()),
	}
	for _, c := range m.Changes() {
		w.Changes = append(w.Changes, ChangeSetToWire(c))
	}
	for _, d := range m.DrainAges() {
		w.Drains = append(w.Drains, &dhproto.DrainAge{Name: d.Name(), AgeMs: d.Age().Milliseconds()})
	}
	return w
}

func grantRequestToWire(m *dhmessage.GrantRequest) *dhproto.GrantAsk {
	w := &dhproto.GrantAsk{Stream: m.StartID(), Owner: m.OwnerTerm(), SentMs: m.SentAt().Milliseconds()}
	for _, a := range m.Demands() {
		w.Asks = append(w.Asks, &dhproto.Ask{
			Organisation: a.Organisation(), Want: int64(a.Amount()), Used: int64(a.Consumed()), Dropped: int64(a.Dropped()),
		})
	}
	return w
}

func grantResponseToWire(m *dhmessage.GrantResponse) *dhproto.GrantGive {
	w := &dhproto.GrantGive{
		Stream: m.StartID(), Owner: m.OwnerTerm(), SentMs: m.RequestSentAt().Milliseconds(), LifeMs: m.TTL().Milliseconds(),
	}
	for _, g := range m.Grants() {
		w.Gives = append(w.Gives, &dhproto.Give{
			Organisation: g.Organisation(), Amount: int64(g.Amount()), Through: int64(g.EndPosition()), Short: g.HasShortfall(),
		})
	}
	return w
}

// MessageFromWire converts a message between processes from protobuf, or
// returns an error.
func MessageFromWire(w *dhproto.Message) (dhmessage.Message, error) {
	switch m := w.GetMessage().(type) {
	case *dhproto.Message_VoteAsk:
		return dhmessage.NewVoteRequest(dhmessage.VoteRequestOptions{
			Term: m.VoteAsk.GetTerm(), LastIndex: m.VoteAsk.GetLastIndex(),
			LastTerm: m.VoteAsk.GetLastTerm(), PreVote: m.VoteAsk.GetPre(),
		}), nil
	case *dhproto.Message_VoteAnswer:
		return dhmessage.NewVoteResponse(dhmessage.VoteResponseOptions{
			Term: m.VoteAnswer.GetTerm(), Granted: m.VoteAnswer.GetGranted(), PreVote: m.VoteAnswer.GetPre(),
		}), nil
	case *dhproto.Message_Append:
		return appendRequestFromWire(m.Append)
	case *dhproto.Message_AppendAnswer:
		return dhmessage.NewAppendResponse(dhmessage.AppendResponseOptions{
			Term: m.AppendAnswer.GetTerm(), Accepted: m.AppendAnswer.GetAccepted(),
			MatchIndex: m.AppendAnswer.GetMatch(), Round: m.AppendAnswer.GetRound(),
		}), nil
	case *dhproto.Message_Install:
		s, err := SnapshotFromWire(m.Install.GetSnapshot())
		return dhmessage.NewInstallSnapshot(dhmessage.InstallSnapshotOptions{
			Term: m.Install.GetTerm(), Snapshot: s, Round: m.Install.GetRound(),
		}), err
	case *dhproto.Message_Poll:
		return pollFromWire(m.Poll)
	case *dhproto.Message_Update:
		return updateFromWire(m.Update)
	case *dhproto.Message_GrantAsk:
		return grantRequestFromWire(m.GrantAsk), nil
	case *dhproto.Message_GrantGive:
		return grantResponseFromWire(m.GrantGive), nil
	case *dhproto.Message_Propose:
		c, err := commandFromWire(m.Propose.GetCommand())
		return dhmessage.NewProposeRequest(dhmessage.ProposeRequestOptions{
			CorrelationID: m.Propose.GetTicket(), Command: c, Deadline: deadlineFromWire(m.Propose.GetDeadline()),
		}), err
	case *dhproto.Message_Proposed:
		return dhmessage.NewProposeResponse(dhmessage.ProposeResponseOptions{
			CorrelationID: m.Proposed.GetTicket(), Result: resultFromWire(m.Proposed.GetResult()),
		}), nil
	case *dhproto.Message_Join:
		return dhmessage.NewJoinRequest(m.Join.GetAddress(), m.Join.GetRegion(), m.Join.GetZone()).WithLeaving(m.Join.GetLeaving()), nil
	case *dhproto.Message_RelayedAsks:
		return relayedRequestsFromWire(m.RelayedAsks), nil
	case *dhproto.Message_RelayedGives:
		return relayedResponsesFromWire(m.RelayedGives), nil
	case *dhproto.Message_Heard:
		return dhmessage.NewUpstreamHeartbeats(m.Heard.GetUpstreams()), nil
	case *dhproto.Message_Redirect:
		return dhmessage.NewRedirect(dhmessage.RedirectOptions{
			CorrelationID: m.Redirect.GetTicket(), Leader: m.Redirect.GetLeader(), Round: roundFromWire(m.Redirect.GetRound()),
			Members: MembersFromWire(m.Redirect.GetMembers()),
		}), nil
	case *dhproto.Message_IntakeAsk:
		return dhmessage.NewReservationRequest(dhmessage.ReservationRequestOptions{
			Service: m.IntakeAsk.GetService(), SentAt: dhclock.Millis(m.IntakeAsk.GetSentMs()), Slots: int(m.IntakeAsk.GetWant()),
		}), nil
	case *dhproto.Message_IntakeGive:
		return dhmessage.NewReservationResponse(dhmessage.ReservationResponseOptions{
			Service: m.IntakeGive.GetService(), RequestSentAt: dhclock.Millis(m.IntakeGive.GetSentMs()),
			TTL: dhclock.Millis(m.IntakeGive.GetLifeMs()), Slots: int(m.IntakeGive.GetSlots()),
		}), nil
	default:
		return nil, FormatError{"message", "an unknown kind", "bring all processes to the same release"}
	}
}

func appendRequestFromWire(w *dhproto.Append) (dhmessage.Message, error) {
	o := dhmessage.AppendRequestOptions{
		Term: w.GetTerm(), PreviousIndex: w.GetPreviousIndex(), PreviousTerm: w.GetPreviousTerm(),
		CommitIndex: w.GetCommit(), Round: w.GetRound(),
	}
	for _, x := range w.GetEntries() {
		e, err := EntryFromWire(x)
		if err != nil {
			return nil, err
		}
		o.Entries = append(o.Entries, e)
	}
	return dhmessage.NewAppendRequest(o), nil
}

func pollFromWire(w *dhproto.Poll) (dhmessage.Message, error) {
	suspects, err := SuspectReportFromWire(w.GetSuspects())
	if err != nil {
		return nil, err
	}
	o := dhmessage.PollOptions{Version: w.GetVersion(), SentAt: dhclock.Millis(w.GetSentMs()), Replica: w.GetReplica(), Suspects: suspects, ZoneUnresponsive: w.GetZoneUnresponsive(), Probe: w.GetProbe(), Contacts: contactReportFromWire(w.GetContacts())}
	for _, a := range w.GetAcks() {
		ack := dhmessage.NewAck(a.GetInstance(), a.GetVersion(), a.GetLeaving()).WithAge(dhclock.Millis(a.GetAgeMs()))
		if a.GetIntroduction() != nil {
			ack = ack.WithAdvertisedInstance(instanceFromWire(a.GetIntroduction()))
		}
		o.Acks = append(o.Acks, ack)
	}
	return dhmessage.NewPoll(o), nil
}

func contactReportFromWire(w *dhproto.ContactReport) *dhmessage.ContactReport {
	if w == nil {
		return nil
	}
	return dhmessage.NewContactReport(dhmessage.ContactReportOptions{
		Age: dhclock.Millis(w.GetAgeMs()), Silences: silencesFromWire(w.GetSilences()), Unavailable: unavailableFromWire(w.GetAway()),
	})
}

func silencesFromWire(w []*dhproto.Silence) []dhmessage.Silence {
	var list []dhmessage.Silence
	for _, x := range w {
		list = append(list, dhmessage.NewSilence(x.GetInstance(), dhclock.Millis(x.GetAgeMs())).WithNeverHeard(x.GetNeverHeard()))
	}
	return list
}

func unavailableFromWire(w []*dhproto.Away) []dhmessage.UnavailableInstance {
	var list []dhmessage.UnavailableInstance
	for _, a := range w {
		list = append(list, dhmessage.NewUnavailableInstance(a.GetInstance(), a.GetLeaving()))
	}
	return list
}

func updateFromWire(w *dhproto.Update) (dhmessage.Message, error) {
	full, err := catalogFromWire(w.GetFull())
	if err != nil {
		return nil, err
	}
	suspects, err := SuspectReportFromWire(w.GetSuspects())
	if err != nil {
		return nil, err
	}
	o := dhmessage.UpdateOptions{
		PollSentAt: dhclock.Millis(w.GetSentMs()), Version: w.GetVersion(), EverConfirmed: w.GetConfirmed(),
		Age: dhclock.Millis(w.GetAgeMs()), Full: full, Leader: w.GetLeader(), InForce: w.GetInForce(),
		Members: MembersFromWire(w.GetVoters()), LimitsAge: dhclock.Millis(w.GetLimitsAgeMs()),
		Suspects: suspects, Unavailable: unavailableFromWire(w.GetAway()), Silences: silencesFromWire(w.GetSilences()),
	}
	for _, x := range w.GetChanges() {
		c, err := ChangeSetFromWire(x)
		if err != nil {
			return nil, err
		}
		o.Changes = append(o.Changes, c)
	}
	for _, d := range w.GetDrains() {
		o.DrainAges = append(o.DrainAges, dhmessage.NewDrainAge(d.GetName(), dhclock.Millis(d.GetAgeMs())))
	}
	return dhmessage.NewUpdate(o), nil
}

func grantRequestFromWire(w *dhproto.GrantAsk) *dhmessage.GrantRequest {
	o := dhmessage.GrantRequestOptions{StartID: w.GetStream(), OwnerTerm: w.GetOwner(), SentAt: dhclock.Millis(w.GetSentMs())}
	for _, a := range w.GetAsks() {
		o.Demands = append(o.Demands, dhmessage.NewTokenDemand(a.GetOrganisation(),
			dhmessage.Tokens(a.GetWant()), dhmessage.Tokens(a.GetUsed()), dhmessage.Tokens(a.GetDropped())))
	}
	return dhmessage.NewGrantRequest(o)
}

func grantResponseFromWire(w *dhproto.GrantGive) *dhmessage.GrantResponse {
	o := dhmessage.GrantResponseOptions{
		StartID: w.GetStream(), OwnerTerm: w.GetOwner(),
		RequestSentAt: dhclock.Millis(w.GetSentMs()), TTL: dhclock.Millis(w.GetLifeMs()),
	}
	for _, g := range w.GetGives() {
		o.Grants = append(o.Grants, dhmessage.NewTokenGrant(g.GetOrganisation(),
			dhmessage.Tokens(g.GetAmount()), dhmessage.Tokens(g.GetThrough()), g.GetShort()))
	}
	return dhmessage.NewGrantResponse(o)
}

func relayedRequestsToWire(m *dhmessage.RelayedGrantRequests) *dhproto.RelayedAsks {
	w := &dhproto.RelayedAsks{}
	for _, r := range m.List() {
		w.Asks = append(w.Asks, &dhproto.HolderAsk{Holder: r.Holder(), Ask: grantRequestToWire(r.Request())})
	}
	return w
}

func relayedRequestsFromWire(w *dhproto.RelayedAsks) *dhmessage.RelayedGrantRequests {
	var list []dhmessage.HolderRequest
	for _, a := range w.GetAsks() {
		list = append(list, dhmessage.NewHolderRequest(a.GetHolder(), grantRequestFromWire(a.GetAsk())))
	}
	return dhmessage.NewRelayedGrantRequests(list)
}

func relayedResponsesToWire(m *dhmessage.RelayedGrantResponses) *dhproto.RelayedGives {
	w := &dhproto.RelayedGives{}
	for _, r := range m.List() {
		w.Gives = append(w.Gives, &dhproto.HolderGive{Holder: r.Holder(), Give: grantResponseToWire(r.Response())})
	}
	return w
}

func relayedResponsesFromWire(w *dhproto.RelayedGives) *dhmessage.RelayedGrantResponses {
	var list []dhmessage.HolderResponse
	for _, g := range w.GetGives() {
		list = append(list, dhmessage.NewHolderResponse(g.GetHolder(), grantResponseFromWire(g.GetGive())))
	}
	return dhmessage.NewRelayedGrantResponses(list)
}

func resultToWire(r dhmessage.Result) *dhproto.Result {
	return &dhproto.Result{
		Version: r.Version(), Claim: int32(r.ClaimState()), Answer: responseToWire(r.Response()),
		Failure: failureToWire(r.Err()), Unsure: r.OutcomeUnknown(),
	}
}

func resultFromWire(w *dhproto.Result) dhmessage.Result {
	return dhmessage.NewResult(dhmessage.ResultOptions{
		Version: w.GetVersion(), ClaimState: dhmessage.ClaimState(w.GetClaim()), Response: responseFromWire(w.GetAnswer()),
		Err: failureFromWire(w.GetFailure()), OutcomeUnknown: w.GetUnsure(),
	})
}

// The kinds of Failure, besides those of a RefusedError. A conflict, an invalid
// change set and a reused ID become their own error types again at the receiver,
// all others a RefusedError.
const (
	failureConflict = "conflict"
	failureInvalid  = "invalid"
	failureReusedID = "changeIdReused"
	failureMembers  = "membersRefused"
	failureOther    = "refused"
)

func failureToWire(err error) *dhproto.Failure {
	var conflict dhcatalog.ConflictError
	var invalid dhcatalog.InvalidError
	var reused dhcatalog.ReusedError
	var members dhconsensus.MembersError
	var refused dhmessage.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &dhproto.Failure{Kind: failureConflict, Base: conflict.Base(), Current: conflict.Current()}
	case errors.As(err, &invalid):
		f := &dhproto.Failure{Kind: failureInvalid}
		for _, p := range invalid.Problems() {
			f.Problems = append(f.Problems, &dhproto.Problem{
				Kind: string(p.Ref().Kind()), Name: p.Ref().Name(), Field: p.Field(), Found: p.Found(), Remedy: p.Remedy(),
			})
		}
		return f
	case errors.As(err, &reused):
		return &dhproto.Failure{Kind: failureReusedID, Text: reused.ID()}
	case errors.As(err, &members):
		return &dhproto.Failure{Kind: failureMembers, Text: members.Reason(), Remedy: members.Remedy()}
	case errors.As(err, &refused):
		return &dhproto.Failure{Kind: refused.Kind(), Text: refused.Text(), Remedy: refused.Remedy()}
	default:
		return &dhproto.Failure{Kind: failureOther, Text: err.Error(), Remedy: "see the message"}
	}
}

func failureFromWire(f *dhproto.Failure) error {
	if f == nil {
		return nil
	}
	switch f.GetKind() {
	case failureConflict:
		return dhcatalog.NewConflictError(f.GetBase(), f.GetCurrent())
	case failureReusedID:
		return dhcatalog.NewReusedError(f.GetText())
	case failureInvalid:
		var list []dhcatalog.Problem
		for _, p := range f.GetProblems() {
			ref := dhcatalog.NewRef(dhcatalog.Kind(p.GetKind()), p.GetName())
			list = append(list, dhcatalog.NewProblem(ref, p.GetField(), p.GetFound(), p.GetRemedy()))
		}
		return dhcatalog.NewInvalidError(list)
	default:
		return dhmessage.NewRefusedError(f.GetKind(), f.GetText(), f.GetRemedy())
	}
}
