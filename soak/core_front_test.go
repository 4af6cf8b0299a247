package dhsoak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"dogwoodhitch/io/dhtestcluster"
)

// The ports of every entry instance.
const (
	entryPort = 21_011 + iota
	readyPort
)

// What the settings promise of entry instances.
const (
	contactTime  = 3 * time.Second        // without a fault in the core after which entry instances are in touch
	stretchTime  = 5 * time.Second        // by which faults in the core delay a change at most
	calmTime     = 8 * time.Second        // without faults before the end
	rollbackTime = 250 * time.Millisecond // after which no request is handled by an older version than one before
)

// keptVersions is the number of versions that have the route and the key of a version.
const keptVersions = 3

// entry is an entry instance of the platform's program.
type entry struct {
	*dhtestcluster.Machine
	zone int

	mutex sync.Mutex
	seen  []acknowledgement // versions that it had in force, and when that was known
}

// coreFaults is when the core was last disturbed.
type coreFaults struct {
	lastAt time.Time
	lossAt time.Time // of more than maxLost machines at once
}

// routesJSON returns the services, tenants and hosts of a version.
func routesJSON(version int) string {
	var paths, keys []string
	for v := max(1, version-keptVersions+1); v <= version; v++ {
		for _, kind := range []string{"open", "keyed"} {
			paths = append(paths, fmt.Sprintf(`{"name": "%s-%d", "path_prefix": "/%s/%d/", "kind": "safe", "timeout_s": 1, "target_latency_s": 0.5, "service": "probe", "max_attempts": 2, "public": %t}`,
				kind, v, kind, v, kind == "open"))
		}
		keys = append(keys, fmt.Sprintf(`"key-%d"`, v))
	}
	return fmt.Sprintf(`"services": [{"name": "probe", "health_path": "/health", "max_conns": 300, "protocol": "h1"}],
		"tenants": [{"name": "glenmorven", "api_keys": [%s], "rate_per_s": 100000, "burst": 100000}], "hosts": [{"host": "probe.example", "paths": [%s]}]`,
		strings.Join(keys, ", "), strings.Join(paths, ", "))
}

// startEntries starts an entry instance in each zone and two upstreams of the service.
func (c *core) startEntries(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for zone := range coreZones {
		e := &entry{Machine: dhtestcluster.NewMachine(c.folder, "entry-"+coreZones[zone]), zone: zone}
		c.entries = append(c.entries, e)
		var s map[string]map[string]any
		err := json.Unmarshal(coreSettings, &s)
		maps.Copy(s["local_node"], map[string]any{
			"node_name": e.Name(), "ip": e.Host(), "zone": coreZones[zone], "region": coreRegions[zone%len(coreRegions)], "first_boot": true,
			"data_dir": nil, "role": "front", "machine_class": "front", "serves": []string{"front"}, "counts_as_loss": false,
		})
		maps.Copy(s["network"], map[string]any{
			"listen":         map[string]string{"front": fmt.Sprint(e.Host(), ":", entryPort), "ready": fmt.Sprint(e.Host(), ":", readyPort)},
			"internal_ports": []int{internalPort, lastInternalPort}, "seeds": c.seeds,
		})
		raw, _ := json.Marshal(s)
		if err = errors.Join(err, e.WriteSettings(raw), e.Start(c.program, "DOGWOODHITCH_CONFIG="+e.SettingsFile())); err != nil {
			c.fail("an entry instance can be started: %v", err)
			return
		}
		c.t.Cleanup(e.Kill)
	}
	for i := range 4 {
		c.startUpstream(ctx, fmt.Sprintf("i-%d", i), coreZones[i])
	}
}

// startUpstream starts an upstream and sends its heartbeats to the control processes.
func (c *core) startUpstream(ctx context.Context, name, zone string) {
	bornAt := time.Now().UnixMilli()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance-Id", name)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", "probe")
		_, _ = io.WriteString(w, "ran")
	}))
	server.Start()
	c.t.Cleanup(server.Close)
	_, port, _ := net.SplitHostPort(server.Listener.Addr().String())
	c.beating.Go(func() {
		for sequence, next := 1, 0; ctx.Err() == nil; sequence++ {
			body := fmt.Sprintf(`{"service": "probe", "address": "127.0.0.1:%s", "zone": "%s", "version": "v1", "slots": 100, "state": "ready", "cold_left_s": 0, "seq_no": %d, "born": %d}`, port, zone, sequence, bornAt)
			status, _ := c.call(c.newest(next % len(coreZones))[0], http.MethodPost, "Instances.Heartbeat/"+name, []byte(body))
			if status != http.StatusOK {
				next++
				continue
			}
			sleep(ctx, time.Second)
		}
	})
}

// probe sends a request that only some versions allow to an entry instance.
func (c *core) probe(ctx context.Context, client *http.Client, r *rand.Rand, e *entry) {
	c.mutex.Lock()
	newest := 0
	if n := len(c.acks); n > 0 {
		newest = c.acks[n-1].version
	}
	c.mutex.Unlock()
	version, kind := max(1, newest+2-r.IntN(30)), []string{"open", "keyed"}[r.IntN(2)]
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/%s/%d/x", e.Host(), entryPort, kind, version), http.NoBody)
	if err != nil {
		return
	}
	request.Host = "probe.example"
	request.Header.Set("Request-Id", fmt.Sprintf("%016x", r.Uint64()))
	request.Header.Set("Deadline-Ms", "900")
	if kind == "keyed" {
		request.Header.Set("Credential", fmt.Sprintf("key-%d", version))
	}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return
	}
	c.checkProbe(e, kind, version, response.StatusCode, sentAt, time.Now())
}

// changeBound returns the time after which a change is in force at entry instances at a time; 0 for
// none. c.mutex is held.
func (c *core) changeBound(at time.Time) time.Duration {
	switch sinceFault, sinceLoss := at.Sub(c.faults.lastAt), at.Sub(c.faults.lossAt); {
	case sinceFault > contactTime && sinceLoss > 2*contactTime:
		return applyTime
	case sinceLoss > contactTime+applyTime+stretchTime:
		return applyTime + stretchTime
	}
	return 0
}

// checkProbe checks by which versions a probe can have been handled.
func (c *core) checkProbe(e *entry, kind string, version, status int, sentAt, endedAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.probes[status]++
	oldest, newest := 0, c.sent // by which it may be handled
	bound := c.changeBound(sentAt)
	for _, a := range c.acks {
		if bound > 0 && sentAt.Sub(a.at) > bound {
			oldest = max(oldest, a.version)
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	inForce := 0
	for _, s := range e.seen {
		if sentAt.Sub(s.at) > rollbackTime {
			inForce = max(inForce, s.version)
		}
	}
	what := fmt.Sprintf("%s gets %d for /%s/%d/ at %s, %v after the last fault", e.Name(), status, kind, version, sentAt.Format(clockFormat), sentAt.Sub(c.faults.lastAt).Round(time.Millisecond))
	switch status {
	case http.StatusOK:
		if version+keptVersions <= oldest {
			c.fail("a change is in force %v after its acknowledgement: %s; version %d was acknowledged", bound, what, oldest)
		}
		if version+keptVersions <= inForce {
			c.fail("a process doesn't return to an older version: %s; version %d was in force", what, inForce)
		}
		e.seen = append(e.seen, acknowledgement{version, endedAt})
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusForbidden:
		if isAllowed := newest < version+keptVersions; isAllowed && version <= oldest {
			c.fail("a change is in force %v after its acknowledgement: %s; version %d was acknowledged", bound, what, oldest)
		} else if isAllowed && version <= inForce {
			c.fail("a process doesn't return to an older version: %s; version %d was in force", what, inForce)
		}
	}
}

// probeAll probes an entry instance until the context ends.
func (c *core) probeAll(ctx context.Context, e *entry, r *rand.Rand) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.probe(ctx, client, r, e)
		sleep(ctx, between(r, 5, 60))
	}
}
