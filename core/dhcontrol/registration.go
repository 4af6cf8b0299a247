package dhcontrol

import (
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// registrations are the registrations of ready upstreams that the leader has received from
// control processes and not proposed yet. When a whole fleet starts, every control process
// sends some in each interval. Each change of the configuration costs every process the
// same, so they share one.
type registrations struct {
	records   []dhcatalog.Object
	proposals []pendingProposal
	lastBatch dhclock.Millis
}

// formationTime is how long the leader of a group without instances waits for control
// processes to join, in milliseconds.
const formationTime = joinInterval + 2*automationInterval

// isRegistration reports whether an edit only puts ready upstreams, whose control process
// waits for no result.
func isRegistration(e dhmessage.Edit) bool {
	return e.Author() == registryAuthor && len(e.Puts()) > 0 && len(e.Deletes()) == 0 &&
		!slices.ContainsFunc(e.Puts(), func(o dhcatalog.Object) bool {
			u, ok := o.(dhcatalog.Upstream)
			return !ok || u.State() != dhcatalog.UpstreamReady
		})
}

func (r *registrations) add(p pendingProposal, e dhmessage.Edit) {
	r.records = append(r.records, e.Puts()...)
	r.proposals = append(r.proposals, p)
}

// isForming reports whether the consensus group was formed so recently that control processes
// may not have joined it yet. Instances that know no member in their zone would get the first
// records from the few founders.
func (v *voter) isForming(now dhclock.Millis) bool {
	return now.Since(v.node.ElectedAt()) < formationTime && v.ledger.Catalog().InstanceCount() == 0
}

// proposeRegistrations proposes the received registrations as one edit, unless others were
// proposed within registerInterval.
func (v *voter) proposeRegistrations(now dhclock.Millis, out *dheffect.List) {
	r := &v.registrations
	if len(r.records) == 0 || now.Since(r.lastBatch) < registerInterval || v.isForming(now) {
		return
	}
	index, ok := v.node.Propose(registrationEdit(r.records...), out)
	if !ok {
		return
	}
	v.pending[index] = r.proposals
	*r = registrations{lastBatch: now}
}
