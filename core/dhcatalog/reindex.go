package dhcatalog

import (
	"slices"
	"strings"
)

// changedNames returns the names of the objects that a change set puts or
// deletes, by kind.
func changedNames(s ChangeSet) map[Kind][]string {
	list := map[Kind][]string{}
	for _, o := range s.Puts() {
		r := o.Ref()
		list[r.kind] = append(list[r.kind], r.name)
	}
	for _, r := range s.Deletes() {
		list[r.kind] = append(list[r.kind], r.name)
	}
	return list
}

// newIndex returns the index of a catalog without objects.
func newIndex(c *Catalog) *index {
	x := &index{}
	for _, kind := range Kinds() {
		x.rebuild(kind, nil, c)
	}
	return x
}

// reindexed returns the index of a catalog, derived from the index of the
// previous version and the names of objects that changed since, by kind. Kinds
// without changes share their part of the index with the previous version.
func (c *Catalog) reindexed(old *index, changes map[Kind][]string) *index {
	next := *old
	for kind, names := range changes {
		next.rebuild(kind, names, c)
	}
	return &next
}

// rebuild computes the part of the index for one kind, given the names of the
// objects that changed. Only upstreams use the names: the other kinds are
// recomputed from all objects.
func (x *index) rebuild(kind Kind, names []string, c *Catalog) {
	if kind == KindUpstream {
		x.updateUpstreams(c, names)
		return
	}
	list := c.List(kind)
	switch kind {
	case KindKey:
		x.keysByHash = indexBy(list, Key.Hash)
	case KindRoute:
		x.routesByHost = map[string]*routeTable{}
		forEach(list, x.addRoute)
	case KindOrganisation:
		x.longestStaleGrace = 0
		forEach(list, func(o Organisation) { x.longestStaleGrace = max(x.longestStaleGrace, o.StaleGrace()) })
	case KindEvacuation:
		x.evacuatedZones = map[string]bool{}
		forEach(list, func(o Evacuation) { x.evacuatedZones[o.Zone()] = true })
	case KindInstance:
		x.instancesByZone = map[string][]Instance{}
		forEach(list, func(o Instance) { x.instancesByZone[o.Zone()] = append(x.instancesByZone[o.Zone()], o) })
	case KindZone:
		x.zones = nil
		forEach(list, func(o Zone) { x.zones = append(x.zones, o) })
	case KindDrain:
		x.drainsByTarget = indexBy(list, Drain.Target)
	case KindObjective:
		x.objectives = nil
		forEach(list, func(o Objective) { x.objectives = append(x.objectives, o) })
	case KindLink:
		x.links = nil
		forEach(list, func(o Link) { x.links = append(x.links, o) })
	case KindSite:
		x.rebuildSites(list, c)
	default:
		// Services, limits and the declaration are looked up by name only,
		// which needs no index.
	}
}

// rebuildSites lists the sites by number, so that a look-up of an address needs
// no map.
func (x *index) rebuildSites(list []Object, c *Catalog) {
	x.sites = make([]Site, len(c.siteNames))
	x.defaultSite, x.hasDefault = Site{}, false
	forEach(list, func(o Site) {
		x.sites[c.siteNumbers[o.Name()]] = o
		if o.Default() && !x.hasDefault {
			x.defaultSite, x.hasDefault = o, true
		}
	})
}

func forEach[T Object](list []Object, f func(T)) {
	for _, o := range list {
		f(o.(T))
	}
}

// indexBy returns a map of objects by a key.
func indexBy[K comparable, T Object](list []Object, key func(T) K) map[K]T {
	m := make(map[K]T, len(list))
	forEach(list, func(o T) { m[key(o)] = o })
	return m
}

// updateUpstreams replaces only the named upstreams in the index: in a large
// cluster upstreams change far more often than any other kind.
func (x *index) updateUpstreams(c *Catalog, names []string) {
	changed := make(map[string]bool, len(names))
	var current []Upstream
	for _, name := range names {
		changed[name] = true
		if u, found := c.objects[NewRef(KindUpstream, name)].(Upstream); found {
			current = append(current, u)
		}
	}
	x.upstreamsByService = updateUpstreamLists(x.upstreamsByService, changed, current, Upstream.Service)
	x.upstreamsByAddress = updateUpstreamLists(x.upstreamsByAddress, changed, current, Upstream.Address)
}

// updateUpstreamLists returns lists of upstreams by some key, in which the
// changed upstreams are replaced by their current records. Each list is sorted
// by name. Lists without changes are shared with the previous version.
func updateUpstreamLists(old map[string][]Upstream, changed map[string]bool, current []Upstream, key func(Upstream) string) map[string][]Upstream {
	isChanged := func(u Upstream) bool { return changed[u.Name()] }
	next := make(map[string][]Upstream, len(old)+1)
	for k, list := range old {
		if slices.ContainsFunc(list, isChanged) {
			list = slices.DeleteFunc(slices.Clone(list), isChanged)
		}
		if len(list) > 0 {
			next[k] = list
		}
	}
	added := map[string][]Upstream{}
	for _, u := range current {
		added[key(u)] = append(added[key(u)], u)
	}
	for k, list := range added {
		next[k] = slices.Concat(next[k], list)
		slices.SortFunc(next[k], func(a, b Upstream) int { return strings.Compare(a.Name(), b.Name()) })
	}
	return next
}
