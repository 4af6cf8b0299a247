package dhpeer

import (
	"bytes"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

// TestChangeIsEncodedForEachMember encodes and compresses a log entry for 26 members. Each step may
// be done once, and another message must not get the form of this one.
func TestChangeIsEncodedForEachMember(t *testing.T) {
	entries := func(text string) *dhmessage.AppendRequest {
		return dhmessage.NewAppendRequest(dhmessage.AppendRequestOptions{Term: 1, Entries: []dhmessage.Entry{
			dhmessage.NewEntry(1, 1, 1, dhmessage.NewDeclare(dhcatalog.NewDeclaration(1, text), nil)),
		}})
	}
	var e encodedMessages
	m := entries("text")
	first := e.message(m)
	for range 25 {
		if e.message(m) != first {
			t.Fatal("the message is encoded again")
		}
	}
	if e.message(entries("text")) == first {
		t.Error("another message gets the form of the first")
	}
	var c bodyCache
	body := bytes.Repeat([]byte("body"), 4096)
	compressed := c.compressed(body)
	for range 25 {
		if again := c.compressed(bytes.Clone(body)); &again[0] != &compressed[0] {
			t.Fatal("the body is compressed again")
		}
	}
	body[0] = 'B'
	if other := c.compressed(body); bytes.Equal(other, compressed) {
		t.Error("another body gets the form of the first")
	}
}
