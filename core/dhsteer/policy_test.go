package dhsteer

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"dogwoodhitch/core/dhclock"
)

// selectionPolicy returns an upstream for the next request, or nil.
type selectionPolicy func(p *Pool, now dhclock.Millis, random uint64) *Upstream

// usableUpstreams returns the upstreams among which a baseline policy selects.
func usableUpstreams(p *Pool, now dhclock.Millis) []*Upstream {
	var list []*Upstream
	for _, u := range p.Upstreams() {
		if u.usable(now) {
			list = append(list, u)
		}
	}
	return list
}

func selectionPolicies() map[string]selectionPolicy {
	turn := 0
	return map[string]selectionPolicy{
		"1 random": func(p *Pool, now dhclock.Millis, random uint64) *Upstream {
			list := usableUpstreams(p, now)
			if len(list) == 0 {
				return nil
			}
			return list[random%uint64(len(list))]
		},
		"2 round robin": func(p *Pool, now dhclock.Millis, _ uint64) *Upstream {
			list := usableUpstreams(p, now)
			if len(list) == 0 {
				return nil
			}
			turn++
			return list[turn%len(list)]
		},
		"3 least in flight": func(p *Pool, now dhclock.Millis, _ uint64) *Upstream {
			var best *Upstream
			for _, u := range usableUpstreams(p, now) {
				if best == nil || u.Running() < best.Running() {
					best = u
				}
			}
			return best
		},
		"4 power of two": func(p *Pool, now dhclock.Millis, random uint64) *Upstream {
			list := usableUpstreams(p, now)
			if len(list) == 0 {
				return nil
			}
			a, b := list[random%uint64(len(list))], list[random>>20%uint64(len(list))]
			if b.Running() < a.Running() {
				return b
			}
			return a
		},
		"5 Pool.Select": func(p *Pool, now dhclock.Millis, _ uint64) *Upstream { return p.Select(now, nil) },
	}
}

// BenchmarkSelectionPolicies compares Pool.Select with the usual policies on 18
// upstreams and the same arrivals, while some upstreams are four times slower,
// fail at once, or send false load reports.
func BenchmarkSelectionPolicies(b *testing.B) {
	for b.Loop() {
		for _, scenario := range []string{"no fault", "three slow", "one fails at once", "false load reports"} {
			list := selectionPolicies()
			for _, name := range slices.Sorted(maps.Keys(list)) {
				runPolicy(scenario, name, list[name])
			}
		}
	}
}

// runPolicy sends 1200 requests per second for 20 s, with a service time of 20
// to 40 ms each, and prints a row.
func runPolicy(scenario, name string, policy selectionPolicy) {
	p := newTestPool(18, 9)
	random := uint64(1)
	next := func() uint64 {
		random = random*6364136223846793005 + 1442695040888963407
		return random >> 20
	}
	type running struct {
		u             *Upstream
		started, ends dhclock.Millis
		fails         bool
	}
	var runs []running
	var latencies []dhclock.Millis
	refused, failed, owed := 0, 0, 0
	for now := dhclock.Millis(1); now < 20_000; now++ {
		if now%1000 == 0 {
			for i, u := range p.Upstreams() {
				reported := u.Running()
				if scenario == "false load reports" {
					reported = i % 2 * 1000
				}
				p.Announce(now, 0, NewAnnouncement(AnnouncementOptions{Name: u.Name(), Address: u.Address(), Slots: 9, Running: reported}))
			}
		}
		runs = slices.DeleteFunc(runs, func(r running) bool {
			if r.ends > now {
				return false
			}
			outcome := Answered
			if r.fails {
				outcome = Failed
				failed++
			} else {
				latencies = append(latencies, now-r.started)
			}
			p.Release(now, r.u, false, outcome, now-r.started, Response{})
			return true
		})
		for owed += 1200; owed >= 1000; owed -= 1000 {
			u := policy(p, now, next())
			if u == nil {
				refused++
				continue
			}
			p.Acquire(now, u, false)
			r := running{u: u, started: now, ends: now + 20 + dhclock.Millis(next()%20)}
			if scenario == "three slow" && u.Name() < "u03" {
				r.ends += 3 * (r.ends - now)
			}
			if scenario == "one fails at once" && u.Name() == "u00" {
				r.ends, r.fails = now+1, true
			}
			runs = append(runs, r)
		}
	}
	slices.Sort(latencies)
	fmt.Printf("%-18s %-18s p50 %3d ms  p99 %3d ms  refused %d  failed %d\n", scenario, name,
		latencies[len(latencies)/2], latencies[len(latencies)*99/100], refused, failed)
}
