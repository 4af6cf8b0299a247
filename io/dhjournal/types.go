package dhjournal

import (
	"reflect"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// typesByStoredName lists the types that may stand behind an interface in an event or
// an effect, by name. A test compares the list with the core's sources.
var typesByStoredName = typesByName(
	// Events.
	&dhevent.Ticked{}, &dhevent.Settled{}, &dhevent.MessageReceived{}, &dhevent.LogSynced{},
	&dhevent.ProposalWanted{}, &dhevent.CurrentWanted{}, &dhevent.StatusWanted{}, &dhevent.HistoryWanted{},
	&dhevent.ClaimWanted{}, &dhevent.GrantsWanted{}, &dhevent.LeaveStarted{}, &dhevent.UpstreamChecked{}, &dhevent.UpstreamCheckedOut{}, &dhevent.TrafficTicked{},
	&dhevent.ViewPublished{}, &dhevent.GrantsArrived{}, &dhevent.IntakeArrived{}, &dhevent.IntakeAsked{},
	&dhevent.ClaimAnswered{}, &dhevent.UpstreamAnnounced{}, &dhevent.UpstreamLeft{}, &dhevent.RequestArrived{},
	&dhevent.AttemptEnded{}, &dhevent.RequestAbandoned{}, &dhevent.LookUpAsked{}, &dhevent.PoolsAsked{}, &dhevent.BurnAsked{},
	// Effects.
	&dheffect.Send{}, &dheffect.Persist{}, &dheffect.SaveSnapshot{}, &dheffect.Publish{}, &dheffect.Reply{},
	&dheffect.ToTraffic{}, &dheffect.ToControl{}, &dheffect.Log{}, &dheffect.StatusReply{}, &dheffect.HistoryReply{},
	&dheffect.ClaimReply{}, &dheffect.Forward{}, &dheffect.Pass{}, &dheffect.Refuse{}, &dheffect.Replay{},
	&dheffect.Account{}, &dheffect.LookUpReply{}, &dheffect.PoolsReply{}, &dheffect.BurnReply{},
	// Messages.
	&dhmessage.VoteAsk{}, &dhmessage.VoteAnswer{}, &dhmessage.Append{}, &dhmessage.AppendAnswer{}, &dhmessage.Install{},
	&dhmessage.Poll{}, &dhmessage.Update{}, &dhmessage.GrantAsk{}, &dhmessage.GrantGive{}, &dhmessage.Propose{},
	&dhmessage.Proposed{}, &dhmessage.Redirect{}, &dhmessage.IntakeAsk{}, &dhmessage.IntakeGive{},
	&dhmessage.Join{}, &dhmessage.Heard{},
	// Commands.
	dhmessage.Noop{}, dhmessage.Change{}, dhmessage.Members{}, dhmessage.Claim{}, dhmessage.Outcome{},
	dhmessage.Resolve{}, dhmessage.MemberEdit{}, dhmessage.Declare{}, dhmessage.Edit{},
	// Objects.
	dhcatalog.Zone{}, dhcatalog.Instance{}, dhcatalog.Organisation{}, dhcatalog.Key{}, dhcatalog.Service{},
	dhcatalog.Route{}, dhcatalog.Limit{}, dhcatalog.Objective{}, dhcatalog.Site{}, dhcatalog.Drain{}, dhcatalog.Link{},
	dhcatalog.Upstream{}, dhcatalog.Evacuation{}, dhcatalog.Declaration{},
	// Errors.
	dhcatalog.ConflictError{}, dhcatalog.InvalidError{}, dhcatalog.ReusedError{},
	dhconsensus.MembersError{}, dhmessage.RefusedError{},
)

func typesByName(values ...any) map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, v := range values {
		t := reflect.TypeOf(v)
		types[t.String()] = t
	}
	return types
}
