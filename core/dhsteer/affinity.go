package dhsteer

import (
	"math"
	"slices"

	"dogwoodhitch/core/dhclock"
)

// Criteria is what a request needs of its upstream.
type Criteria struct {
	// Object is the hash of the object that the request is about; 0 for none.
	Object uint64
	// Random breaks ties of requests without an object.
	Random uint64
	// HomeRegions are lists of regions of which each must hold the upstream's; an empty
	// list allows all.
	HomeRegions [2][]string
	Tried       []*Member
	// Objective is the latency of a good answer; 0 if none is known.
	Objective dhclock.Millis
	// Priority orders requests where not all can be served; 0 goes first.
	Priority int
}

func (w *Criteria) allows(region string) bool {
	for _, homes := range w.HomeRegions {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			return false
		}
	}
	return true
}

// Select returns the member for a request, or nil. Requests about one object go
// to the member with the highest weighted hash of both (rendezvous hashing), so
// that each object is cached at one upstream and only the objects of a member
// that comes or goes move. The region is chosen first: the local one for the
// objects that it can serve, another one by hash for the rest. A request that
// a busy member doesn't admit goes nowhere: elsewhere its object isn't cached,
// and would take the room of others.
func (g *Group) Select(now dhclock.Millis, w Criteria) *Member {
	home := g.selectRegion(&w)
	if home >= 0 {
		if m := g.regions[home].selectMember(now, &w); m != nil {
			if !m.admits(now, &w) {
				return nil
			}
			return m
		}
	}
	var best *Member
	for i := range g.regions {
		r := &g.regions[i]
		if i == home || !w.allows(r.name) {
			continue
		}
		m := r.selectMember(now, &w)
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
func (g *Group) selectRegion(w *Criteria) int {
	best, bestScore := -1, math.Inf(-1)
	keep := w.Object == 0 || float64(mixBits(w.Object^hashSalt)%shareScale) < g.localShare
	for i := range g.regions {
		r := &g.regions[i]
		if !w.allows(r.name) {
			continue
		}
		if r.name == g.local {
			if keep {
				return i
			}
			continue
		}
		if score := weightedScore(mixBits(w.Object^r.seed), r.spareShare+minSpareShare); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// minSpareShare keeps a region without spare slots possible where no other is
// left.
const minSpareShare = 1e-6

// hashSalt separates the choice of the region from that of the member.
const hashSalt = 0x9e3779b97f4a7c15

func (r *region) selectMember(now dhclock.Millis, w *Criteria) *Member {
	if w.Object == 0 {
		return r.leastLoadedOfTwo(now, w)
	}
	best, next := r.topRanked(now, w)
	if best == nil || next == nil || best.offloadShare == 0 {
		return best
	}
	if float64(mixBits(w.Object^best.seed^hashSalt)%shareScale) < best.offloadShare*shareScale {
		return next
	}
	return best
}

// topRanked returns the member with the highest score for an object, and the one
// that takes the object if the first gives it away: the highest of those that
// aren't busy.
func (r *region) topRanked(now dhclock.Millis, w *Criteria) (best, next *Member) {
	bestScore, nextScore := math.Inf(-1), math.Inf(-1)
	for _, m := range r.members {
		if !m.eligible(now, w) {
			continue
		}
		score := r.score(mixBits(w.Object^m.seed), m)
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

// score ranks a member for an object. Where all members have as many slots the
// hash alone ranks them.
func (r *region) score(hash uint64, m *Member) float64 {
	if r.equalSlots {
		return float64(hash >> 11)
	}
	return weightedScore(hash, float64(m.record.Slots()))
}

// eligible tells whether a member may be chosen for a request.
func (m *Member) eligible(now dhclock.Millis, w *Criteria) bool {
	return m.usable(now) && !slices.Contains(w.Tried, m)
}

// leastLoadedOfTwo returns the less busy of two members chosen at random.
func (r *region) leastLoadedOfTwo(now dhclock.Millis, w *Criteria) *Member {
	var best *Member
	random := mixBits(w.Random | 1)
	for range len(r.members) {
		m := r.members[random%uint64(len(r.members))]
		random = mixBits(random)
		if !m.eligible(now, w) {
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
		if m.eligible(now, w) && (best == nil || m.load() < best.load()) {
			best = m
		}
	}
	return best
}

// weightedScore turns a hash into a score of which the highest wins, with chances in
// proportion to the weights.
func weightedScore(hash uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(hash>>11) + 0.5) * unit
	return -weight / math.Log(u)
}

// mixBits spreads the bits of a number (SplitMix64).
func mixBits(x uint64) uint64 {
	x += hashSalt
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// HashObject returns the hash of the name of an object; 0 for an empty name.
func HashObject(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(1, hashText(name))
}

// hashText hashes a text (FNV-1a, mixed).
func hashText(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return mixBits(h)
}
