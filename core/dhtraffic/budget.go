package dhtraffic

// retryUnit is one retry; budgets count in thousandths.
const retryUnit = 1000

// retryBucket keeps retries to a part of the requests, so that they can't multiply a
// failure, but for a reserve.
type retryBucket struct {
	level            int
	capacity         int // the reserve
	creditPerRequest int // for each request
}

// credit counts a request that is sent out.
func (b *retryBucket) credit() { b.level = min(b.capacity, b.level+b.creditPerRequest) }

func (b *retryBucket) acquire() bool {
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
	poolCreditPerRequest = retryUnit / 10
	minPoolReserve       = 10 * retryUnit // at least
)

func newPoolRetryBucket() retryBucket {
	return retryBucket{level: minPoolReserve, capacity: minPoolReserve, creditPerRequest: poolCreditPerRequest}
}

// Parts of the fleet's retry budget that are used, in percent: instances may
// differ for a moment in what they know of the fleet.
const (
	clusterCreditPercent  = 75
	clusterReservePercent = 70
)

// setClusterShare takes this instance's part of the fleet's budget: each instance earns
// with its own requests, and the reserve is split, so that all parts together
// keep to the budget.
func (b *retryBucket) setClusterShare(fleet RetryBudget, instances int) {
	first := b.capacity == 0
	b.creditPerRequest = fleet.PerMille * clusterCreditPercent / 100
	b.capacity = max(retryUnit, fleet.Reserve*retryUnit*clusterReservePercent/100/max(1, instances))
	b.level = min(b.level, b.capacity)
	if first {
		b.level = b.capacity / 2
	}
}
