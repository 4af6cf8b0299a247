package dhgrant

import (
	"fmt"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// limiter is a policy that divides a rate limit among instances.
type limiter interface {
	// countRequest counts a new request at an instance.
	countRequest(now dhclock.Millis, instance int)
	// admit reports whether a new or waiting request is admitted now.
	admit(now dhclock.Millis, instance int) bool
	// tick advances the policy by one millisecond.
	tick(now dhclock.Millis)
}

const (
	policyInstances = 8
	policyRate      = 200
	policyBurst     = 100
	policyQueueWait = 300 // ms that a request may wait for a token
)

// staticSplit gives each instance a fixed eighth of the limit.
type staticSplit struct{ buckets [policyInstances]bucket }

func newStaticSplit() *staticSplit {
	s := &staticSplit{}
	for i := range s.buckets {
		s.buckets[i].setShare(0, Share{rate: policyRate * dhmessage.Token / policyInstances, burst: policyBurst * dhmessage.Token / policyInstances}, 0)
	}
	return s
}

func (s *staticSplit) countRequest(dhclock.Millis, int)     {}
func (s *staticSplit) admit(now dhclock.Millis, i int) bool { return s.buckets[i].acquire(now) }
func (s *staticSplit) tick(dhclock.Millis)                  {}

// demandShares divides the limit every second in proportion to the demand of the
// second before.
type demandShares struct {
	staticSplit
	counts [policyInstances]int64
}

func (s *demandShares) countRequest(_ dhclock.Millis, i int) { s.counts[i]++ }

func (s *demandShares) tick(now dhclock.Millis) {
	if now%dhclock.Second != 0 {
		return
	}
	total := int64(0)
	for i := range s.counts {
		s.counts[i]++ // so that no instance has a share of 0
		total += s.counts[i]
	}
	for i, n := range s.counts {
		share := func(amount int64) dhmessage.Tokens {
			return dhmessage.Token * dhmessage.Tokens(amount*n) / dhmessage.Tokens(total)
		}
		s.buckets[i].setShare(now, Share{rate: share(policyRate), burst: share(policyBurst)}, now+100)
		s.counts[i] = 0
	}
}

// ownerPolicy is an owner with one holder per instance, a round trip of twice
// oneWayDelay apart. With prefetch, holders have floors and request tokens for
// the expected demand; without it, they request one token for each request.
type ownerPolicy struct {
	owner       *Owner
	holders     [policyInstances]*Holder
	oneWayDelay dhclock.Millis // of a message
	prefetch    bool
	waiting     [policyInstances]int
	inFlight    []delivery
}

type delivery struct {
	due     dhclock.Millis
	deliver func(now dhclock.Millis)
}

func newOwnerPolicy(delay dhclock.Millis, prefetch bool) *ownerPolicy {
	p := &ownerPolicy{oneWayDelay: delay, prefetch: prefetch}
	owner := Share{rate: policyRate * dhmessage.Token, burst: policyBurst * dhmessage.Token}
	floor := Share{}
	if prefetch {
		owner, floor = Split(newLimit(policyRate, policyBurst), policyInstances)
	}
	p.owner = NewOwner(0, owner)
	for i := range p.holders {
		p.holders[i] = NewHolder(0)
		p.holders[i].SetFloor(0, floor, 0)
	}
	return p
}

func (p *ownerPolicy) countRequest(now dhclock.Millis, i int) {
	if p.prefetch {
		p.holders[i].CountRequest(now)
		return
	}
	p.sendRequest(now, i, dhmessage.Token)
}

func (p *ownerPolicy) admit(now dhclock.Millis, i int) bool { return p.holders[i].Spend(now) }

func (p *ownerPolicy) tick(now dhclock.Millis) {
	for len(p.inFlight) > 0 && p.inFlight[0].due <= now {
		d := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		d.deliver(now)
	}
	for i := range p.holders {
		if !p.prefetch {
			continue
		}
		if tokens := p.holders[i].TokensToRequest(now, p.waiting[i]); tokens > 0 || now%100 == 0 {
			p.sendRequest(now, i, tokens)
		}
	}
}

func (p *ownerPolicy) sendRequest(now dhclock.Millis, i int, tokens dhmessage.Tokens) {
	name, demand := fmt.Sprint(i), p.holders[i].TokenDemand("o", tokens)
	p.inFlight = append(p.inFlight, delivery{now + p.oneWayDelay, func(at dhclock.Millis) {
		p.owner.Report(at, name, 1, demand.Consumed(), demand.Dropped())
		amount, endPosition := p.owner.Grant(at, name, 1, demand.Amount())
		p.inFlight = append(p.inFlight, delivery{at + p.oneWayDelay, func(at dhclock.Millis) {
			p.holders[i].AddGrant(1, dhmessage.NewTokenGrant("o", amount, endPosition, amount < tokens), now, TTL)
			p.holders[i].RecordResponse(at)
		}})
	}})
}

// runPolicy sends nine tenths of the rate for one minute, all of it to one
// instance that changes every second. Requests without a token wait for one. It
// returns the number of refused requests, of all requests and the overshoot.
func runPolicy(l limiter, waiting *[policyInstances]int) (refused, total int, overshoot int64) {
	type request struct {
		instance int
		until    dhclock.Millis
	}
	var queue []request
	var admitted []dhclock.Millis
	credit := 0
	for now := dhclock.Millis(5000); now < 65_000; now++ {
		l.tick(now)
		stillWaiting := queue[:0]
		for _, r := range queue {
			switch {
			case l.admit(now, r.instance):
				admitted = append(admitted, now)
			case r.until <= now:
				refused++
			default:
				stillWaiting = append(stillWaiting, r)
			}
		}
		queue = stillWaiting
		for credit += policyRate * 9 / 10; credit >= 1000; credit -= 1000 {
			total++
			i := int(now/dhclock.Second) * 5 % policyInstances
			l.countRequest(now, i)
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

// maxOvershoot returns by how many requests the admitted ones exceed burst + rate
// x window, in the window where they exceed it most.
func maxOvershoot(admitted []dhclock.Millis) int64 {
	lowest, overshoot := int64(1<<62), int64(-1<<62)
	for i, at := range admitted {
		start := int64(i)*1000 - policyRate*int64(at)
		lowest = min(lowest, start)
		overshoot = max(overshoot, start+1000-lowest-policyBurst*1000)
	}
	return max(0, overshoot/1000)
}

// BenchmarkPolicies compares policies on the same requests, by refusals of
// requests within the rate and by overshoot.
func BenchmarkPolicies(b *testing.B) {
	for b.Loop() {
		for _, delay := range []dhclock.Millis{2, 20, 55} {
			run := func(name string, l limiter, waiting *[policyInstances]int) {
				refused, total, overshoot := runPolicy(l, waiting)
				fmt.Printf("one-way delay %2d ms  %-34s refused within rate %6.2f %%  overshoot %d\n", delay, name, 100*float64(refused)/float64(total), overshoot)
			}
			run("static split", newStaticSplit(), nil)
			run("shares by demand", &demandShares{staticSplit: *newStaticSplit()}, nil)
			perRequest := newOwnerPolicy(delay, false)
			run("owner without prefetch or floors", perRequest, nil)
			prefetched := newOwnerPolicy(delay, true)
			run("owner with prefetch and floors", prefetched, &prefetched.waiting)
		}
	}
}
