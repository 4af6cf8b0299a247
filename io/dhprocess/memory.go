package dhprocess

import (
	"context"
	"net/http"
	"time"
)

// memoryTimeout bounds how long the metrics wait for the control loop. After it they have the
// sizes of the time before.
const memoryTimeout = 200 * time.Millisecond

// serveMetrics serves the metrics with the current sizes of what the control state holds, and the
// contact with the consensus group.
func (p *Process) serveMetrics(w http.ResponseWriter, r *http.Request) {
	p.updateMemoryMetrics(r.Context())
	p.updateContactMetrics()
	p.metrics.ServeHTTP(w, r)
}

func (p *Process) updateMemoryMetrics(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	m, err := p.controlClient.Memory(ctx)
	if err != nil {
		p.log.WithError(err).Debug("the control loop doesn't tell what it holds in time; the metrics have the sizes of the time before")
		return
	}
	for kind, bytes := range map[string]int{
		"configuration": m.Configuration(), "history": m.History(), "responses": m.Responses(), "log": m.Log(),
	} {
		p.metrics.SetGauge(int64(bytes), "dogwoodhitch_control_bytes", "kind", kind)
	}
}
