package dhquickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dogwoodhitch/io/dhentry"
)

// Parameters of the sample load. Every purchaseEvery-th request of a worker is a
// purchase, and every resendEvery-th is sent twice. The latency histogram goes up
// to latencyMaxUs microseconds, with a precision of latencyDigits digits.
const (
	workers           = 8
	requestsPerWorker = 60
	requestInterval   = 12 * time.Millisecond
	purchaseEvery     = 10
	resendEvery       = 20
	latencyMaxUs      = 60_000_000
	latencyDigits     = 3
	requestTimeout    = 10 * time.Second
	maxResponseBytes  = 1 << 20
)

// ErrInvariantViolated reports that the sample load found a violated invariant.
var ErrInvariantViolated = errors.New("an invariant was violated; see the lines that start with BROKEN")

// summary counts the outcomes of the sample load: served requests by route,
// refused ones by kind of refusal.
type summary struct {
	mutex   sync.Mutex
	served  map[string]int
	refused map[string]int
	latency *hdrhistogram.Histogram
}

// RunSampleLoad sends the sample load through the entry instances, prints a
// summary, and returns ErrInvariantViolated if a check failed.
func (s *System) RunSampleLoad(ctx context.Context, w io.Writer) error {
	sum := &summary{
		served: map[string]int{}, refused: map[string]int{},
		latency: hdrhistogram.New(1, latencyMaxUs, latencyDigits),
	}
	client := &http.Client{Timeout: requestTimeout}
	var group sync.WaitGroup
	for n := range workers {
		group.Go(func() { s.runWorker(ctx, client, n, sum) })
	}
	group.Wait()
	sum.print(w)
	violations := s.checks.allViolations()
	for _, v := range violations {
		fmt.Fprintln(w, "BROKEN:", v)
	}
	if len(violations) > 0 {
		return ErrInvariantViolated
	}
	fmt.Fprintln(w, "all checked invariants held: complete responses to the right callers, purchases at most once,",
		"no API key at an upstream, slots and rate limits respected")
	return nil
}

// runWorker sends the requests of one caller: it looks up an entry instance, and
// sends all requests there with the key of one organisation.
func (s *System) runWorker(ctx context.Context, client *http.Client, n int, sum *summary) {
	entry, err := s.lookUp(ctx, client, n)
	if err != nil {
		s.checks.addViolation(err.Error())
		return
	}
	names := slices.Sorted(maps.Keys(s.keys))
	name := names[n%len(names)]
	for i := range requestsPerWorker {
		if ctx.Err() != nil {
			return
		}
		r := sampleRequest{entry: entry, key: s.keys[name], path: fmt.Sprintf("/gate/%s/%d/%d", name, n, i), method: http.MethodGet}
		if i%purchaseEvery == 0 {
			r.method, r.idempotencyKey = http.MethodPost, fmt.Sprintf("p-%d-%d", n, i)
			r.path, r.body = "/purchases/"+name, "pass "+r.idempotencyKey
		}
		s.send(ctx, client, r, sum)
		if i%resendEvery == 0 {
			s.send(ctx, client, r, sum)
		}
		time.Sleep(requestInterval)
	}
}

// lookUp returns the callers' address of the entry instance that worker n should
// use. The workers' client addresses alternate, so that both zones get load.
func (s *System) lookUp(ctx context.Context, client *http.Client, n int) (string, error) {
	address := []string{"198.51.100.7", "203.0.113.7"}[n%2]
	target := "http://" + s.entries()[0].BoundAddresses().Callers + "/dogwoodhitch/v1/lookup?address=" + address
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return "", err
	}
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&answer); err != nil || len(answer.Entries) == 0 {
		return "", fmt.Errorf("the look-up for client address %s returned no entry instance", address)
	}
	return answer.Entries[0].Address, nil
}

// sampleRequest is one request of the load.
type sampleRequest struct {
	entry          string
	key            string
	method         string
	path           string
	body           string
	idempotencyKey string
}

func (s *System) send(ctx context.Context, client *http.Client, request sampleRequest, sum *summary) {
	r, err := http.NewRequestWithContext(ctx, request.method, "http://"+request.entry+request.path, bytes.NewReader([]byte(request.body)))
	if err != nil {
		s.checks.addViolation(err.Error())
		return
	}
	r.Header.Set("Authorization", "Bearer "+request.key)
	if request.idempotencyKey != "" {
		r.Header.Set(dhentry.HeaderIdempotencyKey, request.idempotencyKey)
	}
	started := time.Now()
	response, err := client.Do(r)
	if err != nil {
		sum.recordRefused("no response")
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		sum.recordRefused("cut off")
		return
	}
	if kind := response.Header.Get(dhentry.HeaderRefusal); kind != "" {
		sum.recordRefused(kind)
		return
	}
	sum.recordServed(strings.SplitN(request.path, "/", 3)[1], time.Since(started))
	s.checkResponse(request, body)
}

// checkResponse checks that a response repeats the path and body of its request,
// and that the request ran for the organisation of its key.
func (s *System) checkResponse(request sampleRequest, body []byte) {
	var response struct {
		Path         string `json:"path"`
		Organisation string `json:"organisation"`
		Body         string `json:"body"`
	}
	if err := json.Unmarshal(body, &response); err != nil || response.Path != request.path || response.Body != request.body {
		s.checks.addViolation(fmt.Sprintf("unexpected response %q to the request %s", body, request.path))
		return
	}
	if s.keys[response.Organisation] != request.key {
		s.checks.addViolation(fmt.Sprintf("the request %s ran for the wrong organisation %q", request.path, response.Organisation))
	}
}

func (s *summary) recordServed(route string, latency time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.served[route]++
	_ = s.latency.RecordValue(latency.Microseconds())
}

func (s *summary) recordRefused(kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refused[kind]++
}

func (s *summary) print(w io.Writer) {
	for _, route := range slices.Sorted(maps.Keys(s.served)) {
		fmt.Fprintf(w, "served   %-14s %d\n", route, s.served[route])
	}
	for _, kind := range slices.Sorted(maps.Keys(s.refused)) {
		fmt.Fprintf(w, "refused  %-14s %d\n", kind, s.refused[kind])
	}
	for _, q := range []float64{50, 90, 99, 100} {
		fmt.Fprintf(w, "latency  p%-13g %.2f ms\n", q, float64(s.latency.ValueAtQuantile(q))/1000)
	}
}
