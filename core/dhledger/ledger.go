// Package dhledger is the replicated state machine that every voter derives
// from the log: the configuration with the recent history of accepted change
// sets, and the claims of requests that must run at most once.
//
// Apply is deterministic: the same entries lead to the same state and results
// on every voter, because the only time it uses is the log time in the entries.
package dhledger

import (
	"cmp"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhhistory"
	"dogwoodhitch/core/dhmessage"
)

// MaxClaims bounds the number of claims that are kept at once.
const MaxClaims = 200_000

// MaxResponseBytes bounds the total size of the recorded responses of all claims.
// If a response would exceed it, the claim is recorded as ClaimRan without a
// response.
const MaxResponseBytes = 64 << 20

// Ledger is the replicated state after the log entry at Index.
type Ledger struct {
	index         uint64
	term          uint64
	logTime       dhclock.Millis
	catalog       *dhcatalog.Catalog
	records       records
	claims        map[dhmessage.ClaimKey]dhmessage.ClaimRecord
	expiry        expiryQueue
	responseBytes int // bytes of recorded responses
}

// New returns a ledger with the state of a snapshot. Of a snapshot of an earlier release, which
// bounded the history by its number of change sets, it keeps the content of the newest ones.
func New(s dhmessage.Snapshot) *Ledger {
	loader := NewLoader()
	loader.SetLimitsChangedAt(s.LimitsChangedAt())
	for _, r := range s.Receipts() {
		loader.AddReceipt(r)
	}
	for _, a := range s.RecentChanges() {
		loader.AddChange(a)
	}
	for _, d := range s.DrainStarts() {
		loader.AddDrainStart(d)
	}
	l := &Ledger{
		index:   s.Index(),
		term:    s.Term(),
		logTime: s.LogTime(),
		catalog: s.Catalog(),
		records: loader.records,
		claims:  map[dhmessage.ClaimKey]dhmessage.ClaimRecord{},
	}
	if l.catalog == nil {
		l.catalog = dhcatalog.New()
	}
	for _, c := range s.Claims() {
		l.storeClaim(c)
	}
	return l
}

// Index returns the index of the last entry applied.
func (l *Ledger) Index() uint64 { return l.index }

// Catalog returns the current version of the configuration.
func (l *Ledger) Catalog() *dhcatalog.Catalog { return l.catalog }

// History returns the newest accepted change sets.
func (l *Ledger) History() dhhistory.History { return l.records.history }

// OlderReceipts returns the receipts of the accepted change sets before the history, oldest first.
// The caller must not change the slice.
func (l *Ledger) OlderReceipts() []dhmessage.Receipt {
	return l.records.olderReceipts()
}

// DrainStart returns the log time at which a drain was accepted; false if it isn't recorded.
func (l *Ledger) DrainStart(name string) (dhclock.Millis, bool) {
	at, found := l.records.drainStarts[name]
	return at, found
}

// LimitsChangedAt returns the log time at which limits, or the instances among
// which they are divided, last changed; 0 if no change is recorded.
func (l *Ledger) LimitsChangedAt() dhclock.Millis { return l.records.limitsChangedAt }

// ClaimCount returns the number of claims that are kept.
func (l *Ledger) ClaimCount() int { return len(l.claims) }

// ResponseBytes returns the size of the recorded responses of all claims, in bytes.
func (l *Ledger) ResponseBytes() int { return l.responseBytes }

// ApproximateBytes returns the approximate size of the state in memory, in bytes. It counts
// objects, receipts and claims alike.
func (l *Ledger) ApproximateBytes() int {
	records := l.catalog.Len() + len(l.records.receipts) + len(l.claims)
	return dhmessage.RecordBytes*records + l.catalog.BlockCount()*dhcatalog.StoredBlockBytes + l.records.history.ApproximateBytes() + l.responseBytes
}

// Claim returns the stored record of a claim; false if none is kept.
func (l *Ledger) Claim(k dhmessage.ClaimKey) (dhmessage.ClaimRecord, bool) {
	c, found := l.claims[k]
	return c, found
}

// Claims returns the claims for which match returns true, sorted by
// organisation and key.
func (l *Ledger) Claims(match func(c dhmessage.ClaimRecord) bool) []dhmessage.ClaimRecord {
	var list []dhmessage.ClaimRecord
	for _, c := range l.claims {
		if match(c) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b dhmessage.ClaimRecord) int {
		return cmp.Or(
			cmp.Compare(a.Key().Organisation(), b.Key().Organisation()),
			cmp.Compare(a.Key().Key(), b.Key().Key()),
		)
	})
	return list
}

// Apply applies the next committed entry and returns its result. The log time
// never moves backwards.
func (l *Ledger) Apply(e dhmessage.Entry) dhmessage.Result {
	l.index, l.term = e.Index(), e.Term()
	l.logTime = max(l.logTime, e.LogTime())
	l.deleteExpiredClaims()
	switch c := e.Command().(type) {
	case dhmessage.Change:
		return l.applyChange(c.ChangeSet())
	case dhmessage.Declare:
		return l.applyDeclare(c)
	case dhmessage.Edit:
		return l.applyEdit(c)
	case dhmessage.Claim:
		return l.applyClaim(c)
	case dhmessage.Outcome:
		return l.applyOutcome(c)
	case dhmessage.Resolve:
		return l.applyResolve(c)
	default:
		return dhmessage.NewResult(dhmessage.ResultOptions{Version: l.catalog.Version()})
	}
}

// Snapshot returns a snapshot of the state, with the members that the caller
// supplies.
func (l *Ledger) Snapshot(members []dhmessage.Member) dhmessage.Snapshot {
	o := dhmessage.SnapshotOptions{
		Index: l.index, Term: l.term, LogTime: l.logTime, Members: members, Catalog: l.catalog,
		Claims: l.Claims(func(dhmessage.ClaimRecord) bool { return true }),
	}
	l.records.addTo(&o)
	return dhmessage.NewSnapshot(o)
}
