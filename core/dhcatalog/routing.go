package dhcatalog

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
)

// routeTable finds the route with the longest prefix of a path. Prefixes that
// end with a slash are found by cutting the path at its slashes, so that the
// time doesn't grow with the number of routes.
type routeTable struct {
	byPrefix map[string]Route
	// ragged are the routes whose prefix doesn't end with a slash, the longest
	// first.
	ragged []Route
}

func (x *index) addRoute(r Route) {
	t, found := x.routes[r.Host()]
	if !found {
		t = &routeTable{byPrefix: map[string]Route{}}
		x.routes[r.Host()] = t
	}
	if strings.HasSuffix(r.PathPrefix(), "/") {
		t.byPrefix[r.PathPrefix()] = r
		return
	}
	t.ragged = append(t.ragged, r)
	slices.SortStableFunc(t.ragged, func(a, b Route) int {
		return cmp.Compare(len(b.PathPrefix()), len(a.PathPrefix()))
	})
}

func (t *routeTable) find(path string) (Route, bool) {
	if t == nil {
		return Route{}, false
	}
	best, found := t.findWhole(path)
	for _, r := range t.ragged {
		if len(r.PathPrefix()) <= len(best.PathPrefix()) {
			break
		}
		if strings.HasPrefix(path, r.PathPrefix()) {
			return r, true
		}
	}
	return best, found
}

// findWhole looks among the prefixes that end with a slash.
func (t *routeTable) findWhole(path string) (Route, bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, found := t.byPrefix[path[:end+1]]; found {
			return r, true
		}
	}
	return Route{}, false
}

// RouteFor returns the route with the longest prefix of a path, among those of
// the host if there is one, else among those of any host.
func (c *Catalog) RouteFor(host, path string) (Route, bool) {
	if r, found := c.index.routes[host].find(path); found {
		return r, true
	}
	if host == "" {
		return Route{}, false
	}
	return c.index.routes[""].find(path)
}

// UpstreamsOf returns the registered upstreams of a service, sorted by name.
// The caller must not change the slice.
func (c *Catalog) UpstreamsOf(service string) []Upstream { return c.index.upstreams[service] }

// UpstreamsAt returns the records of upstreams at an address. The caller must
// not change the slice.
func (c *Catalog) UpstreamsAt(address string) []Upstream { return c.index.addresses[address] }

// RegisteredServices returns the services that have registered upstreams,
// sorted.
func (c *Catalog) RegisteredServices() []string {
	list := make([]string, 0, len(c.index.upstreams))
	for name := range c.index.upstreams {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Evacuated tells whether the upstreams of a zone get no requests.
func (c *Catalog) Evacuated(zone string) bool { return c.index.evacuations[zone] }

// RegionOf returns the region of a zone, or "" if the zone isn't known.
func (c *Catalog) RegionOf(zone string) string {
	z, _ := c.Zone(zone)
	return z.Region()
}

// same tells whether two objects say the same.
func same(a, b Object) bool { return reflect.DeepEqual(a, b) }
