package dhcatalog

import (
	"strconv"

	"dogwoodhitch/core/dhclock"
)

// index holds the look-up tables for requests, which are computed once per
// version.
type index struct {
	keysByHash         map[Hash]Key
	routesByHost       map[string]*routeTable
	upstreamsByService map[string][]Upstream
	upstreamsByAddress map[string][]Upstream
	evacuatedZones     map[string]bool
	longestStaleGrace  dhclock.Millis // maximum StaleGrace of all organisations
	instancesByZone    map[string][]Instance
	zones              []Zone
	drainsByTarget     map[Ref]Drain
	objectives         []Objective
	links              []Link
	sites              []Site
	defaultSite        Site
	hasDefault         bool
}

// checkUnique reports objects that must not exist together, such as two keys
// with one hash, and objects whose validity depends on the zones or sites. It
// skips the check if only upstreams changed, because no rule here concerns
// them.
func (c *Catalog) checkUnique(changes map[Kind][]string, p *problems) {
	if _, upstreams := changes[KindUpstream]; upstreams && len(changes) == 1 {
		return
	}
	hashes := map[Hash]string{}
	limits := map[string]string{}
	prefixes := map[string]string{}
	drains := map[Ref]string{}
	links := map[[2]string]string{}
	defaultSite := ""
	for _, r := range c.refs {
		switch o := c.objects[r].(type) {
		case Key:
			p.requireUnique(r, "hash", hashes[o.Hash()], "choose another secret")
			hashes[o.Hash()] = r.name
		case Limit:
			p.requireUnique(r, "organisation", limits[o.Organisation()], "keep one limit an organisation")
			limits[o.Organisation()] = r.name
		case Route:
			prefix := o.Host() + o.PathPrefix()
			p.requireUnique(r, "pathPrefix", prefixes[prefix], "choose another prefix")
			prefixes[prefix] = r.name
		case Drain:
			p.requireUnique(r, "target", drains[o.Target()], "keep one drain a target")
			drains[o.Target()] = r.name
			c.checkDrain(o, p)
		case Link:
			c.checkLink(o, links, p)
		case Site:
			if o.Default() {
				p.requireUnique(r, "default", defaultSite, "make one site the default")
				defaultSite = r.name
			}
		}
	}
}

// requireUnique adds a problem if another object, named by other, has the same
// value in a field.
func (p *problems) requireUnique(r Ref, field, other, remedy string) {
	if other != "" {
		p.add(r, field, "the same as "+string(r.kind)+"/"+other, remedy)
	}
}

// KeyByHash returns the key with a hash; false if there is none.
func (c *Catalog) KeyByHash(h Hash) (Key, bool) {
	k, found := c.index.keysByHash[h]
	return k, found
}

// Organisation returns an organisation by name; false if there is none.
func (c *Catalog) Organisation(name string) (Organisation, bool) {
	o, found := c.objects[NewRef(KindOrganisation, name)].(Organisation)
	return o, found
}

// LongestStaleGrace returns the maximum StaleGrace of all organisations, in
// milliseconds. When the freshness lease and this time have passed, an instance
// that is cut off serves no organisation's keyed routes.
func (c *Catalog) LongestStaleGrace() dhclock.Millis { return c.index.longestStaleGrace }

// Service returns a service by name; false if there is none.
func (c *Catalog) Service(name string) (Service, bool) {
	s, found := c.objects[NewRef(KindService, name)].(Service)
	return s, found
}

// InstancesIn returns the declared instances of a zone, sorted by name. The
// caller must not change the slice.
func (c *Catalog) InstancesIn(zone string) []Instance { return c.index.instancesByZone[zone] }

// InstanceCount returns the number of declared instances.
func (c *Catalog) InstanceCount() int {
	n := 0
	for _, l := range c.index.instancesByZone {
		n += len(l)
	}
	return n
}

// Zone returns a zone by name; false if there is none.
func (c *Catalog) Zone(name string) (Zone, bool) {
	z, found := c.objects[NewRef(KindZone, name)].(Zone)
	return z, found
}

// Instance returns an instance by name; false if there is none.
func (c *Catalog) Instance(name string) (Instance, bool) {
	i, found := c.objects[NewRef(KindInstance, name)].(Instance)
	return i, found
}

// checkDrain reports a drain of a region without zones, and a drain whose ramp
// ends while clients may still cache look-ups of its target.
func (c *Catalog) checkDrain(d Drain, p *problems) {
	zones := c.drainedZones(d.Target())
	if len(zones) == 0 {
		p.add(d.Ref(), "target", strconv.Quote(d.Target().Name())+", which no zone is in", "name a region of a zone")
	}
	if d.Paused() || d.MovedPercent() == 100 {
		return
	}
	for _, s := range c.index.sites {
		if zones[s.Zone()] && d.Ramp() < s.TimeToLive() {
			p.add(d.Ref(), "rampMs", strconv.FormatInt(d.Ramp().Milliseconds(), 10),
				"choose at least the time to live of site "+s.Name()+", "+
					strconv.FormatInt(s.TimeToLive().Milliseconds(), 10)+" ms")
		}
	}
}

// drainedZones returns the zones that a drain of the target affects: the zone
// itself, the zones of a region, or the zone of an instance.
func (c *Catalog) drainedZones(target Ref) map[string]bool {
	zones := map[string]bool{}
	for _, z := range c.index.zones {
		if target == z.Ref() || target == NewRef(KindRegion, z.Region()) {
			zones[z.Name()] = true
		}
	}
	if i, found := c.Instance(target.Name()); found && target.Kind() == KindInstance {
		zones[i.Zone()] = true
	}
	return zones
}

// Zones returns the zones, sorted by name. The caller must not change the
// slice.
func (c *Catalog) Zones() []Zone { return c.index.zones }

// Objectives returns the objectives, sorted by name. The caller must not
// change the slice.
func (c *Catalog) Objectives() []Objective { return c.index.objectives }

// DrainOf returns the drain whose target is the given region, zone or instance;
// false if there is none.
func (c *Catalog) DrainOf(target Ref) (Drain, bool) {
	if len(c.index.drainsByTarget) == 0 {
		return Drain{}, false
	}
	d, found := c.index.drainsByTarget[target]
	return d, found
}

// Drains returns every drain, sorted by name.
func (c *Catalog) Drains() []Drain {
	if len(c.index.drainsByTarget) == 0 {
		return nil
	}
	var list []Drain
	for _, o := range c.List(KindDrain) {
		list = append(list, o.(Drain))
	}
	return list
}

// LongestTimeToLive returns the longest time for which clients may cache
// look-up answers that name a region, zone or instance, in milliseconds.
func (c *Catalog) LongestTimeToLive(target Ref) dhclock.Millis {
	zones := c.drainedZones(target)
	longest := dhclock.Millis(0)
	for _, s := range c.index.sites {
		if zones[s.Zone()] {
			longest = max(longest, s.TimeToLive())
		}
	}
	return longest
}
