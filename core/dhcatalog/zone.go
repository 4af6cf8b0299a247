package dhcatalog

// ZoneOptions are the fields of a Zone.
type ZoneOptions struct {
	Name   string
	Region string
}

// Zone is an availability zone within a region.
type Zone struct{ options ZoneOptions }

// NewZone returns a zone.
func NewZone(o ZoneOptions) Zone { return Zone{options: o} }

// Ref implements Object.
func (z Zone) Ref() Ref { return NewRef(KindZone, z.options.Name) }

// Name returns the zone's name.
func (z Zone) Name() string { return z.options.Name }

// Region returns the region that the zone belongs to.
func (z Zone) Region() string { return z.options.Region }

func (z Zone) references() []Ref { return nil }

func (z Zone) check(p *problems) {
	p.requireName(z.Ref(), "region", z.options.Region)
}

// InstanceOptions are the fields of an Instance.
type InstanceOptions struct {
	Name string
	Zone string
	// CallerAddress is the IP address and port for callers.
	CallerAddress string
	// PeerAddress is the IP address and port for other processes of the system.
	PeerAddress string
}

// Instance is an entry instance that look-ups may direct callers to.
type Instance struct{ options InstanceOptions }

// NewInstance returns an instance.
func NewInstance(o InstanceOptions) Instance { return Instance{options: o} }

// Ref implements Object.
func (i Instance) Ref() Ref { return NewRef(KindInstance, i.options.Name) }

// Name returns the instance's name, the one in its own settings.
func (i Instance) Name() string { return i.options.Name }

// Zone returns the availability zone of the instance.
func (i Instance) Zone() string { return i.options.Zone }

// CallerAddress returns the IP address and port for callers.
func (i Instance) CallerAddress() string { return i.options.CallerAddress }

// PeerAddress returns the IP address and port for other processes of the
// system.
func (i Instance) PeerAddress() string { return i.options.PeerAddress }

func (i Instance) references() []Ref { return []Ref{NewRef(KindZone, i.options.Zone)} }

func (i Instance) check(p *problems) {
	p.requireAddress(i.Ref(), "callerAddress", i.options.CallerAddress)
	p.requireAddress(i.Ref(), "peerAddress", i.options.PeerAddress)
}
