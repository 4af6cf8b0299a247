package dhsteer

import (
	"math"
	"slices"

	"dogwoodhitch/core/dhclock"
)

// Wish is what a request needs of its upstream.
type Wish struct {
	// Object is the hash of the object that the request is about; 0 for none.
	Object uint64
	// Random breaks ties of requests without an object.
	Random uint64
	// Homes are lists of regions of which each must hold the upstream's; an empty
	// list allows all.
	Homes [2][]string
	Tried []*Member
	// Objective is the latency of a good answer; 0 if none is known.
	Objective dhclock.Millis
	// Priority orders requests where not all can be served; 0 goes first.
	Priority int
}

func (w *Wish) allows(region string) bool {
	for _, homes := range w.Homes {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			return false
		}
	}
	return true
}

// Choose returns the member for a request, or nil. Requests about one object go
// to the member with the highest weighted hash of both (rendezvous hashing), so
// that each object is cached at one upstream and only the objects of a member
// that comes or goes move. The region is chosen first: the local one for the
// objects that it can serve, another one by hash for the rest. A request that
// a busy member doesn't admit goes nowhere: elsewhere its object isn't cached,
// and would take the room of others.
func (g *Group) Choose(now dhclock.Millis, w Wish) *Member {
	home := g.regionFor(&w)
	if home >= 0 {
		if m := g.regions[home].choose(now, &w); m != nil {
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
		m := r.choose(now, &w)
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

// regionFor returns the index of the region that serves an object, or -1.
func (g *Group) regionFor(w *Wish) int {
	best, bestScore := -1, math.Inf(-1)
	keep := w.Object == 0 || float64(mix(w.Object^localSalt)%shareScale) < g.localShare
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
		if score := weighted(mix(w.Object^r.seed), r.spare+leastSpare); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// leastSpare keeps a region without spare slots possible where no other is
// left.
const leastSpare = 1e-6

// localSalt separates the choice of the region from that of the member.
const localSalt = 0x9e3779b97f4a7c15

func (r *region) choose(now dhclock.Millis, w *Wish) *Member {
	if w.Object == 0 {
		return r.leastBusy(now, w)
	}
	best, next := r.ranked(now, w)
	if best == nil || next == nil || best.moved == 0 {
		return best
	}
	if float64(mix(w.Object^best.seed^localSalt)%shareScale) < best.moved*shareScale {
		return next
	}
	return best
}

// ranked returns the member with the highest score for an object, and the one
// that takes the object if the first gives it away: the highest of those that
// aren't busy.
func (r *region) ranked(now dhclock.Millis, w *Wish) (best, next *Member) {
	bestScore, nextScore := math.Inf(-1), math.Inf(-1)
	for _, m := range r.members {
		if !m.open(now, w) {
			continue
		}
		score := r.score(mix(w.Object^m.seed), m)
		if score > bestScore {
			if best != nil && best.takes(now) && bestScore > nextScore {
				next, nextScore = best, bestScore
			}
			best, bestScore = m, score
			continue
		}
		if score > nextScore && m.takes(now) {
			next, nextScore = m, score
		}
	}
	return best, next
}

// score ranks a member for an object. Where all members have as many slots the
// hash alone ranks them.
func (r *region) score(hash uint64, m *Member) float64 {
	if r.even {
		return float64(hash >> 11)
	}
	return weighted(hash, float64(m.record.Slots()))
}

// open tells whether a member may be chosen for a request.
func (m *Member) open(now dhclock.Millis, w *Wish) bool {
	return m.usable(now) && !slices.Contains(w.Tried, m)
}

// leastBusy returns the less busy of two members chosen at random.
func (r *region) leastBusy(now dhclock.Millis, w *Wish) *Member {
	var best *Member
	random := mix(w.Random | 1)
	for range len(r.members) {
		m := r.members[random%uint64(len(r.members))]
		random = mix(random)
		if !m.open(now, w) {
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
		if m.open(now, w) && (best == nil || m.load() < best.load()) {
			best = m
		}
	}
	return best
}

// weighted turns a hash into a score of which the highest wins, with chances in
// proportion to the weights.
func weighted(hash uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(hash>>11) + 0.5) * unit
	return -weight / math.Log(u)
}

// mix spreads the bits of a number (SplitMix64).
func mix(x uint64) uint64 {
	x += localSalt
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
	return mix(h)
}
