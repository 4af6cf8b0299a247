package dhcatalog

import (
	"cmp"
	"slices"
)

// chunkBlocks is the number of blocks in a full chunk of a table. A change
// copies only the chunks that it modifies; a look-up reads a few cache lines of
// one chunk.
const chunkBlocks = 64

// blockKey is an address: 32 bits for IPv4, the upper 64 bits for IPv6.
type blockKey interface{ uint32 | uint64 }

// blockTable maps disjoint blocks to site numbers. It is a persistent array of
// sorted chunks: versions of the table share the chunks that are equal. Entries
// hold no pointers and take 8 bytes per block for IPv4, 16 for IPv6.
type blockTable[K blockKey] struct {
	chunks      [][]blockEntry[K]
	chunkStarts []K
	count       int
}

// blockEntry is one block with its site.
type blockEntry[K blockKey] struct {
	start K
	meta  blockMeta
}

func (e blockEntry[K]) lastAddress() K { return e.start | ^K(0)>>e.meta.bits() }

// compare orders entries by start address, and by prefix length for equal
// starts: the larger block first.
func (e blockEntry[K]) compare(other blockEntry[K]) int {
	return cmp.Or(cmp.Compare(e.start, other.start), cmp.Compare(e.meta.bits(), other.meta.bits()))
}

// blockMeta packs a site number and a prefix length.
type blockMeta uint32

// metaPrefixBits is the number of low bits of a blockMeta that hold the prefix
// length.
const metaPrefixBits = 8

func newBlockMeta(bits uint8, site uint16) blockMeta {
	return blockMeta(site)<<metaPrefixBits | blockMeta(bits)
}

func (m blockMeta) bits() uint8  { return uint8(m) }
func (m blockMeta) site() uint16 { return uint16(m >> metaPrefixBits) }

// find returns the site number of the block that covers an address; false if
// no block does.
func (t *blockTable[K]) find(address K) (uint16, bool) {
	if len(t.chunkStarts) == 0 || address < t.chunkStarts[0] {
		return 0, false
	}
	chunk := t.chunks[lastAtOrBelow(t.chunkStarts, address)]
	// Binary search in which each step halves the range without a branch that
	// could be mispredicted.
	low := 0
	for n := len(chunk); n > 1; {
		half := n / 2
		if chunk[low+half].start <= address {
			low += half
		}
		n -= half
	}
	e := chunk[low]
	return e.meta.site(), address <= e.lastAddress()
}

// lastAtOrBelow returns the index of the last value that is at or below an
// address. The first value must be at or below it.
func lastAtOrBelow[K blockKey](sorted []K, address K) int {
	low := 0
	for n := len(sorted); n > 1; {
		half := n / 2
		if sorted[low+half] <= address {
			low += half
		}
		n -= half
	}
	return low
}

// blockEdit is a block change whose site is resolved to its number.
type blockEdit[K blockKey] struct {
	entry  blockEntry[K]
	remove bool
}

// withEdits returns a copy of the table with edits applied. It calls overlap
// with the start of each edited block that overlaps another block, and missing
// with the start of each block to remove that is not in the table.
func (t *blockTable[K]) withEdits(edits []blockEdit[K], overlap, missing func(start K)) *blockTable[K] {
	if len(edits) == 0 {
		return t
	}
	slices.SortStableFunc(edits, func(a, b blockEdit[K]) int { return a.entry.compare(b.entry) })
	next := &blockTable[K]{}
	e := 0
	for i, c := range t.chunks {
		from := e
		for e < len(edits) && (i+1 == len(t.chunks) || edits[e].entry.start < t.chunkStarts[i+1]) {
			e++
		}
		if from == e {
			next.appendChunk(c)
			continue
		}
		next.appendSplit(mergeEdits(c, edits[from:e], missing))
	}
	if len(t.chunks) == 0 {
		next.appendSplit(mergeEdits(nil, edits, missing))
	}
	next.reportOverlaps(edits, overlap)
	return next
}

func (t *blockTable[K]) appendChunk(c []blockEntry[K]) {
	if len(c) == 0 {
		return
	}
	t.chunks = append(t.chunks, c)
	t.chunkStarts = append(t.chunkStarts, c[0].start)
	t.count += len(c)
}

func (t *blockTable[K]) appendSplit(c []blockEntry[K]) {
	for part := range slices.Chunk(c, chunkBlocks) {
		t.appendChunk(slices.Clone(part))
	}
}

// mergeEdits returns the entries of a chunk with sorted edits applied. It calls
// missing with the start of each block to remove that is not in the chunk.
func mergeEdits[K blockKey](c []blockEntry[K], edits []blockEdit[K], missing func(start K)) []blockEntry[K] {
	out := make([]blockEntry[K], 0, len(c)+len(edits))
	i := 0
	for _, e := range edits {
		for i < len(c) && c[i].compare(e.entry) < 0 {
			out = append(out, c[i])
			i++
		}
		present := i < len(c) && c[i].compare(e.entry) == 0
		if present {
			i++
		}
		switch {
		case !e.remove:
			out = append(out, e.entry)
		case !present:
			missing(e.entry.start)
		}
	}
	return append(out, c[i:]...)
}

// reportOverlaps compares each edited block with its two neighbours. That
// suffices because the table is sorted and its other blocks are disjoint.
func (t *blockTable[K]) reportOverlaps(edits []blockEdit[K], overlap func(start K)) {
	for _, e := range edits {
		if e.remove {
			continue
		}
		i := lastAtOrBelow(t.chunkStarts, e.entry.start)
		j, _ := slices.BinarySearchFunc(t.chunks[i], e.entry, blockEntry[K].compare)
		previous, hasPrevious := t.entryAt(i, j-1)
		next, hasNext := t.entryAt(i, j+1)
		if hasPrevious && previous.lastAddress() >= e.entry.start || hasNext && next.start <= e.entry.lastAddress() {
			overlap(e.entry.start)
		}
	}
}

// entryAt returns entry j of chunk i. An index j one before the chunk's first
// entry or one after its last selects the adjacent chunk's last or first entry;
// the result is false if there is no such chunk.
func (t *blockTable[K]) entryAt(i, j int) (blockEntry[K], bool) {
	if j < 0 {
		i--
		if i < 0 {
			return blockEntry[K]{}, false
		}
		j = len(t.chunks[i]) - 1
	}
	if j >= len(t.chunks[i]) {
		i, j = i+1, 0
	}
	if i >= len(t.chunks) {
		return blockEntry[K]{}, false
	}
	return t.chunks[i][j], true
}

// forEach calls f for every entry in order of start address.
func (t *blockTable[K]) forEach(f func(e blockEntry[K])) {
	for _, chunk := range t.chunks {
		for _, e := range chunk {
			f(e)
		}
	}
}
