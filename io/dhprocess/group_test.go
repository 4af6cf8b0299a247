package dhprocess

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhdisk"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhsettings"
	"dogwoodhitch/io/dhtime"
)

// cluster is voters and entry instances in one test process, over real
// connections and disks.
type cluster struct {
	t             testing.TB
	logs          *dhlogs.Logs
	voters        []*Process
	entries       []*Process
	voterSettings []dhsettings.Voter
	version       uint64
}

func newCluster(t testing.TB, voters int) *cluster {
	t.Helper()
	logs, err := dhlogs.New(dhlogs.Options{Level: "error", Output: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	g := &cluster{t: t, logs: logs}
	var founders []dhmessage.Member
	for i := range voters {
		name := fmt.Sprint("c", i+1)
		address := freeAddress(t)
		g.voterSettings = append(g.voterSettings, dhsettings.NewVoter(name, address))
		founders = append(founders, dhmessage.NewMember(dhmessage.NewPeer(name, ""), address, false))
	}
	for _, v := range g.voterSettings {
		path := filepath.Join(t.TempDir(), v.Name())
		if err := dhdisk.Found(path, v.Name(), founders); err != nil {
			t.Fatal(err)
		}
		folder, err := dhdisk.Open(path, v.Name())
		if err != nil {
			t.Fatal(err)
		}
		o := g.options(v.Name(), "", dhsettings.RoleControl)
		o.Listen.Peers, o.DataFolder = v.Address(), folder
		g.voters = append(g.voters, g.start(o))
	}
	return g
}

// lastPort is the last port that was given out, below those that the kernel
// gives to connections.
var lastPort = 10_000

// freeAddress returns an address that nothing else uses.
func freeAddress(t testing.TB) string {
	t.Helper()
	for {
		lastPort++
		address := fmt.Sprintf("127.78.%d.%d:%d", os.Getpid()>>8&0xff, os.Getpid()&0xff, lastPort)
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

func (g *cluster) options(name, zone string, role dhsettings.Role) Options {
	return Options{
		Name: name, Zone: zone, Role: role, Voters: g.voterSettings, Logs: g.logs, Clock: dhtime.System(),
		Listen: Addresses{Peers: "127.0.0.1:0"}, Secrets: Secrets{Peers: "secret"},
		MaxBodyBytes: 1 << 20, MaxTotalBodyBytes: 1 << 24, ResponseBufferBytes: 1 << 16, MaxConnections: 16,
	}
}

func (g *cluster) start(o Options) *Process {
	g.t.Helper()
	p := New(o)
	if err := p.Start(); err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(p.Stop)
	return p
}

// addEntries starts entry instances, so many in each zone, and declares them.
func (g *cluster) addEntries(zones, each int) {
	g.t.Helper()
	var puts []dhcatalog.Object
	for z := range zones {
		zone := fmt.Sprintf("z%02d", z)
		puts = append(puts, dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: zone, Region: fmt.Sprint("r", z%11)}))
		for i := range each {
			p := g.start(g.options(fmt.Sprintf("%s-%03d", zone, i), zone, dhsettings.RoleEntry))
			g.entries = append(g.entries, p)
			puts = append(puts, dhcatalog.NewInstance(dhcatalog.InstanceOptions{
				Name: p.options.Name, Zone: zone, CallerAddress: "127.0.0.1:1", PeerAddress: p.BoundAddresses().Peers,
			}))
		}
	}
	g.applyChange(puts...)
}

// applyChange gets objects accepted.
func (g *cluster) applyChange(puts ...dhcatalog.Object) {
	g.t.Helper()
	c := dhmessage.NewChange(dhcatalog.NewChangeSet(dhcatalog.ChangeSetOptions{
		ID: fmt.Sprint("change-", g.version), Base: g.version, Author: "test", Puts: puts,
	}))
	r, err := g.voters[0].ControlClient().Propose(g.t.Context(), c, 20_000)
	if err != nil || r.Err() != nil || r.OutcomeUnknown() {
		g.t.Fatalf("%+v %v", r, err)
	}
	g.version = r.Version()
}

// waitInForce returns how long it takes until every entry instance has the
// newest version, and until the system says so.
func (g *cluster) waitInForce(from time.Time) (last, known time.Duration) {
	for _, p := range g.entries {
		for p.View().Catalog().Version() < g.version {
			time.Sleep(time.Millisecond)
		}
	}
	last = time.Since(from)
	for g.voters[0].View().InForce() < g.version {
		time.Sleep(time.Millisecond)
	}
	return last, time.Since(from)
}

func organisation(i int) dhcatalog.Object {
	return dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{Name: fmt.Sprint("o", i)})
}

// BenchmarkAccept measures how long a change set takes to be accepted, one at
// a time, and how many claims are accepted a second by many at once.
func BenchmarkAccept(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		g := newCluster(b, voters)
		g.applyChange(organisation(0))
		b.Run(fmt.Sprint("change, voters ", voters), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				g.applyChange(organisation(i % 100))
			}
		})
		b.Run(fmt.Sprint("claims, voters ", voters), func(b *testing.B) {
			var group sync.WaitGroup
			next := make(chan int)
			for range 64 {
				group.Go(func() {
					for i := range next {
						g.proposeResolve(i)
					}
				})
			}
			for i := 0; b.Loop(); i++ {
				next <- i
			}
			close(next)
			group.Wait()
		})
	}
}

func (g *cluster) proposeResolve(i int) {
	k := dhmessage.NewClaimKey("org", fmt.Sprint(time.Now().UnixNano(), "-", i))
	c := dhmessage.NewResolve(k, true) // an entry of the log like a claim, answered to the proposer
	if _, err := g.voters[0].ControlClient().Propose(g.t.Context(), c, 20_000); err != nil {
		g.t.Error(err)
	}
}

// BenchmarkIdle measures what control costs an entry instance that serves
// nothing: processor time in thousandths of a core, bytes sent a second, and
// memory.
func BenchmarkIdle(b *testing.B) {
	for _, each := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(12*each), func(b *testing.B) {
			before := memoryInUse()
			g := newCluster(b, 3)
			g.addEntries(12, each)
			g.waitInForce(time.Now())
			time.Sleep(2 * time.Second)
			n := float64(len(g.entries))
			for b.Loop() {
				cpu, sent, calls, started := cpuTime(), g.sentBytes(), g.sentMessages(), time.Now()
				time.Sleep(5 * time.Second)
				span := time.Since(started).Seconds()
				b.ReportMetric(1000*(cpuTime()-cpu).Seconds()/span/n, "mcore/node")
				b.ReportMetric(float64(g.sentBytes()-sent)/span/n, "B/s/node")
				b.ReportMetric(float64(g.sentMessages()-calls)/span/n, "sends/s/node")
				b.ReportMetric(float64(memoryInUse()-before)/1024/n, "KiB/node")
			}
		})
	}
}

func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sentBytes returns the bytes of messages that all processes have sent.
func (g *cluster) sentBytes() int64 { return g.metricTotal("dogwoodhitch_peer_bytes_total") }

// sentMessages returns how many calls and answers to calls were sent.
func (g *cluster) sentMessages() int64 { return g.metricTotal("dogwoodhitch_peer_messages_total") }

func (g *cluster) metricTotal(name string) int64 {
	total := int64(0)
	for _, p := range append(append([]*Process{}, g.voters...), g.entries...) {
		total += p.metrics.Value(name)
	}
	return total
}

// BenchmarkLeaderLoss stops the leader at once and measures the time until the
// next change set is accepted.
func BenchmarkLeaderLoss(b *testing.B) {
	var all []time.Duration
	for b.Loop() {
		g := newCluster(b, 3)
		g.applyChange(organisation(0))
		time.Sleep(time.Second)
		lead, others := g.leader()
		started := time.Now()
		lead.cancel() // everything that it does ends here and now
		for _, s := range lead.servers {
			s.Close()
		}
		g.voters = others
		g.applyChange(organisation(1))
		all = append(all, time.Since(started))
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Milliseconds()), "ms-median")
	b.ReportMetric(float64(all[len(all)-1].Milliseconds()), "ms-max")
}

// leader returns the voter that leads, and the others.
func (g *cluster) leader() (*Process, []*Process) {
	for i, p := range g.voters {
		if s, err := p.ControlClient().Status(g.t.Context()); err == nil && s.IsLeader() {
			return p, append(append([]*Process{}, g.voters[:i]...), g.voters[i+1:]...)
		}
	}
	g.t.Fatal("no leader")
	return nil, nil
}

// BenchmarkInForce measures from the acceptance of a change set until every
// entry instance has it, and until the leader knows that.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []struct{ zones, each int }{{5, 2}, {36, 6}, {36, 12}, {36, 24}} {
		b.Run(fmt.Sprint(size.zones*size.each), func(b *testing.B) {
			g := newCluster(b, 3)
			g.addEntries(size.zones, size.each)
			g.waitInForce(time.Now())
			var lasts, knowns time.Duration
			rounds := 0
			for b.Loop() {
				started := time.Now()
				g.applyChange(organisation(rounds % 100))
				last, known := g.waitInForce(started)
				lasts, knowns = max(lasts, last), max(knowns, known)
				rounds++
			}
			b.ReportMetric(float64(lasts.Milliseconds()), "ms-max-last")
			b.ReportMetric(float64(knowns.Milliseconds()), "ms-max-known")
		})
	}
}
