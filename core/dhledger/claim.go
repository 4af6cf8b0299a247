package dhledger

import (
	"container/heap"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// applyClaim grants a claim that is new or that another claimant has released. A
// claim that its claimant proposes again is granted again while it is open. In
// all other cases the result is the state of the stored claim and its recorded
// response, if there is one, or ClaimMismatch if the request differs.
func (l *Ledger) applyClaim(c dhmessage.Claim) dhmessage.Result {
	old, found := l.claims[c.Key()]
	switch {
	case !found:
		return l.grantClaim(c)
	case old.State() == dhmessage.ClaimReleased && old.Claimant() == c.Claimant():
		return claimResult(dhmessage.ClaimReleased, nil)
	case old.State() == dhmessage.ClaimReleased:
		return l.grantClaim(c)
	case old.Digest() != c.Digest():
		return claimResult(dhmessage.ClaimMismatch, nil)
	case old.State() == dhmessage.ClaimOpen && old.Claimant() == c.Claimant():
		return claimResult(dhmessage.ClaimGranted, nil)
	default:
		return claimResult(l.effectiveState(old), old.Response())
	}
}

// grantClaim records a new open claim unless MaxClaims is reached.
func (l *Ledger) grantClaim(c dhmessage.Claim) dhmessage.Result {
	if len(l.claims) >= MaxClaims {
		return refused(dhmessage.NewRefusedError("claimsFull", "too many claims are kept",
			"shorten retentionMs on the routes that need claims, or wait until older claims expire"))
	}
	l.putClaim(dhmessage.ClaimRecordOptions{
		Key: c.Key(), Claimant: c.Claimant(), Digest: c.Digest(), State: dhmessage.ClaimOpen,
		Deadline: l.logTime + c.Timeout(), Expiry: l.logTime + max(c.Retention(), c.Timeout()),
	})
	return claimResult(dhmessage.ClaimGranted, nil)
}

// effectiveState returns the state of a claim at the current log time: an open
// claim is unclear after its deadline, because the request has ended by then
// without a recorded outcome.
func (l *Ledger) effectiveState(c dhmessage.ClaimRecord) dhmessage.ClaimState {
	if c.State() == dhmessage.ClaimOpen && l.logTime > c.Deadline() {
		return dhmessage.ClaimUnclear
	}
	return c.State()
}

// applyOutcome records the outcome of a claimed request. Only the claimant that
// holds the claim may record one, and a final outcome is never replaced. If a
// response would exceed MaxResponseBytes, the claim is recorded as ClaimRan
// without it.
func (l *Ledger) applyOutcome(o dhmessage.Outcome) dhmessage.Result {
	old, found := l.claims[o.Key()]
	if !found && o.State() == dhmessage.ClaimReleased {
		return l.recordEarlyRelease(o)
	}
	if !found || old.Claimant() != o.Claimant() {
		return claimResult(dhmessage.ClaimNone, nil)
	}
	if old.State() != dhmessage.ClaimOpen && old.State() != dhmessage.ClaimUnclear {
		return claimResult(old.State(), old.Response())
	}
	state, response := o.State(), o.Response()
	if l.responseBytes+response.Size() > MaxResponseBytes {
		state, response = dhmessage.ClaimRan, nil
	}
	l.putClaim(dhmessage.ClaimRecordOptions{
		Key: old.Key(), Claimant: old.Claimant(), Digest: old.Digest(), State: state,
		Response: response, Deadline: old.Deadline(), Expiry: old.Expiry(),
	})
	return claimResult(state, response)
}

// earlyReleaseTTL is how long a release that precedes its claim is kept.
const earlyReleaseTTL = 600 * dhclock.Second

// recordEarlyRelease records a release that was committed before its claim, so
// that the claim isn't granted when it is committed later.
func (l *Ledger) recordEarlyRelease(o dhmessage.Outcome) dhmessage.Result {
	if len(l.claims) >= MaxClaims {
		return claimResult(dhmessage.ClaimNone, nil)
	}
	l.putClaim(dhmessage.ClaimRecordOptions{
		Key: o.Key(), Claimant: o.Claimant(), State: dhmessage.ClaimReleased,
		Deadline: l.logTime, Expiry: l.logTime + earlyReleaseTTL,
	})
	return claimResult(dhmessage.ClaimReleased, nil)
}

// applyResolve records an operator's decision on a claim whose outcome is
// unclear: ClaimRan if the request ran, else ClaimReleased. Other claims are
// refused.
func (l *Ledger) applyResolve(r dhmessage.Resolve) dhmessage.Result {
	old, found := l.claims[r.Key()]
	if !found {
		return refused(dhmessage.NewRefusedError("claimUnknown", "no such claim is kept",
			"check the organisation and the idempotency key; claims are forgotten after the route's retentionMs"))
	}
	if l.effectiveState(old) != dhmessage.ClaimUnclear {
		return refused(dhmessage.NewRefusedError("claimSettled", "the claim is "+old.State().String()+", not unclear",
			"nothing is to be resolved"))
	}
	state := dhmessage.ClaimReleased
	if r.Ran() {
		state = dhmessage.ClaimRan
	}
	l.putClaim(dhmessage.ClaimRecordOptions{
		Key: old.Key(), Claimant: dhmessage.Claimant{}, Digest: old.Digest(), State: state,
		Deadline: old.Deadline(), Expiry: old.Expiry(),
	})
	return claimResult(state, nil)
}

func claimResult(s dhmessage.ClaimState, r *dhmessage.Response) dhmessage.Result {
	return dhmessage.NewResult(dhmessage.ResultOptions{ClaimState: s, Response: r})
}

func (l *Ledger) putClaim(o dhmessage.ClaimRecordOptions) { l.storeClaim(dhmessage.NewClaimRecord(o)) }

// storeClaim stores a claim record in place of an older one with the same key.
func (l *Ledger) storeClaim(c dhmessage.ClaimRecord) {
	l.deleteClaim(c.Key())
	l.claims[c.Key()] = c
	l.responseBytes += c.Response().Size()
	l.expiry.push(c.Expiry(), c.Key())
}

func (l *Ledger) deleteClaim(k dhmessage.ClaimKey) {
	if c, found := l.claims[k]; found {
		l.responseBytes -= c.Response().Size()
		delete(l.claims, k)
	}
}

// deleteExpiredClaims deletes the claims that have expired by the current log
// time.
func (l *Ledger) deleteExpiredClaims() {
	for len(l.expiry) > 0 && l.expiry[0].expiry <= l.logTime {
		k := l.expiry.pop()
		if c, found := l.claims[k]; found && c.Expiry() <= l.logTime {
			l.deleteClaim(k)
		}
	}
}

// expiryItem is the expiry of one stored claim record.
type expiryItem struct {
	expiry dhclock.Millis
	key    dhmessage.ClaimKey
}

// expiryQueue is a min-heap of claims by expiry. It holds an item for each
// record that was stored, so a key may occur several times.
type expiryQueue []expiryItem

func (q *expiryQueue) push(at dhclock.Millis, k dhmessage.ClaimKey) {
	heap.Push(q, expiryItem{expiry: at, key: k})
}

func (q *expiryQueue) pop() dhmessage.ClaimKey { return heap.Pop(q).(expiryItem).key }

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].expiry < q[j].expiry }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiryItem)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
