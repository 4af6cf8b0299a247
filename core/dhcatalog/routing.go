package dhcatalog

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
)

// routeTable finds the route with the longest prefix of a path. Prefixes that
// end with a slash are looked up by truncating the path at each slash, so that
// the time doesn't grow with the number of routes.
type routeTable struct {
	// terminated maps prefixes that end with a slash to their routes.
	terminated map[string]Route
	// unterminated holds the routes whose prefix doesn't end with a slash, the
	// longest prefix first.
	unterminated []Route
}

func (x *index) addRoute(r Route) {
	t, found := x.routesByHost[r.Host()]
	if !found {
		t = &routeTable{terminated: map[string]Route{}}
		x.routesByHost[r.Host()] = t
	}
	if strings.HasSuffix(r.PathPrefix(), "/") {
		t.terminated[r.PathPrefix()] = r
		return
	}
	t.unterminated = append(t.unterminated, r)
	slices.SortStableFunc(t.unterminated, func(a, b Route) int {
		return cmp.Compare(len(b.PathPrefix()), len(a.PathPrefix()))
	})
}

func (t *routeTable) find(path string) (Route, bool) {
	if t == nil {
		return Route{}, false
	}
	best, found := t.findTerminated(path)
	for _, r := range t.unterminated {
		if len(r.PathPrefix()) <= len(best.PathPrefix()) {
			break
		}
		if strings.HasPrefix(path, r.PathPrefix()) {
			return r, true
		}
	}
	return best, found
}

// findTerminated returns the route with the longest matching prefix among those
// that end with a slash.
func (t *routeTable) findTerminated(path string) (Route, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := t.terminated[path[:end+1]]; found {
			return r, true
		}
	}
	return Route{}, false
}

// RouteFor returns the route with the longest matching path prefix. Routes of
// the given host come first; if none of them matches, routes without a host
// apply. The path is that of the request as it is forwarded, with its percent-encoding: an encoded
// slash isn't a slash, and dot segments are no instruction to anyone before the upstream.
func (c *Catalog) RouteFor(host, path string) (Route, bool) {
	if r, found := c.index.routesByHost[host].find(path); found {
		return r, true
	}
	if host == "" {
		return Route{}, false
	}
	return c.index.routesByHost[""].find(path)
}

// UpstreamsOf returns the registered upstreams of a service, sorted by name.
// The caller must not change the slice.
func (c *Catalog) UpstreamsOf(service string) []Upstream { return c.index.upstreamsByService[service] }

// UpstreamsAt returns the upstreams registered with an address, sorted by name:
// several, if upstreams used the address one after another. The caller must not
// change the slice.
func (c *Catalog) UpstreamsAt(address string) []Upstream { return c.index.upstreamsByAddress[address] }

// RegisteredServices returns the services that have registered upstreams,
// sorted.
func (c *Catalog) RegisteredServices() []string {
	list := make([]string, 0, len(c.index.upstreamsByService))
	for name := range c.index.upstreamsByService {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Evacuated reports whether a zone is evacuated, so that its upstreams receive
// no requests.
func (c *Catalog) Evacuated(zone string) bool { return c.index.evacuatedZones[zone] }

// RegionOf returns the region of a zone, or "" if the zone doesn't exist.
func (c *Catalog) RegionOf(zone string) string {
	z, _ := c.Zone(zone)
	return z.Region()
}

// equalObjects reports whether two objects have the same type and fields.
func equalObjects(a, b Object) bool { return reflect.DeepEqual(a, b) }
