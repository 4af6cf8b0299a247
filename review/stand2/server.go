//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in server of a service.
type server struct {
	cluster *cluster
	id      string
	service string
	zone    int
	address string
	slots   int
	born    int64
	work    func(r *http.Request, body []byte) (time.Duration, []byte)
	// coldLeft is what the first check-ins report.
	coldLeft float64

	listener net.Listener
	http     *http.Server
	ctx      context.Context
	end      context.CancelFunc

	mutex   sync.Mutex
	running int
	state   string
	seq     int
	onRun   func(s *server, id string)
	quiet   bool // no record of each request
}

// newServer starts a server at an address; "" for a free port.
func (c *cluster) newServer(id, service string, zone int, address string, slots int) (*server, error) {
	if address == "" {
		address = fmt.Sprintf("%s.3.%d:0", c.net16, zone+1)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		cluster: c, id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, listener: l, state: "ready",
		born: time.Now().UnixMilli(),
	}
	s.ctx, s.end = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	return s, nil
}

// run serves and checks in until the server ends.
func (s *server) run() {
	go func() { _ = s.http.Serve(s.listener) }()
	go s.checkIn()
}

func (s *server) beat() map[string]any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seq++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": zones[s.zone][0], "version": "v1", "slots": s.slots, "state": s.state,
		"cold_left_s": s.coldLeft, "seq_no": s.seq, "born": s.born,
	}
}

// checkIn sends a check-in every 1.5 s.
func (s *server) checkIn() {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for {
		raw, _ := json.Marshal(s.beat())
		_, _, _ = s.cluster.call(http.MethodPost, "/dogwoodhitch/Instances.Heartbeat/"+s.id, raw, time.Second)
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stop ends the server.
func (s *server) stop() {
	s.end()
	_ = s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	s.mutex.Lock()
	isFull := s.running >= s.slots
	if !isFull {
		s.running++
	}
	running := s.running
	s.mutex.Unlock()
	if isFull || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mutex.Lock()
		s.running--
		s.mutex.Unlock()
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.cluster.rec.printf("server %s: request %s broke off after %d bytes of its body: %v", s.id, id, len(body), err)
		return
	}
	s.printf("server %s runs %s: %s %s, body %d bytes, Deadline-Ms %s, Tenant-Id %s", s.id, id, r.Method, r.RequestURI, len(body), r.Header.Get("Deadline-Ms"), r.Header.Get("Tenant-Id"))
	if s.onRun != nil {
		s.onRun(s, id)
	}
	duration, answer := s.work(r, body)
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		s.cluster.rec.printf("server %s: connection of %s closed while at work", s.id, id)
		return
	}
	w.Header().Set("Response-Stamp", "stamp-"+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
	s.printf("server %s answered %s: 200, %d bytes", s.id, id, len(answer))
}

func (s *server) printf(format string, args ...any) {
	if !s.quiet {
		s.cluster.rec.printf(format, args...)
	}
}
