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
	"dogwoodhitch/io/dhfakeupstream"
)

// checks records what the upstreams observe, and the violations of invariants
// that follow from it.
type checks struct {
	mutex      sync.Mutex
	keys       map[string]string // organisation to API key
	runs       map[string]int    // idempotency key to number of runs
	violations []string
	upstreams  []*dhfakeupstream.FakeUpstream
	slots      []int                  // of the upstream with the same index
	admissions map[string][]time.Time // organisation to times of its requests
}

func newChecks(keys map[string]string) *checks {
	return &checks{keys: keys, runs: map[string]int{}, admissions: map[string][]time.Time{}}
}

// watchSlots makes allViolations check that an upstream never ran more requests at
// once than it has slots.
func (c *checks) watchSlots(u *dhfakeupstream.FakeUpstream, slots int) {
	c.upstreams = append(c.upstreams, u)
	c.slots = append(c.slots, slots)
}

// serve returns the handler of a sample upstream. It checks each request, waits
// for the processing time and responds with what it received.
func (c *checks) serve(service string, processingTime time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c.checkRequest(r, body)
		timer := time.NewTimer(processingTime)
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

// checkRequest checks a request that an upstream runs: it must not contain an API
// key, and its idempotency key must not have run before.
func (c *checks) checkRequest(r *http.Request, body []byte) {
	content := r.URL.RequestURI() + string(body)
	for _, values := range r.Header {
		content += strings.Join(values, "")
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, key := range c.keys {
		if strings.Contains(content, key) {
			c.violations = append(c.violations, "an upstream received the key of "+name)
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

func (c *checks) addViolation(description string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, description)
}

// allViolations returns the violations recorded so far, and those of the slots
// and rate limits, which it checks at the call.
func (c *checks) allViolations() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.violations
	for i, u := range c.upstreams {
		if u.MaxConcurrent() > int64(c.slots[i]) {
			list = append(list, fmt.Sprintf("the upstream at %s ran %d requests at once on %d slots", u.Address(), u.MaxConcurrent(), c.slots[i]))
		}
	}
	for name, times := range c.admissions {
		if elapsed := times[len(times)-1].Sub(times[0]).Seconds(); float64(len(times)) > sampleBurst+sampleRate*elapsed+1 {
			list = append(list, fmt.Sprintf("organisation %s: the upstreams received %d requests in %.3f s, more than its rate limit allows", name, len(times), elapsed))
		}
	}
	return list
}
