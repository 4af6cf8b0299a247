// Package dhburn computes burn rates: how fast routes consume the error budgets
// of their service-level objectives, by organisation and over several windows.
package dhburn

import (
	"cmp"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
)

// Slots of the two ring buffers of counters: one hour in slots of a minute, and
// six hours in slots of five minutes.
const (
	minute         dhclock.Millis = 60 * dhclock.Second
	fineSlots                     = 60
	coarseSlots                   = 72
	coarseInterval                = 5 * minute
	// maxSeries bounds the number of pairs of route and organisation.
	maxSeries = 4096
)

// Burn rates that raise an alert. Both the short and the long window of a pair
// must reach the rate.
const (
	// PageRate over 5 minutes and 1 hour uses 2 % of a 30-day budget an hour.
	PageRate = 14.4
	// TicketRate over 30 minutes and 6 hours uses 5 % of it in 6 hours.
	TicketRate = 6.0
)

// Alert is the urgency of a burn rate.
type Alert string

// The values of Alert.
const (
	AlertNone   Alert = "ok"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

type seriesKey struct {
	route        string
	organisation string
}

type counter struct {
	total uint32
	bad   uint32
}

// ring is a ring buffer that counts requests in slots of a fixed duration.
type ring struct {
	slotDuration dhclock.Millis
	slots        []counter
	newest       int64 // number of the newest slot
}

func newRing(slotDuration dhclock.Millis, slots int) ring {
	return ring{slotDuration: slotDuration, slots: make([]counter, slots)}
}

// advance clears the slots between the newest one and the current time.
func (r *ring) advance(now dhclock.Millis) {
	number := int64(now / r.slotDuration)
	n := int64(len(r.slots))
	for k := max(r.newest+1, number-n+1); k <= number; k++ {
		r.slots[k%n] = counter{}
	}
	r.newest = max(r.newest, number)
}

func (r *ring) add(now dhclock.Millis, bad bool) {
	r.advance(now)
	c := &r.slots[r.newest%int64(len(r.slots))]
	c.total++
	if bad {
		c.bad++
	}
}

// sum adds up the newest slots.
func (r *ring) sum(now dhclock.Millis, slots int) (total, bad uint64) {
	r.advance(now)
	n := int64(len(r.slots))
	for k := r.newest; k > r.newest-int64(slots) && k >= 0; k-- {
		c := r.slots[k%n]
		total += uint64(c.total)
		bad += uint64(c.bad)
	}
	return total, bad
}

type series struct {
	fine   ring
	coarse ring
}

// Recorder counts good and bad requests by route and organisation.
type Recorder struct{ series map[seriesKey]*series }

// New returns an empty recorder.
func New() *Recorder { return &Recorder{series: map[seriesKey]*series{}} }

// Add counts a request of a route and organisation. Beyond maxSeries pairs,
// requests of new pairs are not counted.
func (r *Recorder) Add(now dhclock.Millis, route, organisation string, bad bool) {
	key := seriesKey{route, organisation}
	s, found := r.series[key]
	if !found {
		if len(r.series) >= maxSeries {
			return
		}
		s = &series{fine: newRing(minute, fineSlots), coarse: newRing(coarseInterval, coarseSlots)}
		r.series[key] = s
	}
	s.fine.add(now, bad)
	s.coarse.add(now, bad)
}

// RowOptions are the fields of a Row.
type RowOptions struct {
	Objective    string
	Route        string
	Organisation string
	Target       float64
	Total        uint64
	Bad          uint64
	Burn5m       float64
	Burn30m      float64
	Burn1h       float64
	Burn6h       float64
}

// Row holds the burn rates of one objective for one organisation.
type Row struct{ options RowOptions }

// NewRow returns a row.
func NewRow(o RowOptions) Row { return Row{options: o} }

// Objective returns the objective's name.
func (r Row) Objective() string { return r.options.Objective }

// Route returns the route's name.
func (r Row) Route() string { return r.options.Route }

// Organisation returns the organisation, or "" on open routes.
func (r Row) Organisation() string { return r.options.Organisation }

// Target returns the share of requests that must be good, from 0 to 1.
func (r Row) Target() float64 { return r.options.Target }

// Total returns the number of requests of the last six hours.
func (r Row) Total() uint64 { return r.options.Total }

// Bad returns the number of bad requests of the last six hours.
func (r Row) Bad() uint64 { return r.options.Bad }

// Burn5m returns the burn rate over 5 minutes; a rate of 1 consumes exactly the
// budget.
func (r Row) Burn5m() float64 { return r.options.Burn5m }

// Burn30m returns the burn rate over 30 minutes.
func (r Row) Burn30m() float64 { return r.options.Burn30m }

// Burn1h returns the burn rate over an hour.
func (r Row) Burn1h() float64 { return r.options.Burn1h }

// Burn6h returns the burn rate over six hours.
func (r Row) Burn6h() float64 { return r.options.Burn6h }

// Alert returns the urgency of the burn rates.
func (r Row) Alert() Alert {
	switch {
	case r.options.Burn5m >= PageRate && r.options.Burn1h >= PageRate:
		return AlertPage
	case r.options.Burn30m >= TicketRate && r.options.Burn6h >= TicketRate:
		return AlertTicket
	default:
		return AlertNone
	}
}

// Rows returns the burn rates of every objective for every organisation that sent
// requests, highest first.
func (r *Recorder) Rows(now dhclock.Millis, objectives []dhcatalog.Objective) []Row {
	var rows []Row
	for _, o := range objectives {
		for key, s := range r.series {
			if key.route == o.Route() {
				rows = append(rows, s.row(now, o, key))
			}
		}
	}
	Sort(rows)
	return rows
}

// Sort sorts rows by burn rate over an hour, then over six hours, highest first.
func Sort(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			-cmp.Compare(a.Burn1h(), b.Burn1h()), -cmp.Compare(a.Burn6h(), b.Burn6h()),
			cmp.Compare(a.Route(), b.Route()), cmp.Compare(a.Organisation(), b.Organisation()),
		)
	})
}

func (s *series) row(now dhclock.Millis, o dhcatalog.Objective, key seriesKey) Row {
	budget := float64(1_000_000-o.TargetPerMillion()) / 1_000_000
	rate := func(r *ring, slots int) float64 {
		total, bad := r.sum(now, slots)
		if total == 0 {
			return 0
		}
		return float64(bad) / float64(total) / budget
	}
	total, bad := s.coarse.sum(now, coarseSlots)
	return NewRow(RowOptions{
		Objective: o.Name(), Route: key.route, Organisation: key.organisation,
		Target: 1 - budget, Total: total, Bad: bad,
		Burn5m: rate(&s.fine, 5), Burn30m: rate(&s.fine, 30),
		Burn1h: rate(&s.fine, fineSlots), Burn6h: rate(&s.coarse, coarseSlots),
	})
}
