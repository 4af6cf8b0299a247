package dhjournal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"slices"
	"strings"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhtraffic"
)

// markerMethods are the methods that mark a type as an effect, a message, a
// command or a catalog object.
var markerMethods = []string{"effect", "message", "command", "references"}

// stampType is the type that every event embeds.
const stampType = "stamp"

// TestTypesAreListed compares the listed types with the sources of core. A type
// that has a marker method or embeds the stamp of events must be listed, else
// the journal fails at the first value of the type. Each marker must occur in
// the sources: one that was renamed there would no longer check anything.
func TestTypesAreListed(t *testing.T) {
	listed := map[string]bool{}
	for _, x := range typesByStoredName {
		listed[strings.TrimPrefix(x.String(), "*")] = true
	}
	found := map[string]bool{}
	for _, p := range []string{"dhevent", "dheffect", "dhmessage", "dhcatalog"} {
		packages, err := parser.ParseDir(token.NewFileSet(), "../../core/"+p, nil, 0) //nolint:staticcheck // no types are needed
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range packages[p].Files {
			ast.Inspect(f, func(n ast.Node) bool {
				name, marker := markedType(n)
				found[marker] = true
				if name != "" && !listed[p+"."+name] {
					t.Errorf("%s.%s isn't listed in types.go", p, name)
				}
				return true
			})
		}
	}
	for _, marker := range append([]string{stampType}, markerMethods...) {
		if !found[marker] {
			t.Errorf("core has no marker %q any more; replace it in this test by its successor", marker)
		}
	}
}

// markedType returns the name of the type that a declaration marks as an event,
// effect, message, command or object, and the marker, or "" for both.
func markedType(n ast.Node) (name, marker string) {
	switch n := n.(type) {
	case *ast.FuncDecl:
		if n.Recv == nil || !slices.Contains(markerMethods, n.Name.Name) {
			return "", ""
		}
		x := n.Recv.List[0].Type
		if s, ok := x.(*ast.StarExpr); ok {
			x = s.X
		}
		return x.(*ast.Ident).Name, n.Name.Name
	case *ast.TypeSpec:
		s, ok := n.Type.(*ast.StructType)
		if !ok || len(s.Fields.List) == 0 || len(s.Fields.List[0].Names) > 0 {
			return "", ""
		}
		if i, ok := s.Fields.List[0].Type.(*ast.Ident); ok && i.Name == stampType {
			return n.Name.Name, stampType
		}
	}
	return "", ""
}

// TestTypeListedTwicePanics guards against a type listed under two names: which
// one journals store would depend on the order of iteration.
func TestTypeListedTwicePanics(t *testing.T) {
	x := reflect.TypeFor[*dhevent.Ticked]()
	defer func() {
		if recover() == nil {
			t.Error("invert accepted a type listed under two names")
		}
	}()
	invert(map[string]reflect.Type{"a": x, "b": x})
}

// TestRoundTrip encodes and decodes an event with most kinds of fields.
func TestRoundTrip(t *testing.T) {
	c, err := dhcatalog.New().Apply(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: "x", Author: "test", Puts: []dhcatalog.Object{dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: "o"})},
	}))
	if err != nil {
		t.Fatal(err)
	}
	message := dhmessage.NewUpdate(dhmessage.UpdateOptions{
		Version: 1 << 60, EverConfirmed: true, Full: c, Unavailable: []dhmessage.UnavailableInstance{dhmessage.NewUnavailableInstance("i", true)},
	})
	var e dhevent.Event = dhevent.NewMessageReceived(7, dhevent.MessageReceivedOptions{From: dhmessage.NewPeer("n", "f"), Message: message})
	var encoder, decoder codec
	raw, err := encoder.encode(&e)
	if err != nil {
		t.Fatal(err)
	}
	var decoded dhevent.Event
	if err := decoder.decode(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	got := decoded.(*dhevent.MessageReceived)
	u := got.Message().(*dhmessage.Update)
	if got.At() != 7 || got.From().FolderID() != "f" || u.Version() != 1<<60 || u.Full().Len() != 1 || !reflect.DeepEqual(u.Unavailable(), message.Unavailable()) {
		t.Errorf("the decoded event differs: got message %+v", u)
	}
}

// TestReplayReportsMismatch records an effect that the reducer doesn't return for
// the event. Replay must name the line.
func TestReplayReportsMismatch(t *testing.T) {
	var text strings.Builder
	j := New(&text)
	record := j.TrafficRecorder(dhtraffic.Options{Instance: "i", Zone: "z"})
	e := dhevent.NewLookUpRequested(5, dhevent.LookUpRequestedOptions{Address: 1})
	record(e, []dheffect.Effect{dheffect.NewRefuse(dheffect.RefuseOptions{RequestID: 9})})
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Replay(strings.NewReader(text.String())); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("got error %v, want a mismatch in line 2", err)
	}
}
