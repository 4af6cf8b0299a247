package dhsteer

import "dogwoodhitch/core/dhclock"

// PoolStatus is the state of a pool or group as shown to operators.
type PoolStatus struct {
	service       string
	waiting       int
	remoteRunning int `journal:"remote"`
	upstreams     []UpstreamStatus
}

// Service returns the name of the service.
func (s PoolStatus) Service() string { return s.service }

// Waiting returns how many requests wait for a slot.
func (s PoolStatus) Waiting() int { return s.waiting }

// RemoteRunning returns how many requests from other instances run here.
func (s PoolStatus) RemoteRunning() int { return s.remoteRunning }

// Upstreams returns the upstreams, sorted by name.
func (s PoolStatus) Upstreams() []UpstreamStatus { return s.upstreams }

// UpstreamStatus is the state of an upstream as shown to operators.
type UpstreamStatus struct {
	name    string
	address string
	slots   int
	running int
	latency float64
	state   string
}

// Name returns the upstream's name.
func (s UpstreamStatus) Name() string { return s.name }

// Address returns the IP address and port that serve requests.
func (s UpstreamStatus) Address() string { return s.address }

// Slots returns how many requests may run at the upstream at once now.
func (s UpstreamStatus) Slots() int { return s.slots }

// Running returns how many requests run at the upstream.
func (s UpstreamStatus) Running() int { return s.running }

// Latency returns the smoothed latency in milliseconds.
func (s UpstreamStatus) Latency() float64 { return s.latency }

// State returns ok, warming, limited, ejected, paused, leaving or lost.
func (s UpstreamStatus) State() string { return s.state }

// Status returns the pool's state.
func (p *Pool) Status(now dhclock.Millis) PoolStatus {
	s := PoolStatus{service: p.service, waiting: p.queue.size, remoteRunning: p.remoteRunning}
	for _, u := range p.upstreams {
		s.upstreams = append(s.upstreams, UpstreamStatus{
			name: u.Name(), address: u.Address(), slots: u.allowedSlots(now), running: u.running,
			latency: u.Latency(), state: u.state(now),
		})
	}
	return s
}

func (u *Upstream) state(now dhclock.Millis) string {
	switch {
	case u.leaving:
		return "leaving"
	case !u.available(now):
		return "lost"
	case u.Ejected(now):
		return "ejected"
	case u.Paused(now):
		return "paused"
	case u.allowedSlots(now) < u.Slots():
		return "warming"
	default:
		return "ok"
	}
}
