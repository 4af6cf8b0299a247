package dhlookup

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhview"
)

// ForRegion returns the instances that a client in a region should use: those of its
// region that are neither gone nor leaving, or if there are none those of all
// regions. At most so many are named.
func ForRegion(v *dhview.View, region string, most int) []dhcatalog.Instance {
	list := instancesOf(v, func(z dhcatalog.Zone) bool { return z.Region() == region })
	if len(list) == 0 {
		list = instancesOf(v, func(dhcatalog.Zone) bool { return true })
	}
	return list[:min(most, len(list))]
}

func instancesOf(v *dhview.View, include func(dhcatalog.Zone) bool) []dhcatalog.Instance {
	var list []dhcatalog.Instance
	for _, z := range v.Catalog().Zones() {
		if !include(z) {
			continue
		}
		for _, i := range v.Catalog().InstancesIn(z.Name()) {
			if !v.IsUnavailable(i.Name()) {
				list = append(list, i)
			}
		}
	}
	return list
}
