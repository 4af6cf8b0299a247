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
	mutex      sync.Mutex
	keys       map[string]string
	runs       map[string]int // runs of each idempotency key
	violations []string
	upstreams  []*dhstandin.FakeUpstream
	slots      []int
	admissions map[string][]time.Time
}

func newChecks(keys map[string]string) *checks {
	return &checks{keys: keys, runs: map[string]int{}, admissions: map[string][]time.Time{}}
}

// watchSlots compares what an upstream runs at once with its slots.
func (c *checks) watchSlots(s *dhstandin.FakeUpstream, slots int) {
	c.upstreams = append(c.upstreams, s)
	c.slots = append(c.slots, slots)
}

// serve returns the behaviour of a sample upstream.
func (c *checks) serve(service string, work time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c.checkRequest(r, body)
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

// checkRequest looks at a request that an upstream runs.
func (c *checks) checkRequest(r *http.Request, body []byte) {
	seen := r.URL.RequestURI() + string(body)
	for _, values := range r.Header {
		seen += strings.Join(values, "")
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, key := range c.keys {
		if strings.Contains(seen, key) {
			c.violations = append(c.violations, "an upstream saw the key of "+name)
		}
	}
	if organisation := r.Header.Get(dhentry.HeaderOrganisation); organisation != "" {
		c.admissions[organisation] = append(c.admissions[organisation], time.Now())
	}
	if key := r.Header.Get(dhentry.HeaderIdempotencyKey); key != "" {
		c.runs[key]++
		if c.runs[key] > 1 {
			c.violations = append(c.violations, "the purchase "+key+" ran twice")
		}
	}
}

// addViolation notes an invariant that was seen broken.
func (c *checks) addViolation(what string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, what)
}

// allViolations lists the invariants that were seen broken.
func (c *checks) allViolations() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	broken := c.violations
	for i, s := range c.upstreams {
		if s.MaxConcurrent() > int64(c.slots[i]) {
			broken = append(broken, fmt.Sprintf("the upstream at %s ran %d requests on %d slots", s.Address(), s.MaxConcurrent(), c.slots[i]))
		}
	}
	for name, times := range c.admissions {
		if span := times[len(times)-1].Sub(times[0]).Seconds(); float64(len(times)) > sampleBurst+sampleRate*span+1 {
			broken = append(broken, fmt.Sprintf("%s got %d requests in %.3f s", name, len(times), span))
		}
	}
	return broken
}
