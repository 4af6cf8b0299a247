// Package dhprocess assembles one process from its control loop, its traffic
// state and its listeners, executes the effects of both states, and starts and
// stops everything in order.
package dhprocess

import (
	"context"
	"net/http"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhtraffic"
	"dogwoodhitch/io/dhdisk"
	"dogwoodhitch/io/dhentry"
	"dogwoodhitch/io/dhjournal"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhsettings"
	"dogwoodhitch/io/dhtime"
	"dogwoodhitch/io/dhtls"
)

// Addresses are the addresses of a process's listeners, by the clients that they
// serve. A listener without an address is not opened.
type Addresses struct {
	Callers   string
	Upstreams string
	Peers     string
	Operators string
}

// Secrets are the shared secrets by which a process authenticates its peers,
// operators and upstreams.
type Secrets struct {
	Peers     string
	Operators string
	Upstreams string
}

// Options configure a Process.
type Options struct {
	// Name is the name of the instance or voter.
	Name string
	// Zone is the availability zone; empty on a voter without one.
	Zone string
	// Role selects an entry or a control process.
	Role dhsettings.Role
	// Listen are the addresses to listen on.
	Listen Addresses
	// Voters are the control processes to connect to.
	Voters []dhsettings.Voter
	// DataFolder is a voter's data folder; nil keeps a voter's state in memory.
	DataFolder *dhdisk.Folder
	// Founders are the voters of a new group. They are used only if the state
	// is in memory; otherwise the data folder names them.
	Founders []dhmessage.Member
	// Secrets are the shared secrets.
	Secrets Secrets
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64
	// MaxHeldBytes bounds the request bodies of all open requests together.
	MaxHeldBytes int64
	// ResponseBufferBytes is the size up to which a response body is buffered
	// until it is complete (setting holdBytes). Larger bodies are streamed.
	ResponseBufferBytes int
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// LeaveWait is how long a stopping instance still accepts requests after
	// look-ups no longer return it, in milliseconds.
	LeaveWait dhclock.Millis
	// FinishTimeout is how long a stopping instance waits for open requests, in
	// milliseconds.
	FinishTimeout dhclock.Millis
	// CloseTimeout is how long responses being written have to finish after that, in
	// milliseconds.
	CloseTimeout dhclock.Millis
	// HandoverTimeout is how long a stopping control process under automatic management
	// waits until another one has its vote, in milliseconds.
	HandoverTimeout dhclock.Millis
	// Logs creates the loggers of all layers.
	Logs *dhlogs.Logs
	// Clock is the clock of all events.
	Clock dhtime.Clock
	// TLS is the certificate of the process and the authorities that it trusts;
	// nil for unencrypted connections.
	TLS *dhtls.Identity
	// Journal records events and effects; nil if there is none.
	Journal *dhjournal.Journal
	// Dialect is the HTTP dialect of callers and upstreams; nil for the standard
	// one.
	Dialect *dhentry.Dialect
	// Advertised is the record of this entry instance, which the leader adds to
	// the configuration; nil where operators declare instances.
	Advertised *dhcatalog.Instance
	// Managed lets the leader manage members, zones and instances automatically;
	// nil where operators manage them.
	Managed *dhcontrol.ManagedOptions
	// WatchVoters calls changed with each new list of the settings' voters until the context
	// ends; nil if the list doesn't change.
	WatchVoters func(ctx context.Context, changed func([]dhsettings.Voter))
	// RetryBudget limits the retries to registered upstreams.
	RetryBudget dhtraffic.RetryBudget
	// DepartureBound is the time after which a registered upstream whose drain or departure was
	// accepted gets no more requests; 0 for no bound.
	DepartureBound dhclock.Millis
	// ChangeBound is the time after which an accepted change is in force; 0 for no bound.
	ChangeBound dhclock.Millis
	// ContactTimeout is the time without a response from another process after which this one
	// counts as cut off; 0 stands for the freshness lease.
	ContactTimeout dhclock.Millis
	// ExtraListeners returns additional listeners, such as those of another
	// front end; nil if there are none.
	ExtraListeners func(p *Process) []ExtraListener
}

// ExtraListener is an additional listener with its handler.
type ExtraListener struct {
	// Name is the listener's name in error messages.
	Name string
	// Address is the address to listen on.
	Address string
	// Handler serves the requests.
	Handler http.Handler
}

// FromSettings returns the options of a process with the given settings.
func FromSettings(s *dhsettings.Settings, logs *dhlogs.Logs) Options {
	return Options{
		Name: s.Name(), Zone: s.Zone(), Role: s.Role(),
		Listen: Addresses{
			Callers: s.CallerListenAddress(), Upstreams: s.UpstreamListenAddress(), Peers: s.PeerListenAddress(), Operators: s.OperatorListenAddress(),
		},
		Voters:       s.Voters(),
		Secrets:      Secrets{Peers: s.PeerSecret(), Operators: s.OperatorSecret(), Upstreams: s.UpstreamSecret()},
		MaxBodyBytes: s.MaxBodyBytes(), MaxHeldBytes: s.MaxHeldBytes(), ResponseBufferBytes: s.ResponseBufferBytes(), MaxConnections: s.MaxConnections(),
		LeaveWait: s.LeaveWait(), FinishTimeout: s.FinishTimeout(), CloseTimeout: dhclock.Second, Logs: logs, Clock: dhtime.System(),
	}
}
