package dhcatalog

import (
	"cmp"
	"slices"
)

// chunkBlocks is how many blocks a full chunk of a table holds. A change
// copies the chunks that it touches and no others; a look-up reads a few cache
// lines of one.
const chunkBlocks = 64

// blockKey is an address: 32 bits for IPv4, the upper 64 bits for IPv6.
type blockKey interface{ uint32 | uint64 }

// blockTable maps disjoint blocks to numbers of sites. It is a persistent
// array of sorted chunks without pointers inside: 8 bytes a block for IPv4, 16
// for IPv6.
type blockTable[K blockKey] struct {
	chunks      [][]blockEntry[K]
	chunkStarts []K
	count       int
}

// blockEntry is one block.
type blockEntry[K blockKey] struct {
	start K
	meta  blockMeta
}

func (c blockEntry[K]) lastAddress() K { return c.start | ^K(0)>>c.meta.bits() }

// compare orders cells by their start, a wider block first.
func (c blockEntry[K]) compare(d blockEntry[K]) int {
	return cmp.Or(cmp.Compare(c.start, d.start), cmp.Compare(c.meta.bits(), d.meta.bits()))
}

// blockMeta is the number of a site and the width of a block.
type blockMeta uint32

// metaWidthBits is how many bits of a blockMeta hold the width.
const metaWidthBits = 8

func newBlockMeta(bits uint8, site uint16) blockMeta {
	return blockMeta(site)<<metaWidthBits | blockMeta(bits)
}

func (m blockMeta) bits() uint8  { return uint8(m) }
func (m blockMeta) site() uint16 { return uint16(m >> metaWidthBits) }

// find returns the number of the site whose block covers an address.
func (t *blockTable[K]) find(address K) (uint16, bool) {
	if len(t.chunkStarts) == 0 || address < t.chunkStarts[0] {
		return 0, false
	}
	chunk := t.chunks[lastAtOrBelow(t.chunkStarts, address)]
	// Each step halves the rest without a branch that could be mispredicted.
	low := 0
	for n := len(chunk); n > 1; {
		half := n / 2
		if chunk[low+half].start <= address {
			low += half
		}
		n -= half
	}
	c := chunk[low]
	return c.meta.site(), address <= c.lastAddress()
}

// lastAtOrBelow returns the index of the last value that isn't above an address;
// the first value isn't.
func lastAtOrBelow[K blockKey](firsts []K, address K) int {
	low := 0
	for n := len(firsts); n > 1; {
		half := n / 2
		if firsts[low+half] <= address {
			low += half
		}
		n -= half
	}
	return low
}

// blockEdit is a resolved change of one block.
type blockEdit[K blockKey] struct {
	entry  blockEntry[K]
	remove bool
}

// withEdits returns a table with the edits made; overlap is called with each edited
// block that overlaps another one, and missing for each removal of a block
// that is not there.
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

// mergeEdits returns the blocks of a chunk with sorted edits made.
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

// reportOverlaps checks each edited block against its neighbours, which is
// enough in a sorted table whose other blocks are disjoint.
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

// entryAt returns block j of chunk i, where j may run one over either end.
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

// forEach calls f for every block in order.
func (t *blockTable[K]) forEach(f func(c blockEntry[K])) {
	for _, chunk := range t.chunks {
		for _, c := range chunk {
			f(c)
		}
	}
}
