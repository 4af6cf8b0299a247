//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// routedConfig is a configuration that the operator has sent.
type routedConfig struct {
	version int
	routes  []route
}

// serviceOf returns the service to which a configuration lets a request target go: that of the
// longest prefix that begins the path; "" for none.
func (c routedConfig) serviceOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	service, length := "", 0
	for _, r := range c.routes {
		if strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > length {
			service, length = r.Service, len(r.PathPrefix)
		}
	}
	return service
}

// playEncodedPath has the operator add a route below another one, while clients ask for objects
// whose names contain a slash, which is encoded in the path.
func playEncodedPath(rec *record, trouble bool) int {
	passes := route{
		Name: "r-passes", PathPrefix: "/lepu270/", Kind: "safe", Timeout: 2.5, Objective: 0.6, Service: "gate-check", MaxAttempts: 2, HomeRegions: []string{},
	}
	purchases := route{
		Name: "r-purchases", PathPrefix: "/lepu270/ny95/", Kind: "unsafe", Timeout: 2.5, Objective: 0.6, Service: "checkout", MaxAttempts: 2, HomeRegions: []string{},
	}
	other := purchases
	other.Name, other.PathPrefix = "r-other", "/xapu221/"
	services := []string{"gate-check", "checkout"}
	sent := []routedConfig{{1, []route{passes, other}}}
	c, err := newCluster(rec, 3)
	if err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	put := func(r routedConfig) bool {
		status, body, _ := c.call(http.MethodPost, "/dogwoodhitch/Config.Put", config(r.version, services, r.routes), 15*time.Second)
		rec.printf("operator: config %d with %d routes: %d %s", r.version, len(r.routes), status, short(body))
		return status == http.StatusOK
	}
	if !put(sent[0]) {
		return exitCantRun
	}
	var mutex sync.Mutex
	ranAt := map[string]string{}
	for i := range 6 {
		s, err := c.newServer(fmt.Sprint("i-", i+1), services[i%2], i, "", 9)
		if err != nil {
			rec.printf("can't run: %v", err)
			return exitCantRun
		}
		s.work = func(*http.Request, []byte) (time.Duration, []byte) {
			return 20 * time.Millisecond, []byte("done by " + s.service)
		}
		s.onRun = func(s *server, id string) {
			mutex.Lock()
			ranAt[id] = s.service
			mutex.Unlock()
		}
		s.run()
		defer s.stop()
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	time.Sleep(4 * time.Second) // the servers are known, and no longer cold
	if trouble {
		sent = append(sent, routedConfig{2, []route{passes, other, purchases}})
		if !put(sent[1]) {
			return exitCantRun
		}
	}
	time.Sleep(4 * time.Second) // longer than config_apply_s and contact_s
	broken, served := 0, 0
	for i := range 60 {
		conn, err := c.dial(c.fronts[i%len(c.fronts)])
		if err != nil {
			rec.printf("can't run: %v", err)
			return exitCantRun
		}
		r := request{id: fmt.Sprintf("c%015x", i+1), method: http.MethodGet, path: fmt.Sprint("/lepu270/", i), deadline: 4 * time.Second}
		if i%2 == 1 {
			r.path = fmt.Sprint("/lepu270/ny95%2F", i)
		}
		if err := conn.send(r); err != nil {
			rec.printf("client: %s: %v", r.id, err)
		}
		a := conn.receive(r.method, 5*time.Second)
		conn.conn.Close()
		mutex.Lock()
		service, ran := ranAt[r.id]
		mutex.Unlock()
		isAllowed := !ran
		for _, s := range sent {
			isAllowed = isAllowed || s.serviceOf(r.path) == service
		}
		rec.printf("client: %s GET %s: run by %q, allowed: %v; %v", r.id, r.path, service, isAllowed, a)
		if ran {
			served++
		}
		if !isAllowed {
			broken++
		}
		time.Sleep(30 * time.Millisecond)
	}
	rec.printf("%d requests ran, %d of them at a service to which no config allows them to go", served, broken)
	switch {
	case broken > 0:
		return 1
	case served < 30:
		return exitCantRun
	default:
		return 0
	}
}
