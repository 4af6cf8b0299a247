package dhcatalog

import (
	"maps"
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
		x.rebuild(kind, c)
	}
	x.updateUpstreams(nil, nil, nil)
	return x
}

// reindexed returns the index of a catalog, derived from the index and the objects of the
// previous version and the names of objects that changed since, by kind. Kinds
// without changes share their part of the index with the previous version.
func (c *Catalog) reindexed(old *index, oldObjects map[Ref]Object, changes map[Kind][]string) *index {
	next := *old
	for kind, names := range changes {
		if kind == KindUpstream {
			next.updateUpstreams(oldObjects, c.objects, names)
			continue
		}
		next.rebuild(kind, c)
	}
	return &next
}

// rebuild computes the part of the index for one kind from all objects.
func (x *index) rebuild(kind Kind, c *Catalog) {
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
func (x *index) updateUpstreams(oldObjects, objects map[Ref]Object, names []string) {
	var before, after []Upstream
	for _, name := range names {
		if u, found := oldObjects[NewRef(KindUpstream, name)].(Upstream); found {
			before = append(before, u)
		}
		if u, found := objects[NewRef(KindUpstream, name)].(Upstream); found {
			after = append(after, u)
		}
	}
	x.upstreamsByService = updateUpstreamLists(x.upstreamsByService, before, after, Upstream.Service)
	x.upstreamsByAddress = updateUpstreamLists(x.upstreamsByAddress, before, after, Upstream.Address)
}

// updateUpstreamLists returns lists of upstreams by some key, in which the records of the
// changed upstreams before the change are replaced by those after it. Each list is sorted
// by name. Lists without changes are shared with the previous version.
func updateUpstreamLists(old map[string][]Upstream, before, after []Upstream, key func(Upstream) string) map[string][]Upstream {
	next := maps.Clone(old)
	if next == nil {
		next = map[string][]Upstream{}
	}
	removed := map[string]map[string]bool{}
	for _, u := range before {
		names, found := removed[key(u)]
		if !found {
			names = map[string]bool{}
			removed[key(u)] = names
		}
		names[u.Name()] = true
	}
	for k, names := range removed {
		list := slices.DeleteFunc(slices.Clone(next[k]), func(u Upstream) bool { return names[u.Name()] })
		if next[k] = list; len(list) == 0 {
			delete(next, k)
		}
	}
	added := map[string][]Upstream{}
	for _, u := range after {
		added[key(u)] = append(added[key(u)], u)
	}
	for k, list := range added {
		next[k] = slices.Concat(next[k], list)
		slices.SortFunc(next[k], func(a, b Upstream) int { return strings.Compare(a.Name(), b.Name()) })
	}
	return next
}
