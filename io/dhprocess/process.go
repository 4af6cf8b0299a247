package dhprocess

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"log"
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
	"dogwoodhitch/io/dhcontrolclient"
	"dogwoodhitch/io/dhentry"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhloop"
	"dogwoodhitch/io/dhmetrics"
	"dogwoodhitch/io/dhpeer"
	"dogwoodhitch/io/dhsettings"
	"dogwoodhitch/io/dhtrafficstate"
)

// trafficQueueSize is the capacity of the queue of events for the traffic state.
const trafficQueueSize = 8192

// Process is one process of the system.
type Process struct {
	options       Options
	log           *logrus.Entry
	metrics       *dhmetrics.Metrics
	addressBook   *dhpeer.AddressBook
	sender        *dhpeer.Sender
	loop          *dhloop.Loop
	controlClient *dhcontrolclient.Client
	diskWatch     *diskWatch
	controlWatch  *controlWatch
	// trafficState and entry are nil on a control process.
	trafficState *dhtrafficstate.Owner
	entry        *dhentry.Server
	// trafficEvents are events of the control state for the traffic state.
	trafficEvents chan dhevent.Event
	// suspectsToSave holds the latest suspects that are not stored yet.
	suspectsToSave chan *dheffect.SaveSuspects
	// view is the configuration in force; nil before the first one.
	view atomic.Pointer[dhview.View]
	// ctx ends the goroutines of the process.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// failures contains the first error, which ends Run.
	failures chan error
	// servers are all servers but the one for callers, which is nil without one.
	servers      []*http.Server
	callerServer *http.Server
	handlers     *handlers
	// decisionLog logs single requests, limited for each kind of line.
	decisionLog *dhlogs.Limiter
	// serverLog gets the messages of the HTTP servers.
	serverLog      *log.Logger
	boundAddresses Addresses
	leaving        atomic.Bool
	// trafficView is the configuration that the traffic state has; nil before the first one.
	trafficView atomic.Pointer[dhview.View]
	// callerListener accepts connections of callers; nil without a listener for them.
	callerListener net.Listener
	// callerConnections is the number of open connections of callers.
	callerConnections atomic.Int64
	// callerActivity is how often one of them was used after it was idle.
	callerActivity atomic.Int64
}

// New returns a process that has not been started.
func New(o Options) *Process {
	p := &Process{
		options: o, log: o.Logs.Logger("process"), metrics: dhmetrics.New(),
		trafficEvents: make(chan dhevent.Event, trafficQueueSize), failures: make(chan error, 1),
		handlers:       newHandlers(),
		suspectsToSave: make(chan *dheffect.SaveSuspects, 1),
	}
	p.decisionLog = dhlogs.NewLimiter(o.Logs.Logger("decisions"), o.Clock)
	p.serverLog = o.Logs.StandardLogger(o.Clock)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.addressBook = dhpeer.NewAddressBook(addressesOf(o.Voters))
	p.diskWatch = &diskWatch{clock: o.Clock, log: p.log}
	p.controlWatch = &controlWatch{metrics: p.metrics, log: p.log}
	p.controlClient = dhcontrolclient.New(dhcontrolclient.Options{
		Clock: o.Clock, Post: p.post, StalledFor: p.diskWatch.stalledFor,
		LoopEnded: func() <-chan struct{} { return p.loop.Ended() },
	})
	return p
}

// addressesOf returns the addresses of the settings' voters by name.
func addressesOf(voters []dhsettings.Voter) map[string]string {
	addresses := map[string]string{}
	for _, v := range voters {
		addresses[v.Name()] = v.Address()
	}
	return addresses
}

func namesOf(voters []dhsettings.Voter) []string {
	var names []string
	for _, v := range voters {
		names = append(names, v.Name())
	}
	return names
}

// setVoters applies a changed list of the settings' voters.
func (p *Process) setVoters(voters []dhsettings.Voter) {
	p.addressBook.SetConfigured(addressesOf(voters))
	// The only error is that the process stops.
	_ = p.post(p.ctx, dhevent.NewSeedsChanged(p.options.Clock.Now(), namesOf(voters)))
}

// post adds an event to the mailbox of the control loop. It waits while the
// mailbox is full.
func (p *Process) post(ctx context.Context, e dhevent.Event) error { return p.loop.Post(ctx, e) }

// BoundAddresses returns the addresses that the process listens on, with the
// ports chosen by the system. They are empty before Start.
func (p *Process) BoundAddresses() Addresses { return p.boundAddresses }

// ControlClient returns the client that sends requests to the control loop and
// waits for the replies.
func (p *Process) ControlClient() *dhcontrolclient.Client { return p.controlClient }

// View returns the configuration in force in this process, or an empty one if
// none has been received.
func (p *Process) View() *dhview.View {
	if v := p.view.Load(); v != nil {
		return v
	}
	return dhview.New(dhview.Options{Catalog: emptyCatalog})
}

// Start opens the listeners and starts the goroutines of the process. It returns
// an error if it can't listen on one of the addresses.
func (p *Process) Start() error {
	startID := randomNumber()
	self := p.self()
	if p.options.Role == dhsettings.RoleEntry {
		p.initEntry(startID)
	}
	listeners, err := p.listen()
	if err != nil {
		p.cancel()
		return err
	}
	p.initLoop(self, startID)
	p.sender = dhpeer.NewSender(p.ctx, dhpeer.SenderOptions{
		Self: self, Address: p.boundAddresses.Peers, Secret: p.options.Secrets.Peers,
		Lookup: p.addressBook.Lookup, Clock: p.options.Clock, Log: p.options.Logs.Logger("peer"), Receive: p.receiveMessage,
		CountBytes: p.countBytes, RecordWait: p.controlWatch.recordMessage, TLS: p.clientTLS(),
	})
	p.metrics.SetGaugeFunc(p.sender.PendingBytes, "dogwoodhitch_queued_bytes", "to", "peers")
	p.goroutines.Go(func() { p.reportFailure(p.loop.Run(p.ctx)) })
	p.goroutines.Go(p.watchSchedulingDelay)
	if p.options.DataFolder != nil {
		p.goroutines.Go(p.runSuspectSaves)
	}
	if watch := p.options.WatchVoters; watch != nil {
		p.goroutines.Go(func() { watch(p.ctx, p.setVoters) })
	}
	if p.trafficState != nil {
		p.goroutines.Go(p.runTrafficEvents)
		p.goroutines.Go(p.runTrafficTicks)
	}
	p.serve(listeners)
	p.log.WithFields(logrus.Fields{
		"role": p.options.Role, "folder": self.FolderID(), "peers": p.boundAddresses.Peers, "operators": p.boundAddresses.Operators,
	}).Info("started")
	return nil
}

// clientTLS returns the TLS configuration for connections to other processes;
// nil for unencrypted connections.
func (p *Process) clientTLS() *tls.Config {
	if p.options.TLS == nil {
		return nil
	}
	return p.options.TLS.ClientConfig()
}

// countBytes counts one message to another process, and its size, by kind and by how far away
// its receiver is.
func (p *Process) countBytes(to, kind string, bytes int) {
	distance := p.distanceTo(to)
	p.metrics.AddToCounter(int64(bytes), "dogwoodhitch_peer_bytes_total", "to", distance, "kind", kind)
	p.metrics.AddToCounter(1, "dogwoodhitch_peer_messages_total", "to", distance, "kind", kind)
}

// distanceTo returns whether another process runs in this one's zone, elsewhere in its region or
// in another region, as a label of metrics.
func (p *Process) distanceTo(name string) string {
	v := p.View()
	zone := v.ZoneOf(name)
	switch own := p.options.Zone; {
	case zone == "" || own == "":
		return "unknown"
	case zone == own:
		return "zone"
	case v.Catalog().RegionOf(zone) == v.Catalog().RegionOf(own):
		return "region"
	default:
		return "otherRegion"
	}
}

// self returns the process's name and the ID of its data folder, if it has one.
func (p *Process) self() dhmessage.Peer {
	if p.options.DataFolder == nil {
		return dhmessage.NewPeer(p.options.Name, "")
	}
	return dhmessage.NewPeer(p.options.Name, p.options.DataFolder.State().FolderID())
}

// reportFailure ends Run with an error. Only the first error is kept.
func (p *Process) reportFailure(err error) {
	if err == nil {
		return
	}
	select {
	case p.failures <- err:
	default:
	}
}

// initLoop creates the control state and the loop that owns it.
func (p *Process) initLoop(self dhmessage.Peer, startID uint64) {
	o := dhcontrol.Options{
		Self: self, Zone: p.options.Zone, StartID: startID, Now: p.options.Clock.Now(),
		Advertised: p.options.Advertised, Managed: p.options.Managed, ContactTimeout: p.options.ContactTimeout,
	}
	o.Voters = namesOf(p.options.Voters)
	tickInterval := dhloop.EntryTickInterval
	if p.options.Role == dhsettings.RoleControl {
		o.Consensus = p.consensusOptions(self, startID)
		tickInterval = dhloop.TickInterval
	}
	seams := dhloop.Seams{
		Self: self, Clock: p.options.Clock, TickInterval: tickInterval, Random: randomNumber,
		Send:         func(to string, m dhmessage.Message) { p.sender.Send(to, m) },
		Persist:      func([]*dheffect.Persist) error { return nil },
		SaveSnapshot: func(*dheffect.SaveSnapshot) error { return nil },
		Execute:      p.executeEffect,
		RecordWait:   p.controlWatch.recordEvent,
	}
	if f := p.options.DataFolder; f != nil {
		w := p.diskWatch
		seams.Persist = func(list []*dheffect.Persist) error { return w.run(func() error { return f.Persist(list) }) }
		seams.SaveSnapshot = func(e *dheffect.SaveSnapshot) error { return w.run(func() error { return f.SaveSnapshot(e) }) }
		f.ReportSnapshotErrors(func(err error) {
			p.log.WithError(err).Error("storing a snapshot failed; the log grows until one is stored; check the disk of the data folder")
		})
		o.Suspects = f.State().Suspects()
	}
	if j := p.options.Journal; j != nil {
		seams.Record = j.ControlRecorder(o)
	}
	p.loop = dhloop.New(dhreducer.NewControl(o), seams)
	if p.options.DataFolder != nil {
		p.options.DataFolder.ReleaseState()
	}
	p.metrics.SetGaugeFunc(func() int64 { return int64(p.loop.QueueLength()) }, "dogwoodhitch_queued_events", "to", "control")
	p.metrics.SetGaugeFunc(func() int64 { return p.loop.SinceLastPass().Milliseconds() }, "dogwoodhitch_loop_age_ms")
	p.metrics.SetGaugeFunc(p.loop.QueuedBytes, "dogwoodhitch_queued_bytes", "to", "control")
}

// consensusOptions returns the options of a voter, with the state that its data
// folder holds.
func (p *Process) consensusOptions(self dhmessage.Peer, startID uint64) *dhconsensus.Options {
	o := &dhconsensus.Options{
		Self: self, Founders: p.options.Founders, Now: p.options.Clock.Now(), Random: startID,
		ExternalPromotion: p.options.Managed != nil,
	}
	if f := p.options.DataFolder; f != nil {
		s := f.State()
		o.Founders, o.Term, o.VotedFor = s.Founders(), s.Term(), s.VotedFor()
		o.Snapshot, o.Entries = s.Snapshot(), s.Entries()
	}
	return o
}

// initEntry creates the traffic state and the server for callers.
func (p *Process) initEntry(startID uint64) {
	seams := dhtrafficstate.Seams{Clock: p.options.Clock, Execute: p.executeEffect}
	o := dhtraffic.Options{
		Instance: p.options.Name, Zone: p.options.Zone, StartID: startID, Now: p.options.Clock.Now(),
		Retries: p.options.RetryBudget, MaxConnections: &p.options.MaxConnections, DepartureBound: p.options.DepartureBound,
		ChangeBound:     p.options.ChangeBound,
		StatusesPromise: p.options.Dialect.StatusesPromise(),
	}
	if j := p.options.Journal; j != nil {
		seams.Record = j.TrafficRecorder(o)
	}
	p.trafficState = dhtrafficstate.New(dhreducer.NewTraffic(o), seams)
	p.metrics.SetGaugeFunc(func() int64 { return int64(len(p.trafficEvents)) }, "dogwoodhitch_queued_events", "to", "traffic")
	p.entry = dhentry.New(dhentry.Options{
		Instance: p.options.Name, TrafficState: p.trafficState, Clock: p.options.Clock, PeerSecret: p.options.Secrets.Peers,
		DecisionLog: p.decisionLog, MaxBodyBytes: p.options.MaxBodyBytes, MaxHeldBytes: p.options.MaxHeldBytes,
		ResponseBufferBytes: p.options.ResponseBufferBytes, MaxConnections: p.options.MaxConnections, PeerTLS: p.clientTLS(), Dialect: p.options.Dialect,
	})
	p.metrics.SetGaugeFunc(p.entry.RetiredConnections, "dogwoodhitch_connections_retired_total")
	p.metrics.SetGaugeFunc(p.entry.ForeignResponses, "dogwoodhitch_foreign_responses_total")
}

// executeEffect executes an effect of the control or the traffic state. It never
// blocks.
func (p *Process) executeEffect(e dheffect.Effect) {
	if p.controlClient.Deliver(e) {
		return
	}
	switch e := e.(type) {
	case *dheffect.Send:
		p.sender.Send(e.To(), e.Message())
	case *dheffect.RecordAddresses:
		for _, m := range e.Members() {
			p.addressBook.RecordAddress(m.Peer().Name(), m.Address())
		}
	case *dheffect.Publish:
		p.publish(e.View())
	case *dheffect.PostToTraffic:
		p.postToTraffic(e.Event())
	case *dheffect.PostToControl:
		p.postToControl(e.Event())
	case *dheffect.RecordRequest:
		p.recordRequest(e)
	case *dheffect.SaveSuspects:
		p.saveSuspects(e)
	case *dheffect.ProbeUpstream:
		p.goroutines.Go(func() { p.entry.Probe(p.ctx, e) })
	case *dheffect.Log:
		p.options.Logs.Logger(e.Layer()).WithFields(logrus.Fields{"peer": e.Peer(), "number": e.Number()}).Info(e.Text())
	}
}

// saveSuspects queues suspects for the data folder, in place of those that still wait.
// Only the control loop calls it.
func (p *Process) saveSuspects(e *dheffect.SaveSuspects) {
	select {
	case <-p.suspectsToSave:
	default:
	}
	p.suspectsToSave <- e
}

// runSuspectSaves stores suspects beside the control loop, which must not wait for them. If
// that fails, a restart of all processes forgets them.
func (p *Process) runSuspectSaves() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.suspectsToSave:
			if err := p.options.DataFolder.SaveSuspects(e.Suspects()); err != nil {
				p.log.WithError(err).Warn("storing suspects failed; check the disk of the data folder")
			}
		}
	}
}

// publish makes a view the configuration in force in this process.
func (p *Process) publish(v *dhview.View) {
	p.view.Store(v)
	p.addressBook.SetView(v)
	p.metrics.SetGauge(int64(v.Catalog().Version()), "dogwoodhitch_version")
	p.metrics.SetGauge(int64(v.InForce()), "dogwoodhitch_version_in_force")
	if p.trafficState != nil {
		p.postToTraffic(dhevent.NewViewPublished(p.options.Clock.Now(), dhevent.ViewPublishedOptions{View: v}))
	}
}

// postToTraffic queues an event for the traffic state. The control loop must
// never wait for traffic: when the queue is full, the event is dropped, and the
// traffic state requests its content again.
func (p *Process) postToTraffic(e dhevent.Event) {
	if p.trafficState == nil {
		return
	}
	select {
	case p.trafficEvents <- e:
	default:
		p.metrics.AddToCounter(1, "dogwoodhitch_events_lost_total", "to", "traffic")
	}
}

// postToControl posts an event of the traffic state to the control loop. When
// the mailbox is full, the event is dropped. For a dropped proposal of a claim
// the traffic state gets the result that the outcome is unknown, so that the
// request doesn't wait until its deadline.
func (p *Process) postToControl(e dhevent.Event) {
	if p.loop.TryPost(e) {
		return
	}
	p.metrics.AddToCounter(1, "dogwoodhitch_events_lost_total", "to", "control")
	if proposal, ok := e.(*dhevent.ProposalRequested); ok {
		p.postToTraffic(dhevent.NewClaimResultReceived(e.At(), dhevent.ClaimResultReceivedOptions{
			RequestID: proposal.CorrelationID(), Result: dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true}),
		}))
	}
}

// runTrafficEvents reduces the queued events of the traffic state.
func (p *Process) runTrafficEvents() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.trafficEvents:
			p.trafficState.Handle(func(dhclock.Millis) dhevent.Event { return e })
			if published, ok := e.(*dhevent.ViewPublished); ok {
				p.trafficView.Store(published.View())
			}
		}
	}
}

// receiveMessage posts a message of another process to the control loop. It
// reports whether the mailbox had capacity.
func (p *Process) receiveMessage(from dhmessage.Peer, m dhmessage.Message) bool {
	return p.loop.TryPost(dhevent.NewMessageReceived(p.options.Clock.Now(), dhevent.MessageReceivedOptions{From: from, Message: m}))
}

// ready returns the reason why the process can't serve, or nil. An instance
// whose configuration may be out of date still serves organisations with a grace
// period, so the longest grace period of all organisations applies. A control process serves
// nothing without its control loop and a majority, so none applies to it.
func (p *Process) ready() error {
	if p.leaving.Load() {
		return errLeaving
	}
	v, grace := p.View(), dhclock.Millis(0)
	if p.trafficState != nil {
		// The traffic state may not have the newest view yet.
		if v = p.trafficView.Load(); v == nil {
			return errNotFresh
		}
		grace = v.Catalog().LongestStaleGrace()
	}
	if !v.Fresh(p.options.Clock.Now(), grace) {
		return errNotFresh
	}
	return nil
}

var (
	errLeaving  = errors.New("the process is stopping: use another one")
	errNotFresh = errors.New("the configuration has not been confirmed as current: check that a majority of voters is running and reachable")
)

// randomNumber returns a random number of 63 bits.
func randomNumber() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:]) >> 1
}

// listener is a listening socket with its name and the handler of its requests.
type listener struct {
	net.Listener
	name    string
	handler http.Handler
}

// Ready returns the reason why the process can't serve requests, or nil.
func (p *Process) Ready() error { return p.ready() }
