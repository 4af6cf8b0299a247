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
	// upstreamLife is the silence after which the leader removes an upstream's
	// record. Words may come seconds late, and entry instances notice a dead
	// upstream by themselves.
	upstreamLife = 8 * dhclock.Second
	// goneLife is for how long the record of an upstream that left is kept, so
	// that a late word of it is recognised.
	goneLife = 60 * dhclock.Second
	// heardInterval is the time between two Heard messages to the leader.
	heardInterval = 1 * dhclock.Second
	// registerRetry is the least time between two proposals for one upstream.
	registerRetry dhclock.Millis = 500
	// registerInterval is the least time between two proposals of records. Those
	// that come meanwhile share one, since each change of the configuration costs
	// every process the same, whatever it holds.
	registerInterval dhclock.Millis = 100
	// coldSlack is by how much two words on the end of a cold start may differ
	// and mean the same one. Words travel and wait.
	coldSlack dhclock.Millis = 700
	// bindPatience is how long an upstream that leaves waits for its word to be
	// bound.
	bindPatience dhclock.Millis = 900
)

// registryAuthor is named as the author of changes to upstreams.
const registryAuthor = "registry"

// registry is what a control process knows of registered upstreams beyond their
// records: when they were heard from. Records are in the configuration, which
// is changed only when an upstream says something new.
type registry struct {
	heard    map[string]dhclock.Millis
	news     map[string]bool // heard from since the last Heard message
	told     dhclock.Millis
	proposed map[string]dhclock.Millis
	// waiting are records to be proposed, and registered is when others last were.
	waiting    map[string]dhcatalog.Upstream
	registered dhclock.Millis
	cold       map[string]coldSpell
	gone       map[string]dhclock.Millis // when a gone record was first seen
}

// coldSpell is a cold start as it was last registered.
type coldSpell struct {
	word  int64
	until dhclock.Millis
}

func newRegistry() registry {
	return registry{
		heard: map[string]dhclock.Millis{}, news: map[string]bool{}, proposed: map[string]dhclock.Millis{},
		waiting: map[string]dhcatalog.Upstream{},
		cold:    map[string]coldSpell{}, gone: map[string]dhclock.Millis{},
	}
}

// hearFrom notes upstreams that were heard from.
func (r *registry) hearFrom(now dhclock.Millis, names []string) {
	for _, name := range names {
		r.heard[name] = now
	}
}

// checkIn takes an upstream's word about itself. A word that says nothing new
// is answered at once, and so is one that is ready: nothing depends on it. That
// it drains or is gone is answered once a majority has stored it.
func (s *State) checkIn(e *dhevent.UpstreamChecked, out *dheffect.List) {
	u := e.Upstream()
	if err := dhcatalog.CheckUpstream(u); err != nil {
		s.reply(e.Ticket(), dhmessage.NewResult(dhmessage.ResultOptions{Err: err}), out)
		return
	}
	old, found := s.spread.Catalog().Get(u.Ref()).(dhcatalog.Upstream)
	if !found || u.Lifetime() >= old.Lifetime() {
		s.registry.heard[u.Name()] = s.now
		s.registry.news[u.Name()] = true
	}
	if found && u.Lifetime() == old.Lifetime() {
		u = s.registry.settleCold(s.now, u, old)
	}
	switch {
	case found && !u.Supersedes(old):
		s.reply(e.Ticket(), s.acknowledged(), out)
	case u.State() != dhcatalog.UpstreamReady:
		s.bind(e.Ticket(), u, out)
	default:
		s.register(u, out)
		s.reply(e.Ticket(), s.acknowledged(), out)
	}
}

func registration(list ...dhcatalog.Object) dhmessage.Command {
	return dhmessage.NewEdit(registryAuthor, list, nil)
}

// register lets an upstream's record be proposed, unless it was proposed just
// now.
func (s *State) register(u dhcatalog.Upstream, out *dheffect.List) {
	if at, found := s.registry.proposed[u.Name()]; found && s.now.Since(at) < registerRetry {
		return
	}
	s.registry.proposed[u.Name()] = s.now
	s.registry.waiting[u.Name()] = u
	s.proposeRecords(out)
}

// proposeRecords proposes the records that wait, unless others were proposed
// just now.
func (s *State) proposeRecords(out *dheffect.List) {
	r := &s.registry
	if len(r.waiting) == 0 || s.now.Since(r.registered) < registerInterval {
		return
	}
	var list []dhcatalog.Object
	for _, name := range slices.Sorted(maps.Keys(r.waiting)) {
		list = append(list, r.waiting[name])
	}
	clear(r.waiting)
	r.registered = s.now
	s.wish(registration(list...), out)
}

func (s *State) acknowledged() dhmessage.Result {
	return dhmessage.NewResult(dhmessage.ResultOptions{Version: s.spread.Catalog().Version()})
}

// bind answers an upstream's word once a majority has stored it.
func (s *State) bind(ticket uint64, u dhcatalog.Upstream, out *dheffect.List) {
	s.propose(dhevent.NewProposalWanted(s.now, dhevent.ProposalWantedOptions{
		Ticket: ticket, Command: registration(u), Patience: bindPatience,
	}), out)
}

// checkOut takes the last word of an upstream. One that isn't registered gets no
// requests; but a process whose configuration is old can't know that.
func (s *State) checkOut(e *dhevent.UpstreamCheckedOut, out *dheffect.List) {
	old, found := s.spread.Catalog().Get(dhcatalog.NewRef(dhcatalog.KindUpstream, e.Name())).(dhcatalog.Upstream)
	confirmed, ever := s.spread.Confirmed()
	switch {
	case found && e.Lifetime() != 0 && e.Lifetime() < old.Lifetime(), found && old.State() == dhcatalog.UpstreamGone:
		s.reply(e.Ticket(), s.acknowledged(), out)
	case found:
		s.bind(e.Ticket(), old.With(dhcatalog.UpstreamGone), out)
	case ever && s.now.Since(confirmed) < freshEnough:
		s.reply(e.Ticket(), s.acknowledged(), out)
	default:
		s.reply(e.Ticket(), dhmessage.NewResult(dhmessage.ResultOptions{Unsure: true}), out)
	}
}

// freshEnough is how old the proof may be that the configuration here is
// current when an unknown upstream leaves, in milliseconds.
const freshEnough dhclock.Millis = 500

// settleCold returns an upstream's word with the cold start that is registered,
// unless it tells of another one. Every instance counts a registered cold start
// down by itself, so its end needs no word.
func (r *registry) settleCold(now dhclock.Millis, u, old dhcatalog.Upstream) dhcatalog.Upstream {
	known, found := r.cold[u.Name()]
	if !found || known.word != old.ColdWord() {
		known = coldSpell{word: old.ColdWord(), until: now + old.Cold()}
		r.cold[u.Name()] = known
	}
	if u.Cold() > 0 && now+u.Cold() > known.until+coldSlack {
		return u
	}
	return u.WithCold(old.Cold(), old.ColdWord())
}

// tickRegistry proposes records that wait and tells the leader who was heard
// from. The leader removes records of upstreams that are silent and of those
// that left long ago.
func (s *State) tickRegistry(out *dheffect.List) {
	s.proposeRecords(out)
	v := s.voter
	if v == nil || s.now.Since(s.registry.told) < heardInterval {
		return
	}
	s.registry.told = s.now
	names := slices.Sorted(maps.Keys(s.registry.news))
	clear(s.registry.news)
	s.registry.forget(s.now)
	if v.node.Leads() {
		s.prune(out)
		return
	}
	if len(names) > 0 && s.leader() != "" {
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: s.leader(), Message: dhmessage.NewHeard(names)}))
	}
}

// forget drops what is known of names that weren't heard from for long.
func (r *registry) forget(now dhclock.Millis) {
	for name, at := range r.heard {
		if now.Since(at) > goneLife {
			delete(r.heard, name)
			delete(r.proposed, name)
			delete(r.cold, name)
		}
	}
}

// prune removes, at the leader, records that nobody needs any more. A leader
// that was just elected hasn't heard from anybody yet.
func (s *State) prune(out *dheffect.List) {
	if s.now.Since(s.voter.node.Since()) <= upstreamLife {
		return
	}
	var deletes []dhcatalog.Ref
	for _, o := range s.spread.Catalog().List(dhcatalog.KindUpstream) {
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
	s.wish(dhmessage.NewEdit(registryAuthor, nil, deletes), out)
}

// expired tells whether a record isn't needed any more. One that nobody was heard
// for counts from when it is first seen: the word that an upstream was heard may
// come after its record.
func (r *registry) expired(now dhclock.Millis, u dhcatalog.Upstream) bool {
	if u.State() != dhcatalog.UpstreamGone {
		delete(r.gone, u.Name())
		at, heard := r.heard[u.Name()]
		if !heard {
			r.heard[u.Name()] = now
			return false
		}
		return now.Since(at) > upstreamLife
	}
	since, seen := r.gone[u.Name()]
	if !seen {
		r.gone[u.Name()] = now
		return false
	}
	return now.Since(since) > goneLife
}
