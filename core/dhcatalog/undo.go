package dhcatalog

import "slices"

// Undo returns the inverse of a change set: the change set that leads from the
// version after s back to this one. It puts the objects and blocks that s
// replaces or deletes, and deletes those that s creates.
func (c *Catalog) Undo(s ChangeSet) ChangeSet {
	var o ChangeSetOptions
	for _, x := range s.Puts() {
		if old, found := c.objects[x.Ref()]; found {
			o.Puts = append(o.Puts, old)
			continue
		}
		o.Deletes = append(o.Deletes, x.Ref())
	}
	for _, r := range s.Deletes() {
		if old, found := c.objects[r]; found {
			o.Puts = append(o.Puts, old)
		}
	}
	for _, b := range s.Blocks() {
		o.Blocks = append(o.Blocks, NewBlockChange(b.block, c.siteOfBlock(b.block)))
	}
	return NewChangeSet(o)
}

// siteOfBlock returns the site that exactly this block is assigned to, or "".
func (c *Catalog) siteOfBlock(b Block) string {
	var meta blockMeta
	var found bool
	if b.ipv6 {
		meta, found = c.blocks6.get(b.start)
	} else {
		meta, found = c.blocks4.get(uint32(b.start >> ipv4Shift))
	}
	if !found || meta.bits() != b.bits {
		return ""
	}
	return c.siteNames[meta.site()]
}

// get returns the site number and prefix length of the block that starts at an
// address; false if there is none.
func (t *blockTable[K]) get(start K) (blockMeta, bool) {
	if len(t.chunkStarts) == 0 || start < t.chunkStarts[0] {
		return 0, false
	}
	for _, e := range t.chunks[lastAtOrBelow(t.chunkStarts, start)] {
		if e.start == start {
			return e.meta, true
		}
	}
	return 0, false
}

// Merge combines change sets. If several change the same object or block, the
// first one in the list takes precedence. The header supplies ID, base and
// author of the result.
func Merge(header ChangeSetOptions, sets []ChangeSet) ChangeSet {
	objects := map[Ref]bool{}
	blocks := map[Block]bool{}
	first := func(r Ref) bool {
		seen := objects[r]
		objects[r] = true
		return !seen
	}
	for _, s := range sets {
		for _, o := range s.Puts() {
			if first(o.Ref()) {
				header.Puts = append(header.Puts, o)
			}
		}
		for _, r := range s.Deletes() {
			if first(r) {
				header.Deletes = append(header.Deletes, r)
			}
		}
		for _, b := range s.Blocks() {
			if !blocks[b.block] {
				header.Blocks = append(header.Blocks, b)
			}
			blocks[b.block] = true
		}
	}
	return NewChangeSet(header)
}

// Rollback returns the change set that leads from this version back to the one
// before a sequence of accepted change sets, given the inverse of each in the
// order of acceptance. It leaves out deletions of objects and blocks that a
// later change set of the sequence has deleted already.
func (c *Catalog) Rollback(header ChangeSetOptions, undos []ChangeSet) ChangeSet {
	o := Merge(header, undos).options
	o.Deletes = slices.DeleteFunc(o.Deletes, func(r Ref) bool {
		_, found := c.objects[r]
		return !found
	})
	o.Blocks = slices.DeleteFunc(o.Blocks, func(b BlockChange) bool { return b.site == "" && c.siteOfBlock(b.block) == "" })
	return NewChangeSet(o)
}
