package dhjournal

import (
	"fmt"
	"reflect"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// typesByStoredName lists the concrete types that an interface in an event or
// an effect may hold, by the names under which journals store them. A stored
// name is a fixed text: it stays when the Go type is renamed, so that journals
// of earlier releases can be replayed. TestTypesAreListed compares the list
// with the sources of core.
var typesByStoredName = map[string]reflect.Type{
	// Events.
	"*dhevent.Ticked":             reflect.TypeFor[*dhevent.Ticked](),
	"*dhevent.Settled":            reflect.TypeFor[*dhevent.Settled](),
	"*dhevent.MessageReceived":    reflect.TypeFor[*dhevent.MessageReceived](),
	"*dhevent.LogSynced":          reflect.TypeFor[*dhevent.LogSynced](),
	"*dhevent.ProposalWanted":     reflect.TypeFor[*dhevent.ProposalWanted](),
	"*dhevent.CurrentWanted":      reflect.TypeFor[*dhevent.CurrentWanted](),
	"*dhevent.StatusWanted":       reflect.TypeFor[*dhevent.StatusWanted](),
	"*dhevent.HistoryWanted":      reflect.TypeFor[*dhevent.HistoryWanted](),
	"*dhevent.ClaimWanted":        reflect.TypeFor[*dhevent.ClaimWanted](),
	"*dhevent.GrantsWanted":       reflect.TypeFor[*dhevent.GrantsWanted](),
	"*dhevent.LeaveStarted":       reflect.TypeFor[*dhevent.LeaveStarted](),
	"*dhevent.UpstreamChecked":    reflect.TypeFor[*dhevent.UpstreamChecked](),
	"*dhevent.UpstreamCheckedOut": reflect.TypeFor[*dhevent.UpstreamCheckedOut](),
	"*dhevent.TrafficTicked":      reflect.TypeFor[*dhevent.TrafficTicked](),
	"*dhevent.ViewPublished":      reflect.TypeFor[*dhevent.ViewPublished](),
	"*dhevent.GrantsArrived":      reflect.TypeFor[*dhevent.GrantsArrived](),
	"*dhevent.IntakeArrived":      reflect.TypeFor[*dhevent.IntakeArrived](),
	"*dhevent.IntakeAsked":        reflect.TypeFor[*dhevent.IntakeAsked](),
	"*dhevent.ClaimAnswered":      reflect.TypeFor[*dhevent.ClaimAnswered](),
	"*dhevent.UpstreamAnnounced":  reflect.TypeFor[*dhevent.UpstreamAnnounced](),
	"*dhevent.UpstreamLeft":       reflect.TypeFor[*dhevent.UpstreamLeft](),
	"*dhevent.RequestArrived":     reflect.TypeFor[*dhevent.RequestArrived](),
	"*dhevent.AttemptEnded":       reflect.TypeFor[*dhevent.AttemptEnded](),
	"*dhevent.RequestAbandoned":   reflect.TypeFor[*dhevent.RequestAbandoned](),
	"*dhevent.LookUpAsked":        reflect.TypeFor[*dhevent.LookUpAsked](),
	"*dhevent.PoolsAsked":         reflect.TypeFor[*dhevent.PoolsAsked](),
	"*dhevent.BurnAsked":          reflect.TypeFor[*dhevent.BurnAsked](),
	// Effects.
	"*dheffect.Send":         reflect.TypeFor[*dheffect.Send](),
	"*dheffect.Persist":      reflect.TypeFor[*dheffect.Persist](),
	"*dheffect.SaveSnapshot": reflect.TypeFor[*dheffect.SaveSnapshot](),
	"*dheffect.Publish":      reflect.TypeFor[*dheffect.Publish](),
	"*dheffect.Reply":        reflect.TypeFor[*dheffect.Reply](),
	"*dheffect.ToTraffic":    reflect.TypeFor[*dheffect.ToTraffic](),
	"*dheffect.ToControl":    reflect.TypeFor[*dheffect.ToControl](),
	"*dheffect.Log":          reflect.TypeFor[*dheffect.Log](),
	"*dheffect.StatusReply":  reflect.TypeFor[*dheffect.StatusReply](),
	"*dheffect.HistoryReply": reflect.TypeFor[*dheffect.HistoryReply](),
	"*dheffect.ClaimReply":   reflect.TypeFor[*dheffect.ClaimReply](),
	"*dheffect.Forward":      reflect.TypeFor[*dheffect.Forward](),
	"*dheffect.Pass":         reflect.TypeFor[*dheffect.Pass](),
	"*dheffect.Refuse":       reflect.TypeFor[*dheffect.Refuse](),
	"*dheffect.Replay":       reflect.TypeFor[*dheffect.Replay](),
	"*dheffect.Account":      reflect.TypeFor[*dheffect.Account](),
	"*dheffect.LookUpReply":  reflect.TypeFor[*dheffect.LookUpReply](),
	"*dheffect.PoolsReply":   reflect.TypeFor[*dheffect.PoolsReply](),
	"*dheffect.BurnReply":    reflect.TypeFor[*dheffect.BurnReply](),
	// Messages.
	"*dhmessage.VoteAsk":      reflect.TypeFor[*dhmessage.VoteAsk](),
	"*dhmessage.VoteAnswer":   reflect.TypeFor[*dhmessage.VoteAnswer](),
	"*dhmessage.Append":       reflect.TypeFor[*dhmessage.Append](),
	"*dhmessage.AppendAnswer": reflect.TypeFor[*dhmessage.AppendAnswer](),
	"*dhmessage.Install":      reflect.TypeFor[*dhmessage.Install](),
	"*dhmessage.Poll":         reflect.TypeFor[*dhmessage.Poll](),
	"*dhmessage.Update":       reflect.TypeFor[*dhmessage.Update](),
	"*dhmessage.GrantAsk":     reflect.TypeFor[*dhmessage.GrantAsk](),
	"*dhmessage.GrantGive":    reflect.TypeFor[*dhmessage.GrantGive](),
	"*dhmessage.Propose":      reflect.TypeFor[*dhmessage.Propose](),
	"*dhmessage.Proposed":     reflect.TypeFor[*dhmessage.Proposed](),
	"*dhmessage.Redirect":     reflect.TypeFor[*dhmessage.Redirect](),
	"*dhmessage.IntakeAsk":    reflect.TypeFor[*dhmessage.IntakeAsk](),
	"*dhmessage.IntakeGive":   reflect.TypeFor[*dhmessage.IntakeGive](),
	"*dhmessage.Join":         reflect.TypeFor[*dhmessage.Join](),
	"*dhmessage.Heard":        reflect.TypeFor[*dhmessage.Heard](),
	// Commands.
	"dhmessage.Noop":       reflect.TypeFor[dhmessage.Noop](),
	"dhmessage.Change":     reflect.TypeFor[dhmessage.Change](),
	"dhmessage.Members":    reflect.TypeFor[dhmessage.Members](),
	"dhmessage.Claim":      reflect.TypeFor[dhmessage.Claim](),
	"dhmessage.Outcome":    reflect.TypeFor[dhmessage.Outcome](),
	"dhmessage.Resolve":    reflect.TypeFor[dhmessage.Resolve](),
	"dhmessage.MemberEdit": reflect.TypeFor[dhmessage.MemberEdit](),
	"dhmessage.Declare":    reflect.TypeFor[dhmessage.Declare](),
	"dhmessage.Edit":       reflect.TypeFor[dhmessage.Edit](),
	// Objects.
	"dhcatalog.Zone":         reflect.TypeFor[dhcatalog.Zone](),
	"dhcatalog.Instance":     reflect.TypeFor[dhcatalog.Instance](),
	"dhcatalog.Organisation": reflect.TypeFor[dhcatalog.Organisation](),
	"dhcatalog.Key":          reflect.TypeFor[dhcatalog.Key](),
	"dhcatalog.Service":      reflect.TypeFor[dhcatalog.Service](),
	"dhcatalog.Route":        reflect.TypeFor[dhcatalog.Route](),
	"dhcatalog.Limit":        reflect.TypeFor[dhcatalog.Limit](),
	"dhcatalog.Objective":    reflect.TypeFor[dhcatalog.Objective](),
	"dhcatalog.Site":         reflect.TypeFor[dhcatalog.Site](),
	"dhcatalog.Drain":        reflect.TypeFor[dhcatalog.Drain](),
	"dhcatalog.Link":         reflect.TypeFor[dhcatalog.Link](),
	"dhcatalog.Upstream":     reflect.TypeFor[dhcatalog.Upstream](),
	"dhcatalog.Evacuation":   reflect.TypeFor[dhcatalog.Evacuation](),
	"dhcatalog.Declaration":  reflect.TypeFor[dhcatalog.Declaration](),
	// Errors.
	"dhcatalog.ConflictError":  reflect.TypeFor[dhcatalog.ConflictError](),
	"dhcatalog.InvalidError":   reflect.TypeFor[dhcatalog.InvalidError](),
	"dhcatalog.ReusedError":    reflect.TypeFor[dhcatalog.ReusedError](),
	"dhconsensus.MembersError": reflect.TypeFor[dhconsensus.MembersError](),
	"dhmessage.RefusedError":   reflect.TypeFor[dhmessage.RefusedError](),
}

// storedNamesByType is the inverse of typesByStoredName.
var storedNamesByType = invert(typesByStoredName)

// invert panics if a type is listed under two names: the name that it is
// written under would depend on the order of iteration.
func invert(types map[string]reflect.Type) map[reflect.Type]string {
	names := make(map[reflect.Type]string, len(types))
	for name, t := range types {
		if other, found := names[t]; found {
			panic(fmt.Sprintf("journal: %s is listed in types.go as both %q and %q", t, name, other))
		}
		names[t] = name
	}
	return names
}
