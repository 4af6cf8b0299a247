package dhcatalog

import (
	"maps"
	"slices"
	"strconv"
)

// Catalog is one version of all objects and client blocks. It is immutable
// and safe to read from any goroutine.
type Catalog struct {
	version uint64
	objects map[Ref]Object
	refs    refList // of all objects
	blocks4 *blockTable[uint32]
	blocks6 *blockTable[uint64]
	// siteNumbers gives each site a number that is stable between versions.
	siteNumbers map[string]uint16
	siteNames   []string
	index       *index
}

// New returns the empty catalog, which is version 0.
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

// Version returns the number of the change set that made this catalog.
func (c *Catalog) Version() uint64 { return c.version }

// Len returns the number of objects.
func (c *Catalog) Len() int { return len(c.objects) }

// BlockCount returns the number of client blocks.
func (c *Catalog) BlockCount() int { return c.blocks4.count + c.blocks6.count }

// Get returns an object, or nil.
func (c *Catalog) Get(ref Ref) Object { return c.objects[ref] }

// List returns the objects of a kind, sorted by name.
func (c *Catalog) List(kind Kind) []Object {
	var list []Object
	for _, r := range c.refs.of(kind) {
		list = append(list, c.objects[r])
	}
	return list
}

// EachBlock calls f for every client block and the name of its site.
func (c *Catalog) EachBlock(f func(block Block, site string)) {
	c.blocks4.forEach(func(x blockEntry[uint32]) {
		f(Block{start: uint64(x.start) << ipv4Shift, bits: x.meta.bits()}, c.siteNames[x.meta.site()])
	})
	c.blocks6.forEach(func(x blockEntry[uint64]) {
		f(Block{start: x.start, bits: x.meta.bits(), ipv6: true}, c.siteNames[x.meta.site()])
	})
}

// ipv4Shift aligns an IPv4 address to the left of 64 bits.
const ipv4Shift = 32

// SiteOf returns the site for a client address: that of the block that covers
// it, or the default site. It returns false where there is neither.
func (c *Catalog) SiteOf(address uint64, six bool) (Site, bool) {
	var n uint16
	var found bool
	if six {
		n, found = c.blocks6.find(address)
	} else {
		n, found = c.blocks4.find(uint32(address >> ipv4Shift))
	}
	if found {
		return c.index.sites[n], true
	}
	return c.index.defaultSite, c.index.hasDefault
}

// Apply checks a change set against this catalog as a whole and returns the
// next version. It returns a ConflictError for another base version and an
// InvalidError with every problem found.
func (c *Catalog) Apply(s ChangeSet) (*Catalog, error) {
	if s.Base() != c.version {
		return nil, ConflictError{base: s.Base(), current: c.version}
	}
	p := &problems{}
	next := &Catalog{version: c.version + 1, objects: maps.Clone(c.objects)}
	checkHeader(s, p)
	next.applyObjects(s, p)
	next.refs = c.refs.updated(s, next.objects)
	next.checkReferences(s, p)
	next.assignSiteNumbers(c)
	next.applyBlocks(c, s, p)
	if err := p.err(); err != nil {
		return nil, err
	}
	changes := changedNames(s)
	next.index = next.reindexed(c.index, changes)
	next.checkUnique(changes, p)
	if err := p.err(); err != nil {
		return nil, err
	}
	return next, nil
}

func checkHeader(s ChangeSet, p *problems) {
	head := NewRef("changeSet", s.ID())
	p.requireName(head, "id", s.ID())
	p.requireName(head, "author", s.Author())
	if s.Empty() {
		p.add(head, "puts", "no change", "put or delete at least one object or block")
	}
}

func (c *Catalog) applyObjects(s ChangeSet, p *problems) {
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
		p.requireName(r, "name", r.name)
		o.check(p)
		c.objects[r] = o
	}
}

// checkReferences refuses references to objects that don't exist. Without
// deletions only what was put can have such a reference.
func (c *Catalog) checkReferences(s ChangeSet, p *problems) {
	suspects := c.refs
	if len(s.Deletes()) == 0 {
		suspects = nil
		for _, o := range s.Puts() {
			suspects = append(suspects, o.Ref())
		}
		slices.SortFunc(suspects, compareRefs)
		suspects = slices.Compact(suspects)
	}
	for _, r := range suspects {
		for _, to := range c.objects[r].references() {
			if _, found := c.objects[to]; !found {
				p.add(r, string(to.kind), strconv.Quote(to.name)+", which does not exist",
					"put "+to.String()+" in the same change set, or refer to another")
			}
		}
	}
}

// assignSiteNumbers keeps the numbers of old sites and gives new sites new ones.
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
	four := func(start uint32) Block { return Block{start: uint64(start) << ipv4Shift} }
	six := func(start uint64) Block { return Block{start: start, ipv6: true} }
	c.blocks4 = old.blocks4.withEdits(edits4,
		func(start uint32) { p.addOverlap(four(start)) }, func(start uint32) { p.addMissing(four(start)) })
	c.blocks6 = old.blocks6.withEdits(edits6,
		func(start uint64) { p.addOverlap(six(start)) }, func(start uint64) { p.addMissing(six(start)) })
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

// resolveBlock checks a change of a block and returns what the table keeps of
// it.
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

// checkBlockSites refuses to delete a site that blocks still point to.
func (c *Catalog) checkBlockSites(old *Catalog, p *problems) {
	gone := map[uint16]string{}
	for _, r := range old.refs.of(KindSite) {
		if c.objects[r] == nil {
			gone[c.siteNumbers[r.name]] = r.name
		}
	}
	if len(gone) == 0 {
		return
	}
	check := func(m blockMeta) {
		if name, found := gone[m.site()]; found {
			p.add(NewRef(KindSite, name), "deletes", "blocks that point to the site", "move its blocks to another site first")
			delete(gone, m.site())
		}
	}
	c.blocks4.forEach(func(x blockEntry[uint32]) { check(x.meta) })
	c.blocks6.forEach(func(x blockEntry[uint64]) { check(x.meta) })
}

// Restore rebuilds a catalog from a stored version. The content was checked
// when it was accepted, so a problem means a damaged copy and is returned.
func Restore(version uint64, objects []Object, blocks []BlockChange) (*Catalog, error) {
	if version == 0 {
		return New(), nil
	}
	empty := New()
	if len(objects) == 0 && len(blocks) == 0 {
		empty.version = version
		return empty, nil
	}
	next, err := empty.Apply(NewChangeSet(ChangeSetOptions{
		ID: "restore", Author: "restore", Puts: objects, Blocks: blocks,
	}))
	if err != nil {
		return nil, err
	}
	next.version = version
	return next, nil
}
