package dhjournal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhtraffic"
)

// TestTypesAreListed compares the listed types with the sources: a type with
// the marker method of a sum, or that embeds the stamp of events, is listed.
func TestTypesAreListed(t *testing.T) {
	for _, p := range []string{"dhevent", "dheffect", "dhmessage", "dhcatalog"} {
		packages, err := parser.ParseDir(token.NewFileSet(), "../../core/"+p, nil, 0) //nolint:staticcheck // no types are needed
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range packages[p].Files {
			ast.Inspect(f, func(n ast.Node) bool {
				if name := sumMember(n); name != "" && !listed(p+"."+name) {
					t.Errorf("%s.%s isn't listed in types.go", p, name)
				}
				return true
			})
		}
	}
}

func listed(name string) bool {
	_, plain := typesByStoredName[name]
	_, pointer := typesByStoredName["*"+name]
	return plain || pointer
}

// sumMember returns the name of the type that a declaration makes a member of a
// sum, or "". A MemberEdit is turned into another command before it is kept.
func sumMember(n ast.Node) string {
	switch n := n.(type) {
	case *ast.FuncDecl:
		markers := map[string]bool{"effect": true, "message": true, "command": true, "references": true}
		if n.Recv == nil || !markers[n.Name.Name] {
			return ""
		}
		x := n.Recv.List[0].Type
		if s, ok := x.(*ast.StarExpr); ok {
			x = s.X
		}
		return x.(*ast.Ident).Name
	case *ast.TypeSpec:
		s, ok := n.Type.(*ast.StructType)
		if !ok || len(s.Fields.List) == 0 || len(s.Fields.List[0].Names) > 0 {
			return ""
		}
		if i, ok := s.Fields.List[0].Type.(*ast.Ident); ok && i.Name == "stamp" {
			return n.Name.Name
		}
	}
	return ""
}

// TestRoundTrip writes and reads an event with most kinds of fields.
func TestRoundTrip(t *testing.T) {
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: "x", Author: "test", Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"})},
	}))
	if err != nil {
		t.Fatal(err)
	}
	message := dhmessage.NewUpdate(dhmessage.UpdateOptions{
		Version: 1 << 60, Confirmed: true, Full: c, Away: []dhmessage.Away{dhmessage.NewAway("i", true)},
	})
	var e dhevent.Event = dhevent.NewMessageReceived(7, dhevent.MessageReceivedOptions{From: dhmessage.NewPeer("n", "f"), Message: message})
	var writes, reads codec
	raw, err := writes.encode(&e)
	if err != nil {
		t.Fatal(err)
	}
	var back dhevent.Event
	if err := reads.decode(raw, &back); err != nil {
		t.Fatal(err)
	}
	got := back.(*dhevent.MessageReceived)
	u := got.Message().(*dhmessage.Update)
	if got.At() != 7 || got.From().Folder() != "f" || u.Version() != 1<<60 || u.Full().Len() != 1 || !reflect.DeepEqual(u.Away(), message.Away()) {
		t.Errorf("got %+v", u)
	}
}

// TestReplayReportsMismatch changes a recorded effect.
func TestReplayReportsMismatch(t *testing.T) {
	var text strings.Builder
	j := New(&text)
	record := j.Traffic(dhtraffic.Options{Instance: "i", Zone: "z"})
	e := dhevent.NewLookUpAsked(5, dhevent.LookUpAskedOptions{Address: 1})
	record(e, []dheffect.Effect{dheffect.NewRefuse(dheffect.RefuseOptions{Request: 9})})
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Replay(strings.NewReader(text.String())); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("got %v", err)
	}
}
