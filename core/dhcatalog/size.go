package dhcatalog

// Approximate sizes in memory without strings and lists, in bytes.
const (
	// objectBytes is the size of an object and of what refers to it.
	objectBytes = 200
	// referenceBytes is the size of a Ref, and of a string or a weighted service in a list.
	referenceBytes = 32
	// blockChangeBytes is the size of a BlockChange.
	blockChangeBytes = 48
)

// StoredBlockBytes is the approximate size of a client block in a catalog, in bytes.
const StoredBlockBytes = 9

// ApproximateBytes returns the approximate size of an object in memory, in bytes.
func ApproximateBytes(o Object) int {
	switch o := o.(type) {
	case Zone:
		return objectBytes + len(o.options.Name) + len(o.options.Region)
	case Instance:
		return objectBytes + len(o.options.Name) + len(o.options.Zone) + len(o.options.CallerAddress) + len(o.options.PeerAddress)
	case Organisation:
		return objectBytes + len(o.options.Name) + stringsBytes(o.options.HomeRegions)
	case Key:
		return objectBytes + len(o.options.Name) + len(o.options.Organisation)
	case Service:
		return objectBytes + len(o.options.Name) + len(o.options.HealthPath)
	case Route:
		size := objectBytes + len(o.options.Name) + len(o.options.Host) + len(o.options.PathPrefix) + len(o.options.Service)
		for _, w := range o.options.Split {
			size += referenceBytes + len(w.service)
		}
		return size + stringsBytes(o.options.HomeRegions)
	case Limit:
		return objectBytes + len(o.options.Name) + len(o.options.Organisation)
	case Objective:
		return objectBytes + len(o.options.Name) + len(o.options.Route)
	case Site:
		return objectBytes + len(o.options.Name) + len(o.options.Zone)
	case Drain:
		return objectBytes + len(o.options.Name) + len(o.options.Target.name)
	case Link:
		return objectBytes + len(o.options.Name) + stringsBytes(o.options.Regions[:])
	case Upstream:
		return objectBytes + len(o.options.Name) + len(o.options.Service) + len(o.options.Address) + len(o.options.Zone)
	case Evacuation:
		return objectBytes + len(o.zone)
	case Declaration:
		return objectBytes + len(o.text)
	default:
		return objectBytes
	}
}

// ObjectsBytes returns the approximate size of objects in memory, in bytes.
func ObjectsBytes(list []Object) int {
	size := 0
	for _, o := range list {
		size += ApproximateBytes(o)
	}
	return size
}

// RefsBytes returns the approximate size of references in memory, in bytes.
func RefsBytes(list []Ref) int {
	size := 0
	for _, r := range list {
		size += referenceBytes + len(r.name)
	}
	return size
}

func stringsBytes(list []string) int {
	size := 0
	for _, s := range list {
		size += referenceBytes + len(s)
	}
	return size
}

// ApproximateBytes returns the approximate size of the change set in memory, in bytes.
func (c ChangeSet) ApproximateBytes() int {
	size := objectBytes + len(c.options.ID) + len(c.options.Author) + ObjectsBytes(c.options.Puts) + RefsBytes(c.options.Deletes)
	for _, b := range c.options.Blocks {
		size += blockChangeBytes + len(b.site)
	}
	return size
}

// ApproximateBytes returns the approximate size of the catalog in memory, in bytes. It visits
// each object.
func (c *Catalog) ApproximateBytes() int {
	size := c.BlockCount() * StoredBlockBytes
	for _, o := range c.objects {
		size += ApproximateBytes(o)
	}
	return size
}
