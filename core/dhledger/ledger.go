// Package dhledger holds the state that every voter derives from the
// replicated log: the configuration with the memory of accepted change sets,
// and the claims of requests that must run at most once.
//
// Apply is deterministic: the same entries give the same state and results on
// every voter, since time is the log time that entries carry.
package dhledger

import (
	"cmp"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// MaxRecent is how many accepted change sets are remembered, for the history,
// for resends, and for instances that catch up.
const MaxRecent = 4096

// MaxClaims bounds how many claims are kept at once.
const MaxClaims = 200_000

// MaxAnswerBytes bounds the recorded answers of all claims together. A claim
// whose answer finds no room is kept as one that ran.
const MaxAnswerBytes = 64 << 20

// Ledger is the replicated state after the entry at Index.
type Ledger struct {
	index       uint64
	term        uint64
	at          dhclock.Millis
	catalog     *dhcatalog.Catalog
	recent      []dhmessage.Accepted
	byID        map[string]dhmessage.Accepted
	claims      map[dhmessage.ClaimKey]dhmessage.ClaimRecord
	expiry      expiryQueue
	answerBytes int // bytes of recorded answers
	// limitsChangedAt is the log time of the last change of what limits are split by.
	limitsChangedAt dhclock.Millis
}

// New returns the state that a snapshot holds.
func New(s dhmessage.Snapshot) *Ledger {
	l := &Ledger{
		index:   s.Index(),
		term:    s.Term(),
		at:      s.At(),
		catalog: s.Catalog(),
		recent:  slices.Clone(s.Recent()),
		byID:    map[string]dhmessage.Accepted{},
		claims:  map[dhmessage.ClaimKey]dhmessage.ClaimRecord{},
	}
	if l.catalog == nil {
		l.catalog = dhcatalog.New()
	}
	for _, a := range l.recent {
		l.byID[a.Set().ID()] = a
		l.recordLimitsChange(a)
	}
	for _, c := range s.Claims() {
		l.storeClaim(c)
	}
	return l
}

// Index returns the index of the last entry applied.
func (l *Ledger) Index() uint64 { return l.index }

// Catalog returns the configuration.
func (l *Ledger) Catalog() *dhcatalog.Catalog { return l.catalog }

// Recent returns the newest accepted change sets, oldest first. The caller
// must not change the slice.
func (l *Ledger) Recent() []dhmessage.Accepted { return l.recent }

// LimitsChangedAt returns the log time at which limits, or the instances that share
// them, last changed.
func (l *Ledger) LimitsChangedAt() dhclock.Millis { return l.limitsChangedAt }

// ClaimCount returns how many claims are kept.
func (l *Ledger) ClaimCount() int { return len(l.claims) }

// Claim returns what is known of a claim at the log time of the last entry.
func (l *Ledger) Claim(k dhmessage.ClaimKey) (dhmessage.ClaimRecord, bool) {
	c, found := l.claims[k]
	return c, found
}

// Claims returns the claims for which keep returns true, in the order of their
// keys.
func (l *Ledger) Claims(keep func(c dhmessage.ClaimRecord) bool) []dhmessage.ClaimRecord {
	var list []dhmessage.ClaimRecord
	for _, c := range l.claims {
		if keep(c) {
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

// Apply takes the next committed entry and returns what it led to.
func (l *Ledger) Apply(e dhmessage.Entry) dhmessage.Result {
	l.index, l.term = e.Index(), e.Term()
	l.at = max(l.at, e.At())
	l.deleteExpiredClaims()
	switch c := e.Command().(type) {
	case dhmessage.Change:
		return l.applyChange(c.Set())
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

// Snapshot returns the state, with the members given by the caller.
func (l *Ledger) Snapshot(voters []dhmessage.Voter) dhmessage.Snapshot {
	return dhmessage.NewSnapshot(dhmessage.SnapshotOptions{
		Index: l.index, Term: l.term, At: l.at,
		Voters: voters, Catalog: l.catalog, Recent: slices.Clone(l.recent),
		Claims: l.Claims(func(dhmessage.ClaimRecord) bool { return true }),
	})
}
