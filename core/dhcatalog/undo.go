package dhcatalog

import "slices"

// Undo returns what leads from the version that a change set makes back to
// this one: the objects and blocks that it replaces or deletes, and deletions
// of those that it creates.
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

// siteOfBlock returns the site that a block is assigned to, or "".
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

// get returns what the table keeps of the block that starts at an address.
func (t *blockTable[K]) get(start K) (blockMeta, bool) {
	if len(t.chunkStarts) == 0 || start < t.chunkStarts[0] {
		return 0, false
	}
	for _, c := range t.chunks[lastAtOrBelow(t.chunkStarts, start)] {
		if c.start == start {
			return c.meta, true
		}
	}
	return 0, false
}

// Merge puts change sets together, the first one that touches an object or a
// block counts. The options give the head of the result.
func Merge(head ChangeSetOptions, sets []ChangeSet) ChangeSet {
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
				head.Puts = append(head.Puts, o)
			}
		}
		for _, r := range s.Deletes() {
			if first(r) {
				head.Deletes = append(head.Deletes, r)
			}
		}
		for _, b := range s.Blocks() {
			if !blocks[b.block] {
				head.Blocks = append(head.Blocks, b)
			}
			blocks[b.block] = true
		}
	}
	return NewChangeSet(head)
}

// Rollback returns the change set that leads from this version back to the one
// before the first of some accepted change sets, given their undos in the
// order of acceptance. What came and went meanwhile is left out.
func (c *Catalog) Rollback(head ChangeSetOptions, undos []ChangeSet) ChangeSet {
	o := Merge(head, undos).options
	o.Deletes = slices.DeleteFunc(o.Deletes, func(r Ref) bool {
		_, found := c.objects[r]
		return !found
	})
	o.Blocks = slices.DeleteFunc(o.Blocks, func(b BlockChange) bool { return b.site == "" && c.siteOfBlock(b.block) == "" })
	return NewChangeSet(o)
}
