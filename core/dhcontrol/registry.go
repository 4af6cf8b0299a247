package dhcontrol

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
)

// Time constants of the registry of upstreams, in milliseconds.
const (
	// upstreamTimeout is the time without a heartbeat after which the leader
	// removes an upstream's record. Heartbeats may arrive seconds late, and
	// entry instances detect a failed upstream on their own.
	upstreamTimeout = 8 * dhclock.Second
	// goneRetention is how long the record of a deregistered upstream is kept,
	// so that a late heartbeat of it is recognised.
	goneRetention = 60 * dhclock.Second
	// heartbeatReportInterval is the time between two reports of received
	// heartbeats to the leader.
	heartbeatReportInterval = 1 * dhclock.Second
	// registerRetryInterval is the least time between two proposals for one
	// upstream.
	registerRetryInterval dhclock.Millis = 500
	// registerInterval is the least time between two proposals of records.
	// Records queued in between share one proposal, since each change of the
	// configuration costs every process the same, however many records it
	// holds.
	registerInterval dhclock.Millis = 100
	// coldStartTolerance is by how much the ends of a cold start in two
	// heartbeats may differ and still mean the same cold start: heartbeats are
	// delayed in transit and in queues.
	coldStartTolerance dhclock.Millis = 700
	// stateChangeTimeout is how long an upstream that drains or deregisters
	// waits for a majority to store its new state.
	stateChangeTimeout dhclock.Millis = 900
)

// registryAuthor is the recorded author of changes to upstreams.
const registryAuthor = "registry"

// registry is a control process's state of registered upstreams beyond their
// records: when each sent its last heartbeat. The records are part of the
// configuration, which changes only when an upstream reports a new state.
type registry struct {
	lastHeartbeat map[string]dhclock.Millis
	unreported    map[string]bool // heartbeats since the last report to the leader
	lastReport    dhclock.Millis
	lastProposed  map[string]dhclock.Millis
	// queued are records to be proposed; lastBatch is when records were last
	// proposed.
	queued     map[string]dhcatalog.Upstream
	lastBatch  dhclock.Millis
	coldStarts map[string]coldStart
	goneSince  map[string]dhclock.Millis // when a deregistered record was first seen
}

// coldStart is the cold start in an upstream's record, with its end on this
// process's clock.
type coldStart struct {
	reportID int64
	end      dhclock.Millis
}

func newRegistry() registry {
	return registry{
		lastHeartbeat: map[string]dhclock.Millis{}, unreported: map[string]bool{}, lastProposed: map[string]dhclock.Millis{},
		queued:     map[string]dhcatalog.Upstream{},
		coldStarts: map[string]coldStart{}, goneSince: map[string]dhclock.Millis{},
	}
}

// recordHeartbeats records heartbeats that other control processes received.
func (r *registry) recordHeartbeats(now dhclock.Millis, names []string) {
	for _, name := range names {
		r.lastHeartbeat[name] = now
	}
}

// handleUpstreamHeartbeat handles an upstream's report of its state. A report
// without a change is answered at once, and so is a change to ready, since
// nothing depends on its being stored. A change to draining or gone is answered
// once a majority has stored it.
func (s *State) handleUpstreamHeartbeat(e *dhevent.UpstreamHeartbeatReceived, out *dheffect.List) {
	u := e.Upstream()
	if err := dhcatalog.CheckUpstream(u); err != nil {
		s.reply(e.CorrelationID(), dhmessage.NewResult(dhmessage.ResultOptions{Err: err}), out)
		return
	}
	if s.referUpstream(e.CorrelationID(), e.IsReferable(), out) {
		return
	}
	if s.displacesConfigured(u) {
		out.Add(dheffect.NewLog(dheffect.LogOptions{
			Layer: "registry", Text: "ignores a heartbeat of an unknown service in place of another upstream", Peer: u.Name(),
		}))
		result := s.ackResult()
		if u.State() != dhcatalog.UpstreamReady {
			// This process may not know yet that the service is configured.
			result = dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true})
		}
		s.reply(e.CorrelationID(), result, out)
		return
	}
	old, found := s.distribution.Catalog().Get(u.Ref()).(dhcatalog.Upstream)
	if list := s.obstacles(u); len(list) > 0 {
		s.proposeUnattended(dhmessage.NewEdit(registryAuthor, nil, list), out)
		found = found && !slices.Contains(list, u.Ref())
	}
	if !found || u.Incarnation() >= old.Incarnation() {
		s.registry.lastHeartbeat[u.Name()] = s.now
		s.registry.unreported[u.Name()] = true
	}
	if found && u.Incarnation() == old.Incarnation() {
		u = s.registry.mergeColdStart(s.now, u, old)
	}
	switch {
	case found && u.State() != dhcatalog.UpstreamReady && u.Incarnation() < old.Incarnation() && old.State() == dhcatalog.UpstreamReady:
		s.replyDisregarded(e.CorrelationID(), out)
	case found && !u.Supersedes(old):
		s.reply(e.CorrelationID(), s.ackResult(), out)
	case u.State() != dhcatalog.UpstreamReady:
		s.proposeStateChange(e.CorrelationID(), u, e.IsReferable(), out)
	default:
		s.queueRegistration(u, out)
		s.reply(e.CorrelationID(), s.ackResult(), out)
	}
}

// rivals returns the records of which an upstream's record may take the place, or which may
// keep it out: those of its name and those at its address.
func (s *State) rivals(u dhcatalog.Upstream) []dhcatalog.Upstream {
	c := s.distribution.Catalog()
	list := slices.Clone(c.UpstreamsAt(u.Address()))
	if old, found := c.Get(u.Ref()).(dhcatalog.Upstream); found && old.Address() != u.Address() {
		list = append(list, old)
	}
	return list
}

// isConfigured reports whether an upstream's service is configured. A record of another
// service may register where it has no rival, since its service may be configured later.
func (s *State) isConfigured(u dhcatalog.Upstream) bool {
	_, found := s.distribution.Catalog().Service(u.Service())
	return found
}

// displacesConfigured reports whether a record of a service that isn't configured would
// take the place of an upstream whose service is.
func (s *State) displacesConfigured(u dhcatalog.Upstream) bool {
	return !s.isConfigured(u) && slices.ContainsFunc(s.rivals(u), func(v dhcatalog.Upstream) bool {
		return v.State() != dhcatalog.UpstreamGone && s.isConfigured(v)
	})
}

// obstacles returns the records that keep out an upstream of a configured service although
// their own service isn't configured.
func (s *State) obstacles(u dhcatalog.Upstream) []dhcatalog.Ref {
	if !s.isConfigured(u) {
		return nil
	}
	var list []dhcatalog.Ref
	for _, v := range s.rivals(u) {
		if v.Incarnation() > u.Incarnation() && !s.isConfigured(v) && !v.IsDeparted() {
			list = append(list, v.Ref())
		}
	}
	return list
}

func registrationEdit(list ...dhcatalog.Object) dhmessage.Command {
	return dhmessage.NewEdit(registryAuthor, list, nil)
}

// queueRegistration queues an upstream's record for proposal, unless it was
// proposed within registerRetryInterval.
func (s *State) queueRegistration(u dhcatalog.Upstream, out *dheffect.List) {
	if at, found := s.registry.lastProposed[u.Name()]; found && s.now.Since(at) < registerRetryInterval {
		return
	}
	s.registry.lastProposed[u.Name()] = s.now
	s.registry.queued[u.Name()] = u
	s.proposeRegistrations(out)
}

// proposeRegistrations proposes the queued records, unless others were proposed
// within registerInterval.
func (s *State) proposeRegistrations(out *dheffect.List) {
	r := &s.registry
	if len(r.queued) == 0 || s.now.Since(r.lastBatch) < registerInterval {
		return
	}
	var list []dhcatalog.Object
	for _, name := range slices.Sorted(maps.Keys(r.queued)) {
		list = append(list, r.queued[name])
	}
	clear(r.queued)
	r.lastBatch = s.now
	s.proposeUnattended(registrationEdit(list...), out)
}

func (s *State) ackResult() dhmessage.Result {
	return dhmessage.NewResult(dhmessage.ResultOptions{Version: s.distribution.Catalog().Version()})
}

// proposeStateChange proposes an upstream's record and answers the upstream
// once a majority has stored it.
func (s *State) proposeStateChange(correlationID uint64, u dhcatalog.Upstream, isReferable bool, out *dheffect.List) {
	s.propose(dhevent.NewProposalRequested(s.now, dhevent.ProposalRequestedOptions{
		CorrelationID: correlationID, Command: registrationEdit(u), Timeout: stateChangeTimeout, IsReferable: isReferable,
	}), out)
}

// referUpstream answers an upstream with a referral if this process is cut off from the voters. The
// leader removes the records of upstreams whose heartbeats it doesn't learn of.
func (s *State) referUpstream(correlationID uint64, isReferable bool, out *dheffect.List) bool {
	r := s.unknownOutcome(isReferable)
	if r.Referral() != "" {
		s.reply(correlationID, r, out)
	}
	return r.Referral() != ""
}

// replyDisregarded tells an upstream that its drain or departure isn't certain: the record that
// requests follow is of a later start of it, or of the same process before its clock was set back.
func (s *State) replyDisregarded(correlationID uint64, out *dheffect.List) {
	s.reply(correlationID, dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true}), out)
}

// handleUpstreamDeregistration handles an upstream's deregistration. For an upstream without a
// record, whose registration may be under way, a record that it has departed is stored. If its
// incarnation can't be bounded that is impossible: it gets no requests if the configuration here
// is current, else the outcome is unknown.
func (s *State) handleUpstreamDeregistration(e *dhevent.UpstreamDeregistered, out *dheffect.List) {
	old, found := s.distribution.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, e.Name())).(dhcatalog.Upstream)
	confirmedAt, ok := s.distribution.ConfirmedAt()
	departed := cmp.Or(e.Incarnation(), e.LatestIncarnation())
	if s.referUpstream(e.CorrelationID(), e.IsReferable(), out) {
		return
	}
	isOlder := found && e.Incarnation() != 0 && e.Incarnation() < old.Incarnation()
	switch {
	case isOlder && old.State() == dhcatalog.UpstreamReady:
		s.replyDisregarded(e.CorrelationID(), out)
	case isOlder, found && old.State() == dhcatalog.UpstreamGone && e.Incarnation() <= old.Incarnation():
		s.reply(e.CorrelationID(), s.ackResult(), out)
	case found && e.Incarnation() > old.Incarnation(), !found && departed != 0:
		s.proposeStateChange(e.CorrelationID(), dhcatalog.NewDepartedUpstream(e.Name(), departed), e.IsReferable(), out)
	case found:
		s.proposeStateChange(e.CorrelationID(), old.WithState(dhcatalog.UpstreamGone), e.IsReferable(), out)
	case ok && s.now.Since(confirmedAt) < deregistrationFreshness:
		s.reply(e.CorrelationID(), s.ackResult(), out)
	default:
		s.reply(e.CorrelationID(), dhmessage.NewResult(dhmessage.ResultOptions{OutcomeUnknown: true}), out)
	}
}

// deregistrationFreshness is the greatest age of the confirmation that this
// process's configuration is current at which the deregistration of an unknown
// upstream succeeds, in milliseconds.
const deregistrationFreshness dhclock.Millis = 500

// mergeColdStart returns an upstream's report with the cold start that is
// registered, unless it reports another one. Every instance counts a registered
// cold start down on its own, so its end needs no report.
func (r *registry) mergeColdStart(now dhclock.Millis, u, old dhcatalog.Upstream) dhcatalog.Upstream {
	last, found := r.coldStarts[u.Name()]
	if !found || last.reportID != old.ColdReportID() {
		last = coldStart{reportID: old.ColdReportID(), end: now + old.ColdRemaining()}
		r.coldStarts[u.Name()] = last
	}
	if u.ColdRemaining() > 0 && now+u.ColdRemaining() > last.end+coldStartTolerance {
		return u
	}
	return u.WithColdReport(old.ColdRemaining(), old.ColdReportID())
}

// tickRegistry proposes queued records and reports to the leader which
// upstreams sent heartbeats. The leader removes the records of unresponsive
// upstreams and of those deregistered longer ago than goneRetention.
func (s *State) tickRegistry(out *dheffect.List) {
	s.proposeRegistrations(out)
	v := s.voter
	if v == nil || s.now.Since(s.registry.lastReport) < heartbeatReportInterval {
		return
	}
	s.registry.lastReport = s.now
	names := slices.Sorted(maps.Keys(s.registry.unreported))
	clear(s.registry.unreported)
	s.registry.evictInactive(s.now)
	if v.node.IsLeader() {
		s.pruneUpstreams(out)
		return
	}
	if len(names) > 0 && s.leader() != "" {
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: s.leader(), Message: dhmessage.NewUpstreamHeartbeats(names)}))
	}
}

// evictInactive drops the entries of upstreams that have not sent a heartbeat
// within goneRetention.
func (r *registry) evictInactive(now dhclock.Millis) {
	for name, at := range r.lastHeartbeat {
		if now.Since(at) > goneRetention {
			delete(r.lastHeartbeat, name)
			delete(r.lastProposed, name)
			delete(r.coldStarts, name)
		}
	}
}

// pruneUpstreams removes expired records, at the leader. A leader that was just elected, or has just
// regained a majority, hasn't learned yet of the heartbeats that other processes received.
func (s *State) pruneUpstreams(out *dheffect.List) {
	if s.now.Since(s.reachability.majoritySince) <= upstreamTimeout {
		return
	}
	var deletes []dhcatalog.Ref
	for _, o := range s.distribution.Catalog().List(dhcatalog.KindUpstream) {
		if s.registry.expired(s.now, o.(dhcatalog.Upstream)) {
			deletes = append(deletes, o.Ref())
		}
	}
	if len(deletes) == 0 {
		return
	}
	for _, r := range deletes {
		out.Add(dheffect.NewLog(dheffect.LogOptions{Layer: "registry", Text: "removes the record of an upstream that is silent or left", Peer: r.Name()}))
	}
	s.proposeUnattended(dhmessage.NewEdit(registryAuthor, nil, deletes), out)
}

// expired reports whether a record can be removed. For an upstream without a
// heartbeat the time counts from when its record is first seen: the report of
// its heartbeat may arrive after its record.
func (r *registry) expired(now dhclock.Millis, u dhcatalog.Upstream) bool {
	if u.State() != dhcatalog.UpstreamGone {
		delete(r.goneSince, u.Name())
		at, found := r.lastHeartbeat[u.Name()]
		if !found {
			r.lastHeartbeat[u.Name()] = now
			return false
		}
		return now.Since(at) > upstreamTimeout
	}
	since, seen := r.goneSince[u.Name()]
	if !seen {
		r.goneSince[u.Name()] = now
		return false
	}
	return now.Since(since) > goneRetention
}
