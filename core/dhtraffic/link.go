package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhgrant"
	"dogwoodhitch/core/dhview"
)

// bytesPerKilobyte is how many bytes a kilobyte of a link has.
const bytesPerKilobyte = 1000

// messageOverhead is what a request or an answer takes beside its body, in
// bytes.
const messageOverhead = 500

// linkBudgets are this instance's shares of the links of its region, by the
// region at the other end. Shares are fixed, so that they need nobody's word:
// each way, half of a link is for the requests of one end and half for the
// answers to the other's, split evenly over the instances of the region.
type linkBudgets map[string]*dhgrant.Budget

// setLinks takes the links of a new version.
func (s *State) setLinks(now dhclock.Millis) {
	c := s.view.Catalog()
	zone, found := c.Zone(s.zone)
	if !found {
		return
	}
	kept := linkBudgets{}
	instances := int64(max(1, c.InstancesOf(zone.Region())))
	for _, l := range c.Links() {
		other, ends := l.Other(zone.Region())
		if !ends {
			continue
		}
		b, known := s.links[other]
		if !known {
			b = dhgrant.NewBudget(now)
		}
		b.Set(now, l.Kilobytes()*bytesPerKilobyte/2/instances, now+dhview.FreshnessLease)
		kept[other] = b
	}
	s.links = kept
}

// linkHasBudget tells whether a request may be passed to another region now.
func (s *State) linkHasBudget(now dhclock.Millis, g *peer) bool {
	b, limited := s.links[g.region]
	return !limited || b.HasRemaining(now)
}

// chargeLink counts what a request or an answer takes of a link.
func (s *State) chargeLink(now dhclock.Millis, g *peer, size int) {
	if b, limited := s.links[g.region]; limited && g.distance == otherRegion {
		b.Charge(now, size+messageOverhead)
	}
}
