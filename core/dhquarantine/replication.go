package dhquarantine

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
)

// Bounds of the time after which all suspects are sent again to a process whose set differs,
// in milliseconds. It doubles while the sets differ: full sets keep different suspects, and a process
// of a release that ignores suspects never has any.
const (
	resendInterval    dhclock.Millis = 1000
	maxResendInterval dhclock.Millis = 32_000
)

// Replication tracks what one other process has of a Set. Reports may be lost; digests
// that differ show it.
type Replication struct {
	sent     uint64 // changes that were sent
	resentAt dhclock.Millis
	interval dhclock.Millis // from the last resend to the next; 0 since the sets were last the same
}

// HasUnsent reports whether the set has changes that were not sent.
func (r *Replication) HasUnsent(s *Set) bool { return r.sent < s.changes }

// NextReport returns a report of the changes that were not sent, or nil if the set has
// never held a suspect.
func (r *Replication) NextReport(now dhclock.Millis, s *Set) *dhmessage.SuspectReport {
	if s.changes == 0 {
		return nil
	}
	o := dhmessage.SuspectReportOptions{Digest: s.digest}
	if r.HasUnsent(s) {
		o.Suspects = messages(now, s.suspects, r.sent)
		r.sent = s.changes
	}
	return dhmessage.NewSuspectReport(o)
}

// Compare makes the next report contain all suspects if the other process's digest differs
// although everything was sent.
func (r *Replication) Compare(now dhclock.Millis, s *Set, digest uint64) {
	if digest == s.digest {
		r.interval = 0
		return
	}
	if r.HasUnsent(s) || now.Since(r.resentAt) < max(resendInterval, r.interval) {
		return
	}
	r.sent, r.resentAt = 0, now
	r.interval = min(maxResendInterval, 2*max(resendInterval, r.interval))
}

// Receive merges another process's report, which may be nil, and reports whether it has
// changed the set.
func (r *Replication) Receive(now dhclock.Millis, s *Set, report *dhmessage.SuspectReport) bool {
	if report == nil {
		r.Compare(now, s, 0)
		return false
	}
	wasUpToDate := !r.HasUnsent(s)
	changed := s.Merge(now, report.Suspects())
	if wasUpToDate {
		r.sent = s.changes // the sender has what it reported
	}
	r.Compare(now, s, report.Digest())
	return changed
}
