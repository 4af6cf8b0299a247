//go:build review

package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is a stand-in for a server of Service.
type Server struct {
	run     *Run
	ID      string
	Address string
	Zone    string
	Born    int64
	work    time.Duration
	slots   chan struct{}
	mutex   sync.Mutex
	state   string
	seq     int
	arrived []Arrival
	server  *http.Server
	stop    chan struct{}
	targets func() []*Node
	// OnBeat, if set, is called after each check-in with the node and the status.
	OnBeat func(n *Node, status int)
}

// Arrival is one request that reached a server.
type Arrival struct {
	ID  string
	At  time.Time
	Ran bool
}

// NewServer starts a server that listens and doesn't check in yet.
func (r *Run) NewServer(id, ip, zone string, born int64, slots int, work time.Duration, targets func() []*Node) (*Server, error) {
	s := &Server{run: r, ID: id, Address: r.front(ip), Zone: zone, Born: born, work: work, slots: make(chan struct{}, slots), state: "ready", stop: make(chan struct{}), targets: targets}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	r.Log("server %s listens at %s, born %d", id, s.Address, born)
	return s, nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID)
		if s.State() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	refuse := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get("Expected-Instance"); {
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case expected != "" && expected != s.ID:
		refuse(http.StatusMisdirectedRequest)
		return
	}
	a := Arrival{ID: id, At: time.Now()}
	select {
	case s.slots <- struct{}{}:
	default:
		s.record(a)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	a.Ran = true
	s.record(a)
	s.run.Log("server %s runs %s (%s %s, %d bytes, Deadline-Ms %s)", s.ID, id, r.Method, r.URL.Path, len(body), r.Header.Get("Deadline-Ms"))
	work := s.work
	if ms, err := strconv.Atoi(r.Header.Get("Work-Ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.run.Log("server %s drops %s: its connection closed", s.ID, id)
		return
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), cap(s.slots)))
	w.Header().Set("Response-Stamp", s.ID+"."+id)
	_, _ = io.WriteString(w, "the bytes of "+id+"\n")
}

func (s *Server) record(a Arrival) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrived = append(s.arrived, a)
}

// Arrivals returns the requests that reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Arrival(nil), s.arrived...)
}

// State returns the state that the server reports.
func (s *Server) State() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state
}

// CheckIn sends one check-in, or with leave the notice that the server leaves, to the nodes in turn
// until one acknowledges it. It returns the node and when, or nil.
func (s *Server) CheckIn(state string, leave bool) (*Node, time.Time) {
	s.mutex.Lock()
	s.state = state
	s.seq++
	seq := s.seq
	s.mutex.Unlock()
	raw, _ := json.Marshal(map[string]any{"service": Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": cap(s.slots),
		"state": state, "cold_left_s": 0, "seq_no": seq, "born": s.Born})
	path := "/dogwoodhitch/Instances.Heartbeat/" + s.ID
	if leave {
		path = "/dogwoodhitch/Instances.Leave/" + s.ID
	}
	for _, n := range s.targets() {
		status, _ := Call(http.MethodPost, n.Control(), path, raw, time.Second)
		if leave || state != "ready" || seq == 1 {
			s.run.Log("server %s (born %d): %s seq_no %d sent to %s: %d", s.ID, s.Born, map[bool]string{true: "leave", false: state}[leave], seq, n.Name, status)
		}
		if status >= 200 && status < 300 {
			return n, time.Now()
		}
	}
	return nil, time.Time{}
}

// Beat checks in every heartbeat_s (1.5 s) with the present state until the server ends.
func (s *Server) Beat() {
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(1500 * time.Millisecond):
				s.CheckIn(s.State(), false)
			}
		}
	}()
}

// End ends the server at once, like a crash.
func (s *Server) End() {
	close(s.stop)
	s.server.Close()
	s.run.Log("server %s (born %d) ended", s.ID, s.Born)
}
