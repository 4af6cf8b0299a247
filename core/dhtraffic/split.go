package dhtraffic

import (
	"slices"

	"dogwoodhitch/core/dhcatalog"
)

// split distributes a route's requests over its services by smooth weighted
// round robin: in proportion to their weights and evenly over time.
type split struct {
	weights []dhcatalog.WeightedService
	credits []int
}

// serviceFor returns the service for the next request of a route.
func (s *State) serviceFor(route dhcatalog.Route) string {
	weights := route.Split()
	if len(weights) == 0 {
		return route.Service()
	}
	sp, found := s.splits[route.Name()]
	if !found || !slices.Equal(sp.weights, weights) {
		sp = &split{weights: weights, credits: make([]int, len(weights))}
		s.splits[route.Name()] = sp
	}
	return sp.next()
}

// next returns the service with the highest credit.
func (sp *split) next() string {
	total, best := 0, 0
	for i, w := range sp.weights {
		total += w.Weight()
		sp.credits[i] += w.Weight()
		if sp.credits[i] > sp.credits[best] {
			best = i
		}
	}
	sp.credits[best] -= total
	return sp.weights[best].Service()
}
