package dhcatalog

import "strconv"

// MaxLinkKilobytesPerSecond bounds the capacity of a link, in kilobytes a second.
const MaxLinkKilobytesPerSecond = 100_000_000

// LinkOptions are the fields of a Link.
type LinkOptions struct {
	Name string
	// Regions are the two regions that the link joins.
	Regions [2]string
	// KilobytesPerSecond is what requests that are passed on, and their answers, may
	// take each way, in kilobytes (1000 bytes) a second.
	KilobytesPerSecond int64
}

// Link bounds what instances pass on between two regions.
type Link struct{ options LinkOptions }

// NewLink returns a link.
func NewLink(o LinkOptions) Link { return Link{options: o} }

// Ref implements Object.
func (l Link) Ref() Ref { return NewRef(KindLink, l.options.Name) }

// Name returns the link's name.
func (l Link) Name() string { return l.options.Name }

// Regions returns the two regions that the link joins.
func (l Link) Regions() [2]string { return l.options.Regions }

// KilobytesPerSecond returns the capacity each way, in kilobytes a second.
func (l Link) KilobytesPerSecond() int64 { return l.options.KilobytesPerSecond }

// OtherRegion returns the region at the other end; false if the link doesn't end in
// a region.
func (l Link) OtherRegion(region string) (string, bool) {
	switch region {
	case l.options.Regions[0]:
		return l.options.Regions[1], true
	case l.options.Regions[1]:
		return l.options.Regions[0], true
	default:
		return "", false
	}
}

func (l Link) references() []Ref { return nil }

func (l Link) check(p *problems) {
	p.requireRange(l.Ref(), "kilobytesPerSecond", l.options.KilobytesPerSecond, 1, MaxLinkKilobytesPerSecond)
	if l.options.Regions[0] == l.options.Regions[1] {
		p.add(l.Ref(), "regions", strconv.Quote(l.options.Regions[0])+" twice", "name two regions")
	}
}

// checkLink refuses a link to a region without zones, or a second one between
// the same regions.
func (c *Catalog) checkLink(l Link, seen map[[2]string]string, p *problems) {
	ends := l.Regions()
	for _, region := range ends {
		known := false
		for _, z := range c.index.zones {
			known = known || z.Region() == region
		}
		if !known {
			p.add(l.Ref(), "regions", strconv.Quote(region)+", which no zone is in", "put a zone of the region in the same change set")
		}
	}
	if ends[0] > ends[1] {
		ends[0], ends[1] = ends[1], ends[0]
	}
	p.requireUnique(l.Ref(), "regions", seen[ends], "keep one link between two regions")
	seen[ends] = l.Name()
}

// Links returns every link, sorted by name.
func (c *Catalog) Links() []Link { return c.index.links }

// RegionInstanceCount returns how many instances are declared in a region.
func (c *Catalog) RegionInstanceCount(region string) int {
	n := 0
	for _, z := range c.index.zones {
		if z.Region() == region {
			n += len(c.index.instancesByZone[z.Name()])
		}
	}
	return n
}
