package dhgrant

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// limiter is one way to share a limit over instances.
type limiter interface {
	// arrive notes a new request at an instance.
	arrive(now dhclock.Millis, instance int)
	// admit tells whether a request that came or waits is admitted now.
	admit(now dhclock.Millis, instance int) bool
	// tick lets a millisecond pass.
	tick(now dhclock.Millis)
}

const (
	policyInstances = 8
	policyRate      = 200
	policyBurst     = 100
	policyQueueWait = 300 // how long a request may wait for a token, in ms
)

// staticSplit gives every instance an eighth for good.
type staticSplit struct{ buckets [policyInstances]bucket }

func newStaticSplit() *staticSplit {
	s := &staticSplit{}
	for i := range s.buckets {
		s.buckets[i].setShare(0, Share{rate: policyRate * dhmessage.Token / policyInstances, burst: policyBurst * dhmessage.Token / policyInstances}, 0)
	}
	return s
}

func (s *staticSplit) arrive(dhclock.Millis, int)           {}
func (s *staticSplit) admit(now dhclock.Millis, i int) bool { return s.buckets[i].acquire(now) }
func (s *staticSplit) tick(dhclock.Millis)                  {}

// demandShares divides the rate anew every second by the demand of the second
// before.
type demandShares struct {
	staticSplit
	counts [policyInstances]int64
}

func (s *demandShares) arrive(_ dhclock.Millis, i int) { s.counts[i]++ }

func (s *demandShares) tick(now dhclock.Millis) {
	if now%dhclock.Second != 0 {
		return
	}
	total := int64(0)
	for i := range s.counts {
		s.counts[i]++ // nobody gets nothing
		total += s.counts[i]
	}
	for i, n := range s.counts {
		part := func(whole int64) dhmessage.Tokens {
			return dhmessage.Token * dhmessage.Tokens(whole*n) / dhmessage.Tokens(total)
		}
		s.buckets[i].setShare(now, Share{rate: part(policyRate), burst: part(policyBurst)}, now+100)
		s.counts[i] = 0
	}
}

// ownerPolicy is an owner with holders a round trip away; ahead says whether
// holders ask before they need tokens.
type ownerPolicy struct {
	owner       *Owner
	holders     [policyInstances]*Holder
	oneWayDelay dhclock.Millis // one way
	prefetch    bool
	waiting     [policyInstances]int
	inFlight    []delivery
}

type delivery struct {
	due     dhclock.Millis
	deliver func(now dhclock.Millis)
}

func newOwnerPolicy(trip dhclock.Millis, ahead bool) *ownerPolicy {
	g := &ownerPolicy{oneWayDelay: trip, prefetch: ahead}
	owner := Share{rate: policyRate * dhmessage.Token, burst: policyBurst * dhmessage.Token}
	floor := Share{}
	if ahead {
		owner, floor = Split(newLimit(policyRate, policyBurst), policyInstances)
	}
	g.owner = NewOwner(0, owner)
	for i := range g.holders {
		g.holders[i] = NewHolder(0)
		g.holders[i].SetFloor(0, floor, 0)
	}
	return g
}

func (g *ownerPolicy) arrive(now dhclock.Millis, i int) {
	if g.prefetch {
		g.holders[i].CountRequest(now)
		return
	}
	g.sendRequest(now, i, dhmessage.Token)
}

func (g *ownerPolicy) admit(now dhclock.Millis, i int) bool { return g.holders[i].Spend(now) }

func (g *ownerPolicy) tick(now dhclock.Millis) {
	for len(g.inFlight) > 0 && g.inFlight[0].due <= now {
		d := g.inFlight[0]
		g.inFlight = g.inFlight[1:]
		d.deliver(now)
	}
	for i := range g.holders {
		if !g.prefetch {
			continue
		}
		if want := g.holders[i].TokensToRequest(now, g.waiting[i]); want > 0 || now%100 == 0 {
			g.sendRequest(now, i, want)
		}
	}
}

func (g *ownerPolicy) sendRequest(now dhclock.Millis, i int, want dhmessage.Tokens) {
	name, a := fmt.Sprint(i), g.holders[i].TokenDemand("o", want)
	g.inFlight = append(g.inFlight, delivery{now + g.oneWayDelay, func(at dhclock.Millis) {
		g.owner.Report(at, name, 1, a.Used(), a.Dropped())
		amount, through := g.owner.Grant(at, name, 1, a.Want())
		g.inFlight = append(g.inFlight, delivery{at + g.oneWayDelay, func(dhclock.Millis) {
			g.holders[i].AddGrant(1, dhmessage.NewGive("o", amount, through, amount < want), now, TTL)
			g.holders[i].ResponseReceived()
		}})
	}})
}

// runPolicy sends nine tenths of the rate to one instance, another one each
// second, for a minute. Requests that find no token wait for one.
func runPolicy(l limiter, waiting *[policyInstances]int) (refused, total int, over int64) {
	type request struct {
		instance int
		until    dhclock.Millis
	}
	var queue []request
	var admitted []dhclock.Millis
	owed := 0
	for now := dhclock.Millis(5000); now < 65_000; now++ {
		l.tick(now)
		kept := queue[:0]
		for _, r := range queue {
			switch {
			case l.admit(now, r.instance):
				admitted = append(admitted, now)
			case r.until <= now:
				refused++
			default:
				kept = append(kept, r)
			}
		}
		queue = kept
		for owed += policyRate * 9 / 10; owed >= 1000; owed -= 1000 {
			total++
			i := int(now/dhclock.Second) * 5 % policyInstances
			l.arrive(now, i)
			if l.admit(now, i) {
				admitted = append(admitted, now)
				continue
			}
			queue = append(queue, request{i, now + policyQueueWait})
		}
		if waiting != nil {
			*waiting = [policyInstances]int{}
			for _, r := range queue {
				waiting[r.instance]++
			}
		}
	}
	return refused, total, maxOvershoot(admitted)
}

// maxOvershoot returns by how many requests the worst window exceeds burst and
// rate.
func maxOvershoot(admitted []dhclock.Millis) int64 {
	least, worst := int64(1<<62), int64(-1<<62)
	for i, at := range admitted {
		start := int64(i)*1000 - policyRate*int64(at)
		least = min(least, start)
		worst = max(worst, start+1000-least-policyBurst*1000)
	}
	return max(0, worst/1000)
}

// BenchmarkPolicies compares ways to share a limit on the same arrivals.
func BenchmarkPolicies(b *testing.B) {
	for b.Loop() {
		for _, trip := range []dhclock.Millis{2, 20, 55} {
			print := func(name string, l limiter, waiting *[policyInstances]int) {
				refused, total, over := runPolicy(l, waiting)
				fmt.Printf("one way %2d ms  %-34s refused within rate %6.2f %%  overshoot %d\n", trip, name, 100*float64(refused)/float64(total), over)
			}
			print("static split", newStaticSplit(), nil)
			print("shares leased by demand", &demandShares{staticSplit: *newStaticSplit()}, nil)
			asked := newOwnerPolicy(trip, false)
			print("owner asked for each request", asked, nil)
			ours := newOwnerPolicy(trip, true)
			print("owner with tokens ahead and floors", ours, &ours.waiting)
		}
	}
}
