package dhcatalog

import "dogwoodhitch/core/dhclock"

// MaxStaleGrace bounds StaleGrace: how long after the freshness lease expires
// an instance that is cut off may still accept an organisation's revoked keys.
const MaxStaleGrace = 3600 * dhclock.Second

// OrganisationOptions are the fields of an Organisation.
type OrganisationOptions struct {
	Name string
	// StaleGrace extends the freshness lease of an instance that is cut off, in
	// milliseconds. During the extension revoked keys may still be accepted;
	// zero keeps the guaranteed time within which a revocation takes effect.
	StaleGrace dhclock.Millis
	// Weight is the organisation's relative share when requests queue; 0 means
	// 1.
	Weight int
	// Rank is 1 plus the priority of the organisation's requests, which
	// overrides the priorities of routes; priority 0 is served first. Rank 0
	// means that the organisation has no priority of its own and the route's
	// priority applies.
	Rank int
	// HomeRegions are the only regions in which its requests may be served; if
	// empty, every region may serve them.
	HomeRegions []string `journal:"Homes"`
}

// Organisation is a tenant of the system.
type Organisation struct{ options OrganisationOptions }

// NewOrganisation returns an organisation.
func NewOrganisation(o OrganisationOptions) Organisation { return Organisation{options: o} }

// Ref implements Object.
func (o Organisation) Ref() Ref { return NewRef(KindOrganisation, o.options.Name) }

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.options.Name }

// StaleGrace returns the extension of the freshness lease, in milliseconds.
func (o Organisation) StaleGrace() dhclock.Millis { return o.options.StaleGrace }

// Weight returns the relative share in queues, at least 1.
func (o Organisation) Weight() int { return max(1, o.options.Weight) }

// Priority returns the priority of the organisation's requests on a route; 0 is
// served first.
func (o Organisation) Priority(r Route) int {
	if o.options.Rank > 0 {
		return o.options.Rank - 1
	}
	return r.Priority()
}

// Rank returns 1 plus the organisation's priority, or 0 if it has none.
func (o Organisation) Rank() int { return o.options.Rank }

// HomeRegions returns the only regions that may serve the organisation; if empty,
// every region may.
func (o Organisation) HomeRegions() []string { return o.options.HomeRegions }

func (o Organisation) references() []Ref { return nil }

func (o Organisation) check(p *problems) {
	p.requireRange(o.Ref(), "staleGraceMs", o.options.StaleGrace.Milliseconds(), 0, MaxStaleGrace.Milliseconds())
	p.requireRange(o.Ref(), "weight", int64(o.options.Weight), 0, maxWeight)
	p.requireRange(o.Ref(), "rank", int64(o.options.Rank), 0, MaxPriority+1)
}

// maxWeight bounds an organisation's queue weight.
const maxWeight = 100

// HashSize is the length of a Hash in bytes.
const HashSize = 32

// Hash is a SHA-256 hash: of a caller's secret key, or the digest of a change set
// or of a request.
type Hash [HashSize]byte

// KeyOptions are the fields of a Key.
type KeyOptions struct {
	Name         string
	Organisation string
	Hash         Hash
}

// Key authenticates callers of an organisation. Deleting the object revokes the
// key. An organisation may have several keys, so that a new key can be
// introduced before the old one is revoked.
type Key struct{ options KeyOptions }

// NewKey returns a key.
func NewKey(o KeyOptions) Key { return Key{options: o} }

// Ref implements Object.
func (k Key) Ref() Ref { return NewRef(KindKey, k.options.Name) }

// Name returns the name of the key object, which is not secret.
func (k Key) Name() string { return k.options.Name }

// Organisation returns the organisation that the key belongs to.
func (k Key) Organisation() string { return k.options.Organisation }

// Hash returns the SHA-256 hash of the secret.
func (k Key) Hash() Hash { return k.options.Hash }

func (k Key) references() []Ref { return []Ref{NewRef(KindOrganisation, k.options.Organisation)} }

func (k Key) check(p *problems) {
	if k.options.Hash == (Hash{}) {
		p.add(k.Ref(), "hash", "empty", "give the key's secret, or the hexadecimal SHA-256 hash of it")
	}
}
