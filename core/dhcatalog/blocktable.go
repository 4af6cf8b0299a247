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
	chunks [][]cell[K]
	firsts []K
	count  int
}

// cell is one block.
type cell[K blockKey] struct {
	start K
	meta  blockMeta
}

func (c cell[K]) last() K { return c.start | ^K(0)>>c.meta.bits() }

// compare orders cells by their start, a wider block first.
func (c cell[K]) compare(d cell[K]) int {
	return cmp.Or(cmp.Compare(c.start, d.start), cmp.Compare(c.meta.bits(), d.meta.bits()))
}

// blockMeta is the number of a site and the width of a block.
type blockMeta uint32

// widthBits is how many bits of a blockMeta hold the width.
const widthBits = 8

func newBlockMeta(bits uint8, site uint16) blockMeta {
	return blockMeta(site)<<widthBits | blockMeta(bits)
}

func (m blockMeta) bits() uint8  { return uint8(m) }
func (m blockMeta) site() uint16 { return uint16(m >> widthBits) }

// find returns the number of the site whose block covers an address.
func (t *blockTable[K]) find(address K) (uint16, bool) {
	if len(t.firsts) == 0 || address < t.firsts[0] {
		return 0, false
	}
	chunk := t.chunks[lastFirst(t.firsts, address)]
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
	return c.meta.site(), address <= c.last()
}

// lastFirst returns the index of the last value that isn't above an address;
// the first value isn't.
func lastFirst[K blockKey](firsts []K, address K) int {
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
	cell   cell[K]
	remove bool
}

// with returns a table with the edits made; overlap is called with each edited
// block that overlaps another one, and missing for each removal of a block
// that is not there.
func (t *blockTable[K]) with(edits []blockEdit[K], overlap, missing func(start K)) *blockTable[K] {
	if len(edits) == 0 {
		return t
	}
	slices.SortStableFunc(edits, func(a, b blockEdit[K]) int { return a.cell.compare(b.cell) })
	next := &blockTable[K]{}
	e := 0
	for i, c := range t.chunks {
		from := e
		for e < len(edits) && (i+1 == len(t.chunks) || edits[e].cell.start < t.firsts[i+1]) {
			e++
		}
		if from == e {
			next.push(c)
			continue
		}
		next.pushSplit(merge(c, edits[from:e], missing))
	}
	if len(t.chunks) == 0 {
		next.pushSplit(merge(nil, edits, missing))
	}
	next.reportOverlaps(edits, overlap)
	return next
}

func (t *blockTable[K]) push(c []cell[K]) {
	if len(c) == 0 {
		return
	}
	t.chunks = append(t.chunks, c)
	t.firsts = append(t.firsts, c[0].start)
	t.count += len(c)
}

func (t *blockTable[K]) pushSplit(c []cell[K]) {
	for part := range slices.Chunk(c, chunkBlocks) {
		t.push(slices.Clone(part))
	}
}

// merge returns the blocks of a chunk with sorted edits made.
func merge[K blockKey](c []cell[K], edits []blockEdit[K], missing func(start K)) []cell[K] {
	out := make([]cell[K], 0, len(c)+len(edits))
	i := 0
	for _, e := range edits {
		for i < len(c) && c[i].compare(e.cell) < 0 {
			out = append(out, c[i])
			i++
		}
		present := i < len(c) && c[i].compare(e.cell) == 0
		if present {
			i++
		}
		switch {
		case !e.remove:
			out = append(out, e.cell)
		case !present:
			missing(e.cell.start)
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
		i := lastFirst(t.firsts, e.cell.start)
		j, _ := slices.BinarySearchFunc(t.chunks[i], e.cell, cell[K].compare)
		previous, hasPrevious := t.at(i, j-1)
		next, hasNext := t.at(i, j+1)
		if hasPrevious && previous.last() >= e.cell.start || hasNext && next.start <= e.cell.last() {
			overlap(e.cell.start)
		}
	}
}

// at returns block j of chunk i, where j may run one over either end.
func (t *blockTable[K]) at(i, j int) (cell[K], bool) {
	if j < 0 {
		i--
		if i < 0 {
			return cell[K]{}, false
		}
		j = len(t.chunks[i]) - 1
	}
	if j >= len(t.chunks[i]) {
		i, j = i+1, 0
	}
	if i >= len(t.chunks) {
		return cell[K]{}, false
	}
	return t.chunks[i][j], true
}

// each calls f for every block in order.
func (t *blockTable[K]) each(f func(c cell[K])) {
	for _, chunk := range t.chunks {
		for _, c := range chunk {
			f(c)
		}
	}
}
