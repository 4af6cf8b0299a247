package dhtestcluster

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dogwoodhitch/io/dhclient"
	"dogwoodhitch/io/dhfakeupstream"
	"dogwoodhitch/io/dhoperator"
	"dogwoodhitch/io/dhtls"
)

// secretPrefix is the common part of the secrets, which end with their use.
const secretPrefix = "a-secret-of-the-tests"

// Default settings of a planned stop.
const (
	defaultLeaveWait = 1500 * time.Millisecond
	defaultFinish    = 10 * time.Second
)

// UpstreamSlots is the number of slots that an upstream announces to an entry instance.
const UpstreamSlots = 8

// Options configure a Cluster.
type Options struct {
	// Voters is the number of control processes.
	Voters int
	// Zones are the zones of the entry instances. A zone may be listed several times.
	Zones []string
	// Certificates is the folder of the certificates; "" for plain connections.
	Certificates string
	// LeaveWait and Finish are the settings of a planned stop; 0 for the default.
	LeaveWait, Finish time.Duration
	// WithoutJournals keeps entry instances from recording journals.
	WithoutJournals bool
	// WithoutLinks makes processes connect to each other directly.
	WithoutLinks bool
	// LogFolder is where the logs are stored if the test fails; "" to print them.
	LogFolder string
}

// Cluster is a system of separate processes. The key of a link consists of the names of
// the connecting process, "*" for any, and of the accepting one.
type Cluster struct {
	t       *testing.T
	options Options
	folder  string
	voters  []*Process
	entries []*Process
	links   map[[2]string]*Link
	version uint64
}

// New starts voters and entry instances, applies the sample objects, and waits until the
// entry instances are ready.
func New(t *testing.T, o Options) *Cluster {
	t.Helper()
	if o.LeaveWait == 0 {
		o.LeaveWait = defaultLeaveWait
	}
	if o.Finish == 0 {
		o.Finish = defaultFinish
	}
	c := &Cluster{t: t, options: o, folder: t.TempDir(), links: map[[2]string]*Link{}}
	for _, s := range []string{"peers", "operators", "upstreams"} {
		if err := os.WriteFile(filepath.Join(c.folder, s), []byte(secretPrefix+s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for i := range o.Voters {
		c.voters = append(c.voters, c.newProcess(fmt.Sprintf("c%d", i+1), "control", ""))
	}
	inZone := map[string]int{}
	for _, z := range o.Zones {
		inZone[z]++
		c.entries = append(c.entries, c.newProcess(fmt.Sprintf("%s-%d", z, inZone[z]), "entry", z))
	}
	for _, p := range c.Processes() {
		c.writeSettings(p)
	}
	for _, v := range c.voters {
		c.RunProgram("found", "--settings", v.folder+".jsonc")
	}
	for _, p := range c.Processes() {
		c.Start(p)
	}
	c.ApplyChange(c.sampleObjects())
	for _, e := range c.entries {
		c.waitReady(e)
	}
	return c
}

// Folder returns the folder of all files of the processes.
func (c *Cluster) Folder() string { return c.folder }

// Voters returns the control processes.
func (c *Cluster) Voters() []*Process { return c.voters }

// Entries returns the entry instances.
func (c *Cluster) Entries() []*Process { return c.entries }

// Processes returns all processes.
func (c *Cluster) Processes() []*Process {
	return append(append([]*Process{}, c.voters...), c.entries...)
}

// Version returns the version of the last change set that the test knows.
func (c *Cluster) Version() uint64 { return c.version }

// SetVersion records the version of a change set that the test has submitted itself.
func (c *Cluster) SetVersion(version uint64) { c.version = version }

// AddVoter starts a control process with an empty data folder.
func (c *Cluster) AddVoter(name string) *Process {
	c.t.Helper()
	v := c.newProcess(name, "control", "")
	c.voters = append(c.voters, v)
	c.writeSettings(v)
	c.Start(v)
	return v
}

// KillVoter ends a control process and forgets it.
func (c *Cluster) KillVoter(p *Process) {
	p.Kill()
	c.voters = c.VotersExcept(p)
}

// VotersExcept returns the voters other than p.
func (c *Cluster) VotersExcept(p *Process) []*Process {
	var list []*Process
	for _, v := range c.voters {
		if v != p {
			list = append(list, v)
		}
	}
	return list
}

func (c *Cluster) newProcess(name, role, zone string) *Process {
	return &Process{
		name: name, role: role, zone: zone, folder: filepath.Join(c.folder, name),
		callers: freeAddress(c.t), upstreams: freeAddress(c.t), peers: freeAddress(c.t), operators: freeAddress(c.t),
	}
}

// linkTo returns the address of the link that carries the connections of one process to
// another one, which listens on address.
func (c *Cluster) linkTo(from, to string, address string) string {
	if c.options.WithoutLinks {
		return address
	}
	key := [2]string{from, to}
	if c.links[key] == nil {
		c.links[key] = StartLink(c.t, address)
	}
	return c.links[key].Address()
}

// Links returns all links.
func (c *Cluster) Links() map[[2]string]*Link { return c.links }

// SetCut cuts or restores every link from and to a process.
func (c *Cluster) SetCut(name string, cut bool) {
	for key, l := range c.links {
		if key[0] == name || key[1] == name {
			l.SetCut(cut)
		}
	}
}

// SetSilent holds back what others send to a process, ToTarget, or what it sends to them, FromTarget:
// requests and responses, on connections that either side has opened. What several processes send over
// one link counts as sent to the accepting one only.
func (c *Cluster) SetSilent(name string, d Direction, silent bool) {
	for key, l := range c.links {
		switch name {
		case key[1]:
			l.SetSilent(d, silent)
		case key[0]:
			l.SetSilent(1-d, silent)
		}
	}
}

// SetCallsSilent holds back the requests of other processes to one. Its own requests and the
// responses to them still arrive.
func (c *Cluster) SetCallsSilent(name string, silent bool) {
	for key, l := range c.links {
		if key[1] == name {
			l.SetSilent(ToTarget, silent)
		}
	}
}

func (c *Cluster) writeSettings(p *Process) {
	type voter struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}
	var voters []voter
	for _, v := range c.voters {
		address := v.peers
		if v != p {
			address = c.linkTo(p.name, v.name, v.peers)
		}
		voters = append(voters, voter{v.name, address})
	}
	listen := map[string]string{"peers": p.peers, "operators": p.operators}
	secrets := map[string]string{"peersFile": "peers", "operatorsFile": "operators"}
	s := map[string]any{
		"name": p.name, "role": p.role, "voters": voters, "listen": listen, "secrets": secrets, "logs": map[string]any{"level": "info"},
		"shutdown": map[string]int64{"leaveWaitMs": c.options.LeaveWait.Milliseconds(), "finishMs": c.options.Finish.Milliseconds()},
	}
	if folder := c.options.Certificates; folder != "" {
		s["tls"] = map[string]string{
			"certFile": filepath.Join(folder, "cert.pem"), "keyFile": filepath.Join(folder, "key.pem"), "caFile": filepath.Join(folder, "ca.pem"),
		}
	}
	if p.role == "control" {
		s["dataFolder"] = p.folder
	} else {
		s["zone"] = p.zone
		listen["callers"], listen["upstreams"] = p.callers, p.upstreams
		secrets["upstreamsFile"] = "upstreams"
		if !c.options.WithoutJournals {
			s["journalFile"] = p.folder + ".journal"
		}
	}
	raw, err := json.Marshal(s)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(p.folder+".jsonc", raw, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// RunProgram runs a command of the program until it ends, and returns its output.
func (c *Cluster) RunProgram(args ...string) string { return RunProgram(c.t, args...) }

// RunProgram runs a command of the program until it ends, and returns its output.
func RunProgram(t *testing.T, args ...string) string {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), program, args...).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

// Start starts a process, and kills it at the end of the test.
func (c *Cluster) Start(p *Process) {
	c.t.Helper()
	r, err := StartRun(program, nil, p.role, "--settings", p.folder+".jsonc")
	if err != nil {
		c.t.Fatal(err)
	}
	p.Run = r
	c.t.Cleanup(func() {
		r.Kill()
		if strings.Contains(r.Log(), "DATA RACE") {
			c.t.Errorf("the race detector found a data race in %s", p.name)
		}
		c.showLog(p.name, r)
	})
}

// showLog prints or stores the log of a process if the test has failed.
func (c *Cluster) showLog(name string, r *Run) {
	if !c.t.Failed() {
		return
	}
	if c.options.LogFolder == "" {
		c.t.Logf("log of %s:\n%s", name, r.Log())
		return
	}
	path, err := r.SaveLog(c.options.LogFolder, fmt.Sprintf("%s-%d", name, r.command.Process.Pid))
	if err != nil {
		c.t.Errorf("storing the log of %s: %v", name, err)
		return
	}
	c.t.Log("log of " + name + ": " + path)
}

// Client returns a client of the operators' API of the processes.
func (c *Cluster) Client(processes ...*Process) *dhclient.Client {
	var servers []string
	for _, p := range processes {
		servers = append(servers, p.operators)
	}
	return dhclient.New(dhclient.Options{Servers: servers, Secret: secretPrefix + "operators", TLS: c.tls()})
}

// tls returns the TLS configuration of clients; nil for plain connections.
func (c *Cluster) tls() *tls.Config {
	if c.options.Certificates == "" {
		return nil
	}
	trusted, err := dhtls.New(dhtls.Options{CAFile: filepath.Join(c.options.Certificates, "ca.pem")})
	if err != nil {
		c.t.Fatal(err)
	}
	return trusted.ClientConfig()
}

// sampleObjects returns the objects that every test starts with, as JSON.
func (c *Cluster) sampleObjects() string {
	var puts []string
	put := func(kind, body string, args ...any) {
		puts = append(puts, fmt.Sprintf(`{%q: %s}`, kind, fmt.Sprintf(body, args...)))
	}
	hasZone := map[string]bool{}
	for i, e := range c.entries {
		if !hasZone[e.zone] {
			hasZone[e.zone] = true
			put("zone", `{"name": %q, "region": %q}`, e.zone, e.zone[:1])
			put("site", `{"name": "site-%s", "zone": %q, "timeToLiveMs": 1000, "default": %t}`, e.zone, e.zone, i == 0)
		}
		put("instance", `{"name": %q, "zone": %q, "callerAddress": %q, "peerAddress": %q}`,
			e.name, e.zone, e.callers, c.linkTo("*", e.name, e.peers))
	}
	put("organisation", `{"name": "glenmorven"}`)
	put("key", `{"name": "key-1", "organisation": "glenmorven", "secret": "key-one-of-glenmorven"}`)
	put("key", `{"name": "key-2", "organisation": "glenmorven", "secret": "key-two-of-glenmorven"}`)
	put("limit", `{"name": "glenmorven", "organisation": "glenmorven", "rate": 1000, "burst": 500}`)
	put("service", `{"name": "gate", "spillPercent": 50}`)
	put("route", `{"name": "gate", "pathPrefix": "/gate/", "service": "gate", "idempotent": true, "timeoutMs": 5000, "queueWaitMs": 2000}`)
	put("route", `{"name": "open", "pathPrefix": "/open/", "service": "gate", "open": true, "idempotent": true, "timeoutMs": 5000, "queueWaitMs": 2000}`)
	put("route", `{"name": "purchase", "pathPrefix": "/purchases/", "service": "gate", "claimRequired": true, "timeoutMs": 8000, "queueWaitMs": 5000, "retentionMs": 3600000}`)
	return strings.Join(puts, ",\n")
}

// The keys of the sample organisation.
const (
	KeyOne = "key-one-of-glenmorven"
	KeyTwo = "key-two-of-glenmorven"
)

// ApplyChange submits a change set and retries it under the same ID until it is in
// force on every instance.
func (c *Cluster) ApplyChange(puts string, deletes ...string) {
	c.t.Helper()
	c.version++
	raw := fmt.Sprintf(`{"id": "change-%d", "author": "test", "base": %d, "puts": [%s], "deletes": [%s]}`,
		c.version, c.version-1, puts, strings.Join(deletes, ","))
	var last error
	for deadline := time.Now().Add(WaitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		changed, err := c.Client(c.voters...).SubmitJSON(c.t.Context(), []byte(raw), false, true)
		if err == nil && changed.Version == c.version && changed.InForce {
			return
		}
		last = err
	}
	c.t.Fatalf("change %d is not in force within WaitTimeout: %v", c.version, last)
}

func (c *Cluster) waitReady(p *Process) {
	c.t.Helper()
	client, scheme := &http.Client{}, "http://"
	if c.options.Certificates != "" {
		client.Transport, scheme = &http.Transport{TLSClientConfig: c.tls()}, "https://"
	}
	Eventually(c.t, p.name+" is ready", func() bool {
		r, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, scheme+p.operators+"/readyz", nil)
		if err != nil {
			c.t.Fatal(err)
		}
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// Leader waits until one of the given voters is the leader and has confirmed its
// configuration within the last 500 ms, and returns it.
func (c *Cluster) Leader(among ...*Process) *Process {
	c.t.Helper()
	var found *Process
	Eventually(c.t, "a voter is the leader", func() bool {
		for _, v := range among {
			var s dhoperator.Status
			s, err := c.Client(v).Status(c.t.Context())
			if err == nil && s.IsLeader && s.EverConfirmed && s.AgeMs < 500 {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

// StartUpstream starts a fake upstream that announces itself to entry instances, and waits
// until each of them lists it.
func (c *Cluster) StartUpstream(name string, serve http.HandlerFunc, entries ...*Process) *dhfakeupstream.FakeUpstream {
	c.t.Helper()
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, e.upstreams)
	}
	address := freeAddress(c.t)
	u, err := dhfakeupstream.New(dhfakeupstream.Options{
		Name: name, Service: "gate", Address: address, AnnouncedAddress: c.linkTo("*", name, address), EntryAddresses: addresses,
		Secret: secretPrefix + "upstreams", Slots: UpstreamSlots, Handler: serve, TLS: c.tls(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		u.Run(ctx)
		close(done)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
	for _, e := range entries {
		Eventually(c.t, name+" is announced to "+e.name, func() bool {
			pools, err := c.Client(e).Pools(c.t.Context())
			return err == nil && len(pools) > 0 && len(pools[0].Upstreams) > 0
		})
	}
	return u
}
