package dhcatalog

import "dogwoodhitch/core/dhclock"

// MaxTimeToLive bounds how long a client may cache a look-up answer.
const MaxTimeToLive = 3600 * dhclock.Second

// SiteOptions are the fields of a Site.
type SiteOptions struct {
	Name string
	Zone string
	// TimeToLive is how long clients may cache a look-up answer, in
	// milliseconds.
	TimeToLive dhclock.Millis
	// Default assigns clients whose address no block covers to this site.
	Default bool
}

// Site is the target of look-ups by clients in the blocks assigned to it: the
// entry instances of a zone.
type Site struct{ options SiteOptions }

// NewSite returns a site.
func NewSite(o SiteOptions) Site { return Site{options: o} }

// Ref implements Object.
func (s Site) Ref() Ref { return NewRef(KindSite, s.options.Name) }

// Name returns the site's name.
func (s Site) Name() string { return s.options.Name }

// Zone returns the availability zone whose entry instances serve the site.
func (s Site) Zone() string { return s.options.Zone }

// TimeToLive returns how long clients may cache a look-up answer, in
// milliseconds.
func (s Site) TimeToLive() dhclock.Millis { return s.options.TimeToLive }

// Default reports whether clients whose address no block covers are assigned to
// this site.
func (s Site) Default() bool { return s.options.Default }

func (s Site) references() []Ref { return []Ref{NewRef(KindZone, s.options.Zone)} }

func (s Site) check(p *problems) {
	p.requireRange(s.Ref(), "timeToLiveMs", s.options.TimeToLive.Milliseconds(), 1, MaxTimeToLive.Milliseconds())
}
