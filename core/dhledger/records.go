package dhledger

import (
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhhistory"
	"dogwoodhitch/core/dhmessage"
)

// MaxReceipts bounds the accepted change sets whose resends are recognised.
const MaxReceipts = 4096

// records are what is kept of the accepted change sets.
type records struct {
	history      dhhistory.History
	receipts     []dhmessage.Receipt // of the newest change sets, oldest first
	receiptsByID map[string]dhmessage.Receipt
	// limitsChangedAt is the log time of the last change of limits, or of the
	// instances among which limits are divided.
	limitsChangedAt dhclock.Millis
	// drainStarts are the log times at which the drains were accepted, by name.
	drainStarts map[string]dhclock.Millis
}

func newRecords() records {
	return records{receiptsByID: map[string]dhmessage.Receipt{}, drainStarts: map[string]dhclock.Millis{}}
}

// accept records an accepted change set, whose content is kept while the history has capacity for
// it. The text of a declaration stays in the catalog alone: the history would hold as many texts
// as changes.
func (r *records) accept(a dhmessage.AcceptedChange) {
	if a.ChangeSet().AffectsLimits() {
		r.limitsChangedAt = max(r.limitsChangedAt, a.LogTime())
	}
	r.recordDrains(a)
	r.history = r.history.With(a.WithoutText())
	r.addReceipt(a.Receipt())
}

// recordDrains records when the drains were accepted that a change set puts.
func (r *records) recordDrains(a dhmessage.AcceptedChange) {
	for _, ref := range a.ChangeSet().Deletes() {
		if ref.Kind() == dhcatalog.KindDrain {
			delete(r.drainStarts, ref.Name())
		}
	}
	for _, o := range a.ChangeSet().Puts() {
		if ref := o.Ref(); ref.Kind() == dhcatalog.KindDrain {
			r.drainStarts[ref.Name()] = a.LogTime()
		}
	}
}

// addReceipt appends to the receipts and drops the oldest one beyond MaxReceipts.
func (r *records) addReceipt(x dhmessage.Receipt) {
	r.receipts = append(r.receipts, x)
	r.receiptsByID[x.ID()] = x
	if len(r.receipts) <= MaxReceipts {
		return
	}
	delete(r.receiptsByID, r.receipts[0].ID())
	r.receipts = r.receipts[1:]
}

// olderReceipts returns the receipts of the change sets before the history, oldest first.
func (r *records) olderReceipts() []dhmessage.Receipt {
	return r.receipts[:max(0, len(r.receipts)-len(r.history.Changes()))]
}

// addTo sets the fields of a snapshot that the records make up.
func (r *records) addTo(o *dhmessage.SnapshotOptions) {
	o.RecentChanges, o.Receipts = r.history.Changes(), append([]dhmessage.Receipt(nil), r.olderReceipts()...)
	o.LimitsChangedAt = r.limitsChangedAt
	o.DrainStarts = nil
	for _, name := range slices.Sorted(maps.Keys(r.drainStarts)) {
		o.DrainStarts = append(o.DrainStarts, dhmessage.NewDrainStart(name, r.drainStarts[name]))
	}
}

// Loader collects the accepted change sets of a stored state one after another, oldest first. Those
// whose content isn't kept are never in memory together: earlier releases bounded the history by
// the number of change sets alone.
type Loader struct{ records records }

// NewLoader returns an empty loader.
func NewLoader() *Loader { return &Loader{records: newRecords()} }

// AddReceipt adds a change set without its content.
func (l *Loader) AddReceipt(r dhmessage.Receipt) { l.records.addReceipt(r) }

// AddChange adds a change set with its content.
func (l *Loader) AddChange(a dhmessage.AcceptedChange) { l.records.accept(a) }

// AddDrainStart adds the log time at which a drain was accepted.
func (l *Loader) AddDrainStart(d dhmessage.DrainStart) { l.records.drainStarts[d.Name()] = d.LogTime() }

// SetLimitsChangedAt sets the log time of the last change of limits.
func (l *Loader) SetLimitsChangedAt(at dhclock.Millis) {
	l.records.limitsChangedAt = max(l.records.limitsChangedAt, at)
}

// Snapshot returns the snapshot with the given fields and the change sets that were added.
func (l *Loader) Snapshot(o dhmessage.SnapshotOptions) dhmessage.Snapshot {
	l.records.addTo(&o)
	return dhmessage.NewSnapshot(o)
}
