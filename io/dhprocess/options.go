// Package dhprocess puts one process together: its control loop, its traffic
// state, its listeners, and the order in which they start and stop.
package dhprocess

import (
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

// Addresses are where a process listens; empty ones are left out.
type Addresses struct {
	Callers   string
	Upstreams string
	Peers     string
	Operators string
}

// Secrets are the credentials of a process.
type Secrets struct {
	Peers     string
	Operators string
	Upstreams string
}

// Options are what a process is put together from.
type Options struct {
	Name   string
	Zone   string
	Role   dhsettings.Role
	Listen Addresses
	Voters []dhsettings.Voter
	// DataFolder is a voter's data folder; nil keeps a voter's state in memory.
	DataFolder *dhdisk.Folder
	// Founders are the voters of a new group whose state is in memory.
	Founders            []dhmessage.Member
	Secrets             Secrets
	MaxBodyBytes        int64
	MaxTotalBodyBytes   int64
	ResponseBufferBytes int
	MaxConnections      int
	LeaveWait           dhclock.Millis
	FinishTimeout       dhclock.Millis
	Logs                *dhlogs.Logs
	Clock               dhtime.Clock
	// TLS is the process's identity; nil for plain connections.
	TLS *dhtls.Identity
	// Journal records events; nil for none.
	Journal *dhjournal.Journal
	// Dialect is how callers and upstreams are spoken to; nil for the standard
	// one.
	Dialect *dhentry.Dialect
	// Advertised is this entry instance as it runs, which the leader adds to the
	// configuration; nil where operators declare instances.
	Advertised *dhcatalog.Instance
	// Managed lets control processes look after members, zones and instances by
	// themselves; nil where operators do.
	Managed *dhcontrol.ManagedOptions
	// RetryBudget bounds what is sent out again to registered upstreams.
	RetryBudget dhtraffic.RetryBudget
	// ExtraListeners returns further listeners, such as those of another front end.
	ExtraListeners func(p *Process) []ExtraListener
}

// ExtraListener is a listener with what it serves.
type ExtraListener struct {
	Name    string
	Address string
	Handler http.Handler
}

// FromSettings returns the options that settings give.
func FromSettings(s *dhsettings.Settings, logs *dhlogs.Logs) Options {
	return Options{
		Name: s.Name(), Zone: s.Zone(), Role: s.Role(),
		Listen: Addresses{
			Callers: s.Callers(), Upstreams: s.Upstreams(), Peers: s.Peers(), Operators: s.Operators(),
		},
		Voters:       s.Voters(),
		Secrets:      Secrets{Peers: s.PeerSecret(), Operators: s.OperatorSecret(), Upstreams: s.UpstreamSecret()},
		MaxBodyBytes: s.MaxBody(), MaxTotalBodyBytes: s.MaxHeld(), ResponseBufferBytes: s.Hold(), MaxConnections: s.MaxConnections(),
		LeaveWait: s.LeaveWait(), FinishTimeout: s.Finish(), Logs: logs, Clock: dhtime.System(),
	}
}
