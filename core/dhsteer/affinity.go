package dhsteer

import (
	"math"
	"slices"

	"dogwoodhitch/core/dhclock"
)

// Criteria describes what a request requires of its upstream.
type Criteria struct {
	// Object is the hash of the object that the request concerns; 0 for none.
	Object uint64
	// Random breaks ties of requests without an object.
	Random uint64
	// HomeRegions are two lists of regions, both of which must contain the
	// upstream's region; an empty list allows all regions.
	HomeRegions [2][]string
	// Tried are the members that already had an attempt of this request.
	Tried []*Member
	// Objective is the target latency; 0 if none is configured.
	Objective dhclock.Millis
	// Priority decides which requests are refused first under overload; 0 is the
	// most urgent.
	Priority int
}

// Allows reports whether the homes allow an upstream, or a peer, in a region.
func (c *Criteria) Allows(region string) bool {
	for _, regions := range c.HomeRegions {
		if len(regions) > 0 && !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// Select returns the member for a request, or nil. Requests for one object go
// to the member with the highest weighted hash of object and member (rendezvous
// hashing). Each object is thus cached at one upstream, and a member that joins
// or leaves moves only its own objects. The region is selected first: the local
// region for the objects that it has capacity for, another one by hash for the
// rest. If a busy member does not admit the request, Select returns nil rather
// than another member: the object isn't cached there and would evict others.
func (g *Group) Select(now dhclock.Millis, c Criteria) *Member {
	preferred := g.selectRegion(&c)
	if preferred >= 0 {
		if m := g.regions[preferred].selectMember(now, &c); m != nil {
			if !m.admits(now, &c) {
				return nil
			}
			return m
		}
	}
	var best *Member
	for i := range g.regions {
		r := &g.regions[i]
		if i == preferred || !c.Allows(r.name) {
			continue
		}
		m := r.selectMember(now, &c)
		if m == nil {
			continue
		}
		if r.name == g.local {
			return m
		}
		if best == nil || m.load() < best.load() {
			best = m
		}
	}
	return best
}

// selectRegion returns the index of the region that serves an object, or -1.
func (g *Group) selectRegion(c *Criteria) int {
	best, bestScore := -1, math.Inf(-1)
	local := c.Object == 0 || float64(mixBits(c.Object^hashSalt)%shareScale) < g.localShare
	for i := range g.regions {
		r := &g.regions[i]
		if !c.Allows(r.name) {
			continue
		}
		if r.name == g.local {
			if local {
				return i
			}
			continue
		}
		if score := weightedScore(mixBits(c.Object^r.seed), r.spareShare+minSpareShare); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// minSpareShare is added to every region's weight, so that a region without
// spare slots can still be selected if no other region is left.
const minSpareShare = 1e-6

// hashSalt makes the hashes that decide on the region, on offloading and on
// admission independent of those that select a member. mixBits uses it as the
// SplitMix64 increment too.
const hashSalt = 0x9e3779b97f4a7c15

func (r *region) selectMember(now dhclock.Millis, c *Criteria) *Member {
	r.requests++
	if c.Object == 0 {
		return r.leastLoadedOfTwo(now, c)
	}
	best, next := r.topRanked(now, c, anyMember)
	if best != nil && !best.limitAllows(now) {
		// Another limited member would get objects that it hasn't cached.
		if best, next = r.topRanked(now, c, unlimitedMember); best == nil {
			best, next = r.topRanked(now, c, allowedMember)
		}
	}
	if best == nil || next == nil || best.offloadShare == 0 {
		return best
	}
	if float64(mixBits(c.Object^best.seed^hashSalt)%shareScale) < best.offloadShare*shareScale {
		return next
	}
	return best
}

// memberFilter selects members by the limits that they report.
type memberFilter int

const (
	anyMember memberFilter = iota
	unlimitedMember
	allowedMember // has no limit, or room within it
)

func (f memberFilter) accepts(now dhclock.Millis, m *Member) bool {
	switch f {
	case unlimitedMember:
		return m.limit == nil
	case allowedMember:
		return m.limitAllows(now)
	default:
		return true
	}
}

// topRanked returns the member with the highest score for an object, and the
// member that gets the object if the first one offloads it: the one with the
// highest score among the others that accept offloaded objects. Both are among the
// members that the filter accepts.
func (r *region) topRanked(now dhclock.Millis, c *Criteria, f memberFilter) (best, next *Member) {
	bestScore, nextScore := math.Inf(-1), math.Inf(-1)
	for _, m := range r.members {
		if !m.eligible(now, c) || !f.accepts(now, m) {
			continue
		}
		score := r.score(now, mixBits(c.Object^m.seed), m)
		if score > bestScore {
			if best != nil && best.acceptsOffload(now) && bestScore > nextScore {
				next, nextScore = best, bestScore
			}
			best, bestScore = m, score
			continue
		}
		if score > nextScore && m.acceptsOffload(now) {
			next, nextScore = m, score
		}
	}
	return best, next
}

// score returns the member's rank for an object. If all members have the same
// weight, the hash alone decides, with the same order.
func (r *region) score(now dhclock.Millis, hash uint64, m *Member) float64 {
	if r.equalWeights {
		return float64(hash >> 11)
	}
	return weightedScore(hash, m.weight(now))
}

// weight returns the member's weight for objects: its slots, reduced to what its
// limit allows. While the limit isn't used, the member gets objects beyond that.
func (m *Member) weight(now dhclock.Millis) float64 {
	if m.hasUnusedLimit(now) {
		return float64(m.record.Slots())
	}
	return float64(m.record.Slots()) * m.keptShare
}

// eligible reports whether a member can serve a request, apart from its limit, and
// was not tried before.
func (m *Member) eligible(now dhclock.Millis, c *Criteria) bool {
	return m.usable(now) && !slices.Contains(c.Tried, m)
}

// leastLoadedOfTwo returns the less loaded of two eligible members picked at
// random. If the random picks find only one eligible member, it returns that
// one; if they find none, it returns the least loaded eligible member, or nil.
func (r *region) leastLoadedOfTwo(now dhclock.Millis, c *Criteria) *Member {
	var best *Member
	random := mixBits(c.Random | 1)
	for range len(r.members) {
		m := r.members[random%uint64(len(r.members))]
		random = mixBits(random)
		if !m.eligible(now, c) || !m.limitAllows(now) {
			continue
		}
		if best == nil {
			best = m
			continue
		}
		if m.load() < best.load() {
			return m
		}
		return best
	}
	if best != nil {
		return best
	}
	for _, m := range r.members {
		if m.eligible(now, c) && m.limitAllows(now) && (best == nil || m.load() < best.load()) {
			best = m
		}
	}
	return best
}

// weightedScore returns a score for weighted rendezvous hashing: the
// probability that a member has the highest score is proportional to its
// weight.
func weightedScore(hash uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(hash>>11) + 0.5) * unit
	return -weight / math.Log(u)
}

// mixBits hashes a number (SplitMix64).
func mixBits(x uint64) uint64 {
	x += hashSalt
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// HashObject returns the hash of an object's name; 0 for an empty name.
func HashObject(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(1, hashText(name))
}

// hashText hashes a string: FNV-1a, followed by mixBits.
func hashText(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return mixBits(h)
}
