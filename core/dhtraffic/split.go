package dhtraffic

import (
	"slices"

	"dogwoodhitch/core/dhcatalog"
)

// split deals a route's requests out to services in proportion to their
// weights, evenly over time (smooth weighted round robin).
type split struct {
	weights []dhcatalog.Weighted
	credits []int
}

// serviceFor returns the service for the next request of a route.
func (s *State) serviceFor(r dhcatalog.Route) string {
	weights := r.Split()
	if len(weights) == 0 {
		return r.Service()
	}
	x, found := s.splits[r.Name()]
	if !found || !slices.Equal(x.weights, weights) {
		x = &split{weights: weights, credits: make([]int, len(weights))}
		s.splits[r.Name()] = x
	}
	return x.next()
}

func (x *split) next() string {
	total, best := 0, 0
	for i, w := range x.weights {
		total += w.Weight()
		x.credits[i] += w.Weight()
		if x.credits[i] > x.credits[best] {
			best = i
		}
	}
	x.credits[best] -= total
	return x.weights[best].Service()
}
