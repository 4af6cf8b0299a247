package dhtraffic

// retryUnit is one retry; budgets count in thousandths.
const retryUnit = 1000

// budget keeps retries to a part of the requests, so that they can't multiply a
// failure, but for a reserve.
type budget struct {
	level int
	most  int // the reserve
	earns int // for each request
}

// earn counts a request that is sent out.
func (b *budget) earn() { b.level = min(b.most, b.level+b.earns) }

func (b *budget) take() bool {
	if b.level < retryUnit {
		return false
	}
	b.level -= retryUnit
	return true
}

// Bounds of the budget of upstreams that announce themselves here: a tenth of
// the requests, and a reserve of one retry a slot, since everything that runs
// fails at once when a whole zone does.
const (
	poolEarns   = retryUnit / 10
	poolReserve = 10 * retryUnit // at least
)

func newPoolBudget() budget { return budget{level: poolReserve, most: poolReserve, earns: poolEarns} }

// Parts of the fleet's retry budget that are used, in percent: instances may
// differ for a moment in what they know of the fleet.
const (
	fleetEarnPercent    = 75
	fleetReservePercent = 70
)

// share takes this instance's part of the fleet's budget: each instance earns
// with its own requests, and the reserve is split, so that all parts together
// keep to the budget.
func (b *budget) share(fleet RetryBudget, instances int) {
	first := b.most == 0
	b.earns = fleet.PerMille * fleetEarnPercent / 100
	b.most = max(retryUnit, fleet.Reserve*retryUnit*fleetReservePercent/100/max(1, instances))
	b.level = min(b.level, b.most)
	if first {
		b.level = b.most / 2
	}
}
