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
	"*dhevent.Settled":            reflect.TypeFor[*dhevent.BatchEnded](),
	"*dhevent.MessageReceived":    reflect.TypeFor[*dhevent.MessageReceived](),
	"*dhevent.LogSynced":          reflect.TypeFor[*dhevent.LogSynced](),
	"*dhevent.ProposalWanted":     reflect.TypeFor[*dhevent.ProposalRequested](),
	"*dhevent.CurrentWanted":      reflect.TypeFor[*dhevent.ReadRequested](),
	"*dhevent.StatusWanted":       reflect.TypeFor[*dhevent.StatusRequested](),
	"*dhevent.ContactRequested":   reflect.TypeFor[*dhevent.ContactRequested](),
	"*dhevent.MemoryRequested":    reflect.TypeFor[*dhevent.MemoryRequested](),
	"*dhevent.HistoryWanted":      reflect.TypeFor[*dhevent.HistoryRequested](),
	"*dhevent.ClaimWanted":        reflect.TypeFor[*dhevent.ClaimRequested](),
	"*dhevent.GrantsWanted":       reflect.TypeFor[*dhevent.GrantsRequested](),
	"*dhevent.SeedsChanged":       reflect.TypeFor[*dhevent.SeedsChanged](),
	"*dhevent.LeaveStarted":       reflect.TypeFor[*dhevent.LeaveStarted](),
	"*dhevent.SuspectsReported":   reflect.TypeFor[*dhevent.SuspectsReported](),
	"*dhevent.UpstreamChecked":    reflect.TypeFor[*dhevent.UpstreamHeartbeatReceived](),
	"*dhevent.UpstreamCheckedOut": reflect.TypeFor[*dhevent.UpstreamDeregistered](),
	"*dhevent.TrafficTicked":      reflect.TypeFor[*dhevent.TrafficTicked](),
	"*dhevent.ViewPublished":      reflect.TypeFor[*dhevent.ViewPublished](),
	"*dhevent.GrantsArrived":      reflect.TypeFor[*dhevent.GrantsReceived](),
	"*dhevent.IntakeArrived":      reflect.TypeFor[*dhevent.ReservationReceived](),
	"*dhevent.IntakeAsked":        reflect.TypeFor[*dhevent.ReservationRequested](),
	"*dhevent.ClaimAnswered":      reflect.TypeFor[*dhevent.ClaimResultReceived](),
	"*dhevent.UpstreamAnnounced":  reflect.TypeFor[*dhevent.UpstreamAnnounced](),
	"*dhevent.UpstreamLeft":       reflect.TypeFor[*dhevent.UpstreamLeft](),
	"*dhevent.RequestArrived":     reflect.TypeFor[*dhevent.RequestReceived](),
	"*dhevent.AttemptEnded":       reflect.TypeFor[*dhevent.AttemptEnded](),
	"*dhevent.UpstreamLeaving":    reflect.TypeFor[*dhevent.UpstreamLeaving](),
	"*dhevent.UpstreamProbed":     reflect.TypeFor[*dhevent.UpstreamProbed](),
	"*dhevent.StopScheduled":      reflect.TypeFor[*dhevent.StopScheduled](),
	"*dhevent.RequestAbandoned":   reflect.TypeFor[*dhevent.RequestCancelled](),
	"*dhevent.LookUpAsked":        reflect.TypeFor[*dhevent.LookUpRequested](),
	"*dhevent.PoolsAsked":         reflect.TypeFor[*dhevent.PoolStatusRequested](),
	"*dhevent.BurnAsked":          reflect.TypeFor[*dhevent.BurnReportRequested](),
	// Effects.
	"*dheffect.Send":            reflect.TypeFor[*dheffect.Send](),
	"*dheffect.RecordAddresses": reflect.TypeFor[*dheffect.RecordAddresses](),
	"*dheffect.Persist":         reflect.TypeFor[*dheffect.Persist](),
	"*dheffect.SaveSnapshot":    reflect.TypeFor[*dheffect.SaveSnapshot](),
	"*dheffect.SaveSuspects":    reflect.TypeFor[*dheffect.SaveSuspects](),
	"*dheffect.Publish":         reflect.TypeFor[*dheffect.Publish](),
	"*dheffect.Reply":           reflect.TypeFor[*dheffect.Reply](),
	"*dheffect.ToTraffic":       reflect.TypeFor[*dheffect.PostToTraffic](),
	"*dheffect.ToControl":       reflect.TypeFor[*dheffect.PostToControl](),
	"*dheffect.Log":             reflect.TypeFor[*dheffect.Log](),
	"*dheffect.StatusReply":     reflect.TypeFor[*dheffect.StatusReply](),
	"*dheffect.ContactReply":    reflect.TypeFor[*dheffect.ContactReply](),
	"*dheffect.MemoryReply":     reflect.TypeFor[*dheffect.MemoryReply](),
	"*dheffect.HistoryReply":    reflect.TypeFor[*dheffect.HistoryReply](),
	"*dheffect.ClaimReply":      reflect.TypeFor[*dheffect.ClaimReply](),
	"*dheffect.Forward":         reflect.TypeFor[*dheffect.ForwardToUpstream](),
	"*dheffect.Pass":            reflect.TypeFor[*dheffect.ForwardToPeer](),
	"*dheffect.Probe":           reflect.TypeFor[*dheffect.ProbeUpstream](),
	"*dheffect.Refuse":          reflect.TypeFor[*dheffect.Refuse](),
	"*dheffect.Replay":          reflect.TypeFor[*dheffect.Replay](),
	"*dheffect.Account":         reflect.TypeFor[*dheffect.RecordRequest](),
	"*dheffect.LookUpReply":     reflect.TypeFor[*dheffect.LookUpReply](),
	"*dheffect.PoolsReply":      reflect.TypeFor[*dheffect.PoolStatusReply](),
	"*dheffect.BurnReply":       reflect.TypeFor[*dheffect.BurnReportReply](),
	// Messages.
	"*dhmessage.VoteAsk":      reflect.TypeFor[*dhmessage.VoteRequest](),
	"*dhmessage.VoteAnswer":   reflect.TypeFor[*dhmessage.VoteResponse](),
	"*dhmessage.Append":       reflect.TypeFor[*dhmessage.AppendRequest](),
	"*dhmessage.AppendAnswer": reflect.TypeFor[*dhmessage.AppendResponse](),
	"*dhmessage.Install":      reflect.TypeFor[*dhmessage.InstallSnapshot](),
	"*dhmessage.Poll":         reflect.TypeFor[*dhmessage.Poll](),
	"*dhmessage.Update":       reflect.TypeFor[*dhmessage.Update](),
	"*dhmessage.GrantAsk":     reflect.TypeFor[*dhmessage.GrantRequest](),
	"*dhmessage.GrantGive":    reflect.TypeFor[*dhmessage.GrantResponse](),
	"*dhmessage.Propose":      reflect.TypeFor[*dhmessage.ProposeRequest](),
	"*dhmessage.Proposed":     reflect.TypeFor[*dhmessage.ProposeResponse](),
	"*dhmessage.Redirect":     reflect.TypeFor[*dhmessage.Redirect](),
	"*dhmessage.IntakeAsk":    reflect.TypeFor[*dhmessage.ReservationRequest](),
	"*dhmessage.IntakeGive":   reflect.TypeFor[*dhmessage.ReservationResponse](),
	"*dhmessage.Join":         reflect.TypeFor[*dhmessage.JoinRequest](),
	"*dhmessage.RelayedAsks":  reflect.TypeFor[*dhmessage.RelayedGrantRequests](),
	"*dhmessage.RelayedGives": reflect.TypeFor[*dhmessage.RelayedGrantResponses](),
	"*dhmessage.Heard":        reflect.TypeFor[*dhmessage.UpstreamHeartbeats](),
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
	// Catalog objects.
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

// invert returns the stored name of each type. It panics if a type is listed
// under two names: which one journals store would depend on the order of
// iteration.
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
