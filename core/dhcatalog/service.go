package dhcatalog

import "dogwoodhitch/core/dhclock"

// ServiceOptions are the fields of a Service.
type ServiceOptions struct {
	Name string
	// SpillPercent is the maximum share of an instance's slots for this service
	// that requests forwarded by other instances may occupy, in percent.
	SpillPercent int
	// ColdStart is the duration of the slow start: the time in which the number
	// of usable slots of a new upstream rises to all its slots, in
	// milliseconds.
	ColdStart dhclock.Millis
	// ColdRate bounds the requests that all instances together send to an
	// upstream in cold start, in thousandths of a request per second; 0 for no
	// bound.
	ColdRate int64
	// MaxConnections is the number of connections that an upstream accepts from
	// all instances together; 0 if unknown.
	MaxConnections int
	// HealthPath is the path of the upstreams' health check, or "" for none.
	HealthPath string
}

// Service is a set of interchangeable upstreams.
type Service struct{ options ServiceOptions }

// NewService returns a service.
func NewService(o ServiceOptions) Service { return Service{options: o} }

// Ref implements Object.
func (s Service) Ref() Ref { return NewRef(KindService, s.options.Name) }

// Name returns the service's name, which upstreams register with.
func (s Service) Name() string { return s.options.Name }

// SpillPercent returns the maximum share of an instance's slots that requests
// forwarded by other instances may occupy, in percent.
func (s Service) SpillPercent() int { return s.options.SpillPercent }

// ColdStart returns the duration of the slow start, in milliseconds.
func (s Service) ColdStart() dhclock.Millis { return s.options.ColdStart }

// ColdRate returns the request rate bound of an upstream in cold start, in
// thousandths of a request per second; 0 for no bound.
func (s Service) ColdRate() int64 { return s.options.ColdRate }

// MaxConnections returns the number of connections that an upstream accepts
// from all instances together; 0 if unknown.
func (s Service) MaxConnections() int { return s.options.MaxConnections }

// HealthPath returns the path of the upstreams' health check, or "" for none.
func (s Service) HealthPath() string { return s.options.HealthPath }

func (s Service) references() []Ref { return nil }

func (s Service) check(p *problems) {
	p.requireRange(s.Ref(), "spillPercent", int64(s.options.SpillPercent), 0, 100)
	p.requireRange(s.Ref(), "coldStartMs", s.options.ColdStart.Milliseconds(), 0, MaxTimeout.Milliseconds())
	p.requireRange(s.Ref(), "coldRateMilli", s.options.ColdRate, 0, maxColdRate)
	p.requireRange(s.Ref(), "maxConnections", int64(s.options.MaxConnections), 0, maxServiceConnections)
}

// ColdRateUnit is the ColdRate of one request per second.
const ColdRateUnit = 1000

// Bounds of a service's fields.
const (
	maxColdRate           = ColdRateUnit * MaxRate
	maxServiceConnections = 1_000_000
)
