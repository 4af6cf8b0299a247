package dhcatalog

import "dogwoodhitch/core/dhclock"

// MaxStaleGrace bounds the time for which an organisation may accept that
// withdrawn keys still work on an instance that is cut off.
const MaxStaleGrace = 3600 * dhclock.Second

// OrganisationOptions are the fields of an Organisation.
type OrganisationOptions struct {
	Name string
	// StaleGrace extends the freshness lease of an instance that is cut off,
	// in milliseconds. Zero keeps the promise on withdrawn keys.
	StaleGrace dhclock.Millis
	// Weight is the organisation's share when requests queue; 0 stands for 1.
	Weight int
	// Rank orders the organisation's requests before the routes' own priorities:
	// 1 plus its priority, of which 0 goes first. 0 leaves it to the routes.
	Rank int
	// Homes are the only regions in which its requests may be served; empty for
	// all.
	Homes []string
}

// Organisation is a tenant.
type Organisation struct{ options OrganisationOptions }

// NewOrganisation returns an organisation.
func NewOrganisation(o OrganisationOptions) Organisation { return Organisation{options: o} }

// Ref implements Object.
func (o Organisation) Ref() Ref { return NewRef(KindOrganisation, o.options.Name) }

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.options.Name }

// StaleGrace returns by how much a lapsed freshness lease is extended.
func (o Organisation) StaleGrace() dhclock.Millis { return o.options.StaleGrace }

// Weight returns the share in queues, at least 1.
func (o Organisation) Weight() int { return max(1, o.options.Weight) }

// Priority returns the rank of a request of the organisation on a route; 0 goes
// first.
func (o Organisation) Priority(r Route) int {
	if o.options.Rank > 0 {
		return o.options.Rank - 1
	}
	return r.Priority()
}

// Rank returns 1 plus the organisation's priority, or 0 if it has none.
func (o Organisation) Rank() int { return o.options.Rank }

// Homes returns the only regions that may serve the organisation; empty for
// all.
func (o Organisation) Homes() []string { return o.options.Homes }

func (o Organisation) references() []Ref { return nil }

func (o Organisation) check(p *problems) {
	p.requireRange(o.Ref(), "staleGraceMs", o.options.StaleGrace.Milliseconds(), 0, MaxStaleGrace.Milliseconds())
	p.requireRange(o.Ref(), "weight", int64(o.options.Weight), 0, maxWeight)
	p.requireRange(o.Ref(), "rank", int64(o.options.Rank), 0, MaxPriority+1)
}

// maxWeight bounds an organisation's queue weight.
const maxWeight = 100

// KeyHashSize is the length of a key's hash in bytes.
const KeyHashSize = 32

// KeyHash is the SHA-256 hash of a caller's key.
type KeyHash [KeyHashSize]byte

// KeyOptions are the fields of a Key.
type KeyOptions struct {
	Name         string
	Organisation string
	Hash         KeyHash
}

// Key lets a caller act for an organisation. Deleting the object withdraws
// the key; two keys at once give a rotation with overlap.
type Key struct{ options KeyOptions }

// NewKey returns a key.
func NewKey(o KeyOptions) Key { return Key{options: o} }

// Ref implements Object.
func (k Key) Ref() Ref { return NewRef(KindKey, k.options.Name) }

// Name returns the key's name, which is not its secret.
func (k Key) Name() string { return k.options.Name }

// Organisation returns the organisation that the key belongs to.
func (k Key) Organisation() string { return k.options.Organisation }

// Hash returns the hash of the secret.
func (k Key) Hash() KeyHash { return k.options.Hash }

func (k Key) references() []Ref { return []Ref{NewRef(KindOrganisation, k.options.Organisation)} }

func (k Key) check(p *problems) {
	if k.options.Hash == (KeyHash{}) {
		p.add(k.Ref(), "hash", "empty", "give the key's secret, or the hexadecimal SHA-256 hash of it")
	}
}
