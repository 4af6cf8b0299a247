package dhtraffic

// retryUnit is one retry: retry budgets count in thousandths of a retry.
const retryUnit = 1000

// retryBucket is a token bucket that limits retries to a fraction of the
// requests plus a reserve, so that retries can't amplify a failure.
type retryBucket struct {
	level            int
	capacity         int // the reserve, in thousandths of a retry
	creditPerRequest int
}

// credit adds the credit of one request.
func (b *retryBucket) credit() { b.level = min(b.capacity, b.level+b.creditPerRequest) }

// acquire takes one retry from the bucket and reports whether there was one.
func (b *retryBucket) acquire() bool {
	if b.level < retryUnit {
		return false
	}
	b.level -= retryUnit
	return true
}

// Retry budget of a pool of announced upstreams: a tenth of the requests, and a
// reserve of one retry per slot, because all running requests fail at once when
// a zone fails.
const (
	poolCreditPerRequest = retryUnit / 10
	minPoolReserve       = 10 * retryUnit // whatever the number of slots
)

func newPoolRetryBucket() retryBucket {
	return retryBucket{level: minPoolReserve, capacity: minPoolReserve, creditPerRequest: poolCreditPerRequest}
}

// Percentages of the cluster's retry budget that the instances divide among
// themselves. The rest is a margin for the moments in which instances have
// different views of how many they are.
const (
	clusterCreditPercent  = 75
	clusterReservePercent = 70
)

// setClusterShare sets this instance's share of the cluster's retry budget. Each
// instance earns credit with its own requests and the reserve is divided evenly,
// so that all shares together stay within the budget. A new bucket starts half
// full.
func (b *retryBucket) setClusterShare(cluster RetryBudget, instances int) {
	first := b.capacity == 0
	b.creditPerRequest = cluster.PerMille * clusterCreditPercent / 100
	b.capacity = max(retryUnit, cluster.Reserve*retryUnit*clusterReservePercent/100/max(1, instances))
	b.level = min(b.level, b.capacity)
	if first {
		b.level = b.capacity / 2
	}
}
