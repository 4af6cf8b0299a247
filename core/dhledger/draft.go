package dhledger

import "dogwoodhitch/core/dhcatalog"

// editDraft is what an edit has led to so far, on top of a catalog.
type editDraft struct {
	catalog *dhcatalog.Catalog
	changed map[dhcatalog.Ref]dhcatalog.Object
	order   []dhcatalog.Ref // of the first change of each
}

func (d *editDraft) put(o dhcatalog.Object) {
	r := o.Ref()
	if _, again := d.changed[r]; !again {
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

// deletes returns which of some objects are to be deleted: those that exist and
// weren't put, each once.
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

func (d *editDraft) upstream(r dhcatalog.Ref) (dhcatalog.Upstream, bool) {
	o, changed := d.changed[r]
	if !changed {
		o = d.catalog.Get(r)
	}
	u, found := o.(dhcatalog.Upstream)
	return u, found
}

// upstreamsAt returns the records of upstreams at an address.
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

// acceptUpstream tells whether an upstream's word is newer than the record that is
// kept. An upstream that starts at the address of an older lifetime under
// another name takes its place; an older lifetime that says it is ready is late.
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
