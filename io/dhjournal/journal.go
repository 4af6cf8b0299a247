// Package dhjournal records the events that a process's reducers handle and the
// effects that they return, and replays them. Different effects in a replay show
// that a reducer depends on something that isn't in its events.
package dhjournal

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhtraffic"
)

// Names of the states whose events are recorded.
const (
	stateControl = "control"
	stateTraffic = "traffic"
)

// line is one line of a journal: the options that a state was created with, or
// an event and the effects that the reducer returned for it.
type line struct {
	State   string          `json:"state"`
	Options json.RawMessage `json:"options,omitempty"`
	Event   json.RawMessage `json:"event,omitempty"`
	Effects json.RawMessage `json:"effects,omitempty"`
}

// Journal writes events and effects as JSON lines. After the first error it
// writes nothing more; Close returns that error.
type Journal struct {
	mutex      sync.Mutex
	writer     *bufio.Writer
	codecs     map[string]*codec
	firstError error
}

// newCodecs returns a new codec for each state, by the state's name.
func newCodecs() map[string]*codec {
	return map[string]*codec{stateControl: {}, stateTraffic: {}}
}

// New returns a journal that writes to w.
func New(w io.Writer) *Journal {
	return &Journal{writer: bufio.NewWriter(w), codecs: newCodecs()}
}

// Recorder records an event of a state and the effects that the reducer returned
// for it.
type Recorder func(e dhevent.Event, effects []dheffect.Effect)

// ControlRecorder records the options of the control state, and returns the
// recorder of its events.
func (j *Journal) ControlRecorder(o dhcontrol.Options) Recorder { return j.recorder(stateControl, &o) }

// TrafficRecorder records the options of the traffic state, and returns the
// recorder of its events.
func (j *Journal) TrafficRecorder(o dhtraffic.Options) Recorder { return j.recorder(stateTraffic, &o) }

func (j *Journal) recorder(state string, options any) Recorder {
	j.write(func() (line, error) {
		raw, err := j.codecs[state].encode(options)
		return line{State: state, Options: raw}, err
	})
	return func(e dhevent.Event, effects []dheffect.Effect) {
		j.write(func() (line, error) { return j.codecs[state].encodeEvent(state, e, effects) })
	}
}

// encodeEvent returns the line of an event and its effects.
func (c *codec) encodeEvent(state string, e dhevent.Event, effects []dheffect.Effect) (line, error) {
	event, err := c.encode(&e)
	if err != nil {
		return line{}, err
	}
	list, err := c.encode(append([]dheffect.Effect{}, effects...))
	return line{State: state, Event: event, Effects: list}, err
}

// write appends a line unless an earlier one failed. It calls encodeLine under
// the mutex, as codecs keep state from line to line.
func (j *Journal) write(encodeLine func() (line, error)) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.firstError != nil {
		return
	}
	l, err := encodeLine()
	if err == nil {
		err = json.NewEncoder(j.writer).Encode(l)
	}
	j.firstError = err
}

// Close flushes the buffer and returns the first error of the journal.
func (j *Journal) Close() error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if err := j.writer.Flush(); j.firstError == nil {
		j.firstError = err
	}
	return j.firstError
}
