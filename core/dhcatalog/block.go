package dhcatalog

import "strconv"

// Block is a CIDR block of client addresses: all addresses that share the first
// Bits bits of Start. An IPv4 block uses the upper 32 bits of Start and a
// prefix length of 1 to 32; an IPv6 block has a prefix length of 1 to 64.
type Block struct {
	start uint64
	bits  uint8
	ipv6  bool `journal:"six"`
}

// MaxBlockBits is the longest prefix that the block table distinguishes.
const MaxBlockBits = 64

// NewBlock returns a block. It clears the bits of start after the prefix.
func NewBlock(start uint64, bits int, ipv6 bool) Block {
	return Block{start: start &^ hostMask(uint8(bits)), bits: uint8(bits), ipv6: ipv6}
}

// hostMask returns the bits of an address after a prefix of the given length.
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

// IPv6 reports whether the block holds IPv6 addresses.
func (b Block) IPv6() bool { return b.ipv6 }

// String returns the address family, the start in hexadecimal and the prefix
// length, such as ip4-a00000000000000/8.
func (b Block) String() string {
	family := "ip4"
	if b.ipv6 {
		family = "ip6"
	}
	return family + "-" + strconv.FormatUint(b.start, 16) + "/" + strconv.Itoa(int(b.bits))
}

// BlockChange assigns a block to a site, or removes the block if the site is
// empty.
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

// Site returns the site's name, or "" to remove the block.
func (c BlockChange) Site() string { return c.site }
