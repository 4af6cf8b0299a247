package dhledger

import "dogwoodhitch/core/dhcatalog"

// editDraft collects the objects that an edit puts, on top of a catalog.
type editDraft struct {
	catalog *dhcatalog.Catalog
	changed map[dhcatalog.Ref]dhcatalog.Object
	order   []dhcatalog.Ref // keys of changed, in the order of their first change
}

func (d *editDraft) put(o dhcatalog.Object) {
	r := o.Ref()
	if _, found := d.changed[r]; !found {
		d.order = append(d.order, r)
	}
	d.changed[r] = o
}

func (d *editDraft) puts() []dhcatalog.Object {
	var list []dhcatalog.Object
	for _, r := range d.order {
		list = append(list, d.changed[r])
	}
	return list
}

// deletes returns the references to delete: those of objects that exist in the
// catalog and that the edit doesn't put, without duplicates.
func (d *editDraft) deletes(refs []dhcatalog.Ref) []dhcatalog.Ref {
	seen := map[dhcatalog.Ref]bool{}
	var list []dhcatalog.Ref
	for _, r := range refs {
		if _, put := d.changed[r]; put || seen[r] || d.catalog.Get(r) == nil {
			continue
		}
		seen[r] = true
		list = append(list, r)
	}
	return list
}

// upstream returns the record of an upstream, as the edit left it or else as
// the catalog holds it.
func (d *editDraft) upstream(r dhcatalog.Ref) (dhcatalog.Upstream, bool) {
	o, changed := d.changed[r]
	if !changed {
		o = d.catalog.Get(r)
	}
	u, found := o.(dhcatalog.Upstream)
	return u, found
}

// upstreamsAt returns the upstreams at an address, including the edit's
// changes.
func (d *editDraft) upstreamsAt(address string) []dhcatalog.Upstream {
	var list []dhcatalog.Upstream
	for _, u := range d.catalog.UpstreamsAt(address) {
		if _, changed := d.changed[u.Ref()]; !changed {
			list = append(list, u)
		}
	}
	for _, r := range d.order {
		if u, ok := d.changed[r].(dhcatalog.Upstream); ok && u.Address() == address {
			list = append(list, u)
		}
	}
	return list
}

// acceptUpstream reports whether an upstream's record supersedes the stored
// one. Only one process uses an address at a time, so an accepted record also
// sets the upstreams of other names with earlier incarnations at its address to
// UpstreamGone. A ready record arrives late and is rejected if an upstream of
// another name at its address has a later incarnation.
func (d *editDraft) acceptUpstream(u dhcatalog.Upstream) bool {
	if old, found := d.upstream(u.Ref()); found && !u.Supersedes(old) {
		return false
	}
	var displaced []dhcatalog.Upstream
	for _, v := range d.upstreamsAt(u.Address()) {
		switch {
		case v.Name() == u.Name():
		case v.Incarnation() > u.Incarnation():
			if u.State() == dhcatalog.UpstreamReady {
				return false
			}
		case v.State() != dhcatalog.UpstreamGone:
			displaced = append(displaced, v)
		}
	}
	for _, v := range displaced {
		d.put(v.WithState(dhcatalog.UpstreamGone))
	}
	return true
}
