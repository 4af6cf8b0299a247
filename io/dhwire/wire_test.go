package dhwire

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
)

// sampleObjects returns objects of most kinds, with nonzero fields.
func sampleObjects() []dhcatalog.Object {
	return []dhcatalog.Object{
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "z", Region: "r"}),
		dhcatalog.NewInstance(dhcatalog.InstanceOptions{Name: "i", Zone: "z", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2"}),
		dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o", StaleGrace: 5, Weight: 2}),
		dhcatalog.NewKey(dhcatalog.KeyOptions{Name: "k", Organisation: "o", Hash: HashSecret("a secret of the tests")}),
		dhcatalog.NewService(dhcatalog.ServiceOptions{Name: "s", SpillPercent: 5, ColdStart: 6}),
		dhcatalog.NewRoute(dhcatalog.RouteOptions{Name: "t", PathPrefix: "/", Service: "s", ClaimRequired: true, Timeout: 1, QueueWait: 2, Priority: 3, Retention: 4}),
		dhcatalog.NewLimit(dhcatalog.LimitOptions{Name: "l", Organisation: "o", Rate: 7, Burst: 8}),
		dhcatalog.NewObjective(dhcatalog.ObjectiveOptions{Name: "b", Route: "t", TargetPerMillion: 9, Latency: 10}),
		dhcatalog.NewSite(dhcatalog.SiteOptions{Name: "e", Zone: "z", TimeToLive: 11, Default: true}),
		dhcatalog.NewDrain(dhcatalog.DrainOptions{Name: "d", Target: dhcatalog.NewRef(dhcatalog.KindZone, "z"), Ramp: 12, Paused: true, MovedPercent: 13}),
		dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "y", Region: "q"}),
		dhcatalog.NewLink(dhcatalog.LinkOptions{Name: "n", Regions: [2]string{"r", "q"}, KilobytesPerSecond: 14}),
	}
}

// sampleChangeSet returns a change set with sampleObjects and a block of each
// address family, converted to protobuf and back, which sets its digest.
func sampleChangeSet(t testing.TB) dhcatalog.ChangeSet {
	t.Helper()
	ipv4, err := BlockFromWire("203.0.113.0/24")
	if err != nil {
		t.Fatal(err)
	}
	ipv6, err := BlockFromWire("2001:db8::/48")
	if err != nil {
		t.Fatal(err)
	}
	set, err := ChangeSetFromWire(ChangeSetToWire(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: "x", Author: "a", Puts: sampleObjects(),
		Blocks: []dhcatalog.BlockChange{dhcatalog.NewBlockChange(ipv4, "e"), dhcatalog.NewBlockChange(ipv6, "e")},
	})))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// TestRoundTrip converts messages, commands, objects and errors to protobuf and
// back, and checks that nothing is lost or changed.
func TestRoundTrip(t *testing.T) {
	set := sampleChangeSet(t)
	for i, o := range set.Puts() {
		if !reflect.DeepEqual(o, sampleObjects()[i]) {
			t.Errorf("%s is changed after the round trip: got %+v", o.Ref(), o)
		}
	}
	c, err := dhcatalog.New().Apply(set)
	if err != nil {
		t.Fatal(err)
	}
	voters := []dhmessage.Member{dhmessage.NewMember(dhmessage.NewPeer("c", "f"), "10.0.0.1:1", true).WithZone("z").WithLeaving(true)}
	key, claimant := dhmessage.NewClaimKey("o", "k"), dhmessage.NewClaimant("i", 1, 2)
	response := dhmessage.NewResponse(200, []dhmessage.HeaderField{dhmessage.NewHeaderField("A", "b")}, []byte("body"))
	commands := []dhmessage.Command{
		dhmessage.Noop{},
		dhmessage.NewChange(set), dhmessage.NewMembers(voters),
		dhmessage.NewClaim(dhmessage.ClaimOptions{Key: key, Claimant: claimant, Digest: dhcatalog.Hash{1}, Timeout: 3, Retention: 4}),
		dhmessage.NewOutcome(key, claimant, dhmessage.ClaimDone, response), dhmessage.NewResolve(key, true),
		dhmessage.NewMemberEdit(dhmessage.MemberReplace, "c", "10.0.0.1:1", "f"),
	}
	var entries []dhmessage.Entry
	for i, x := range commands {
		entries = append(entries, dhmessage.NewEntry(uint64(i+1), 2, 3, x))
	}
	snapshot := dhmessage.NewSnapshot(dhmessage.SnapshotOptions{
		Index: 1, Term: 2, LogTime: 3, Members: voters, Catalog: c, RecentChanges: []dhmessage.AcceptedChange{dhmessage.NewAcceptedChange(1, 2, set, dhcatalog.New().Undo(set))},
		Receipts:        []dhmessage.Receipt{dhmessage.NewReceipt(dhmessage.ReceiptOptions{Version: 7, LogTime: 1, ID: "i", Author: "a", Digest: dhcatalog.Hash{2}})},
		LimitsChangedAt: 2, DrainStarts: []dhmessage.DrainStart{dhmessage.NewDrainStart("d", 2)},
		Claims: []dhmessage.ClaimRecord{dhmessage.NewClaimRecord(dhmessage.ClaimRecordOptions{
			Key: key, Claimant: claimant, Digest: dhcatalog.Hash{1}, State: dhmessage.ClaimDone, Response: response, Deadline: 5, Expiry: 6,
		})},
	})
	results := []dhmessage.ResultOptions{
		{Version: 1, ClaimState: dhmessage.ClaimDone, Response: response},
		{OutcomeUnknown: true},
		{Err: dhcatalog.NewConflictError(1, 2)},
		{Err: dhcatalog.NewReusedError("x")},
		{Err: dhcatalog.NewInvalidError([]dhcatalog.Problem{dhcatalog.NewProblem(dhcatalog.NewRef("zone", "z"), "f", "1", "r")})},
		{Err: dhmessage.NewRefusedError("kind", "text", "remedy")},
	}
	suspects := dhmessage.NewSuspectReport(dhmessage.SuspectReportOptions{Digest: 1, Suspects: []dhmessage.Suspect{
		dhmessage.NewSuspect(dhmessage.SuspectOptions{Fingerprint: dhmessage.NewFingerprint("o", dhcatalog.Hash{1}), Acquittals: 2, Crashes: []uint64{3, 4}, Age: 5}),
	}})
	round := dhmessage.NewRound(1, 2)
	deadline := dhmessage.NewDeadline(round, 3)
	messages := []dhmessage.Message{
		dhmessage.NewVoteRequest(dhmessage.VoteRequestOptions{Term: 1, LastIndex: 2, LastTerm: 3, PreVote: true}),
		dhmessage.NewVoteResponse(dhmessage.VoteResponseOptions{Term: 1, Granted: true, PreVote: true}),
		dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{Term: 1, PreviousIndex: 2, PreviousTerm: 3, Entries: entries, CommitIndex: 4, Round: 5}),
		dhmessage.NewAppendResponse(dhmessage.AppendResponseOptions{Term: 1, Accepted: true, MatchIndex: 2, Round: 3}),
		dhmessage.NewInstallSnapshot(dhmessage.InstallSnapshotOptions{Term: 1, Snapshot: snapshot, Round: 2}),
		dhmessage.NewPoll(dhmessage.PollOptions{Version: 1, SentAt: 2, Acks: []dhmessage.Ack{dhmessage.NewAck("i", 1, true).WithAge(2)}, Replica: true, Suspects: suspects, ZoneUnresponsive: true, Probe: true, Contacts: dhmessage.NewContactReport(dhmessage.ContactReportOptions{
			Age: 7, Silences: []dhmessage.Silence{dhmessage.NewSilence("i", 8).WithNeverHeard(true)}, Unavailable: []dhmessage.UnavailableInstance{dhmessage.NewUnavailableInstance("i", true)},
		})}),
		dhmessage.NewUpdate(dhmessage.UpdateOptions{
			PollSentAt: 1, Version: 2, EverConfirmed: true, Age: 3, Full: c, Changes: []dhcatalog.ChangeSet{set},
			Unavailable: []dhmessage.UnavailableInstance{dhmessage.NewUnavailableInstance("i", true)}, Leader: "c", InForce: 4,
			DrainAges: []dhmessage.DrainAge{dhmessage.NewDrainAge("d", 5)}, Members: voters, Suspects: suspects, Silences: []dhmessage.Silence{dhmessage.NewSilence("i", 6).WithNeverHeard(true)},
		}),
		dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 1, OwnerTerm: 2, SentAt: 3, Demands: []dhmessage.TokenDemand{dhmessage.NewTokenDemand("o", 1, 2, 3)}}),
		dhmessage.NewGrantResponse(dhmessage.GrantResponseOptions{StartID: 1, OwnerTerm: 2, RequestSentAt: 3, TTL: 4, Grants: []dhmessage.TokenGrant{dhmessage.NewTokenGrant("o", 1, 2, true)}}),
		dhmessage.NewRelayedGrantRequests([]dhmessage.HolderRequest{dhmessage.NewHolderRequest("i", dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{
			StartID: 1, OwnerTerm: 2, SentAt: 3, Demands: []dhmessage.TokenDemand{dhmessage.NewTokenDemand("o", 1, 2, 3)},
		}))}),
		dhmessage.NewRelayedGrantResponses([]dhmessage.HolderResponse{dhmessage.NewHolderResponse("i", dhmessage.NewGrantResponse(dhmessage.GrantResponseOptions{
			StartID: 1, OwnerTerm: 2, RequestSentAt: 3, TTL: 4, Grants: []dhmessage.TokenGrant{dhmessage.NewTokenGrant("o", 1, 2, true)},
		}))}),
		dhmessage.NewJoinRequest("c:1", "r", "z").WithLeaving(true),
		dhmessage.NewRedirect(dhmessage.RedirectOptions{CorrelationID: 1, Leader: "c", Round: &round, Members: []dhmessage.Member{
			dhmessage.NewMember(dhmessage.NewPeer("c", "c1"), "c:1", false).WithZone("z"),
		}}),
		dhmessage.NewProposeRequest(dhmessage.ProposeRequestOptions{CorrelationID: 1, Command: commands[0], Deadline: &deadline}),
		dhmessage.NewReservationRequest(dhmessage.ReservationRequestOptions{Service: "s", SentAt: 1, Slots: 2}),
		dhmessage.NewReservationResponse(dhmessage.ReservationResponseOptions{Service: "s", RequestSentAt: 1, TTL: 2, Slots: 3}),
	}
	for _, x := range commands {
		messages = append(messages, dhmessage.NewProposeRequest(dhmessage.ProposeRequestOptions{CorrelationID: 1, Command: x}))
	}
	for _, r := range results {
		messages = append(messages, dhmessage.NewProposeResponse(dhmessage.ProposeResponseOptions{CorrelationID: 1, Result: dhmessage.NewResult(r)}))
	}
	for _, m := range messages {
		first := MessageToWire(m)
		converted, err := MessageFromWire(first)
		if err != nil {
			t.Errorf("%T: %v", m, err)
			continue
		}
		if second := MessageToWire(converted); !proto.Equal(first, second) || reflect.TypeOf(converted) != reflect.TypeOf(m) {
			t.Errorf("%T is changed after the round trip: got %v", m, second)
		}
	}
}

// TestInvalidMessagesRejected checks that incomplete or inconsistent messages are
// rejected with a FormatError that names a remedy, and that texts that are no valid
// block are rejected.
func TestInvalidMessagesRejected(t *testing.T) {
	invalid := []*dhproto.Message{
		{},
		{Message: &dhproto.Message_Propose{Propose: &dhproto.Propose{}}},
		{Message: &dhproto.Message_Update{Update: &dhproto.Update{Changes: []*dhproto.ChangeSet{{Puts: []*dhproto.Object{{}}}}}}},
		{Message: &dhproto.Message_Update{Update: &dhproto.Update{Full: &dhproto.Catalog{Version: 1, Blocks: &dhproto.BlockTable{Starts: []uint64{1}}}}}},
		{Message: &dhproto.Message_Append{Append: &dhproto.Append{Entries: []*dhproto.Entry{{}}}}},
	}
	for _, m := range invalid {
		_, err := MessageFromWire(m)
		var format FormatError
		if !errors.As(err, &format) || format.Remedy() == "" {
			t.Errorf("message %v: got error %v, want a FormatError with a remedy", m, err)
		}
	}
	for _, text := range []string{"", "10.0.0.1", "10.0.0.1/24", "2001:db8::/96", "x/8"} {
		if _, err := BlockFromWire(text); err == nil {
			t.Errorf("block %q was accepted", text)
		}
	}
}

// BenchmarkMessages encodes and decodes messages and reports their size.
func BenchmarkMessages(b *testing.B) {
	measure := func(name string, m dhmessage.Message) {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				raw, err := proto.Marshal(MessageToWire(m))
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
				w := &dhproto.Message{}
				if err := proto.Unmarshal(raw, w); err != nil {
					b.Fatal(err)
				}
				if _, err := MessageFromWire(w); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
	for _, n := range []int{1, 8, 24} {
		var acks []dhmessage.Ack
		for i := range n {
			acks = append(acks, dhmessage.NewAck(fmt.Sprintf("zone-%02d-instance-%02d", n, i), 123_456, false))
		}
		measure(fmt.Sprint("poll with acks ", n), dhmessage.NewPoll(dhmessage.PollOptions{Version: 123_456, SentAt: 1 << 40, Acks: acks}))
	}
	for _, n := range []int{1, 8, 32} {
		var demands []dhmessage.TokenDemand
		for i := range n {
			demands = append(demands, dhmessage.NewTokenDemand(fmt.Sprintf("organisation-%03d", i), 20*dhmessage.Token, 1<<40, 1<<30))
		}
		measure(fmt.Sprint("grant request, organisations ", n), dhmessage.NewGrantRequest(dhmessage.GrantRequestOptions{StartID: 1 << 60, OwnerTerm: 7, SentAt: 1 << 40, Demands: demands}))
	}
	set := dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{ID: "change-0123456789", Base: 9, Author: "operator", Puts: sampleObjects()[2:4]})
	measure("update with a change", dhmessage.NewUpdate(dhmessage.UpdateOptions{
		PollSentAt: 1 << 40, Version: 10, EverConfirmed: true, Age: dhclock.Millis(200), Changes: []dhcatalog.ChangeSet{set}, Leader: "control-1",
	}))
	measure("update without changes", dhmessage.NewUpdate(dhmessage.UpdateOptions{
		PollSentAt: 1 << 40, Version: 10, EverConfirmed: true, Age: dhclock.Millis(200), Leader: "control-1",
	}))
}
