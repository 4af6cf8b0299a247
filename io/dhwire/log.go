package dhwire

import (
	"fmt"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
)

func responseToWire(r *dhmessage.Response) *dhproto.Answer {
	if r == nil {
		return nil
	}
	m := &dhproto.Answer{Status: int32(r.Status()), Body: r.Body()}
	for _, f := range r.Header() {
		m.Header = append(m.Header, &dhproto.Field{Name: f.Name(), Value: f.Value()})
	}
	return m
}

func responseFromWire(m *dhproto.Answer) *dhmessage.Response {
	if m == nil {
		return nil
	}
	var header []dhmessage.HeaderField
	for _, f := range m.GetHeader() {
		header = append(header, dhmessage.NewHeaderField(f.GetName(), f.GetValue()))
	}
	return dhmessage.NewResponse(int(m.GetStatus()), header, m.GetBody())
}

func claimKeyToWire(k dhmessage.ClaimKey) *dhproto.ClaimKey {
	return &dhproto.ClaimKey{Organisation: k.Organisation(), Key: k.Key()}
}

func claimKeyFromWire(m *dhproto.ClaimKey) dhmessage.ClaimKey {
	return dhmessage.NewClaimKey(m.GetOrganisation(), m.GetKey())
}

func claimantToWire(c dhmessage.Claimant) *dhproto.Claimant {
	return &dhproto.Claimant{Instance: c.Instance(), Stream: c.StartID(), Request: c.RequestID()}
}

func claimantFromWire(m *dhproto.Claimant) dhmessage.Claimant {
	return dhmessage.NewClaimant(m.GetInstance(), m.GetStream(), m.GetRequest())
}

func digestToWire(d dhcatalog.Hash) []byte { return d[:] }

func digestFromWire(raw []byte) dhcatalog.Hash {
	var d dhcatalog.Hash
	copy(d[:], raw)
	return d
}

func commandToWire(c dhmessage.Command) *dhproto.Command {
	switch c := c.(type) {
	case dhmessage.Change:
		return &dhproto.Command{Command: &dhproto.Command_Change{Change: ChangeSetToWire(c.ChangeSet())}}
	case dhmessage.Members:
		return &dhproto.Command{Command: &dhproto.Command_Members{Members: &dhproto.Members{Voters: MembersToWire(c.List())}}}
	case dhmessage.Claim:
		return &dhproto.Command{Command: &dhproto.Command_Claim{Claim: &dhproto.Claim{
			Key: claimKeyToWire(c.Key()), Claimant: claimantToWire(c.Claimant()), Digest: digestToWire(c.Digest()),
			DeadlineMs: c.Timeout().Milliseconds(), RetentionMs: c.Retention().Milliseconds(),
		}}}
	case dhmessage.Outcome:
		return &dhproto.Command{Command: &dhproto.Command_Outcome{Outcome: &dhproto.Outcome{
			Key: claimKeyToWire(c.Key()), Claimant: claimantToWire(c.Claimant()),
			State: int32(c.State()), Answer: responseToWire(c.Response()),
		}}}
	case dhmessage.Resolve:
		return &dhproto.Command{Command: &dhproto.Command_Resolve{Resolve: &dhproto.Resolve{
			Key: claimKeyToWire(c.Key()), Ran: c.Ran(),
		}}}
	case dhmessage.MemberEdit:
		return &dhproto.Command{Command: &dhproto.Command_MemberEdit{MemberEdit: &dhproto.MemberEdit{
			Action: int32(c.Action()), Name: c.Name(), Address: c.Address(), Folder: c.FolderID(),
		}}}
	case dhmessage.Declare:
		return &dhproto.Command{Command: &dhproto.Command_Declare{Declare: &dhproto.Declare{
			Number: c.Declaration().Number(), Text: c.Declaration().Text(), Objects: objectsToWire(c.Objects()),
		}}}
	case dhmessage.Edit:
		return &dhproto.Command{Command: &dhproto.Command_Edit{Edit: &dhproto.Edit{
			Author: c.Author(), Puts: objectsToWire(c.Puts()), Deletes: refsToWire(c.Deletes()),
		}}}
	default:
		return &dhproto.Command{Command: &dhproto.Command_Noop{Noop: &dhproto.Noop{}}}
	}
}

func commandFromWire(m *dhproto.Command) (dhmessage.Command, error) {
	switch c := m.GetCommand().(type) {
	case *dhproto.Command_Noop:
		return dhmessage.Noop{}, nil
	case *dhproto.Command_Change:
		set, err := ChangeSetFromWire(c.Change)
		return dhmessage.NewChange(set), err
	case *dhproto.Command_Members:
		return dhmessage.NewMembers(MembersFromWire(c.Members.GetVoters())), nil
	case *dhproto.Command_Claim:
		return dhmessage.NewClaim(dhmessage.ClaimOptions{
			Key: claimKeyFromWire(c.Claim.GetKey()), Claimant: claimantFromWire(c.Claim.GetClaimant()),
			Digest:  digestFromWire(c.Claim.GetDigest()),
			Timeout: dhclock.Millis(c.Claim.GetDeadlineMs()), Retention: dhclock.Millis(c.Claim.GetRetentionMs()),
		}), nil
	case *dhproto.Command_Outcome:
		return dhmessage.NewOutcome(claimKeyFromWire(c.Outcome.GetKey()), claimantFromWire(c.Outcome.GetClaimant()),
			dhmessage.ClaimState(c.Outcome.GetState()), responseFromWire(c.Outcome.GetAnswer())), nil
	case *dhproto.Command_Resolve:
		return dhmessage.NewResolve(claimKeyFromWire(c.Resolve.GetKey()), c.Resolve.GetRan()), nil
	case *dhproto.Command_Declare:
		objects, err := objectsFromWire(c.Declare.GetObjects())
		return dhmessage.NewDeclare(dhcatalog.NewDeclaration(c.Declare.GetNumber(), c.Declare.GetText()), objects), err
	case *dhproto.Command_Edit:
		puts, err := objectsFromWire(c.Edit.GetPuts())
		return dhmessage.NewEdit(c.Edit.GetAuthor(), puts, refsFromWire(c.Edit.GetDeletes())), err
	case *dhproto.Command_MemberEdit:
		e := c.MemberEdit
		return dhmessage.NewMemberEdit(dhmessage.MemberAction(e.GetAction()), e.GetName(), e.GetAddress(), e.GetFolder()), nil
	default:
		return nil, FormatError{"command", "an unknown kind", "bring all processes to the same release"}
	}
}

// MembersToWire converts members of the consensus group to protobuf.
func MembersToWire(list []dhmessage.Member) []*dhproto.Voter {
	out := make([]*dhproto.Voter, 0, len(list))
	for _, v := range list {
		out = append(out, &dhproto.Voter{
			Name: v.Peer().Name(), Folder: v.Peer().FolderID(), Address: v.Address(), Learner: v.Learner(), Zone: v.Zone(), Leaving: v.Leaving(),
		})
	}
	return out
}

// MembersFromWire converts members of the consensus group from protobuf.
func MembersFromWire(list []*dhproto.Voter) []dhmessage.Member {
	var out []dhmessage.Member
	for _, v := range list {
		m := dhmessage.NewMember(dhmessage.NewPeer(v.GetName(), v.GetFolder()), v.GetAddress(), v.GetLearner())
		out = append(out, m.WithZone(v.GetZone()).WithLeaving(v.GetLeaving()))
	}
	return out
}

// EntryToWire converts a log entry to protobuf.
func EntryToWire(e dhmessage.Entry) *dhproto.Entry {
	return &dhproto.Entry{Index: e.Index(), Term: e.Term(), AtMs: e.LogTime().Milliseconds(), Command: commandToWire(e.Command())}
}

// EntryFromWire converts a log entry from protobuf, or returns an error that
// wraps a FormatError.
func EntryFromWire(m *dhproto.Entry) (dhmessage.Entry, error) {
	c, err := commandFromWire(m.GetCommand())
	if err != nil {
		return dhmessage.Entry{}, fmt.Errorf("log entry %d: %w", m.GetIndex(), err)
	}
	return dhmessage.NewEntry(m.GetIndex(), m.GetTerm(), dhclock.Millis(m.GetAtMs()), c), nil
}

func receiptToWire(r dhmessage.Receipt) *dhproto.Receipt {
	return &dhproto.Receipt{Version: r.Version(), AtMs: r.LogTime().Milliseconds(), Id: r.ID(), Author: r.Author(), Digest: digestToWire(r.Digest())}
}

func receiptFromWire(w *dhproto.Receipt) dhmessage.Receipt {
	return dhmessage.NewReceipt(dhmessage.ReceiptOptions{
		Version: w.GetVersion(), LogTime: dhclock.Millis(w.GetAtMs()), ID: w.GetId(), Author: w.GetAuthor(), Digest: digestFromWire(w.GetDigest()),
	})
}
