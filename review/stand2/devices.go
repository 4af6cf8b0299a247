//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Doses of case 8.
const (
	devices       = 5000
	devicePeriod  = 60 * time.Second        // between two requests of one device
	reuseLimit    = 12 * time.Second        // four fifths of idle_timeout_s
	deviceTimeout = 2500 * time.Millisecond // timeout_s of the route
	finalSlack    = 500 * time.Millisecond
	deviceBudget  = 6 * time.Second
	maxFds        = 4100
	devicesEnd    = 100 * time.Second
)

// limitDescriptors gives a process as many descriptors as its machine has.
func (m *machine) limitDescriptors() error {
	limit := unix.Rlimit{Cur: maxFds, Max: maxFds}
	return unix.Prlimit(m.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// directory asks the directory where to connect, and keeps its answers for their time.
type directory struct {
	cluster   *cluster
	mutex     sync.Mutex
	addresses []string
	until     time.Time
}

func (d *directory) resolve() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if time.Now().Before(d.until) {
		return d.addresses
	}
	for _, m := range d.cluster.cores[:3] {
		response, err := controlClient.Get(fmt.Sprint("http://", m.ip, ":", d.cluster.ports.directory, "/dogwoodhitch/resolve?name=", hostName, "&region=highland&zone=highland-a"))
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(response.Body)
		response.Body.Close()
		var body struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Addresses) == 0 {
			continue
		}
		d.addresses, d.until = body.Addresses, time.Now().Add(time.Duration(body.TTL*float64(time.Second)))
		break
	}
	return d.addresses
}

// tally counts the requests of all devices at the front machines that stay.
type tally struct {
	sent, answered, overdue, unanswered, noConnection, open atomic.Int64
}

// device is a client that sends a request from time to time, on its connection if that has not
// been idle for too long, else on a new one.
type device struct {
	number  int
	conn    *clientConn
	address string
	usedAt  time.Time
}

func (v *device) close(t *tally) {
	if v.conn != nil {
		v.conn.conn.Close()
		v.conn = nil
		t.open.Add(-1)
	}
}

func (v *device) ask(c *cluster, d *directory, t *tally, n int) {
	addresses := d.resolve()
	if v.conn != nil && (time.Since(v.usedAt) > reuseLimit || !contains(addresses, v.address)) {
		v.close(t)
	}
	if v.conn == nil {
		if len(addresses) == 0 {
			return
		}
		v.address = addresses[rand.IntN(len(addresses))]
		conn, err := dialAddress(c.rec, v.address)
		if err != nil {
			t.noConnection.Add(1)
			return
		}
		v.conn = conn
		t.open.Add(1)
	}
	r := request{id: fmt.Sprintf("d%07x%08x", v.number, n), method: http.MethodPost, path: "/xapu221/ny95/2f", body: []byte("renewal"), deadline: deviceBudget}
	sentAt := time.Now()
	t.sent.Add(1)
	err := v.conn.send(r)
	timer := time.AfterFunc(deviceTimeout, func() { t.overdue.Add(1) })
	final := time.AfterFunc(deviceTimeout+finalSlack, func() { t.unanswered.Add(1) })
	a := answer{err: err}
	if err == nil {
		a = v.conn.receive(r.method, deviceBudget)
	}
	timer.Stop()
	if final.Stop() && a.err == nil {
		t.answered.Add(1)
	}
	if n := t.sent.Load(); n%500 == 0 || a.err != nil && n%50 == 0 {
		c.rec.printf("client: %s at %s: %v after %.3f s in all", r.id, v.address, a, time.Since(sentAt).Seconds())
	}
	v.usedAt = time.Now()
	if a.err != nil || a.closes {
		v.close(t)
	}
}

func contains(list []string, text string) bool {
	for _, x := range list {
		if x == text {
			return true
		}
	}
	return false
}

// playDevices takes one of two front machines away, so that all devices connect to the other one.
func playDevices(rec *record, trouble bool) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < devices+200 {
		rec.printf("can't run: this process may have %d descriptors, %v", limit.Cur, err)
		return exitCantRun
	}
	c, servers, err := startSmall(rec, 2, 12, 9, func(c *cluster) { c.fronts[1].zone = c.fronts[0].zone }, []route{{
		Name: "r-1", PathPrefix: "/xapu221/ny95/", Kind: "unsafe", Timeout: deviceTimeout.Seconds(), Objective: 0.8, Service: "gate-check", MaxAttempts: 2, HomeRegions: []string{},
	}}, func(*http.Request, []byte) (time.Duration, []byte) { return 20 * time.Millisecond, []byte("done") })
	if c != nil {
		defer c.stop()
	}
	for _, s := range servers {
		s.quiet = true
		defer s.stop()
	}
	if err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	for _, m := range c.fronts {
		if err := m.limitDescriptors(); err != nil {
			rec.printf("can't run: %v", err)
			return exitCantRun
		}
	}
	d, t := &directory{cluster: c}, &tally{}
	var running sync.WaitGroup
	startedAt := time.Now()
	end := rec.start.Add(devicesEnd)
	for i := range devices {
		running.Go(func() {
			v := &device{number: i}
			defer v.close(t)
			time.Sleep(time.Duration(i) * devicePeriod / devices)
			for n := 0; time.Now().Before(end.Add(-deviceBudget)); n++ {
				v.ask(c, d, t, n)
				next := startedAt.Add(time.Duration(i)*devicePeriod/devices + time.Duration(n+1)*devicePeriod)
				time.Sleep(min(time.Until(next), time.Until(end)))
			}
			time.Sleep(time.Until(end))
		})
	}
	if trouble {
		time.Sleep(2 * time.Second)
		m := c.fronts[1]
		rec.printf("platform: SIGTERM to %s, which is taken away", m.name)
		ended := m.ended
		m.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-ended:
			case <-time.After(6 * time.Second):
				m.signal(syscall.SIGKILL)
			}
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(min(5*time.Second, time.Until(end)))
		rec.printf("clients: %d connections open; %d requests sent, %d answered in time; %d not answered at timeout_s, %d nor 0.5 s later; %d without a connection",
			t.open.Load(), t.sent.Load(), t.answered.Load(), t.overdue.Load(), t.unanswered.Load(), t.noConnection.Load())
	}
	running.Wait()
	overdue, unanswered := t.overdue.Load(), t.unanswered.Load()
	rec.printf("%d requests lasted longer than timeout_s, %d of them had no final answer 0.5 s after it", overdue, unanswered)
	if unanswered >= 8 && unanswered*2 > overdue {
		return 1
	}
	return 0
}
