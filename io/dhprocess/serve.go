package dhprocess

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhannounce"
	"dogwoodhitch/io/dhnet"
	"dogwoodhitch/io/dhoperator"
	"dogwoodhitch/io/dhpeer"
	"dogwoodhitch/io/dhtime"
)

// Names of the listeners for callers and for other processes.
const (
	callerListenerName = "callers"
	peerListenerName   = "peers"
)

// Timeouts and limits of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 60 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	// trafficTickInterval is the time between two TrafficTicked events.
	trafficTickInterval = 20 * time.Millisecond
	// stopCheckInterval is the time between two checks whether callers still send requests to a
	// process that stops.
	stopCheckInterval = 10 * time.Millisecond
	// minRefusalTime is the minimum time for which a stopping instance refuses new
	// requests before it closes its listeners, so that late callers get a
	// refusal instead of a connection error, in milliseconds.
	minRefusalTime dhclock.Millis = 500
	// quietTicks is for how many stopCheckIntervals no caller must have sent anything
	// before a stopping instance closes connections that callers keep open: longer than a
	// request takes on its way between distant regions. They are counted, because time also
	// passes while the process is paused and reads nothing.
	quietTicks = 25
	// endTimeout is the least time for which a stop waits for the goroutines of the process.
	endTimeout = 200 * time.Millisecond
)

var emptyCatalog = dhcatalog.New()

// listen opens all listeners. If one of them fails, it closes the others and
// returns the error.
func (p *Process) listen() ([]listener, error) {
	var list []listener
	open := func(name, address string, bound *string, handler http.Handler) error {
		if address == "" {
			return nil
		}
		config := net.ListenConfig{}
		if name == callerListenerName {
			// The idle timeout closes connections of callers that are gone. Four system
			// calls for each connection are many while callers return in crowds.
			config.KeepAlive = -1
		}
		l, err := config.Listen(p.ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("listen for %s on %s: %w; make the address available or change listen.%s", name, address, err, name)
		}
		*bound = l.Addr().String()
		if name == callerListenerName {
			l = p.newCallerListener(l)
		}
		list = append(list, listener{l, name, handler})
		return nil
	}
	listen := p.options.Listen
	err := errors.Join(
		open(peerListenerName, listen.Peers, &p.boundAddresses.Peers, p.peerMux()),
		open("operators", listen.Operators, &p.boundAddresses.Operators, p.operatorHandler()),
	)
	if p.entry != nil {
		err = errors.Join(err,
			open(callerListenerName, listen.Callers, &p.boundAddresses.Callers, p.entry.CallerHandler()),
			open("upstreams", listen.Upstreams, &p.boundAddresses.Upstreams,
				dhannounce.New(dhannounce.Options{TrafficState: p.trafficState, Secret: p.options.Secrets.Upstreams}).Mux()),
		)
	}
	for _, x := range p.extraListeners() {
		err = errors.Join(err, open(x.Name, x.Address, new(string), x.Handler))
	}
	if err != nil {
		for _, l := range list {
			l.Close()
		}
		return nil, err
	}
	return list, nil
}

// newCallerListener returns the listener for callers with its backlog.
func (p *Process) newCallerListener(l net.Listener) net.Listener {
	refuse := p.entry.RefuseUnread
	if p.options.TLS != nil {
		refuse = nil
	}
	c := dhnet.NewCallerListener(l, p.options.Clock, refuse)
	p.metrics.SetGaugeFunc(c.TurnedAway, "dogwoodhitch_connections_turned_away_total")
	p.goroutines.Go(c.Run)
	return c
}

func (p *Process) extraListeners() []ExtraListener {
	if p.options.ExtraListeners == nil {
		return nil
	}
	return p.options.ExtraListeners(p)
}

// peerMux returns the handler for other processes: their messages and, on an
// entry instance, the requests that they forward.
func (p *Process) peerMux() http.Handler {
	mux := http.NewServeMux()
	receiver := dhpeer.NewReceiver(dhpeer.ReceiverOptions{
		Secret: p.options.Secrets.Peers, Receive: p.receiveMessage, RecordAddress: p.addressBook.RecordAddress, Log: p.options.Logs.Logger("peer"),
		Self: p.self(), CollectResponses: func(name string, accepts func(dhmessage.Message) bool) (chan dhmessage.Message, func() []dhmessage.Message) {
			return p.sender.CollectResponses(name, accepts)
		},
		CountBytes: p.countBytes,
	})
	mux.Handle(receiver.Handler())
	if p.entry != nil {
		return p.entry.PeerHandler(mux)
	}
	return mux
}

func (p *Process) operatorHandler() http.Handler {
	return dhoperator.New(dhoperator.Options{
		Control: p.controlClient, View: p.View, TrafficState: p.trafficState, Secret: p.options.Secrets.Operators,
		Metrics: http.HandlerFunc(p.serveMetrics), Ready: p.ready, Log: p.options.Logs.Logger("operator"),
	}).Handler()
}

// serve starts an HTTP server for each listener, with HTTP/1.1 and HTTP/2.
func (p *Process) serve(list []listener) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(p.options.TLS == nil)
	protocols.SetHTTP2(p.options.TLS != nil)
	for _, l := range list {
		handler := l.handler
		if l.name != callerListenerName && l.name != peerListenerName {
			handler = dropAbandoned(handler)
		}
		s := &http.Server{
			Handler: p.handlers.wrap(handler), Protocols: protocols, ReadHeaderTimeout: headerTimeout,
			ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: p.serverLog,
			ConnContext: dhnet.ConnContext,
		}
		if l.name == callerListenerName {
			s.ConnState = p.recordCallerConnection
			p.callerListener = l.Listener
			p.callerServer = s
		} else {
			p.servers = append(p.servers, s)
		}
		serve := s.Serve
		if p.options.TLS != nil {
			s.TLSConfig = p.options.TLS.ServerConfig()
			serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
		}
		p.goroutines.Go(func() {
			if err := serve(l.Listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				p.reportFailure(err)
			}
		})
	}
}

// runTrafficTicks sends the traffic state a TrafficTicked event at each
// interval.
func (p *Process) runTrafficTicks() {
	ticker := time.NewTicker(trafficTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
			p.trafficState.Handle(func(at dhclock.Millis) dhevent.Event { return dhevent.NewTrafficTicked(at) })
		}
	}
}

// Run starts the process, serves until the context ends or a part of the process fails,
// and then stops gracefully. It returns the error of the part that failed.
func (p *Process) Run(ctx context.Context) error {
	if err := p.Start(); err != nil {
		return err
	}
	return p.serveUntil(ctx)
}

// serveUntil serves until the context ends or a part of the process fails, and then stops
// gracefully: what still works can answer the open requests.
func (p *Process) serveUntil(ctx context.Context) error {
	var err error
	select {
	case <-ctx.Done():
		p.leave(context.Cause(ctx))
	case err = <-p.failures:
		p.log.WithError(err).Error("stopping because of an error")
		p.leave(err)
	}
	select {
	case later := <-p.failures:
		p.log.WithError(later).Error("an error occurred during the stop")
		err = errors.Join(err, later)
	default:
	}
	p.Stop()
	return err
}

// recordCallerConnection counts the open connections of callers, and how often one is used
// after it was idle. It is called for each change of a connection's state.
func (p *Process) recordCallerConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		p.callerConnections.Add(1)
	case http.StateActive:
		p.callerActivity.Add(1)
	case http.StateClosed, http.StateHijacked:
		p.callerConnections.Add(-1)
	case http.StateIdle:
	}
}

// leave prepares an instance for its stop. A control process hands over its vote. An entry
// instance is removed from look-ups, then refuses new requests, and waits for the open ones to
// end. It aborts those that don't in time.
func (p *Process) leave(reason error) {
	p.leaving.Store(true)
	fields := logrus.Fields{"reason": reason.Error()}
	if p.entry == nil {
		p.log.WithFields(fields).Info("leaving")
		p.handOverVote()
		return
	}
	fields["open"] = p.entry.UnansweredRequests()
	p.log.WithFields(fields).Info("leaving")
	p.loop.TryPost(dhevent.NewLeaveStarted(p.options.Clock.Now(), dhevent.LeaveStartedOptions{}))
	p.entry.CloseConnections()
	refuseFrom := p.options.Clock.Now() + p.options.LeaveWait
	stopAt := refuseFrom + p.options.FinishTimeout
	p.trafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewStopScheduled(at, dhevent.StopScheduledOptions{RefuseFrom: refuseFrom, StopAt: stopAt})
	})
	p.waitForCallers(refuseFrom+minRefusalTime, stopAt)
	if open := p.entry.UnansweredRequests(); open > 0 {
		p.log.WithField("open", open).Warn("timeout for open requests reached; aborting them")
	}
	p.entry.Abort()
}

// handOverVote waits until another control process has the vote of this one, if votes move
// automatically. The control loop may stand still or have ended.
func (p *Process) handOverVote() {
	if p.options.Managed == nil {
		return
	}
	result, err := p.controlClient.Leave(p.ctx, p.options.HandoverTimeout)
	if err != nil || result.OutcomeUnknown() {
		p.log.WithError(err).Warn("stopping without a successor for this process's vote")
	}
}

// waitForCallers waits until the open requests have ended and callers send no more, at least
// until one time and at most until another. From the former on it accepts no new connections,
// but requests on open ones still get an answer.
func (p *Process) waitForCallers(earliest, latest dhclock.Millis) {
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	isListening := p.callerListener != nil
	quiet, activity := 0, int64(0)
	for now := p.options.Clock.Now(); now < latest; now = p.options.Clock.Now() {
		quiet++
		if a := p.callerActivity.Load(); a != activity {
			quiet, activity = 0, a
		}
		if now >= earliest {
			if isListening {
				isListening = false
				p.callerListener.Close()
			}
			isQuiet := p.callerConnections.Load() == 0 || quiet >= quietTicks
			if isQuiet && p.entry.UnansweredRequests() == 0 {
				return
			}
		}
		<-ticker.C
	}
}

// Stop stops the process without waiting for open requests, except that
// responses being written have CloseTimeout to finish, and handlers whose connections are cut
// handlerTimeout. Callers get answers while the other
// servers close, which peers that wait for updates delay. What waits for a stalled disk has the rest
// of CloseTimeout to end, at least endTimeout: the process can end without it, as in a crash.
func (p *Process) Stop() {
	timeout := dhtime.Duration(p.options.CloseTimeout)
	endBy := time.Now().Add(timeout)
	if p.callerServer == nil {
		shutDown(timeout, p.servers...)
	} else {
		shutDown(timeout/2, p.servers...)
		shutDown(timeout/2, p.callerServer)
	}
	if running := p.handlers.stop(handlerTimeout); running > 0 {
		p.log.WithField("running", running).Warn("stopping while handlers of cut connections run")
	}
	p.cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.end()
	}()
	select {
	case <-ended:
	case <-time.After(max(endTimeout, time.Until(endBy))):
		p.log.Error("stopping while files are being written; check the disk of the data folder")
	}
	p.log.Info("stopped")
}

// end waits until the goroutines of the process have ended, and closes what they use.
func (p *Process) end() {
	p.goroutines.Wait()
	p.sender.Wait()
	if p.entry != nil {
		p.entry.Close()
	}
	if p.options.DataFolder != nil {
		if err := p.options.DataFolder.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
			p.log.WithError(err).Error("closing the data folder failed")
		}
	}
}

// shutDown closes servers at the same time. Connections that are in use after the timeout are
// cut.
func shutDown(timeout time.Duration, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, s := range servers {
		closing.Go(func() {
			if s.Shutdown(ctx) != nil {
				s.Close()
			}
		})
	}
	closing.Wait()
}
