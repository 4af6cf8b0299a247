package dhlookup

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhview"
)

// ForRegion returns up to limit instances for a client in a region: the available
// ones of that region or, if there are none, those of all regions.
func ForRegion(v *dhview.View, region string, limit int) []dhcatalog.Instance {
	list := instancesOf(v, func(z dhcatalog.Zone) bool { return z.Region() == region })
	if len(list) == 0 {
		list = instancesOf(v, func(dhcatalog.Zone) bool { return true })
	}
	return list[:min(limit, len(list))]
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
