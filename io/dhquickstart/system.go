// Package dhquickstart runs a small but complete system in one process on
// loopback: a voter, an entry instance in each of two zones, sample objects and
// fake upstreams. It stores nothing on disk.
package dhquickstart

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhclient"
	"dogwoodhitch/io/dhfakeupstream"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhprocess"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhsettings"
	"dogwoodhitch/io/dhtime"
)

// Parameters of the sample system. Each organisation is limited to sampleRate
// requests per second and bursts of sampleBurst requests.
const (
	voterName           = "control-1"
	loopback            = "127.0.0.1:0"
	sampleRate          = 400
	sampleBurst         = 200
	responseBufferBytes = 64 << 10
	maxBodyBytes        = 1 << 20
	maxHeldBytes        = 32 << 20
	maxConnections      = 64
	// startTimeout limits the time until the sample objects are in force.
	startTimeout = 20 * time.Second
)

// sampleZones are the availability zones of the sample system, with their
// regions.
var sampleZones = []struct{ zone, region string }{{"north-1", "north"}, {"south-1", "south"}}

// sampleUpstreams describes the upstreams of the sample system: each zone has
// count of them for each service.
var sampleUpstreams = []struct {
	service        string
	count          int
	slots          int
	processingTime time.Duration
}{
	{"gate", 2, 9, 2 * time.Millisecond},
	{"checkout", 2, 3, 10 * time.Millisecond},
	{"corrections", 2, 6, 3 * time.Millisecond},
}

// System is a running sample system.
type System struct {
	logs          *dhlogs.Logs
	secrets       dhprocess.Secrets
	keys          map[string]string // organisation to API key
	processes     []*dhprocess.Process
	fakeUpstreams []*dhfakeupstream.FakeUpstream
	checks        *checks
	group         sync.WaitGroup
	cancel        context.CancelFunc
}

// Start starts the system and waits until the sample objects are in force. It
// returns an error if that takes longer than startTimeout.
func Start(ctx context.Context, logOutput io.Writer) (*System, error) {
	logs, err := dhlogs.New(dhlogs.Options{Level: "warning", Output: logOutput, Process: "quickstart"})
	if err != nil {
		return nil, err
	}
	logs.CaptureStandardLog(dhtime.System())
	s := &System{
		logs:    logs,
		secrets: dhprocess.Secrets{Peers: randomSecret(), Operators: randomSecret(), Upstreams: randomSecret()},
		keys:    map[string]string{"cairnpass": randomSecret(), "regie": randomSecret()},
	}
	s.checks = newChecks(s.keys)
	ctx, s.cancel = context.WithCancel(ctx)
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	control := s.processOptions(voterName, "", dhsettings.RoleControl)
	control.Founders = []dhmessage.Member{dhmessage.NewMember(dhmessage.NewPeer(voterName, ""), "", false)}
	voter := dhprocess.New(control)
	if err := voter.Start(); err != nil {
		return err
	}
	s.processes = append(s.processes, voter)
	for _, z := range sampleZones {
		o := s.processOptions("entry-"+z.zone, z.zone, dhsettings.RoleEntry)
		o.Listen.Callers, o.Listen.Upstreams = loopback, loopback
		o.Voters = []dhsettings.Voter{dhsettings.NewVoter(voterName, voter.BoundAddresses().Peers)}
		p := dhprocess.New(o)
		if err := p.Start(); err != nil {
			return err
		}
		s.processes = append(s.processes, p)
	}
	if err := s.startUpstreams(ctx); err != nil {
		return err
	}
	return s.applySampleObjects(ctx)
}

func (s *System) processOptions(name, zone string, role dhsettings.Role) dhprocess.Options {
	return dhprocess.Options{
		Name: name, Zone: zone, Role: role,
		Listen:  dhprocess.Addresses{Peers: loopback, Operators: loopback},
		Secrets: s.secrets, MaxBodyBytes: maxBodyBytes, MaxHeldBytes: maxHeldBytes, ResponseBufferBytes: responseBufferBytes, MaxConnections: maxConnections,
		CloseTimeout: dhclock.Second, Logs: s.logs, Clock: dhtime.System(),
	}
}

// entries returns the entry instances in the order of sampleZones.
func (s *System) entries() []*dhprocess.Process { return s.processes[1:] }

func (s *System) startUpstreams(ctx context.Context) error {
	for i, p := range s.entries() {
		for _, u := range sampleUpstreams {
			for n := range u.count {
				upstream, err := dhfakeupstream.New(dhfakeupstream.Options{
					Name: fmt.Sprintf("%s-%s-%d", u.service, sampleZones[i].zone, n+1), Service: u.service,
					Address: loopback, EntryAddresses: []string{p.BoundAddresses().Upstreams}, Secret: s.secrets.Upstreams,
					Slots: u.slots, Handler: s.checks.serve(u.service, u.processingTime),
				})
				if err != nil {
					return err
				}
				s.fakeUpstreams = append(s.fakeUpstreams, upstream)
				s.checks.watchSlots(upstream, u.slots)
				s.group.Go(func() { upstream.Run(ctx) })
			}
		}
	}
	return nil
}

// applySampleObjects submits the sample objects, and waits until they are in
// force and the entry instances are ready.
func (s *System) applySampleObjects(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	raw, err := protojson.Marshal(s.sampleObjects())
	if err != nil {
		return err
	}
	changed, err := s.Client().SubmitJSON(ctx, raw, false, true)
	if err != nil {
		return err
	}
	if !changed.InForce {
		return errors.New("the sample objects are not in force on every instance; see the logs")
	}
	return s.waitReady(ctx)
}

// waitReady waits until every entry instance reports that it is ready.
func (s *System) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		ready := true
		for _, p := range s.entries() {
			ready = ready && p.Ready() == nil
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the entry instances did not become ready in time; see the logs")
		case <-ticker.C:
		}
	}
}

// Client returns a client of the voter's operators' API.
func (s *System) Client() *dhclient.Client {
	return dhclient.New(dhclient.Options{Servers: []string{s.processes[0].BoundAddresses().Operators}, Secret: s.secrets.Operators})
}

// Stop stops the upstreams, and then the processes in reverse order of their
// start.
func (s *System) Stop() {
	s.cancel()
	s.group.Wait()
	for i := len(s.processes) - 1; i >= 0; i-- {
		s.processes[i].Stop()
	}
}

func randomSecret() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// sampleObjects returns the change set with the sample objects.
func (s *System) sampleObjects() *dhproto.ChangeSet {
	m := &dhproto.ChangeSet{Id: "quickstart", Author: "quickstart"}
	put := func(o *dhproto.Object) { m.Puts = append(m.Puts, o) }
	for i, z := range sampleZones {
		put(&dhproto.Object{Object: &dhproto.Object_Zone{Zone: &dhproto.Zone{Name: z.zone, Region: z.region}}})
		bound := s.entries()[i].BoundAddresses()
		put(&dhproto.Object{Object: &dhproto.Object_Instance{Instance: &dhproto.Instance{
			Name: "entry-" + z.zone, Zone: z.zone, CallerAddress: bound.Callers, PeerAddress: bound.Peers,
		}}})
		put(&dhproto.Object{Object: &dhproto.Object_Site{Site: &dhproto.Site{
			Name: "site-" + z.zone, Zone: z.zone, TimeToLiveMs: 5000, Default: i == 0,
		}}})
	}
	m.Blocks = append(m.Blocks, &dhproto.BlockChange{Block: "203.0.113.0/24", Site: "site-" + sampleZones[1].zone})
	for name, key := range s.keys {
		put(&dhproto.Object{Object: &dhproto.Object_Organisation{Organisation: &dhproto.Organisation{Name: name}}})
		put(&dhproto.Object{Object: &dhproto.Object_Key{Key: &dhproto.Key{Name: name + "-key", Organisation: name, Secret: key}}})
		put(&dhproto.Object{Object: &dhproto.Object_Limit{Limit: &dhproto.Limit{
			Name: name + "-limit", Organisation: name, Rate: sampleRate, Burst: sampleBurst,
		}}})
	}
	for _, u := range sampleUpstreams {
		put(&dhproto.Object{Object: &dhproto.Object_Service{Service: &dhproto.Service{Name: u.service, SpillPercent: 50}}})
	}
	for _, r := range []*dhproto.Route{
		{Name: "gate-check", PathPrefix: "/gate/", Service: "gate", Idempotent: true, TimeoutMs: 1000, QueueWaitMs: 300},
		{Name: "purchase", PathPrefix: "/purchases/", Service: "checkout", ClaimRequired: true, TimeoutMs: 5000, QueueWaitMs: 2000, Priority: 1, RetentionMs: 86_400_000},
		{Name: "corrections", PathPrefix: "/corrections/", Service: "corrections", Idempotent: true, TimeoutMs: 1000, QueueWaitMs: 300},
		{Name: "station-status", PathPrefix: "/status/", Service: "corrections", Open: true, Idempotent: true, TimeoutMs: 1000, QueueWaitMs: 300, Priority: 2},
	} {
		put(&dhproto.Object{Object: &dhproto.Object_Route{Route: r}})
	}
	put(&dhproto.Object{Object: &dhproto.Object_Objective{Objective: &dhproto.Objective{
		Name: "gate-check-fast", Route: "gate-check", TargetPerMillion: 999_000, LatencyMs: 100,
	}}})
	put(&dhproto.Object{Object: &dhproto.Object_Objective{Objective: &dhproto.Objective{
		Name: "corrections-fast", Route: "corrections", TargetPerMillion: 999_000, LatencyMs: 100,
	}}})
	return m
}
