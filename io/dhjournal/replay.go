package dhjournal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/core/dhtraffic"
)

// MismatchError reports a replayed event whose effects differ from the recorded
// ones.
type MismatchError struct {
	line     int
	recorded string
	replayed string
}

// Line returns the number of the journal's line, counted from 1.
func (e MismatchError) Line() int { return e.line }

// Error implements error.
func (e MismatchError) Error() string {
	return fmt.Sprintf("line %d: the replay returned different effects: recorded %s, replayed %s; replay with the release that "+
		"recorded it; if the effects still differ, report the journal", e.line, e.recorded, e.replayed)
}

// replayer replays one journal. Each state has separate codecs for decoding and
// encoding, as a codec keeps track of the catalog version that it last handled.
type replayer struct {
	states   map[string]*dhreducer.State
	decoders map[string]*codec
	encoders map[string]*codec
	events   int
}

// Replay reads a journal and returns the number of events whose effects equal the
// recorded ones. At the first event with different effects, it returns a
// MismatchError.
func Replay(r io.Reader) (int, error) {
	p := &replayer{
		states:   map[string]*dhreducer.State{},
		decoders: newCodecs(),
		encoders: newCodecs(),
	}
	reader := bufio.NewReader(r)
	for number := 1; ; number++ {
		raw, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			// A last line without a line feed was cut off when the process ended.
			return p.events, nil
		}
		if err != nil {
			return p.events, err
		}
		if err := p.replayLine(number, raw); err != nil {
			return p.events, err
		}
	}
}

func (p *replayer) replayLine(number int, raw []byte) error {
	var l line
	if err := json.Unmarshal(raw, &l); err != nil {
		return fmt.Errorf("line %d: %w; the file isn't a journal", number, err)
	}
	if l.Options != nil {
		return p.start(l)
	}
	state, found := p.states[l.State]
	if !found {
		return fmt.Errorf("line %d: no earlier line has the options of state %q; the beginning of the journal is missing", number, l.State)
	}
	var e dhevent.Event
	if err := p.decoders[l.State].decode(l.Event, &e); err != nil {
		return fmt.Errorf("line %d: %w", number, err)
	}
	var out dheffect.List
	dhreducer.Reduce(state, e, &out)
	replayed, err := p.encoders[l.State].encodeEvent(l.State, e, out.Items())
	if err != nil {
		return err
	}
	if !bytes.Equal(replayed.Effects, l.Effects) {
		return MismatchError{line: number, recorded: string(l.Effects), replayed: string(replayed.Effects)}
	}
	p.events++
	return nil
}

func (p *replayer) start(l line) error {
	if l.State == stateTraffic {
		var o dhtraffic.Options
		if err := p.decoders[l.State].decode(l.Options, &o); err != nil {
			return err
		}
		p.states[l.State] = dhreducer.NewTraffic(o)
		_, err := p.encoders[l.State].encode(&o)
		return err
	}
	var o dhcontrol.Options
	if err := p.decoders[l.State].decode(l.Options, &o); err != nil {
		return err
	}
	p.states[l.State] = dhreducer.NewControl(o)
	_, err := p.encoders[l.State].encode(&o)
	return err
}
