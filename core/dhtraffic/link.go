package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhgrant"
	"dogwoodhitch/core/dhview"
)

// bytesPerKilobyte converts the capacity of a link in the catalog to bytes.
const bytesPerKilobyte = 1000

// messageOverhead is the estimated size of a request or response without its
// body, in bytes.
const messageOverhead = 500

// linkBudgets are this instance's shares of the links of its region, by the
// region at the other end. Shares are fixed, so that instances need no
// coordination: in each direction, half of a link carries requests and half
// responses to the other region's requests. Each half is divided evenly among
// the instances of the region.
type linkBudgets map[string]*dhgrant.Budget

// setLinks applies the links of a new configuration version. A larger share
// applies only after the freshness lease, when no instance uses the previous
// version any more.
func (s *State) setLinks(now dhclock.Millis) {
	c := s.view.Catalog()
	zone, found := c.Zone(s.zone)
	if !found {
		return
	}
	budgets := linkBudgets{}
	instances := int64(max(1, c.RegionInstanceCount(zone.Region())))
	for _, l := range c.Links() {
		other, connected := l.OtherRegion(zone.Region())
		if !connected {
			continue
		}
		b, exists := s.links[other]
		if !exists {
			b = dhgrant.NewBudget(now)
		}
		b.Set(now, l.KilobytesPerSecond()*bytesPerKilobyte/2/instances, now+dhview.FreshnessLease)
		budgets[other] = b
	}
	s.links = budgets
}

// linkHasBudget reports whether the link to another region has bytes left in
// its budget, or no limit.
func (s *State) linkHasBudget(now dhclock.Millis, region string) bool {
	b, limited := s.links[region]
	return !limited || b.HasRemaining(now)
}

// chargeLink charges a request or response with a body of size bytes to the link
// to a peer in another region.
func (s *State) chargeLink(now dhclock.Millis, to *peer, size int) {
	if b, limited := s.links[to.region]; limited && to.distance == otherRegion {
		b.Charge(now, size+messageOverhead)
	}
}
