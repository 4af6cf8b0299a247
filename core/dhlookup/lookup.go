// Package dhlookup answers which entry instances a client should use.
//
// An answer that a client still caches is load already promised. So a drain
// moves look-ups in steps over its ramp, and an instance that is about to stop
// is not named from then on; it stops accepting one time to live later.
package dhlookup

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhview"
)

// MaxTargets bounds the instances named in one answer.
const MaxTargets = 3

// Answer names the entry instances that a client should use.
type Answer struct {
	site       string
	zone       string
	targets    [MaxTargets]dhcatalog.Instance
	count      int
	timeToLive dhclock.Millis
	version    uint64
}

// Site returns the site that covers the client, or "".
func (a *Answer) Site() string { return a.site }

// Zone returns the availability zone of the first target, or "".
func (a *Answer) Zone() string { return a.zone }

// Targets returns the instances to use, the first choice first; empty if none
// is known.
func (a *Answer) Targets() []dhcatalog.Instance { return a.targets[:a.count] }

// TimeToLive returns how long the client may cache the answer.
func (a *Answer) TimeToLive() dhclock.Millis { return a.timeToLive }

// Version returns the version of the configuration that the answer reflects.
func (a *Answer) Version() uint64 { return a.version }

// Find answers a look-up for a client address, left-aligned in 64 bits.
func Find(now dhclock.Millis, v *dhview.View, address uint64, six bool) Answer {
	c := v.Catalog()
	a := Answer{version: c.Version()}
	site, found := c.SiteOf(address, six)
	if !found {
		return a
	}
	a.site, a.timeToLive = site.Name(), site.TimeToLive()
	f := finder{view: v, now: now, hash: mixBits(address >> clientShift(six))}
	home, _ := c.Zone(site.Zone())
	f.addZone(&a, home)
	if a.count > 0 {
		return a
	}
	for _, near := range []bool{true, false} {
		f.addZones(&a, home, near)
		if a.count > 0 {
			return a
		}
	}
	return a
}

// clientShift cuts an address to the part by which drains move clients: /24
// for IPv4 and /48 for IPv6.
func clientShift(six bool) int {
	if six {
		return 16
	}
	return 40
}

// finder collects targets for one client.
type finder struct {
	view *dhview.View
	now  dhclock.Millis
	hash uint64
}

// addZone adds the usable instances of a zone, starting at one that the
// client's hash picks, so that clients spread evenly.
func (f finder) addZone(a *Answer, z dhcatalog.Zone) {
	if f.drained(z.Ref()) || f.drained(dhcatalog.NewRef(dhcatalog.KindRegion, z.Region())) {
		return
	}
	list := f.view.Catalog().InstancesIn(z.Name())
	for i := range list {
		candidate := list[(uint64(i)+f.hash)%uint64(len(list))]
		if f.view.IsUnavailable(candidate.Name()) || f.drained(candidate.Ref()) {
			continue
		}
		if a.count == 0 {
			a.zone = z.Name()
		}
		a.targets[a.count] = candidate
		a.count++
		if a.count == MaxTargets {
			return
		}
	}
}

// addZones adds instances of another zone, in the home region if near. The
// client's hash picks the zone among those of that distance, so that the
// clients of a zone that is gone spread evenly.
func (f finder) addZones(a *Answer, home dhcatalog.Zone, near bool) {
	count := 0
	f.eachZone(home, near, func(dhcatalog.Zone) bool {
		count++
		return true
	})
	for offset := range uint64(count) {
		skip := (f.hash + offset) % uint64(count)
		f.eachZone(home, near, func(z dhcatalog.Zone) bool {
			if skip > 0 {
				skip--
				return true
			}
			f.addZone(a, z)
			return false
		})
		if a.count > 0 {
			return
		}
	}
}

// eachZone calls visit for the other zones of one distance until it returns
// false.
func (f finder) eachZone(home dhcatalog.Zone, near bool, visit func(z dhcatalog.Zone) bool) {
	for _, z := range f.view.Catalog().Zones() {
		if z.Name() == home.Name() || (z.Region() == home.Region()) != near {
			continue
		}
		if !visit(z) {
			return
		}
	}
}

// drained tells whether a drain has moved this client away from its target.
func (f finder) drained(target dhcatalog.Ref) bool {
	d, found := f.view.Catalog().DrainOf(target)
	if !found {
		return false
	}
	share := d.MovedAfter(f.now.Since(f.view.DrainStart(d.Name())))
	return int(mixBits(f.hash)%100) < share
}

// mixBits spreads the bits of a value.
func mixBits(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	v ^= v >> 33
	return v
}
