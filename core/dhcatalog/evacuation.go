package dhcatalog

// Evacuation stops sending requests to the upstreams of an availability zone,
// at once and until the object is deleted. It is named after the zone.
type Evacuation struct{ zone string }

// NewEvacuation returns the evacuation of a zone.
func NewEvacuation(zone string) Evacuation { return Evacuation{zone: zone} }

// Ref implements Object.
func (e Evacuation) Ref() Ref { return NewRef(KindEvacuation, e.zone) }

// Zone returns the zone whose upstreams receive no requests.
func (e Evacuation) Zone() string { return e.zone }

func (e Evacuation) references() []Ref { return nil }

func (e Evacuation) check(*problems) {}
