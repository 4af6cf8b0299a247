package dhcontrol

import (
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
	// upstreamTimeout is the silence after which the leader removes an upstream's
	// record. Words may come seconds late, and entry instances notice a dead
	// upstream by themselves.
	upstreamTimeout = 8 * dhclock.Second
	// goneRetention is for how long the record of an upstream that left is kept, so
	// that a late word of it is recognised.
	goneRetention = 60 * dhclock.Second
	// heartbeatReportInterval is the time between two Heard messages to the leader.
	heartbeatReportInterval = 1 * dhclock.Second
	// registerRetryInterval is the least time between two proposals for one upstream.
	registerRetryInterval dhclock.Millis = 500
	// registerInterval is the least time between two proposals of records. Those
	// that come meanwhile share one, since each change of the configuration costs
	// every process the same, whatever it holds.
	registerInterval dhclock.Millis = 100
	// coldStartTolerance is by how much two words on the end of a cold start may differ
	// and mean the same one. Words travel and wait.
	coldStartTolerance dhclock.Millis = 700
	// stateChangeTimeout is how long an upstream that leaves waits for its word to be
	// bound.
	stateChangeTimeout dhclock.Millis = 900
)

// registryAuthor is named as the author of changes to upstreams.
const registryAuthor = "registry"

// registry is what a control process knows of registered upstreams beyond their
// records: when they were heard from. Records are in the configuration, which
// is changed only when an upstream says something new.
type registry struct {
	lastHeartbeat map[string]dhclock.Millis
	unreported    map[string]bool // heard from since the last Heard message
	lastReport    dhclock.Millis
	lastProposed  map[string]dhclock.Millis
	// queued are records to be proposed, and registered is when others last were.
	queued     map[string]dhcatalog.Upstream
	lastBatch  dhclock.Millis
	coldStarts map[string]coldStart
	goneSeen   map[string]dhclock.Millis // when a gone record was first seen
}

// coldStart is a cold start as it was last registered.
type coldStart struct {
	reported int64
	end      dhclock.Millis
}

func newRegistry() registry {
	return registry{
		lastHeartbeat: map[string]dhclock.Millis{}, unreported: map[string]bool{}, lastProposed: map[string]dhclock.Millis{},
		queued:     map[string]dhcatalog.Upstream{},
		coldStarts: map[string]coldStart{}, goneSeen: map[string]dhclock.Millis{},
	}
}

// recordHeartbeats notes upstreams that were heard from.
func (r *registry) recordHeartbeats(now dhclock.Millis, names []string) {
	for _, name := range names {
		r.lastHeartbeat[name] = now
	}
}

// handleUpstreamHeartbeat takes an upstream's word about itself. A word that says nothing new
// is answered at once, and so is one that is ready: nothing depends on it. That
// it drains or is gone is answered once a majority has stored it.
func (s *State) handleUpstreamHeartbeat(e *dhevent.UpstreamChecked, out *dheffect.List) {
	u := e.Upstream()
	if err := dhcatalog.CheckUpstream(u); err != nil {
		s.reply(e.Ticket(), dhmessage.NewResult(dhmessage.ResultOptions{Err: err}), out)
		return
	}
	old, found := s.distribution.Catalog().Get(u.Ref()).(dhcatalog.Upstream)
	if !found || u.Lifetime() >= old.Lifetime() {
		s.registry.lastHeartbeat[u.Name()] = s.now
		s.registry.unreported[u.Name()] = true
	}
	if found && u.Lifetime() == old.Lifetime() {
		u = s.registry.mergeColdStart(s.now, u, old)
	}
	switch {
	case found && !u.Supersedes(old):
		s.reply(e.Ticket(), s.ackResult(), out)
	case u.State() != dhcatalog.UpstreamReady:
		s.proposeStateChange(e.Ticket(), u, out)
	default:
		s.queueRegistration(u, out)
		s.reply(e.Ticket(), s.ackResult(), out)
	}
}

func registrationEdit(list ...dhcatalog.Object) dhmessage.Command {
	return dhmessage.NewEdit(registryAuthor, list, nil)
}

// queueRegistration lets an upstream's record be proposed, unless it was proposed just
// now.
func (s *State) queueRegistration(u dhcatalog.Upstream, out *dheffect.List) {
	if at, found := s.registry.lastProposed[u.Name()]; found && s.now.Since(at) < registerRetryInterval {
		return
	}
	s.registry.lastProposed[u.Name()] = s.now
	s.registry.queued[u.Name()] = u
	s.proposeRegistrations(out)
}

// proposeRegistrations proposes the records that wait, unless others were proposed
// just now.
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

// proposeStateChange answers an upstream's word once a majority has stored it.
func (s *State) proposeStateChange(ticket uint64, u dhcatalog.Upstream, out *dheffect.List) {
	s.propose(dhevent.NewProposalWanted(s.now, dhevent.ProposalWantedOptions{
		Ticket: ticket, Command: registrationEdit(u), Patience: stateChangeTimeout,
	}), out)
}

// handleUpstreamDeregistration takes the last word of an upstream. One that isn't registered gets no
// requests; but a process whose configuration is old can't know that.
func (s *State) handleUpstreamDeregistration(e *dhevent.UpstreamCheckedOut, out *dheffect.List) {
	old, found := s.distribution.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, e.Name())).(dhcatalog.Upstream)
	confirmed, ever := s.distribution.ConfirmedAt()
	switch {
	case found && e.Lifetime() != 0 && e.Lifetime() < old.Lifetime(), found && old.State() == dhcatalog.UpstreamGone:
		s.reply(e.Ticket(), s.ackResult(), out)
	case found:
		s.proposeStateChange(e.Ticket(), old.With(dhcatalog.UpstreamGone), out)
	case ever && s.now.Since(confirmed) < deregistrationFreshness:
		s.reply(e.Ticket(), s.ackResult(), out)
	default:
		s.reply(e.Ticket(), dhmessage.NewResult(dhmessage.ResultOptions{Unsure: true}), out)
	}
}

// deregistrationFreshness is how old the proof may be that the configuration here is
// current when an unknown upstream leaves, in milliseconds.
const deregistrationFreshness dhclock.Millis = 500

// mergeColdStart returns an upstream's word with the cold start that is registered,
// unless it tells of another one. Every instance counts a registered cold start
// down by itself, so its end needs no word.
func (r *registry) mergeColdStart(now dhclock.Millis, u, old dhcatalog.Upstream) dhcatalog.Upstream {
	known, found := r.coldStarts[u.Name()]
	if !found || known.reported != old.ColdWord() {
		known = coldStart{reported: old.ColdWord(), end: now + old.Cold()}
		r.coldStarts[u.Name()] = known
	}
	if u.Cold() > 0 && now+u.Cold() > known.end+coldStartTolerance {
		return u
	}
	return u.WithCold(old.Cold(), old.ColdWord())
}

// tickRegistry proposes records that wait and tells the leader who was heard
// from. The leader removes records of upstreams that are silent and of those
// that left long ago.
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
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: s.leader(), Message: dhmessage.NewHeard(names)}))
	}
}

// evictInactive drops what is known of names that weren't heard from for long.
func (r *registry) evictInactive(now dhclock.Millis) {
	for name, at := range r.lastHeartbeat {
		if now.Since(at) > goneRetention {
			delete(r.lastHeartbeat, name)
			delete(r.lastProposed, name)
			delete(r.coldStarts, name)
		}
	}
}

// pruneUpstreams removes, at the leader, records that nobody needs any more. A leader
// that was just elected hasn't heard from anybody yet.
func (s *State) pruneUpstreams(out *dheffect.List) {
	if s.now.Since(s.voter.node.ElectedAt()) <= upstreamTimeout {
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

// expired tells whether a record isn't needed any more. One that nobody was heard
// for counts from when it is first seen: the word that an upstream was heard may
// come after its record.
func (r *registry) expired(now dhclock.Millis, u dhcatalog.Upstream) bool {
	if u.State() != dhcatalog.UpstreamGone {
		delete(r.goneSeen, u.Name())
		at, heard := r.lastHeartbeat[u.Name()]
		if !heard {
			r.lastHeartbeat[u.Name()] = now
			return false
		}
		return now.Since(at) > upstreamTimeout
	}
	since, seen := r.goneSeen[u.Name()]
	if !seen {
		r.goneSeen[u.Name()] = now
		return false
	}
	return now.Since(since) > goneRetention
}
