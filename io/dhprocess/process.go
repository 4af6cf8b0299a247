package dhprocess

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/core/dhtraffic"
	"dogwoodhitch/core/dhview"
	"dogwoodhitch/io/dhask"
	"dogwoodhitch/io/dhentry"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhloop"
	"dogwoodhitch/io/dhmetrics"
	"dogwoodhitch/io/dhpeer"
	"dogwoodhitch/io/dhsettings"
	"dogwoodhitch/io/dhshard"
)

// trafficQueueSize bounds the events that wait to be handed to traffic state.
const trafficQueueSize = 8192

// Process is one process of the system.
type Process struct {
	options       Options
	log           *logrus.Entry
	metrics       *dhmetrics.Metrics
	addressBook   *dhpeer.AddressBook
	sender        *dhpeer.Sender
	loop          *dhloop.Loop
	controlClient *dhask.Asker
	shard         *dhshard.Shard
	entry         *dhentry.Server
	trafficEvents chan dhevent.Event
	view          atomic.Pointer[dhview.View]
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	failures      chan error
	servers       []*http.Server
	// decisionLog writes lines on single requests.
	decisionLog    *dhlogs.Limiter
	boundAddresses Addresses
	leaving        atomic.Bool
}

// New returns a process that doesn't run yet.
func New(o Options) *Process {
	p := &Process{
		options: o, log: o.Logs.Layer("process"), metrics: dhmetrics.New(),
		trafficEvents: make(chan dhevent.Event, trafficQueueSize), failures: make(chan error, 1),
	}
	p.decisionLog = dhlogs.NewLimiter(o.Logs.Layer("decisions"), o.Clock)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	fixed := map[string]string{}
	for _, v := range o.Voters {
		fixed[v.Name()] = v.Address()
	}
	p.addressBook = dhpeer.NewAddressBook(fixed)
	p.controlClient = dhask.New(dhask.Options{Clock: o.Clock, Post: p.post})
	return p
}

func (p *Process) post(ctx context.Context, e dhevent.Event) error { return p.loop.Post(ctx, e) }

// BoundAddresses returns the addresses that the process listens on, once it does.
func (p *Process) BoundAddresses() Addresses { return p.boundAddresses }

// ControlClient returns what puts questions to control state.
func (p *Process) ControlClient() *dhask.Asker { return p.controlClient }

// View returns the configuration in force here, or an empty one.
func (p *Process) View() *dhview.View {
	if v := p.view.Load(); v != nil {
		return v
	}
	return dhview.New(dhview.Options{Catalog: emptyCatalog})
}

// Start opens the listeners and begins to work. It returns an error if an
// address can't be had.
func (p *Process) Start() error {
	stream := randomNumber()
	self := p.self()
	if p.options.Role == dhsettings.RoleEntry {
		p.initEntry(stream)
	}
	listeners, err := p.listen()
	if err != nil {
		p.cancel()
		return err
	}
	p.initLoop(self, stream)
	p.sender = dhpeer.NewSender(p.ctx, dhpeer.SenderOptions{
		Self: self, Address: p.boundAddresses.Peers, Secret: p.options.Secrets.Peers,
		Lookup: p.addressBook.Lookup, Log: p.options.Logs.Layer("peer"), Receive: p.receiveMessage,
		CountBytes: p.countBytes, TLS: p.clientTLS(),
	})
	p.goroutines.Go(func() { p.reportFailure(p.loop.Run(p.ctx)) })
	if p.shard != nil {
		p.goroutines.Go(p.runTrafficEvents)
		p.goroutines.Go(p.runTrafficTicks)
	}
	p.serve(listeners)
	p.log.WithFields(logrus.Fields{
		"role": p.options.Role, "folder": self.FolderID(), "peers": p.boundAddresses.Peers, "operators": p.boundAddresses.Operators,
	}).Info("started")
	return nil
}

// clientTLS returns how to connect to other processes; nil for plain.
func (p *Process) clientTLS() *tls.Config {
	if p.options.TLS == nil {
		return nil
	}
	return p.options.TLS.ClientConfig()
}

// countBytes counts what is sent to other processes of the system.
func (p *Process) countBytes(bytes int) {
	p.metrics.Count(int64(bytes), "dogwoodhitch_peer_bytes_total")
	p.metrics.Count(1, "dogwoodhitch_peer_messages_total")
}

// self returns the process's name and the identity of its data folder.
func (p *Process) self() dhmessage.Peer {
	if p.options.DataFolder == nil {
		return dhmessage.NewPeer(p.options.Name, "")
	}
	return dhmessage.NewPeer(p.options.Name, p.options.DataFolder.State().Identity())
}

func (p *Process) reportFailure(err error) {
	if err == nil {
		return
	}
	select {
	case p.failures <- err:
	default:
	}
}

// initLoop makes control state and the loop that owns it.
func (p *Process) initLoop(self dhmessage.Peer, stream uint64) {
	o := dhcontrol.Options{
		Self: self, Zone: p.options.Zone, StartID: stream, Now: p.options.Clock.Now(),
		Advertised: p.options.Advertised, Managed: p.options.Managed,
	}
	for _, v := range p.options.Voters {
		o.Voters = append(o.Voters, v.Name())
	}
	if p.options.Role == dhsettings.RoleControl {
		o.Consensus = p.consensusOptions(self, stream)
	}
	seams := dhloop.Seams{
		Self: self, Clock: p.options.Clock, Random: randomNumber,
		Send:         func(to string, m dhmessage.Message) { p.sender.Send(to, m) },
		Persist:      func([]*dheffect.Persist) error { return nil },
		SaveSnapshot: func(*dheffect.SaveSnapshot) error { return nil },
		Execute:      p.executeEffect,
	}
	if f := p.options.DataFolder; f != nil {
		seams.Persist, seams.SaveSnapshot = f.Persist, f.Save
	}
	if j := p.options.Journal; j != nil {
		seams.Record = j.Control(o)
	}
	p.loop = dhloop.New(dhreducer.NewControl(o), seams)
}

func (p *Process) consensusOptions(self dhmessage.Peer, random uint64) *dhconsensus.Options {
	o := &dhconsensus.Options{
		Self: self, Founders: p.options.Founders, Now: p.options.Clock.Now(), Random: random,
		ExternalPromotion: p.options.Managed != nil,
	}
	if f := p.options.DataFolder; f != nil {
		s := f.State()
		o.Founders, o.Term, o.VotedFor = s.Founders(), s.Term(), s.Vote()
		o.Snapshot, o.Entries = s.Snapshot(), s.Entries()
	}
	return o
}

// initEntry makes traffic state and the server for callers.
func (p *Process) initEntry(stream uint64) {
	seams := dhshard.Seams{Clock: p.options.Clock, Execute: p.executeEffect}
	o := dhtraffic.Options{
		Instance: p.options.Name, Zone: p.options.Zone, StartID: stream, Now: p.options.Clock.Now(),
		Retries: p.options.RetryBudget,
	}
	if j := p.options.Journal; j != nil {
		seams.Record = j.Traffic(o)
	}
	p.shard = dhshard.New(dhreducer.NewTraffic(o), seams)
	p.entry = dhentry.New(dhentry.Options{
		Instance: p.options.Name, Shard: p.shard, Clock: p.options.Clock, Secret: p.options.Secrets.Peers,
		Log: p.options.Logs.Layer("entry"), Decisions: p.decisionLog, MaxBody: p.options.MaxBodyBytes, MaxHeld: p.options.MaxTotalBodyBytes,
		Hold: p.options.ResponseBufferBytes, MaxConnections: p.options.MaxConnections, TLS: p.clientTLS(), Dialect: p.options.Dialect,
	})
}

// executeEffect carries out an effect of control or traffic state. It never waits.
func (p *Process) executeEffect(e dheffect.Effect) {
	if p.controlClient.Take(e) {
		return
	}
	switch e := e.(type) {
	case *dheffect.Send:
		p.sender.Send(e.To(), e.Message())
	case *dheffect.Publish:
		p.publish(e.View())
	case *dheffect.PostToTraffic:
		p.postToTraffic(e.Event())
	case *dheffect.PostToControl:
		p.postToControl(e.Event())
	case *dheffect.RecordRequest:
		p.recordRequest(e)
	case *dheffect.Log:
		p.options.Logs.Layer(e.Layer()).WithFields(logrus.Fields{"peer": e.Peer(), "number": e.Number()}).Info(e.Text())
	}
}

func (p *Process) publish(v *dhview.View) {
	p.view.Store(v)
	p.addressBook.SetView(v)
	p.metrics.Gauge(int64(v.Catalog().Version()), "dogwoodhitch_version")
	p.metrics.Gauge(int64(v.InForce()), "dogwoodhitch_version_in_force")
	if p.shard != nil {
		p.postToTraffic(dhevent.NewViewPublished(p.options.Clock.Now(), dhevent.ViewPublishedOptions{View: v}))
	}
}

// postToTraffic queues an event for traffic state. Control state never waits for
// traffic: when the queue is full the event is lost, and what it would have
// brought is asked for again.
func (p *Process) postToTraffic(e dhevent.Event) {
	if p.shard == nil {
		return
	}
	select {
	case p.trafficEvents <- e:
	default:
		p.metrics.Count(1, "dogwoodhitch_events_lost_total", "to", "traffic")
	}
}

// postToControl queues an event of traffic state for control. A claim that finds
// no room is answered as unsure, so that its request doesn't wait in vain.
func (p *Process) postToControl(e dhevent.Event) {
	if p.loop.TryPost(e) {
		return
	}
	p.metrics.Count(1, "dogwoodhitch_events_lost_total", "to", "control")
	if w, ok := e.(*dhevent.ProposalRequested); ok {
		p.postToTraffic(dhevent.NewClaimResultReceived(e.At(), dhevent.ClaimResultReceivedOptions{
			RequestID: w.CorrelationID(), Result: dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true}),
		}))
	}
}

// runTrafficEvents hands queued events to traffic state.
func (p *Process) runTrafficEvents() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.trafficEvents:
			p.shard.Handle(func(dhclock.Millis) dhevent.Event { return e })
		}
	}
}

// receiveMessage hands a message of another process to control state.
func (p *Process) receiveMessage(from dhmessage.Peer, m dhmessage.Message) bool {
	return p.loop.TryPost(dhevent.NewMessageReceived(p.options.Clock.Now(), dhevent.MessageReceivedOptions{From: from, Message: m}))
}

// ready tells why the process can't serve, or nil. An instance whose
// configuration may be out of date still serves the organisations that accept
// that.
func (p *Process) ready() error {
	if p.leaving.Load() {
		return errLeaving
	}
	v := p.View()
	if !v.Fresh(p.options.Clock.Now(), v.Catalog().LongestStaleGrace()) {
		return errNotFresh
	}
	return nil
}

var (
	errLeaving  = errors.New("the process is about to stop: use another one")
	errNotFresh = errors.New("the configuration isn't confirmed as current: check that a majority of voters runs and can be reached")
)

func randomNumber() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:]) >> 1
}

// listener pairs a socket with what it serves.
type listener struct {
	net.Listener
	handler http.Handler
}

// Ready tells why the process can't serve, or nil.
func (p *Process) Ready() error { return p.ready() }
