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
	shareInstances = 8
	shareRate      = 200
	shareBurst     = 100
	shareWait      = 300 // how long a request may wait for a token, in ms
)

// staticSplit gives every instance an eighth for good.
type staticSplit struct{ buckets [shareInstances]bucket }

func newStaticSplit() *staticSplit {
	s := &staticSplit{}
	for i := range s.buckets {
		s.buckets[i].set(0, Share{rate: shareRate * dhmessage.Token / shareInstances, limit: shareBurst * dhmessage.Token / shareInstances}, 0)
	}
	return s
}

func (s *staticSplit) arrive(dhclock.Millis, int)           {}
func (s *staticSplit) admit(now dhclock.Millis, i int) bool { return s.buckets[i].take(now) }
func (s *staticSplit) tick(dhclock.Millis)                  {}

// leasedShares divides the rate anew every second by the demand of the second
// before.
type leasedShares struct {
	staticSplit
	counts [shareInstances]int64
}

func (s *leasedShares) arrive(_ dhclock.Millis, i int) { s.counts[i]++ }

func (s *leasedShares) tick(now dhclock.Millis) {
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
		s.buckets[i].set(now, Share{rate: part(shareRate), limit: part(shareBurst)}, now+100)
		s.counts[i] = 0
	}
}

// ownerGrants is an owner with holders a round trip away; ahead says whether
// holders ask before they need tokens.
type ownerGrants struct {
	owner   *Owner
	holders [shareInstances]*Holder
	trip    dhclock.Millis // one way
	ahead   bool
	waiting [shareInstances]int
	due     []delivery
}

type delivery struct {
	at dhclock.Millis
	do func(now dhclock.Millis)
}

func newOwnerGrants(trip dhclock.Millis, ahead bool) *ownerGrants {
	g := &ownerGrants{trip: trip, ahead: ahead}
	owner := Share{rate: shareRate * dhmessage.Token, limit: shareBurst * dhmessage.Token}
	floor := Share{}
	if ahead {
		owner, floor = Split(limit(shareRate, shareBurst), shareInstances)
	}
	g.owner = NewOwner(0, owner)
	for i := range g.holders {
		g.holders[i] = NewHolder(0)
		g.holders[i].SetFloor(0, floor, 0)
	}
	return g
}

func (g *ownerGrants) arrive(now dhclock.Millis, i int) {
	if g.ahead {
		g.holders[i].Count(now)
		return
	}
	g.ask(now, i, dhmessage.Token)
}

func (g *ownerGrants) admit(now dhclock.Millis, i int) bool { return g.holders[i].Spend(now) }

func (g *ownerGrants) tick(now dhclock.Millis) {
	for len(g.due) > 0 && g.due[0].at <= now {
		d := g.due[0]
		g.due = g.due[1:]
		d.do(now)
	}
	for i := range g.holders {
		if !g.ahead {
			continue
		}
		if want := g.holders[i].Want(now, g.waiting[i]); want > 0 || now%100 == 0 {
			g.ask(now, i, want)
		}
	}
}

func (g *ownerGrants) ask(now dhclock.Millis, i int, want dhmessage.Tokens) {
	name, a := fmt.Sprint(i), g.holders[i].Ask("o", want)
	g.due = append(g.due, delivery{now + g.trip, func(at dhclock.Millis) {
		g.owner.Report(at, name, 1, a.Used(), a.Dropped())
		amount, through := g.owner.Give(at, name, 1, a.Want())
		g.due = append(g.due, delivery{at + g.trip, func(dhclock.Millis) {
			g.holders[i].Grant(1, dhmessage.NewGive("o", amount, through, amount < want), now, Life)
			g.holders[i].Answered()
		}})
	}})
}

// runPolicy sends nine tenths of the rate to one instance, another one each
// second, for a minute. Requests that find no token wait for one.
func runPolicy(l limiter, waiting *[shareInstances]int) (refused, total int, over int64) {
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
		for owed += shareRate * 9 / 10; owed >= 1000; owed -= 1000 {
			total++
			i := int(now/dhclock.Second) * 5 % shareInstances
			l.arrive(now, i)
			if l.admit(now, i) {
				admitted = append(admitted, now)
				continue
			}
			queue = append(queue, request{i, now + shareWait})
		}
		if waiting != nil {
			*waiting = [shareInstances]int{}
			for _, r := range queue {
				waiting[r.instance]++
			}
		}
	}
	return refused, total, worstWindow(admitted)
}

// worstWindow returns by how many requests the worst window exceeds burst and
// rate.
func worstWindow(admitted []dhclock.Millis) int64 {
	least, worst := int64(1<<62), int64(-1<<62)
	for i, at := range admitted {
		start := int64(i)*1000 - shareRate*int64(at)
		least = min(least, start)
		worst = max(worst, start+1000-least-shareBurst*1000)
	}
	return max(0, worst/1000)
}

// BenchmarkPolicies compares ways to share a limit on the same arrivals.
func BenchmarkPolicies(b *testing.B) {
	for b.Loop() {
		for _, trip := range []dhclock.Millis{2, 20, 55} {
			print := func(name string, l limiter, waiting *[shareInstances]int) {
				refused, total, over := runPolicy(l, waiting)
				fmt.Printf("one way %2d ms  %-34s refused within rate %6.2f %%  overshoot %d\n", trip, name, 100*float64(refused)/float64(total), over)
			}
			print("static split", newStaticSplit(), nil)
			print("shares leased by demand", &leasedShares{staticSplit: *newStaticSplit()}, nil)
			asked := newOwnerGrants(trip, false)
			print("owner asked for each request", asked, nil)
			ours := newOwnerGrants(trip, true)
			print("owner with tokens ahead and floors", ours, &ours.waiting)
		}
	}
}
