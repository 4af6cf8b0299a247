package dhcontrol

import (
	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhgrant"
	"dogwoodhitch/core/dhledger"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhview"
)

// A snapshot is taken once the log has a number of entries or bytes, and half the size of the
// state, so that the cost of snapshots stays in proportion to the log.
const (
	// defaultCompactEntries is the least number of log entries between two
	// snapshots, unless they exceed minCompactBytes.
	defaultCompactEntries = 1024
	// minCompactBytes is the least size of such entries, in bytes. A declaration
	// alone may have a megabyte.
	minCompactBytes = 8 << 20
)

// leadership is what a leader has recorded since its election.
type leadership struct {
	// lastCheck is when the version in force everywhere was last computed.
	lastCheck dhclock.Millis
	accepted  []acceptedVersion
	// maxStaleGrace is the longest stale grace that any organisation has had
	// since the election.
	maxStaleGrace dhclock.Millis
	// grantsAllowedAt is when the first tokens may be granted.
	grantsAllowedAt dhclock.Millis
}

// acceptedVersion records when a version was accepted, on this process's clock.
type acceptedVersion struct {
	version uint64
	at      dhclock.Millis
}

// applyCommitted applies the entries that are committed and not yet applied.
func (s *State) applyCommitted(out *dheffect.List) {
	v := s.voter
	if v == nil {
		return
	}
	if snapshot := v.node.Snapshot(); snapshot.Index() > v.ledger.Index() {
		v.ledger = dhledger.New(snapshot)
		v.appliedMembers, v.appliedBytes = snapshot.Members(), 0
		s.distributeCatalog()
	}
	for v.ledger.Index() < v.node.CommitIndex() {
		e, found := v.node.Entry(v.ledger.Index() + 1)
		if !found {
			return
		}
		s.applyEntry(e, out)
	}
}

func (s *State) applyEntry(e dhmessage.Entry, out *dheffect.List) {
	v := s.voter
	before := v.ledger.Catalog().Version()
	result := v.ledger.Apply(e)
	v.appliedBytes += e.ApproximateBytes()
	if m, ok := e.Command().(dhmessage.Members); ok {
		v.appliedMembers = m.List()
	}
	if version := v.ledger.Catalog().Version(); version != before {
		if v.wasLeader {
			v.leadership.recordAccepted(version, s.now, v.ledger.Catalog())
		}
		if v.ledger.LimitsChangedAt() == e.LogTime() {
			s.distribution.SetLimitsChangedAt(s.now)
			if e.Term() < v.knownTerm {
				// An earlier leader may have accepted this change and granted
				// tokens under it.
				v.leadership.grantsAllowedAt = max(v.leadership.grantsAllowedAt, s.now+max(dhgrant.OwnerTTL, dhview.FreshnessLease))
			}
		}
		s.distributeCatalog()
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "ledger", Text: "accepted a change set", Number: version}))
	}
	for _, p := range v.pending[e.Index()] {
		delete(v.pendingKeys, p.key)
		if p.term == e.Term() {
			v.recordAnswered(p, result, s.now)
			s.sendProposeResponse(p, result, out)
		}
	}
	delete(v.pending, e.Index())
}

func (r *leadership) recordAccepted(version uint64, now dhclock.Millis, c *dhcatalog.Catalog) {
	r.accepted = append(r.accepted, acceptedVersion{version: version, at: now})
	r.updateMaxStaleGrace(c)
}

func (r *leadership) updateMaxStaleGrace(c *dhcatalog.Catalog) {
	for _, o := range c.List(dhcatalog.KindOrganisation) {
		r.maxStaleGrace = max(r.maxStaleGrace, o.(dhcatalog.Organisation).StaleGrace())
	}
}

// newestPastGrace returns the newest version that was accepted longer ago than
// the freshness lease and the longest stale grace together. By then every
// instance has this version or no longer serves.
func (r *leadership) newestPastGrace(now, lease dhclock.Millis) uint64 {
	newest := uint64(0)
	for len(r.accepted) > 0 && now.Since(r.accepted[0].at) > lease+r.maxStaleGrace {
		newest = r.accepted[0].version
		if len(r.accepted) == 1 || now.Since(r.accepted[1].at) <= lease+r.maxStaleGrace {
			return newest
		}
		r.accepted = r.accepted[1:]
	}
	return newest
}

// distributeCatalog passes the ledger's configuration to the distribution.
func (s *State) distributeCatalog() {
	s.distribution.SetCatalog(s.now, s.voter.ledger.Catalog(), s.voter.ledger.History())
}

// compactLog takes a snapshot when the log has outgrown the state.
func (s *State) compactLog(out *dheffect.List) {
	v := s.voter
	if v == nil || v.appliedBytes < v.ledger.ApproximateBytes()/2 {
		return
	}
	if v.ledger.Index()-v.node.SnapshotIndex() < uint64(v.compactEntries) && v.appliedBytes < minCompactBytes {
		return
	}
	v.appliedBytes = 0
	v.node.Compact(v.ledger.Snapshot(v.appliedMembers), out)
}
