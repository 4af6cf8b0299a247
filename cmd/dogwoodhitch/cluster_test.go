package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/io/dhclient"
	"dogwoodhitch/io/dhfakeupstream"
	"dogwoodhitch/io/dhoperator"
	"dogwoodhitch/io/dhtls"
)

// program is the path of the binary under test, which TestMain builds once.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "dogwoodhitch")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "dogwoodhitch")
	args := []string{"build", "-o", program}
	if raceDetector {
		args = append(args, "-race")
	}
	args = append(args, ".")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// waitTimeout limits every wait for an expected condition.
const waitTimeout = 30 * time.Second

// host is a loopback address that only this test run uses, and lastPort the last
// port that was allocated. The ports are below the kernel's ephemeral range, so
// that nothing else binds a port between its allocation and its use.
var (
	host     = fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
	lastPort = 20_000
)

const testSecret = "a-secret-of-the-tests"

// process is one process of the program; callers, upstreams, peers and operators
// are its listen addresses.
type process struct {
	name, role, zone string
	folder           string
	callers          string
	upstreams        string
	peers            string
	operators        string
	command          *exec.Cmd
	done             chan struct{}
	log              *logBuffer
}

// cluster is a system of separate processes, whose peer connections run over
// links that can be cut. The key of a link consists of the names of the
// connecting process, "*" for any, and of the accepting one.
type cluster struct {
	t            *testing.T
	folder       string
	voters       []*process
	entries      []*process
	links        map[[2]string]*link
	version      uint64
	certificates string // folder of the certificates; "" without TLS
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		lastPort++
		address := fmt.Sprintf("%s:%d", host, lastPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
		if lastPort > 30_000 {
			t.Fatal(err)
		}
	}
}

// logBuffer collects the log of a process. It may be read while the process
// runs.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// newCluster starts voters and one entry instance in each zone, applies the
// sample objects, and waits until the entry instances are ready.
func newCluster(t *testing.T, voters int, zones ...string) *cluster {
	t.Helper()
	return newTLSCluster(t, "", voters, zones...)
}

// newTLSCluster does the same as newCluster, over TLS with the certificates
// of a folder. Without a folder it uses plain connections.
func newTLSCluster(t *testing.T, certificates string, voters int, zones ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir(), links: map[[2]string]*link{}, certificates: certificates}
	for _, s := range []string{"peers", "operators", "upstreams"} {
		os.WriteFile(filepath.Join(c.folder, s), []byte(testSecret+s), 0o600)
	}
	for i := range voters {
		c.voters = append(c.voters, c.newProcess(fmt.Sprintf("c%d", i+1), "control", ""))
	}
	for _, z := range zones {
		c.entries = append(c.entries, c.newProcess(z+"-1", "entry", z))
	}
	for _, p := range append(append([]*process{}, c.voters...), c.entries...) {
		c.writeSettings(p)
	}
	for _, v := range c.voters {
		c.runProgram("found", "--settings", v.folder+".jsonc")
	}
	for _, p := range append(append([]*process{}, c.voters...), c.entries...) {
		c.start(p)
	}
	c.applyChange(c.sampleObjects())
	for _, e := range c.entries {
		c.waitReady(e)
	}
	return c
}

func (c *cluster) newProcess(name, role, zone string) *process {
	return &process{
		name: name, role: role, zone: zone, folder: filepath.Join(c.folder, name),
		callers: freeAddress(c.t), upstreams: freeAddress(c.t), peers: freeAddress(c.t), operators: freeAddress(c.t),
	}
}

// linkTo returns the link that carries the connections of one process to another
// one, which listens on address.
func (c *cluster) linkTo(from, to string, address string) *link {
	key := [2]string{from, to}
	if c.links[key] == nil {
		c.links[key] = startLink(c.t, address)
	}
	return c.links[key]
}

// setCut cuts or restores every link from and to a process.
func (c *cluster) setCut(name string, cut bool) {
	for key, l := range c.links {
		if key[0] == name || key[1] == name {
			l.setCut(cut)
		}
	}
}

func (c *cluster) writeSettings(p *process) {
	type voter struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}
	var voters []voter
	for _, v := range c.voters {
		address := v.peers
		if v != p {
			address = c.linkTo(p.name, v.name, v.peers).listener.Addr().String()
		}
		voters = append(voters, voter{v.name, address})
	}
	listen := map[string]string{"peers": p.peers, "operators": p.operators}
	secrets := map[string]string{"peersFile": "peers", "operatorsFile": "operators"}
	s := map[string]any{
		"name": p.name, "role": p.role, "voters": voters, "listen": listen, "secrets": secrets,
		"logs": map[string]any{"level": "info"}, "shutdown": map[string]int{"leaveWaitMs": 1500, "finishMs": 10000},
	}
	if c.certificates != "" {
		s["tls"] = map[string]string{
			"certFile": filepath.Join(c.certificates, "cert.pem"), "keyFile": filepath.Join(c.certificates, "key.pem"), "caFile": filepath.Join(c.certificates, "ca.pem"),
		}
	}
	if p.role == "control" {
		s["dataFolder"] = p.folder
	} else {
		s["zone"] = p.zone
		listen["callers"], listen["upstreams"] = p.callers, p.upstreams
		secrets["upstreamsFile"] = "upstreams"
		s["journalFile"] = p.folder + ".journal"
	}
	raw, _ := json.Marshal(s)
	if err := os.WriteFile(p.folder+".jsonc", raw, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) runProgram(args ...string) string {
	c.t.Helper()
	out, err := exec.Command(program, args...).CombinedOutput()
	if err != nil {
		c.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

func (c *cluster) start(p *process) {
	c.t.Helper()
	p.log = &logBuffer{}
	p.command = exec.Command(program, p.role, "--settings", p.folder+".jsonc")
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		c.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go func(p *process, command *exec.Cmd, done chan struct{}) {
		command.Wait()
		close(done)
	}(p, p.command, p.done)
	c.t.Cleanup(func() {
		c.kill(p)
		if strings.Contains(p.log.String(), "DATA RACE") {
			c.t.Errorf("the race detector found a data race in %s", p.name)
		}
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", p.name, p.log)
		}
	})
}

func (c *cluster) kill(p *process) {
	p.command.Process.Signal(syscall.SIGCONT)
	p.command.Process.Kill()
	<-p.done
}

// client returns a client of the operators' API of the processes.
func (c *cluster) client(processes ...*process) *dhclient.Client {
	var servers []string
	for _, p := range processes {
		servers = append(servers, p.operators)
	}
	return dhclient.New(dhclient.Options{Servers: servers, Secret: testSecret + "operators", TLS: c.tls()})
}

// tls returns the TLS configuration of clients; nil for plain connections.
func (c *cluster) tls() *tls.Config {
	if c.certificates == "" {
		return nil
	}
	trusted, err := dhtls.New(dhtls.Options{CAFile: filepath.Join(c.certificates, "ca.pem")})
	if err != nil {
		c.t.Fatal(err)
	}
	return trusted.ClientConfig()
}

// sampleObjects returns the objects that every test starts with, as JSON.
func (c *cluster) sampleObjects() string {
	var puts []string
	put := func(kind, body string, args ...any) {
		puts = append(puts, fmt.Sprintf(`{%q: %s}`, kind, fmt.Sprintf(body, args...)))
	}
	for i, e := range c.entries {
		put("zone", `{"name": %q, "region": %q}`, e.zone, e.zone[:1])
		put("instance", `{"name": %q, "zone": %q, "callerAddress": %q, "peerAddress": %q}`,
			e.name, e.zone, e.callers, c.linkTo("*", e.name, e.peers).listener.Addr())
		put("site", `{"name": "site-%s", "zone": %q, "timeToLiveMs": 1000, "default": %t}`, e.zone, e.zone, i == 0)
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

// applyChange submits a change set and retries it under the same ID until it is in
// force on every instance.
func (c *cluster) applyChange(puts string, deletes ...string) {
	c.t.Helper()
	c.version++
	raw := fmt.Sprintf(`{"id": "change-%d", "author": "test", "base": %d, "puts": [%s], "deletes": [%s]}`,
		c.version, c.version-1, puts, strings.Join(deletes, ","))
	var last error
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		changed, err := c.client(c.voters...).SubmitJSON(c.t.Context(), []byte(raw), false, true)
		if err == nil && changed.Version == c.version && changed.InForce {
			return
		}
		last = err
	}
	c.t.Fatalf("change %d is not in force within waitTimeout: %v", c.version, last)
}

// eventually polls a condition until it is met, and fails the test if that takes
// longer than waitTimeout.
func eventually(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatal("condition not met within waitTimeout: " + condition)
}

func (c *cluster) waitReady(p *process) {
	c.t.Helper()
	client, scheme := &http.Client{}, "http://"
	if c.certificates != "" {
		client.Transport, scheme = &http.Transport{TLSClientConfig: c.tls()}, "https://"
	}
	eventually(c.t, p.name+" is ready", func() bool {
		r, err := client.Get(scheme + p.operators + "/readyz")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// leader waits until one of the given voters is the leader and has confirmed its
// configuration within the last 500 ms, and returns it.
func (c *cluster) leader(among ...*process) *process {
	c.t.Helper()
	var found *process
	eventually(c.t, "a voter is the leader", func() bool {
		for _, v := range among {
			var s dhoperator.Status
			s, err := c.client(v).Status(c.t.Context())
			if err == nil && s.IsLeader && s.EverConfirmed && s.AgeMs < 500 {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

// startUpstream starts a fake upstream that announces itself to an entry
// instance, and waits until the instance lists an upstream.
func (c *cluster) startUpstream(name string, e *process, serve http.HandlerFunc) *dhfakeupstream.FakeUpstream {
	c.t.Helper()
	s, err := dhfakeupstream.New(dhfakeupstream.Options{
		Name: name, Service: "gate", Address: host + ":0", EntryAddresses: []string{e.upstreams},
		Secret: testSecret + "upstreams", Slots: 8, Handler: serve, TLS: c.tls(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
	eventually(c.t, name+" is announced", func() bool {
		pools, err := c.client(e).Pools(c.t.Context())
		return err == nil && len(pools) > 0 && len(pools[0].Upstreams) > 0
	})
	return s
}

// folderIDOf returns the ID of a process's data folder from its log, or "" if it
// isn't logged yet.
func (c *cluster) folderIDOf(p *process) string {
	for line := range strings.Lines(p.log.String()) {
		var started struct {
			Folder string `json:"folder"`
		}
		if json.Unmarshal([]byte(line), &started) == nil && started.Folder != "" {
			return started.Folder
		}
	}
	return ""
}
