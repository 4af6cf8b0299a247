// Package dhprocess puts one process together: its control loop, its traffic
// state, its listeners, and the order in which they start and stop.
package dhprocess

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhdisk"
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
	// Folder is a voter's data folder; nil keeps a voter's state in memory.
	Folder *dhdisk.Folder
	// Founders are the voters of a new group whose state is in memory.
	Founders       []dhmessage.Voter
	Secrets        Secrets
	MaxBody        int64
	MaxHeld        int64
	Hold           int
	MaxConnections int
	LeaveWait      dhclock.Millis
	Finish         dhclock.Millis
	Logs           *dhlogs.Logs
	Clock          dhtime.Clock
	// TLS is the process's identity; nil for plain connections.
	TLS *dhtls.Identity
	// Journal records events; nil for none.
	Journal *dhjournal.Journal
}

// FromSettings returns the options that settings give.
func FromSettings(s *dhsettings.Settings, logs *dhlogs.Logs) Options {
	return Options{
		Name: s.Name(), Zone: s.Zone(), Role: s.Role(),
		Listen: Addresses{
			Callers: s.Callers(), Upstreams: s.Upstreams(), Peers: s.Peers(), Operators: s.Operators(),
		},
		Voters:  s.Voters(),
		Secrets: Secrets{Peers: s.PeerSecret(), Operators: s.OperatorSecret(), Upstreams: s.UpstreamSecret()},
		MaxBody: s.MaxBody(), MaxHeld: s.MaxHeld(), Hold: s.Hold(), MaxConnections: s.MaxConnections(),
		LeaveWait: s.LeaveWait(), Finish: s.Finish(), Logs: logs, Clock: dhtime.System(),
	}
}
