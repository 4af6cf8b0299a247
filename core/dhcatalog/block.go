package dhcatalog

import "strconv"

// Block is a range of client addresses: the first Bits bits of Start. An IPv4
// block uses the upper 32 bits of Start and a width of 1 to 32; an IPv6 block
// is given to at most 64 bits.
type Block struct {
	start uint64
	bits  uint8
	ipv6  bool
}

// MaxBlockBits is the widest prefix that the table distinguishes.
const MaxBlockBits = 64

// NewBlock returns a block; bits below the prefix are cleared.
func NewBlock(start uint64, bits int, six bool) Block {
	return Block{start: start &^ hostMask(uint8(bits)), bits: uint8(bits), ipv6: six}
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

// IPv6 tells whether the block is of IPv6 addresses.
func (b Block) IPv6() bool { return b.ipv6 }

func (b Block) String() string {
	family := "ip4"
	if b.ipv6 {
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
