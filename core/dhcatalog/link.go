package dhcatalog

import "strconv"

// MaxLinkKilobytesPerSecond bounds the capacity of a link.
const MaxLinkKilobytesPerSecond = 100_000_000

// LinkOptions are the fields of a Link.
type LinkOptions struct {
	Name string
	// Regions are the two regions that the link connects.
	Regions [2]string
	// KilobytesPerSecond is the bandwidth that forwarded requests and their
	// responses may use in each direction. A kilobyte is 1000 bytes.
	KilobytesPerSecond int64 `journal:"Kilobytes"`
}

// Link bounds the traffic that instances forward between two regions.
type Link struct{ options LinkOptions }

// NewLink returns a link.
func NewLink(o LinkOptions) Link { return Link{options: o} }

// Ref implements Object.
func (l Link) Ref() Ref { return NewRef(KindLink, l.options.Name) }

// Name returns the link's name.
func (l Link) Name() string { return l.options.Name }

// Regions returns the two regions that the link connects.
func (l Link) Regions() [2]string { return l.options.Regions }

// KilobytesPerSecond returns the capacity in each direction.
func (l Link) KilobytesPerSecond() int64 { return l.options.KilobytesPerSecond }

// OtherRegion returns the region at the opposite end of the link from the given
// region; false if the link doesn't connect the given region.
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

// checkLink reports a link to a region without zones, and a second link between
// the same regions. The map seen holds the links checked so far by their
// regions.
func (c *Catalog) checkLink(l Link, seen map[[2]string]string, p *problems) {
	regions := l.Regions()
	for _, region := range regions {
		found := false
		for _, z := range c.index.zones {
			found = found || z.Region() == region
		}
		if !found {
			p.add(l.Ref(), "regions", strconv.Quote(region)+", which no zone is in", "put a zone of the region in the same change set")
		}
	}
	if regions[0] > regions[1] {
		regions[0], regions[1] = regions[1], regions[0]
	}
	p.requireUnique(l.Ref(), "regions", seen[regions], "keep one link between two regions")
	seen[regions] = l.Name()
}

// Links returns every link, sorted by name.
func (c *Catalog) Links() []Link { return c.index.links }

// RegionInstanceCount returns the number of declared instances in a region.
func (c *Catalog) RegionInstanceCount(region string) int {
	n := 0
	for _, z := range c.index.zones {
		if z.Region() == region {
			n += len(c.index.instancesByZone[z.Name()])
		}
	}
	return n
}
