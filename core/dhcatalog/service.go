package dhcatalog

import "dogwoodhitch/core/dhclock"

// ServiceOptions are the fields of a Service.
type ServiceOptions struct {
	Name string
	// SpillPercent is the largest share of a region's slots for this service
	// that requests from other regions may hold, in percent.
	SpillPercent int
	// ColdStart is the time in which a new upstream rises to all its slots.
	ColdStart dhclock.Millis
	// ColdRate is how many thousandths of a request a second a cold upstream
	// bears over all instances together; 0 for no bound.
	ColdRate int64
	// MaxConnections is how many connections an upstream accepts from all
	// instances together; 0 if unknown.
	MaxConnections int
	// HealthPath is the path on which upstreams tell their health, or "".
	HealthPath string
}

// Service is a set of interchangeable upstreams.
type Service struct{ options ServiceOptions }

// NewService returns a service.
func NewService(o ServiceOptions) Service { return Service{options: o} }

// Ref implements Object.
func (s Service) Ref() Ref { return NewRef(KindService, s.options.Name) }

// Name returns the service's name, which upstreams announce.
func (s Service) Name() string { return s.options.Name }

// SpillPercent returns the share of slots open to other zones, in percent.
func (s Service) SpillPercent() int { return s.options.SpillPercent }

// ColdStart returns the ramp of a new upstream, in milliseconds.
func (s Service) ColdStart() dhclock.Millis { return s.options.ColdStart }

// ColdRate returns the bound of a cold upstream in thousandths of a request a
// second, or 0.
func (s Service) ColdRate() int64 { return s.options.ColdRate }

// MaxConnections returns how many connections an upstream accepts, or 0.
func (s Service) MaxConnections() int { return s.options.MaxConnections }

// HealthPath returns the path on which upstreams tell their health, or "".
func (s Service) HealthPath() string { return s.options.HealthPath }

func (s Service) references() []Ref { return nil }

func (s Service) check(p *problems) {
	p.requireRange(s.Ref(), "spillPercent", int64(s.options.SpillPercent), 0, 100)
	p.requireRange(s.Ref(), "coldStartMs", s.options.ColdStart.Milliseconds(), 0, MaxTimeout.Milliseconds())
	p.requireRange(s.Ref(), "coldRateMilli", s.options.ColdRate, 0, maxColdRate)
	p.requireRange(s.Ref(), "maxConnections", int64(s.options.MaxConnections), 0, maxServiceConnections)
}

// ColdRateUnit is one request a second in the unit of ColdRate.
const ColdRateUnit = 1000

// Bounds of a service's fields.
const (
	maxColdRate           = ColdRateUnit * MaxRate
	maxServiceConnections = 1_000_000
)
