package dhcatalog

import (
	"maps"
	"slices"
	"strings"
)

// touched returns what a change set alters, by kind.
func touched(s ChangeSet) map[Kind][]string {
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

// reindexed returns the index of a catalog, given that of the version before
// and what has changed since. What hasn't changed is shared with that version.
// Without changes all of it is built.
func (c *Catalog) reindexed(old *index, changes map[Kind][]string) *index {
	next := *old
	x := &next
	for _, kind := range Kinds() {
		names, changed := changes[kind]
		switch {
		case changes != nil && !changed:
		case kind == KindUpstream:
			x.replaceUpstreams(c, names)
		default:
			x.rebuild(kind, c)
		}
	}
	return x
}

// rebuild builds the part of the index for one kind.
func (x *index) rebuild(kind Kind, c *Catalog) {
	list := c.List(kind)
	switch kind {
	case KindKey:
		x.keys = indexBy(list, Key.Hash)
	case KindRoute:
		x.routes = map[string]*routeTable{}
		each(list, x.addRoute)
	case KindOrganisation:
		x.grace = 0
		each(list, func(o Organisation) { x.grace = max(x.grace, o.StaleGrace()) })
	case KindEvacuation:
		x.evacuations = map[string]bool{}
		each(list, func(o Evacuation) { x.evacuations[o.Zone()] = true })
	case KindInstance:
		x.instances = map[string][]Instance{}
		each(list, func(o Instance) { x.instances[o.Zone()] = append(x.instances[o.Zone()], o) })
	case KindZone:
		x.zones = nil
		each(list, func(o Zone) { x.zones = append(x.zones, o) })
	case KindDrain:
		x.drains = indexBy(list, Drain.Target)
	case KindObjective:
		x.objectives = nil
		each(list, func(o Objective) { x.objectives = append(x.objectives, o) })
	case KindLink:
		x.links = nil
		each(list, func(o Link) { x.links = append(x.links, o) })
	case KindSite:
		x.rebuildSites(list, c)
	default:
		// Services, limits and the declaration are found by name alone.
	}
}

// rebuildSites lists the sites by number, so that a look-up needs no map.
func (x *index) rebuildSites(list []Object, c *Catalog) {
	x.sites = make([]Site, len(c.siteNames))
	x.defaultSite, x.hasDefault = Site{}, false
	each(list, func(o Site) {
		x.sites[c.siteNumbers[o.Name()]] = o
		if o.Default() && !x.hasDefault {
			x.defaultSite, x.hasDefault = o, true
		}
	})
}

func each[T Object](list []Object, f func(T)) {
	for _, o := range list {
		f(o.(T))
	}
}

func indexBy[K comparable, T Object](list []Object, key func(T) K) map[K]T {
	m := make(map[K]T, len(list))
	each(list, func(o T) { m[key(o)] = o })
	return m
}

// replaceUpstreams brings some upstreams up to date. In a large fleet they
// change far more often than anything else.
func (x *index) replaceUpstreams(c *Catalog, names []string) {
	x.upstreams = replaceIn(x.upstreams, c, names, Upstream.Service)
	x.addresses = replaceIn(x.addresses, c, names, Upstream.Address)
}

// replaceIn returns lists of upstreams by some key, each sorted by name, after
// the named upstreams have changed.
func replaceIn(old map[string][]Upstream, c *Catalog, names []string, key func(Upstream) string) map[string][]Upstream {
	changed := make(map[string]bool, len(names))
	for _, name := range names {
		changed[name] = true
	}
	next := make(map[string][]Upstream, len(old)+1)
	for k, list := range old {
		kept := list
		if slices.ContainsFunc(list, func(u Upstream) bool { return changed[u.Name()] }) {
			kept = make([]Upstream, 0, len(list))
			for _, u := range list {
				if !changed[u.Name()] {
					kept = append(kept, u)
				}
			}
		}
		if len(kept) > 0 {
			next[k] = kept
		}
	}
	grown := map[string]bool{}
	for name := range changed {
		u, found := c.objects[NewRef(KindUpstream, name)].(Upstream)
		if !found {
			continue
		}
		k := key(u)
		if !grown[k] {
			grown[k] = true
			next[k] = slices.Clip(next[k])
		}
		next[k] = append(next[k], u)
	}
	for k := range maps.Keys(grown) {
		slices.SortFunc(next[k], func(a, b Upstream) int { return strings.Compare(a.Name(), b.Name()) })
	}
	return next
}
