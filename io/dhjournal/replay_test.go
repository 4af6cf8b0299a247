package dhjournal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhtraffic"
)

// recordedJournals were written by a build of commit b738db1: one by an entry
// instance with control and traffic state, one by a voter with control state.
// They stand for the journals of earlier releases and must not be recorded again.
var recordedJournals = []struct {
	file   string
	events int
}{
	{"testdata/entry.journal", 768},
	{"testdata/voter.journal", 274},
}

// TestReplayRecorded replays journals of an earlier build. It guards against
// changes of stored names, shapes and values, and of the effects of an event.
func TestReplayRecorded(t *testing.T) {
	for _, j := range recordedJournals {
		file, err := os.Open(j.file)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		if events, err := Replay(file); err != nil || events != j.events {
			t.Errorf("%s: replayed %d of %d events: %v", j.file, events, j.events, err)
		}
	}
}

// TestRecordedRoundTrip decodes every value of the recorded journals and encodes
// it again. The result must be byte for byte the same: Replay compares effects
// only, so it misses changes in the encoding of events and options.
func TestRecordedRoundTrip(t *testing.T) {
	for _, j := range recordedJournals {
		raw, err := os.ReadFile(j.file)
		if err != nil {
			t.Fatal(err)
		}
		decoders := newCodecs()
		encoders := newCodecs()
		lines := bufio.NewScanner(bytes.NewReader(raw))
		lines.Buffer(nil, len(raw))
		for number := 1; lines.Scan(); number++ {
			var l line
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				t.Fatal(err)
			}
			d, e := decoders[l.State], encoders[l.State]
			check := func(raw json.RawMessage, v any) {
				if err := d.decode(raw, v); err != nil {
					t.Fatalf("%s, line %d: %v", j.file, number, err)
				}
				if again, err := e.encode(v); err != nil || !bytes.Equal(again, raw) {
					t.Fatalf("%s, line %d: %s was encoded again as %s, with error %v", j.file, number, raw, again, err)
				}
			}
			switch {
			case l.Event != nil:
				var event dhevent.Event
				check(l.Event, &event)
			case l.State == stateTraffic:
				check(l.Options, &dhtraffic.Options{})
			default:
				check(l.Options, &dhcontrol.Options{})
			}
		}
		if err := lines.Err(); err != nil {
			t.Fatal(err)
		}
	}
}
