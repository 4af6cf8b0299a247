// Package dhmetrics keeps the metrics of a process and serves them in the
// Prometheus text format.
package dhmetrics

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"dogwoodhitch/core/dheffect"
)

// sampleSize is the number of latencies that a histogram samples. decayAlpha is
// the decay factor of the sample: the higher it is, the more the sample favours
// recent latencies.
const (
	sampleSize = 1028
	decayAlpha = 0.015
)

// Metrics holds the counters, gauges and histograms of a process.
type Metrics struct{ registry metrics.Registry }

// New returns empty metrics.
func New() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// labelledName returns the name of a metric with its labels in the text format,
// such as name{key="value"}. The pairs are the keys and values of the labels.
func labelledName(name string, pairs ...string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(pairs); i += 2 {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		b.WriteByte(separator)
		fmt.Fprintf(&b, "%s=%q", pairs[i], pairs[i+1])
	}
	if len(pairs) > 0 {
		b.WriteByte('}')
	}
	return b.String()
}

// AddToCounter adds n to a counter, which starts at zero. The pairs are the keys
// and values of its labels.
func (m *Metrics) AddToCounter(n int64, name string, pairs ...string) {
	metrics.GetOrRegisterCounter(labelledName(name, pairs...), m.registry).Inc(n)
}

// CounterTotal returns the sum of a counter's values over all labels.
func (m *Metrics) CounterTotal(name string) int64 {
	total := int64(0)
	m.registry.Each(func(labelled string, value any) {
		if c, ok := value.(metrics.Counter); ok && (labelled == name || strings.HasPrefix(labelled, name+"{")) {
			total += c.Count()
		}
	})
	return total
}

// SetGauge sets the value of a gauge.
func (m *Metrics) SetGauge(value int64, name string, pairs ...string) {
	metrics.GetOrRegisterGauge(labelledName(name, pairs...), m.registry).Update(value)
}

// SetGaugeFunc makes a gauge of a function, which is called whenever the metrics are written.
func (m *Metrics) SetGaugeFunc(value func() int64, name string, pairs ...string) {
	m.registry.GetOrRegister(labelledName(name, pairs...), metrics.NewFunctionalGauge(value))
}

// RecordRequest counts a request that ended, by its refusal kind if it was
// refused, and its attempts at upstreams that report a limit, and records its
// latency.
func (m *Metrics) RecordRequest(e *dheffect.RecordRequest) {
	end := string(e.RefusalKind())
	if end == "" {
		end = "answered"
	}
	m.AddToCounter(1, "dogwoodhitch_requests_total", "route", e.Route(), "organisation", e.Organisation(), "end", end)
	if e.RefusalKind() == dheffect.RefuseLimitUnconfirmed {
		m.AddToCounter(1, "dogwoodhitch_refused_within_rate_total", "organisation", e.Organisation())
	}
	for _, a := range e.Attempts() {
		if a.Limit() != nil {
			m.AddToCounter(1, "dogwoodhitch_limited_attempts_total", "service", e.Service(), "upstream", a.Target())
		}
	}
	name := labelledName("dogwoodhitch_latency_ms", "route", e.Route())
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sampleSize, decayAlpha)).Update(e.Latency().Milliseconds())
}

// quantiles are the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Write writes all metrics in the text format, sorted by name.
func (m *Metrics) Write(w io.Writer) {
	var lines []string
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			for i, q := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s %g", appendLabel(name, "quantile", fmt.Sprint(quantiles[i])), q))
			}
			lines = append(lines, fmt.Sprintf("%s %d", strings.Replace(name, "_ms{", "_ms_count{", 1), s.Count()))
		}
	})
	slices.Sort(lines)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

// appendLabel adds a label to a name that already has labels.
func appendLabel(name, key, value string) string {
	return fmt.Sprintf("%s,%s=%q}", strings.TrimSuffix(name, "}"), key, value)
}

// ServeHTTP implements http.Handler.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.Write(w)
}
