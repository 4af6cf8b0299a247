package dhcatalog

import (
	"maps"
	"slices"
	"strconv"
)

// Catalog is one version of the configuration: all objects and client blocks.
// It is immutable and safe for concurrent use.
type Catalog struct {
	version uint64
	objects map[Ref]Object
	refs    refList // references of all objects
	blocks4 *blockTable[uint32]
	blocks6 *blockTable[uint64]
	// siteNumbers maps each site's name to a number that stays the same in
	// later versions; siteNames maps it back. Block tables store the number.
	siteNumbers map[string]uint16
	siteNames   []string
	index       *index
	revisions   map[Kind]uint64 // see Revision
}

// New returns the empty catalog, version 0.
func New() *Catalog {
	c := &Catalog{
		objects:     map[Ref]Object{},
		blocks4:     &blockTable[uint32]{},
		blocks6:     &blockTable[uint64]{},
		siteNumbers: map[string]uint16{},
	}
	c.index = newIndex(c)
	return c
}

// Version returns the catalog's version. Each applied change set raises it by
// 1.
func (c *Catalog) Version() uint64 { return c.version }

// Len returns the number of objects.
func (c *Catalog) Len() int { return len(c.objects) }

// BlockCount returns the number of client blocks.
func (c *Catalog) BlockCount() int { return c.blocks4.count + c.blocks6.count }

// Revision returns the newest version in which an object of one of the kinds changed; 0 if
// none ever did. Two versions of the configuration with the same revision have the same
// objects of these kinds.
func (c *Catalog) Revision(kinds ...Kind) uint64 {
	newest := uint64(0)
	for _, kind := range kinds {
		newest = max(newest, c.revisions[kind])
	}
	return newest
}

// revisionsAfter returns the revisions of the kinds after changes that lead to a version.
func (c *Catalog) revisionsAfter(version uint64, changes map[Kind][]string) map[Kind]uint64 {
	revisions := make(map[Kind]uint64, len(c.revisions)+len(changes))
	maps.Copy(revisions, c.revisions)
	for kind := range changes {
		revisions[kind] = version
	}
	return revisions
}

// Get returns the object with a reference, or nil if there is none.
func (c *Catalog) Get(ref Ref) Object { return c.objects[ref] }

// List returns the objects of a kind, sorted by name.
func (c *Catalog) List(kind Kind) []Object {
	var list []Object
	for _, r := range c.refs.of(kind) {
		list = append(list, c.objects[r])
	}
	return list
}

// EachBlock calls f with every client block and the name of its site, first the
// IPv4 blocks, then the IPv6 blocks, each in order of start address.
func (c *Catalog) EachBlock(f func(block Block, site string)) {
	c.blocks4.forEach(func(x blockEntry[uint32]) {
		f(Block{start: uint64(x.start) << ipv4Shift, bits: x.meta.bits()}, c.siteNames[x.meta.site()])
	})
	c.blocks6.forEach(func(x blockEntry[uint64]) {
		f(Block{start: x.start, bits: x.meta.bits(), ipv6: true}, c.siteNames[x.meta.site()])
	})
}

// ipv4Shift aligns an IPv4 address to the upper 32 bits of a 64-bit address.
const ipv4Shift = 32

// SiteOf returns the site for a client address: the site of the block that
// covers the address, else the default site. It returns false if there is
// neither.
func (c *Catalog) SiteOf(address uint64, ipv6 bool) (Site, bool) {
	var n uint16
	var found bool
	if ipv6 {
		n, found = c.blocks6.find(address)
	} else {
		n, found = c.blocks4.find(uint32(address >> ipv4Shift))
	}
	if found {
		return c.index.sites[n], true
	}
	return c.index.defaultSite, c.index.hasDefault
}

// Apply validates a change set against this catalog and returns the next
// version. Either all changes are applied or none. It returns a ConflictError
// if the change set's base is not this version, and an InvalidError with the
// problems found if the result would be invalid.
func (c *Catalog) Apply(s ChangeSet) (*Catalog, error) { return c.apply(s, checkObject) }

// Follow returns the next version, like Apply, after a change set that the voters have
// accepted. It accepts every record of an upstream: upstreams report their records
// themselves, and one that another release accepted must not keep this process from
// following the configuration. Users of such a record call CheckUpstream. It also accepts a
// declaration without its text.
func (c *Catalog) Follow(s ChangeSet) (*Catalog, error) {
	return c.apply(s, func(o Object, p *problems) {
		if kind := o.Ref().kind; kind != KindUpstream && kind != KindDeclaration {
			checkObject(o, p)
		}
	})
}

func (c *Catalog) apply(s ChangeSet, check func(o Object, p *problems)) (*Catalog, error) {
	if s.Base() != c.version {
		return nil, ConflictError{base: s.Base(), current: c.version}
	}
	p := &problems{}
	next := &Catalog{version: c.version + 1, objects: maps.Clone(c.objects)}
	checkHeader(s, p)
	next.applyObjects(s, check, p)
	next.refs = c.refs.updated(s, next.objects)
	next.checkReferences(s, p)
	next.assignSiteNumbers(c)
	next.applyBlocks(c, s, p)
	if err := p.err(); err != nil {
		return nil, err
	}
	changes := changedNames(s)
	next.index = next.reindexed(c.index, c.objects, changes)
	next.revisions = c.revisionsAfter(next.version, changes)
	next.checkUnique(changes, p)
	if err := p.err(); err != nil {
		return nil, err
	}
	return next, nil
}

// checkHeader checks the ID and author of a change set, and that it holds at
// least one change.
func checkHeader(s ChangeSet, p *problems) {
	ref := NewRef("changeSet", s.ID())
	p.requireName(ref, "id", s.ID())
	p.requireName(ref, "author", s.Author())
	if s.Empty() {
		p.add(ref, "puts", "no change", "put or delete at least one object or block")
	}
}

// applyObjects applies deletions, then puts, and checks the objects that are put. It
// reports an object that the change set names twice and a deleted object that doesn't
// exist.
func (c *Catalog) applyObjects(s ChangeSet, check func(o Object, p *problems), p *problems) {
	seen := map[Ref]bool{}
	for _, r := range s.Deletes() {
		if seen[r] {
			p.add(r, "deletes", "the object twice", "name each object once")
		}
		seen[r] = true
		if _, found := c.objects[r]; !found {
			p.add(r, "deletes", "no such object", "leave it out")
		}
		delete(c.objects, r)
	}
	for _, o := range s.Puts() {
		r := o.Ref()
		if seen[r] {
			p.add(r, "puts", "the object twice", "name each object once")
		}
		seen[r] = true
		check(o, p)
		c.objects[r] = o
	}
}

// checkReferences reports references to objects that don't exist. Without
// deletions only the objects that were put can have such a reference, so only
// those are checked.
func (c *Catalog) checkReferences(s ChangeSet, p *problems) {
	candidates := c.refs
	if len(s.Deletes()) == 0 {
		candidates = nil
		for _, o := range s.Puts() {
			candidates = append(candidates, o.Ref())
		}
		slices.SortFunc(candidates, compareRefs)
		candidates = slices.Compact(candidates)
	}
	for _, r := range candidates {
		for _, to := range c.objects[r].references() {
			if _, found := c.objects[to]; !found {
				p.add(r, string(to.kind), strconv.Quote(to.name)+", which does not exist",
					"put "+to.String()+" in the same change set, or refer to another")
			}
		}
	}
}

// assignSiteNumbers copies the site numbers of the previous version and assigns
// the next free numbers to new sites. Numbers of deleted sites are not reused.
func (c *Catalog) assignSiteNumbers(old *Catalog) {
	c.siteNumbers, c.siteNames = old.siteNumbers, old.siteNames
	cloned := false
	for _, r := range c.refs.of(KindSite) {
		if _, found := c.siteNumbers[r.name]; found {
			continue
		}
		if !cloned {
			c.siteNumbers, c.siteNames = maps.Clone(old.siteNumbers), slices.Clone(old.siteNames)
			cloned = true
		}
		c.siteNumbers[r.name] = uint16(len(c.siteNames))
		c.siteNames = append(c.siteNames, r.name)
	}
}

// applyBlocks derives the block tables from those of the previous version.
func (c *Catalog) applyBlocks(old *Catalog, s ChangeSet, p *problems) {
	var edits4 []blockEdit[uint32]
	var edits6 []blockEdit[uint64]
	for _, b := range s.Blocks() {
		meta, ok := c.resolveBlock(b, p)
		switch {
		case !ok:
		case b.block.ipv6:
			edits6 = append(edits6, blockEdit[uint64]{blockEntry[uint64]{b.block.start, meta}, b.site == ""})
		default:
			edits4 = append(edits4, blockEdit[uint32]{blockEntry[uint32]{uint32(b.block.start >> ipv4Shift), meta}, b.site == ""})
		}
	}
	ipv4 := func(start uint32) Block { return Block{start: uint64(start) << ipv4Shift} }
	ipv6 := func(start uint64) Block { return Block{start: start, ipv6: true} }
	c.blocks4 = old.blocks4.withEdits(edits4,
		func(start uint32) { p.addOverlap(ipv4(start)) }, func(start uint32) { p.addMissing(ipv4(start)) })
	c.blocks6 = old.blocks6.withEdits(edits6,
		func(start uint64) { p.addOverlap(ipv6(start)) }, func(start uint64) { p.addMissing(ipv6(start)) })
	if len(p.list) == 0 {
		c.checkBlockSites(old, p)
	}
}

func (p *problems) addOverlap(b Block) {
	p.add(NewRef("block", b.String()), "blocks", "overlaps another block", "split or remove the other block")
}

func (p *problems) addMissing(b Block) {
	p.add(NewRef("block", b.String()), "blocks", "no such block", "leave the removal out")
}

// resolveBlock checks a block change and returns the site number and prefix
// length for the block table; false if the change is invalid.
func (c *Catalog) resolveBlock(b BlockChange, p *problems) (blockMeta, bool) {
	ref := NewRef("block", b.block.String())
	if b.block.bits < 1 || b.block.bits > MaxBlockBits || !b.block.ipv6 && b.block.bits > 32 {
		p.add(ref, "bits", strconv.Itoa(int(b.block.bits)), "use 1 to 32 bits for IPv4 and 1 to 64 for IPv6")
		return 0, false
	}
	if b.site == "" {
		return newBlockMeta(b.block.bits, 0), true
	}
	if _, found := c.objects[NewRef(KindSite, b.site)]; !found {
		p.add(ref, "site", strconv.Quote(b.site)+", which does not exist", "put the site in the same change set, or name another")
		return 0, false
	}
	return newBlockMeta(b.block.bits, c.siteNumbers[b.site]), true
}

// checkBlockSites reports deleted sites that blocks are still assigned to.
func (c *Catalog) checkBlockSites(old *Catalog, p *problems) {
	deleted := map[uint16]string{}
	for _, r := range old.refs.of(KindSite) {
		if c.objects[r] == nil {
			deleted[c.siteNumbers[r.name]] = r.name
		}
	}
	if len(deleted) == 0 {
		return
	}
	check := func(m blockMeta) {
		if name, found := deleted[m.site()]; found {
			p.add(NewRef(KindSite, name), "deletes", "blocks that point to the site", "move its blocks to another site first")
			delete(deleted, m.site())
		}
	}
	c.blocks4.forEach(func(x blockEntry[uint32]) { check(x.meta) })
	c.blocks6.forEach(func(x blockEntry[uint64]) { check(x.meta) })
}
