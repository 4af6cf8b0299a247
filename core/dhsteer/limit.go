package dhsteer

import (
	"maps"
	"math"
	"slices"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhgrant"
	"dogwoodhitch/core/dhmessage"
)

// Constants of observing the limit of an upstream. Every instance has a fixed
// fraction of the limit and observes it by itself: an upstream in need gets few
// requests, and asking an owner for each of them would take longer than sending them
// elsewhere.
const (
	// limitBurstPercent and limitBurst bound what may arrive at once over all
	// instances: a percentage of one second's amount, and further requests.
	limitBurstPercent = 150
	limitBurst        = 4 * dhmessage.Token
	// evenLimitPercent is the part of a limit that is divided evenly among all
	// instances. The rest goes to the instances that are expected to send requests to
	// the member's region.
	evenLimitPercent = 10
	// minLimit is the least rate that the instances divide, in tokens per second.
	// Without any response they wouldn't learn that the limit has ended.
	minLimit = dhmessage.Token / 2
	// minShare is the least share of one instance, in tokens per second: one
	// millionth of a token per millisecond, the least that a bucket can accrue.
	minShare = dhmessage.Tokens(dhclock.Second)
)

// RateLimit is a request rate that an upstream reports as its limit: what it
// accepts from all instances together.
type RateLimit struct {
	perSecond dhmessage.Tokens
}

// NewRateLimit returns a limit in tokens per second; a request is one token.
func NewRateLimit(perSecond dhmessage.Tokens) RateLimit { return RateLimit{perSecond: perSecond} }

// PerSecond returns the limit in tokens per second.
func (l RateLimit) PerSecond() dhmessage.Tokens { return l.perSecond }

// PerThousandSeconds returns the limit in requests per 1000 s, for log lines.
func (l RateLimit) PerThousandSeconds() uint64 { return uint64(l.perSecond / (dhmessage.Token / 1000)) }

// share returns the part of the limit that an instance with the given fraction of
// it may use. An instance always has a burst of one request, else it could send
// none.
func (l RateLimit) share(fraction float64) dhgrant.Share {
	rate := dhmessage.Tokens(fraction * float64(max(minLimit, l.perSecond)))
	burst := dhmessage.Tokens(fraction * float64(l.perSecond*limitBurstPercent/100+limitBurst))
	return dhgrant.NewShare(max(minShare, rate), max(dhmessage.Token, burst))
}

// limitState is what one instance may send to a member that reports a limit.
type limitState struct {
	limit     *RateLimit // as last reported; nil for none
	allowance *dhgrant.Allowance
	// limitFraction is this instance's fraction of the limit.
	limitFraction float64
	// initialLevel is the level of a new allowance, less than one token. It differs
	// between instances, so that they don't all send at the same time.
	initialLevel dhmessage.Tokens
	// keptShare is the share of the member's objects that fits in this instance's
	// part of the limit; 1 without a limit.
	keptShare float64
}

// Limit returns the limit that the upstream last reported; nil if it has none.
func (s *limitState) Limit() *RateLimit { return s.limit }

// setLimitFraction sets this instance's fraction of the limit.
func (s *limitState) setLimitFraction(now dhclock.Millis, fraction float64) {
	if s.limitFraction == fraction {
		return
	}
	s.limitFraction = fraction
	if s.limit != nil {
		s.allowance.SetShare(now, s.limit.share(fraction))
	}
}

// recordLimit records the limit that a response reported. Only a response to a
// request that ran ends a limit: a refusal or a failure may lack the report.
func (s *limitState) recordLimit(now dhclock.Millis, o AttemptOutcome, l *RateLimit) {
	switch {
	case o == Misplaced || l == nil && o != Answered:
	case l == nil:
		s.limit, s.allowance = nil, nil
	case s.limit == nil:
		s.limit, s.allowance = l, dhgrant.NewAllowance(now, l.share(s.limitFraction), s.initialLevel)
	default:
		if *l != *s.limit {
			s.allowance.SetShare(now, l.share(s.limitFraction))
		}
		s.limit = l
	}
}

// limitAllows reports whether the limit leaves room for one more request.
func (s *limitState) limitAllows(now dhclock.Millis) bool {
	return s.allowance == nil || s.allowance.HasToken(now)
}

// spendLimit counts a request against the limit.
func (s *limitState) spendLimit(now dhclock.Millis) {
	if s.allowance != nil {
		s.allowance.Spend(now)
	}
}

// hasUnusedLimit reports whether the member reports a limit of which this instance
// has not used its part: the member could have more objects.
func (s *limitState) hasUnusedLimit(now dhclock.Millis) bool {
	return s.allowance != nil && s.allowance.IsFull(now)
}

// setLimitFractions divides the limits of all members among the instances. The
// fractions follow from the topology alone, so that those of all instances add up to
// one.
func (g *Group) setLimitFractions(now dhclock.Millis, t Topology) {
	origins := slices.Sorted(maps.Keys(t.EntryInstances))
	instances := 0
	for _, origin := range origins {
		instances += t.EntryInstances[origin]
	}
	for i := range g.regions {
		target := &g.regions[i]
		total := 0.0
		for _, origin := range origins {
			total += float64(t.EntryInstances[origin]) * g.plannedFlow(origin, target)
		}
		fraction := 1 / float64(max(1, instances))
		if total > 0 {
			fraction += (g.plannedFlow(g.local, target)/total - fraction) * (100 - evenLimitPercent) / 100
		}
		for _, m := range target.members {
			m.setLimitFraction(now, fraction)
		}
	}
}

// keptShareStep is the least relative change of a member's kept share that moves
// objects.
const keptShareStep = 0.2

// updateKeptShares reduces the objects of the members that report a limit to what
// their limits allow, given the requests that this instance sends to the region.
// Otherwise an object would be sent to a limited member and to another one by turns
// and be cached at both.
func (r *region) updateKeptShares() {
	r.equalWeights = r.equalSlots
	for _, m := range r.members {
		kept := 1.0
		if m.limit != nil {
			share := m.limit.share(m.limitFraction)
			usual := r.rate * float64(m.record.Slots()) / float64(max(1, r.slots))
			kept = min(1, float64(share.Rate())/float64(dhmessage.Token)/max(usual, minUsualRate))
		}
		if kept == 1 || math.Abs(kept-m.keptShare) > keptShareStep*m.keptShare {
			m.keptShare = kept
		}
		r.equalWeights = r.equalWeights && m.keptShare == 1
	}
}

// minUsualRate is the least rate of requests to a member that is divided by, per
// second.
const minUsualRate = 0.001

// plannedFlow returns the share of the requests of an instance in the origin region
// that the plan sends to the target region.
func (g *Group) plannedFlow(origin string, target *region) float64 {
	if origin == target.name {
		return target.plannedShare
	}
	elsewhere, spare := 1.0, 0.0
	for i := range g.regions {
		if r := &g.regions[i]; r.name == origin {
			elsewhere = 1 - r.plannedShare
		} else {
			spare += r.spareShare + minSpareShare
		}
	}
	return elsewhere * (target.spareShare + minSpareShare) / spare
}
