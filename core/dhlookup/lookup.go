// Package dhlookup selects the entry instances that a client should use.
//
// Clients cache answers and keep sending requests to the instances in them.
// Therefore a drain moves look-ups gradually over its ramp, and answers stop
// naming an instance one time to live before it stops accepting requests.
package dhlookup

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhview"
)

// MaxTargets bounds the number of instances in one answer.
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

// Targets returns the instances to use in order of preference; empty if no
// instance is available.
func (a *Answer) Targets() []dhcatalog.Instance { return a.targets[:a.count] }

// TimeToLive returns how long the client may cache the answer.
func (a *Answer) TimeToLive() dhclock.Millis { return a.timeToLive }

// Version returns the version of the configuration behind the answer.
func (a *Answer) Version() uint64 { return a.version }

// Find returns the answer for a client address, left-aligned in 64 bits. Targets
// are in the zone of the client's site, else in another zone of its region, else
// in another region.
func Find(now dhclock.Millis, v *dhview.View, address uint64, ipv6 bool) Answer {
	c := v.Catalog()
	a := Answer{version: c.Version()}
	site, found := c.SiteOf(address, ipv6)
	if !found {
		return a
	}
	a.site, a.timeToLive = site.Name(), site.TimeToLive()
	f := finder{view: v, now: now, hash: mixBits(address >> clientShift(ipv6))}
	home, _ := c.Zone(site.Zone())
	f.addZone(&a, home)
	if a.count > 0 {
		return a
	}
	for _, sameRegion := range []bool{true, false} {
		f.addZones(&a, home, sameRegion)
		if a.count > 0 {
			return a
		}
	}
	return a
}

// clientShift returns how many bits to shift an address right to get the block
// that a drain moves as a unit: /24 for IPv4 and /48 for IPv6.
func clientShift(ipv6 bool) int {
	if ipv6 {
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

// addZone adds the available instances of a zone. The client's hash selects the
// first one, so that clients are distributed evenly.
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

// addZones adds instances of another zone, in the home region if sameRegion is
// set and outside it otherwise. The client's hash selects the zone, so that the
// clients of a failed zone are distributed evenly.
func (f finder) addZones(a *Answer, home dhcatalog.Zone, sameRegion bool) {
	count := 0
	f.eachZone(home, sameRegion, func(dhcatalog.Zone) bool {
		count++
		return true
	})
	for offset := range uint64(count) {
		skip := (f.hash + offset) % uint64(count)
		f.eachZone(home, sameRegion, func(z dhcatalog.Zone) bool {
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

// eachZone calls visit for the zones other than home, in the home region if
// sameRegion is set and outside it otherwise, until visit returns false.
func (f finder) eachZone(home dhcatalog.Zone, sameRegion bool, visit func(z dhcatalog.Zone) bool) {
	for _, z := range f.view.Catalog().Zones() {
		if z.Name() == home.Name() || (z.Region() == home.Region()) != sameRegion {
			continue
		}
		if !visit(z) {
			return
		}
	}
}

// drained reports whether a drain has moved this client away from the target.
func (f finder) drained(target dhcatalog.Ref) bool {
	d, found := f.view.Catalog().DrainOf(target)
	if !found {
		return false
	}
	share := d.MovedAfter(f.now.Since(f.view.DrainStart(d.Name())))
	return int(mixBits(f.hash)%100) < share
}

// mixBits hashes a value (the finalizer of MurmurHash3).
func mixBits(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	v ^= v >> 33
	return v
}
