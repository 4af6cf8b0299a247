package dhcatalog

import (
	"slices"
	"strconv"
)

// chunkBlocks is how many blocks a full chunk of the table holds. A change
// copies the chunks that it touches and no others.
const chunkBlocks = 2048

// Block is a range of client addresses: the first Bits bits of Start. An IPv4
// block uses the upper 32 bits of Start and a width of 1 to 32; an IPv6 block
// is given to at most 64 bits.
type Block struct {
	start uint64
	bits  uint8
	six   bool
}

// MaxBlockBits is the widest prefix that the table distinguishes.
const MaxBlockBits = 64

// NewBlock returns a block; bits below the prefix are cleared.
func NewBlock(start uint64, bits int, six bool) Block {
	return Block{start: start &^ hostMask(uint8(bits)), bits: uint8(bits), six: six}
}

func hostMask(bits uint8) uint64 {
	if bits >= MaxBlockBits {
		return 0
	}
	return ^uint64(0) >> bits
}

// Start returns the first address, left-aligned in 64 bits.
func (b Block) Start() uint64 { return b.start }

// Bits returns the prefix length.
func (b Block) Bits() int { return int(b.bits) }

// Six tells whether the block is of IPv6 addresses.
func (b Block) Six() bool { return b.six }

func (b Block) last() uint64 { return b.start | hostMask(b.bits) }

func (b Block) String() string {
	family := "ip4"
	if b.six {
		family = "ip6"
	}
	return family + "-" + strconv.FormatUint(b.start, 16) + "/" + strconv.Itoa(int(b.bits))
}

// BlockChange assigns a block to a site, or removes it when the site is empty.
type BlockChange struct {
	block Block
	site  string
}

// NewBlockChange returns a block change.
func NewBlockChange(block Block, site string) BlockChange {
	return BlockChange{block: block, site: site}
}

// Block returns the block.
func (c BlockChange) Block() Block { return c.block }

// Site returns the site's name, or "" for removal.
func (c BlockChange) Site() string { return c.site }

// blockTable maps disjoint blocks to numbers of sites. It is a persistent
// array of sorted chunks: parallel arrays of 8, 1 and 2 bytes a block, with no
// pointers inside.
type blockTable struct {
	chunks []*blockChunk
	firsts []uint64
	count  int
}

type blockChunk struct {
	starts []uint64
	bits   []uint8
	sites  []uint16
}

// find returns the number of the site whose block covers an address.
func (t *blockTable) find(address uint64) (uint16, bool) {
	i, found := slices.BinarySearch(t.firsts, address)
	if !found {
		i--
	}
	if i < 0 {
		return 0, false
	}
	return t.chunks[i].find(address)
}

func (c *blockChunk) find(address uint64) (uint16, bool) {
	low, high := 0, len(c.starts)
	for low < high {
		m := int(uint(low+high) >> 1)
		if c.starts[m] <= address {
			low = m + 1
		} else {
			high = m
		}
	}
	if low == 0 {
		return 0, false
	}
	if address > c.starts[low-1]|hostMask(c.bits[low-1]) {
		return 0, false
	}
	return c.sites[low-1], true
}

// blockEdit is a resolved change of one block. A negative site removes it.
type blockEdit struct {
	start uint64
	bits  uint8
	site  int
}

// with returns a table with the edits made; overlap is called with the start
// of each edit that overlaps another block, and missing for each removal of a
// block that is not there.
func (t *blockTable) with(edits []blockEdit, overlap, missing func(start uint64)) *blockTable {
	if len(edits) == 0 {
		return t
	}
	slices.SortStableFunc(edits, func(a, b blockEdit) int {
		switch {
		case a.start < b.start:
			return -1
		case a.start > b.start:
			return 1
		default:
			return int(a.bits) - int(b.bits)
		}
	})
	next := &blockTable{}
	e := 0
	for i, c := range t.chunks {
		from := e
		for e < len(edits) && (i+1 == len(t.chunks) || edits[e].start < t.firsts[i+1]) {
			e++
		}
		if from == e {
			next.push(c)
			continue
		}
		next.pushSplit(merge(c, edits[from:e], missing))
	}
	if len(t.chunks) == 0 {
		next.pushSplit(merge(&blockChunk{}, edits, missing))
	}
	next.reportOverlaps(edits, overlap)
	return next
}

func (t *blockTable) push(c *blockChunk) {
	if len(c.starts) == 0 {
		return
	}
	t.chunks = append(t.chunks, c)
	t.firsts = append(t.firsts, c.starts[0])
	t.count += len(c.starts)
}

func (t *blockTable) pushSplit(c *blockChunk) {
	for from := 0; from < len(c.starts); from += chunkBlocks {
		to := min(from+chunkBlocks, len(c.starts))
		t.push(&blockChunk{
			starts: slices.Clone(c.starts[from:to]),
			bits:   slices.Clone(c.bits[from:to]),
			sites:  slices.Clone(c.sites[from:to]),
		})
	}
}

func (c *blockChunk) add(start uint64, bits uint8, site uint16) {
	c.starts = append(c.starts, start)
	c.bits = append(c.bits, bits)
	c.sites = append(c.sites, site)
}

// merge returns the blocks of a chunk with sorted edits made.
func merge(c *blockChunk, edits []blockEdit, missing func(start uint64)) *blockChunk {
	size := len(c.starts) + len(edits)
	out := &blockChunk{
		starts: make([]uint64, 0, size),
		bits:   make([]uint8, 0, size),
		sites:  make([]uint16, 0, size),
	}
	i := 0
	for _, e := range edits {
		for i < len(c.starts) && before(c.starts[i], c.bits[i], e) {
			out.add(c.starts[i], c.bits[i], c.sites[i])
			i++
		}
		present := i < len(c.starts) && c.starts[i] == e.start && c.bits[i] == e.bits
		if present {
			i++
		}
		if e.site >= 0 {
			out.add(e.start, e.bits, uint16(e.site))
		} else if !present {
			missing(e.start)
		}
	}
	for ; i < len(c.starts); i++ {
		out.add(c.starts[i], c.bits[i], c.sites[i])
	}
	return out
}

func before(start uint64, bits uint8, e blockEdit) bool {
	return start < e.start || start == e.start && bits < e.bits
}

// reportOverlaps checks each edited block against its neighbours, which is
// enough in a sorted table whose other blocks are disjoint.
func (t *blockTable) reportOverlaps(edits []blockEdit, overlap func(start uint64)) {
	for _, e := range edits {
		if e.site < 0 {
			continue
		}
		previous, next := t.neighbours(e)
		mine := Block{start: e.start, bits: e.bits}
		if previous != nil && previous.last() >= e.start || next != nil && next.start <= mine.last() {
			overlap(e.start)
		}
	}
}

func (t *blockTable) neighbours(e blockEdit) (previous, next *Block) {
	i, found := slices.BinarySearch(t.firsts, e.start)
	if !found {
		i--
	}
	c := t.chunks[i]
	j, _ := slices.BinarySearch(c.starts, e.start)
	for j < len(c.starts) && c.starts[j] == e.start && c.bits[j] != e.bits {
		j++
	}
	return t.at(i, j-1), t.at(i, j+1)
}

// at returns block j of chunk i, where j may run one over either end.
func (t *blockTable) at(i, j int) *Block {
	if j < 0 {
		i--
		if i < 0 {
			return nil
		}
		j = len(t.chunks[i].starts) - 1
	}
	if j >= len(t.chunks[i].starts) {
		i, j = i+1, 0
	}
	if i >= len(t.chunks) {
		return nil
	}
	return &Block{start: t.chunks[i].starts[j], bits: t.chunks[i].bits[j]}
}

// each calls f for every block in order.
func (t *blockTable) each(f func(start uint64, bits uint8, site uint16)) {
	for _, c := range t.chunks {
		for i := range c.starts {
			f(c.starts[i], c.bits[i], c.sites[i])
		}
	}
}
