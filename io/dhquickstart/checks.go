package dhquickstart

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"dogwoodhitch/io/dhentry"
	"dogwoodhitch/io/dhstandin"
)

// checks watch what can be seen of the invariants from the upstreams' side.
type checks struct {
	mutex    sync.Mutex
	keys     map[string]string
	runs     map[string]int // runs of each idempotency key
	broken   []string
	watched  []*dhstandin.FakeUpstream
	slots    []int
	admitted map[string][]time.Time
}

func newChecks(keys map[string]string) *checks {
	return &checks{keys: keys, runs: map[string]int{}, admitted: map[string][]time.Time{}}
}

// watch compares what an upstream runs at once with its slots.
func (c *checks) watch(s *dhstandin.FakeUpstream, slots int) {
	c.watched = append(c.watched, s)
	c.slots = append(c.slots, slots)
}

// serve returns the behaviour of a sample upstream.
func (c *checks) serve(service string, work time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c.note(r, body)
		timer := time.NewTimer(work)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			Service      string `json:"service"`
			Path         string `json:"path"`
			Organisation string `json:"organisation,omitempty"`
			Body         string `json:"body,omitempty"`
		}{service, r.URL.RequestURI(), r.Header.Get(dhentry.HeaderOrganisation), string(body)})
	}
}

// note looks at a request that an upstream runs.
func (c *checks) note(r *http.Request, body []byte) {
	seen := r.URL.RequestURI() + string(body)
	for _, values := range r.Header {
		seen += strings.Join(values, "")
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, key := range c.keys {
		if strings.Contains(seen, key) {
			c.broken = append(c.broken, "an upstream saw the key of "+name)
		}
	}
	if organisation := r.Header.Get(dhentry.HeaderOrganisation); organisation != "" {
		c.admitted[organisation] = append(c.admitted[organisation], time.Now())
	}
	if key := r.Header.Get(dhentry.HeaderIdempotencyKey); key != "" {
		c.runs[key]++
		if c.runs[key] > 1 {
			c.broken = append(c.broken, "the purchase "+key+" ran twice")
		}
	}
}

// add notes an invariant that was seen broken.
func (c *checks) add(what string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.broken = append(c.broken, what)
}

// result lists the invariants that were seen broken.
func (c *checks) result() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	broken := c.broken
	for i, s := range c.watched {
		if s.MaxConcurrent() > int64(c.slots[i]) {
			broken = append(broken, fmt.Sprintf("the upstream at %s ran %d requests on %d slots", s.Address(), s.MaxConcurrent(), c.slots[i]))
		}
	}
	for name, times := range c.admitted {
		if span := times[len(times)-1].Sub(times[0]).Seconds(); float64(len(times)) > sampleBurst+sampleRate*span+1 {
			broken = append(broken, fmt.Sprintf("%s got %d requests in %.3f s", name, len(times), span))
		}
	}
	return broken
}
