package dhreducer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
)

// Times of series of losses, in milliseconds.
const (
	// acceptanceLimit is how long after a loss a declaration may wait until it is accepted.
	acceptanceLimit = 6 * dhclock.Second
	// seedsDelay is how long a process may have the seeds of an earlier time.
	seedsDelay = 3 * dhclock.Second
	// reuseDelay is how long after the end of a process its name may be used again.
	reuseDelay = 2 * dhclock.Second
	// longHandoverTimeout is how long a process that stops waits for a successor of its vote, with
	// the platform's time to stop.
	longHandoverTimeout dhclock.Millis = 4200
	// readTimeout is how long a read waits for a confirmation.
	readTimeout dhclock.Millis = 1200
	// heavyLoss is the share of lost messages from which on no time limit holds, in percent.
	heavyLoss = 10
)

// series draws overlapping losses, returns and replacements of control processes. Within the
// limits of a deployment, two processes or one region may be lost at a time, each until
// replacementTime after it or its successor has started. Beyond them only disks are limited, to
// two lost at a time. A kill of all processes is always allowed.
type series struct {
	*network
	draw    *rapid.T
	beyond  bool
	history []string
	begin   dhclock.Millis
	timers  []timer
	// lost has until when each process counts as lost.
	lost map[*machine]dhclock.Millis
	// disks are the processes whose disks count as lost.
	disks map[*machine]bool
	// gone has when a process ended for good.
	gone map[*machine]dhclock.Millis
	// leaving are the processes that stop, by correlation ID.
	leaving map[uint64]*machine
	// planned are the processes that have a successor and are to stop.
	planned map[*machine]bool
	// busy are the processes of an event that hasn't ended.
	busy map[*machine]bool
	// started has when each process that runs started or came back.
	started map[*machine]dhclock.Millis
	// probation are the processes that must be members replacementTime after they started.
	probation map[*machine]dhclock.Millis
	rosters   []roster

	number, acknowledged uint64
	proposer             *machine
	proposalID           uint64
	proposed             uint64
	acceptBy             dhclock.Millis // 0 for none
	reads                map[uint64]read
	// stopAt is when a process was last told to stop.
	stopAt      dhclock.Millis
	disturbedAt dhclock.Millis
	isDisturbed bool
}

type timer struct {
	at     dhclock.Millis
	action func()
}

// roster names the processes that run, or come back, from a time on.
type roster struct {
	at    dhclock.Millis
	names []string
}

// read is a read of the configuration that must be answered as current.
type read struct {
	reader *machine
	starts uint64
	least  uint64
	what   string
}

func newSeries(t *rapid.T, controls int, zones ...string) *series {
	s := &series{
		network: newReplacementNetwork(t, controls, zones...), draw: t,
		lost: map[*machine]dhclock.Millis{}, disks: map[*machine]bool{}, gone: map[*machine]dhclock.Millis{},
		leaving: map[uint64]*machine{}, busy: map[*machine]bool{}, planned: map[*machine]bool{}, started: map[*machine]dhclock.Millis{},
		probation: map[*machine]dhclock.Millis{}, reads: map[uint64]read{}, number: 1, acknowledged: 1,
	}
	s.begin = s.now
	s.recordLog = func(m *machine, e *dheffect.Log) {
		if e.Layer() == "consensus" || e.Layer() == "fleet" {
			s.note("    %s: %s %s %d", m.name, e.Text(), e.Peer(), e.Number())
		}
	}
	s.recordRoster()
	return s
}

func (s *series) note(format string, args ...any) {
	s.history = append(s.history, fmt.Sprintf("%d: ", s.now-s.begin)+fmt.Sprintf(format, args...))
}

func (s *series) fail(format string, args ...any) {
	s.t.Fatalf("%d: %s\n%s\n%s", s.now-s.begin, fmt.Sprintf(format, args...), strings.Join(s.history, "\n"), s.describeControl())
}

func (s *series) after(span dhclock.Millis, action func()) {
	s.timers = append(s.timers, timer{at: s.now + span, action: action})
}

func (s *series) recordRoster() {
	var names []string
	for _, m := range s.machines {
		if _, isGone := s.gone[m]; !isGone {
			names = append(names, m.name)
		}
	}
	s.rosters = append(s.rosters, roster{at: s.now, names: names})
}

// drawSeeds draws three seeds, as they were some time before, of which at least one isn't gone.
func (s *series) drawSeeds(m *machine, lag dhclock.Millis) []string {
	i := len(s.rosters) - 1
	for i > 0 && s.rosters[i].at > s.now-lag {
		i--
	}
	isOther := func(name string) bool { return name != m.name }
	isUsable := func(name string) bool {
		_, isGone := s.gone[s.find(name)]
		return isOther(name) && !isGone
	}
	names := slices.DeleteFunc(slices.Clone(s.rosters[i].names), func(n string) bool { return !isOther(n) })
	for len(names) > 3 {
		k := rapid.IntRange(0, len(names)-1).Draw(s.draw, "not a seed")
		names = slices.Delete(names, k, k+1)
	}
	if !slices.ContainsFunc(names, isUsable) {
		names[0] = s.usableName(isUsable)
	}
	return names
}

func (s *series) usableName(isUsable func(string) bool) string {
	var list []string
	for _, n := range s.rosters[len(s.rosters)-1].names {
		if isUsable(n) {
			list = append(list, n)
		}
	}
	return rapid.SampledFrom(list).Draw(s.draw, "usable seed")
}

// boot starts a process with seeds that may be old, and corrects them later.
func (s *series) boot(m *machine) {
	s.voters = s.drawSeeds(m, drawTime(s.draw, 0, int(seedsDelay), "lag"))
	s.start(m)
	s.started[m] = s.now
	s.note("%s starts in %s on %s, seeds %v", m.name, m.zone, m.disk.folder, m.seeds)
	starts := m.starts
	s.after(drawTime(s.draw, 0, int(seedsDelay), "correction"), func() {
		if m.state == nil || m.starts != starts {
			return
		}
		seeds := s.drawSeeds(m, 0)
		s.note("%s has the seeds %v", m.name, seeds)
		if m.frozen {
			m.frozen = false
			defer func() { m.frozen = true }()
		}
		s.setSeeds(m, seeds...)
	})
}

// isBack records that a lost process, or its successor, runs.
func (s *series) isBack(m *machine) {
	s.lost[m] = s.now + replacementTime
	s.probation[m] = s.now + replacementTime
}

// running returns the processes that an event may concern.
func (s *series) running() []*machine {
	return slices.DeleteFunc(s.controls(), func(m *machine) bool { return s.busy[m] || s.lost[m] != 0 })
}

// allows reports whether the processes in a list may be lost now.
func (s *series) allows(list []*machine, disks int) bool {
	if len(s.disks)+disks > 2 {
		return false
	}
	if s.beyond && len(s.leaving) == 0 {
		return true
	}
	all := maps.Clone(s.lost)
	for _, m := range list {
		all[m] = whileDown
	}
	return isWithin(all)
}

// isWithin reports whether lost processes are two at most, or all of one region.
func isWithin(lost map[*machine]dhclock.Millis) bool {
	if len(lost) <= 2 {
		return true
	}
	region := ""
	for m := range lost {
		if region != "" && m.zone[:1] != region {
			return false
		}
		region = m.zone[:1]
	}
	return true
}

// lose stops processes.
func (s *series) lose(list []*machine, what string) {
	s.note("%s: %v", what, namesOf(list))
	for _, m := range list {
		s.takeDown(m)
	}
	s.expectAcceptance()
}

func (s *series) takeDown(m *machine) {
	s.stop(m)
	s.lost[m], s.busy[m] = whileDown, true
	delete(s.started, m)
	delete(s.probation, m)
}

func (s *series) expectAcceptance() {
	if s.isDisturbed || s.beyond {
		return
	}
	s.acceptBy = s.now + acceptanceLimit
	s.proposer = nil
}

// end records that a process ended for good.
func (s *series) end(m *machine) {
	s.stop(m)
	delete(s.planned, m)
	s.gone[m], s.busy[m] = s.now, true
	delete(s.probation, m)
	delete(s.started, m)
	s.recordRoster()
}

// succeed starts an empty successor of a process, under a new name or one that was used before.
func (s *series) succeed(old *machine) *machine {
	var names []string
	for _, m := range s.machines {
		if at, isGone := s.gone[m]; isGone && s.now-at >= reuseDelay {
			names = append(names, m.name)
		}
	}
	var m *machine
	if len(names) > 0 && rapid.IntRange(0, 3).Draw(s.draw, "name again") == 0 {
		m = s.find(rapid.SampledFrom(names).Draw(s.draw, "name"))
		m.loseDisk()
		delete(s.gone, m)
		delete(s.busy, m)
		delete(s.lost, m)
		delete(s.disks, m)
	} else {
		s.addControls(len(s.machines) + 1)
		m = s.machines[len(s.machines)-1]
	}
	m.zone = old.zone
	s.boot(m)
	s.recordRoster()
	return m
}

// comeBack starts a lost process again, unless it runs already or has a successor.
func (s *series) comeBack(m *machine, wiped bool) {
	if _, isGone := s.gone[m]; isGone || m.state != nil {
		return
	}
	if wiped {
		m.loseDisk()
	}
	s.boot(m)
	s.isBack(m)
	if !s.planned[m] {
		delete(s.busy, m)
	}
}

// step lets 20 ms pass and runs what is due.
func (s *series) step() {
	s.run(20)
	due := slices.DeleteFunc(slices.Clone(s.timers), func(x timer) bool { return x.at > s.now })
	s.timers = slices.DeleteFunc(s.timers, func(x timer) bool { return x.at <= s.now })
	for _, x := range due {
		x.action()
	}
	for id, m := range s.leaving {
		if r, replied := s.replies[id]; replied || m.state == nil {
			delete(s.leaving, id)
			s.note("%s has stopped, with its vote: %v", m.name, r.OutcomeUnknown())
			s.end(m)
			if r.OutcomeUnknown() && s.beyond {
				// No learner could get its vote.
				s.disks[m], s.lost[m] = true, s.now+replacementTime
			}
		}
	}
	for m, until := range s.lost {
		if s.now > until {
			delete(s.lost, m)
			if !s.isDisturbed {
				delete(s.disks, m)
			}
		}
	}
	s.noteDisturbance()
	s.checkProbation()
	s.declare()
	s.checkReads()
}

// noteDisturbance records whether more is lost than the limits allow, until recoveryLimit after
// all are back.
func (s *series) noteDisturbance() {
	switch {
	case s.lossPercent > heavyLoss || s.beyond && !isWithin(s.lost):
		s.isDisturbed, s.disturbedAt = true, s.now
		s.acceptBy = 0
	case len(s.lost) > 0 && s.isDisturbed:
		s.disturbedAt = s.now
	case s.isDisturbed && s.now > s.disturbedAt+recoveryLimit-replacementTime:
		s.isDisturbed = false
		clear(s.disks)
	}
}

// checkProbation reads the configuration at the processes that start while no other is lost.
func (s *series) checkProbation() {
	for m, until := range s.probation {
		if len(s.lost) > 1 || s.isDisturbed || s.lost[m] == 0 && s.now < until {
			delete(s.probation, m)
			continue
		}
		if s.now >= until-readTimeout {
			delete(s.probation, m)
			s.requireRead(m, "4 s after its start")
		}
	}
}

func (s *series) requireRead(m *machine, what string) {
	s.lastCorrelationID++
	s.reads[s.lastCorrelationID] = read{reader: m, starts: m.starts, least: s.acknowledged, what: what}
	s.handle(m, dhevent.NewReadRequested(s.clock(m), dhevent.ReadRequestedOptions{CorrelationID: s.lastCorrelationID, Timeout: readTimeout}))
}

func (s *series) checkReads() {
	for _, id := range slices.Sorted(maps.Keys(s.reads)) {
		r := s.reads[id]
		if r.reader.state == nil || r.reader.starts != r.starts || r.reader.frozen || s.partitioned[r.reader.name] {
			delete(s.reads, id)
			continue
		}
		result, replied := s.replies[id]
		if !replied {
			continue
		}
		delete(s.reads, id)
		if result.OutcomeUnknown() {
			if len(s.lost) > 1 || s.isDisturbed || s.now-s.stopAt <= 2*readTimeout {
				continue
			}
			s.fail("%s: %s has no confirmed configuration", r.what, r.reader.name)
		}
		if d := s.declarationNumber(r.reader); d < r.least {
			s.fail("%s: %s confirms declaration %d, but %d was acknowledged", r.what, r.reader.name, d, r.least)
		}
		if !s.isMember(r.reader) && !s.isDisturbed {
			s.fail("%s: %s is no member", r.what, r.reader.name)
		}
	}
}

func (s *series) isMember(m *machine) bool {
	lead := s.leader()
	if lead == nil {
		return true
	}
	for _, v := range s.status(lead).Members() {
		if v.Name() == m.name && v.FolderID() == m.disk.folder {
			return true
		}
	}
	return false
}

// declare proposes declarations until one is accepted, as long as one is expected.
func (s *series) declare() {
	if s.proposer != nil {
		if r, replied := s.replies[s.proposalID]; replied {
			s.proposer = nil
			if r.Err() == nil && !r.OutcomeUnknown() {
				s.acknowledged, s.acceptBy = max(s.acknowledged, s.proposed), 0
				s.note("%d acknowledged", s.proposed)
			}
		} else if s.proposer.state == nil {
			s.proposer = nil
		}
	}
	if s.acceptBy == 0 {
		return
	}
	if s.now > s.acceptBy {
		s.fail("no declaration was accepted within 6 s of the last loss")
	}
	if s.proposer == nil {
		s.propose()
	}
}

// propose proposes the next declaration at a process that has run for some time, if there is one.
func (s *series) propose() {
	list := s.controls()
	best := slices.DeleteFunc(slices.Clone(list), func(m *machine) bool { return s.lost[m] != 0 || s.busy[m] })
	if len(best) > 0 {
		list = best
	}
	if len(list) == 0 {
		return
	}
	s.number++
	s.proposer, s.proposed = list[int(s.number)%len(list)], s.number
	s.proposalID = s.network.propose(s.proposer, declareCommand(s.number))
}

func (s *series) pass(span dhclock.Millis) {
	for end := s.now + span; s.now < end; {
		s.step()
	}
}

// awaitAllowed lets time pass until processes may be lost; false if that takes too long.
func (s *series) awaitAllowed(disks int, pick func() []*machine) ([]*machine, bool) {
	for range 500 {
		if list := pick(); len(list) > 0 && s.allows(list, disks) {
			return list, true
		}
		s.step()
	}
	return nil, false
}

// drawMachines returns a function that returns the same number of processes each time, among those
// that an event may concern.
func (s *series) drawMachines(most int) func() []*machine {
	number, leads := rapid.IntRange(1, most).Draw(s.draw, "number"), rapid.Bool().Draw(s.draw, "the leader")
	first, second := rapid.IntRange(0, 11).Draw(s.draw, "first"), rapid.IntRange(0, 11).Draw(s.draw, "second")
	return func() []*machine {
		list := s.running()
		if len(list) <= number+1 {
			return nil
		}
		one := list[first%len(list)]
		if lead := s.leader(); leads && slices.Contains(list, lead) {
			one = lead
		}
		if number == 1 {
			return []*machine{one}
		}
		list = slices.DeleteFunc(list, func(m *machine) bool { return m == one })
		return []*machine{one, list[second%len(list)]}
	}
}

// event draws one event and lets it begin.
func (s *series) event() {
	t := s.draw
	kinds := []string{"replace", "replace", "plan", "plan", "restart", "restart", "disk", "region", "all", "freeze", "partition", "long", "noise", "declare"}
	if s.beyond {
		kinds = append(kinds, "half")
	}
	switch kind := rapid.SampledFrom(kinds).Draw(t, "kind"); kind {
	case "replace":
		n := s.drawMachines(2)
		if list, ok := s.awaitAllowed(2, n); ok {
			s.replace(list)
		}
	case "plan":
		s.plan(s.drawMachines(2)())
	case "restart", "disk", "long":
		down := drawTime(t, 500, 15_000, "down")
		disks := 0
		if kind == "long" {
			down = drawTime(t, 33_000, 50_000, "long down")
		}
		if kind == "disk" {
			disks = 2
		}
		if list, ok := s.awaitAllowed(disks, s.drawMachines(2)); ok {
			s.lose(list, kind)
			for _, m := range list {
				if disks > 0 {
					s.disks[m] = true
				}
				s.after(down+drawTime(t, 0, 500, "later"), func() { s.comeBack(m, disks > 0) })
			}
		}
	case "region":
		prefix, down := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "region"), drawTime(t, 500, 15_000, "down")
		list, ok := s.awaitAllowed(0, func() []*machine {
			return slices.DeleteFunc(s.controls(), func(m *machine) bool { return m.zone[:1] != prefix })
		})
		if ok {
			s.lose(list, "region "+prefix)
			for _, m := range list {
				s.after(down+drawTime(t, 0, 500, "later"), func() { s.comeBack(m, false) })
			}
		}
	case "all":
		s.killAll(nil)
	case "freeze":
		if list, ok := s.awaitAllowed(0, s.drawMachines(2)); ok {
			s.freeze(list, drawTime(t, 300, 12_000, "frozen"))
		}
	case "partition":
		if list, ok := s.awaitAllowed(0, s.drawMachines(2)); ok && len(s.partitioned) == 0 {
			s.partition(list, drawTime(t, 300, 12_000, "partitioned"))
		}
	case "half":
		if list := s.running(); len(list) >= 4 && len(s.partitioned) == 0 {
			s.partition(list[:len(list)/2], drawTime(t, 300, 12_000, "partitioned"))
		}
	case "noise":
		s.noise()
	case "declare":
		if s.acceptBy == 0 {
			s.expectAcceptance()
		}
	}
}

// replace loses processes for good and starts their successors a second later.
func (s *series) replace(list []*machine) {
	s.lose(list, "gone for good")
	for _, m := range list {
		s.disks[m] = true
		s.gone[m] = s.now
		s.after(successorDelay, func() {
			x := s.succeed(m)
			delete(s.lost, m)
			delete(s.disks, m)
			s.disks[x] = true
			s.isBack(x)
		})
	}
	s.recordRoster()
}

// plan starts successors, and stops their predecessors once the successors count.
func (s *series) plan(list []*machine) {
	if len(list) == 0 || len(s.planned)+len(list) > 2 {
		return
	}
	s.note("planned: %v", namesOf(list))
	for _, m := range list {
		s.busy[m], s.planned[m] = true, true
		x := s.succeed(m)
		s.probation[x] = s.now + replacementTime
		s.after(replacementTime+100, func() { s.shutDownLater(m, x) })
	}
}

// shutDownLater stops a process once its successor has run for replacementTime.
func (s *series) shutDownLater(m, successor *machine) {
	_, isGone := s.gone[m]
	if isGone {
		return
	}
	if at, runs := s.started[successor]; s.lossPercent > heavyLoss || s.isDisturbed || m.state == nil || m.frozen || !runs || successor.frozen || s.lost[successor] != 0 || s.now-at < replacementTime || s.lost[m] != 0 {
		s.after(200, func() { s.shutDownLater(m, successor) })
		return
	}
	s.note("%s stops", m.name)
	s.busy[m] = true
	s.stopAt = s.now
	maps.Copy(s.leaving, s.startLeaving([]*machine{m}, longHandoverTimeout))
}

func (s *series) freeze(list []*machine, span dhclock.Millis) {
	s.note("frozen for %d: %v", span, namesOf(list))
	for _, m := range list {
		m.frozen, s.busy[m], s.lost[m] = true, true, whileDown
		starts := m.starts
		s.after(span, func() {
			if m.state != nil && m.starts == starts {
				s.note("%s thaws", m.name)
				m.frozen = false
				delete(s.busy, m)
				s.isBack(m)
			}
		})
	}
	s.expectAcceptance()
}

func (s *series) partition(list []*machine, span dhclock.Millis) {
	s.note("partitioned for %d: %v", span, namesOf(list))
	for _, m := range list {
		s.partitioned[m.name], s.busy[m], s.lost[m] = true, true, whileDown
	}
	s.after(span, func() {
		s.note("the partition ends")
		clear(s.partitioned)
		for _, m := range list {
			if _, isGone := s.gone[m]; m.state != nil && !isGone && s.busy[m] {
				delete(s.busy, m)
				s.isBack(m)
			}
		}
	})
	s.expectAcceptance()
}

// noise loses, repeats and delays messages for some time.
func (s *series) noise() {
	t := s.draw
	s.lossPercent = uint64(rapid.SampledFrom([]int{1, 3, 5, 40}).Draw(t, "loss"))
	s.duplicatePercent, s.delayPercent = uint64(rapid.IntRange(0, 10).Draw(t, "repeated")), uint64(rapid.IntRange(0, 30).Draw(t, "late"))
	s.note("loss %d repeated %d late %d", s.lossPercent, s.duplicatePercent, s.delayPercent)
	s.after(drawTime(t, 500, 10_000, "noise"), func() {
		s.note("no loss")
		s.lossPercent, s.duplicatePercent, s.delayPercent = 0, 0, 0
	})
}

// killAll kills all processes, which come back soon. Those in a list lose their disks; those that
// were about to stop do so again later.
func (s *series) killAll(wiped []*machine) {
	s.note("all killed, without their disks: %v", namesOf(wiped))
	clear(s.partitioned)
	for _, m := range s.controls() {
		s.takeDown(m)
		s.after(drawTime(s.draw, 500, 1500, "back"), func() { s.comeBack(m, slices.Contains(wiped, m)) })
	}
	for id, m := range s.leaving {
		delete(s.leaving, id)
		s.after(replacementTime+2000, func() { s.shutDownLater(m, m) })
	}
	s.expectAcceptance()
}

// finish kills all processes around a declaration, with the loss of as many disks as may be lost,
// and checks that everything recovers.
func (s *series) finish() {
	t := s.draw
	for range 5000 {
		if s.lossPercent == 0 && (len(s.lost) == 0 || s.beyond && len(s.disks) == 0 && len(s.controls()) >= 2) {
			break
		}
		s.step()
	}
	if before := s.acknowledged; rapid.Bool().Draw(t, "acknowledged") {
		s.expectAcceptance()
		s.proposer = nil
		if s.acceptBy == 0 {
			s.propose()
		}
		for i := 0; s.acknowledged == before && i < 400; i++ {
			s.step()
		}
	} else {
		s.propose()
		s.pass(drawTime(t, 0, 200, "proposed before"))
	}
	s.killAll(s.drawDisks())
	s.pass(2000)
	s.endFaults()
	s.pass(recoveryLimit)
	for _, m := range s.controls() {
		s.requireRead(m, "at the end")
	}
	for range int(readTimeout/20) + 2 {
		s.step()
	}
	if len(s.reads) > 0 {
		s.fail("reads have no answer")
	}
	if v := s.votes(); len(v) != 5 {
		s.fail("the votes are %v, want 5", v)
	}
}

func (s *series) drawDisks() []*machine {
	list := s.controls()
	var wiped []*machine
	for range 2 - len(s.disks) {
		k := rapid.IntRange(0, len(list)-1).Draw(s.draw, "disk")
		wiped = append(wiped, list[k])
		list = slices.Delete(list, k, k+1)
	}
	return wiped
}

// endFaults ends what hasn't ended.
func (s *series) endFaults() {
	s.lossPercent, s.duplicatePercent, s.delayPercent = 0, 0, 0
	for range 3000 {
		if len(s.timers) == 0 && len(s.leaving) == 0 {
			break
		}
		s.step()
	}
	s.note("all faults have ended")
}

// TestSeriesOfLossesEndsTheCore draws series of overlapping losses, returns and replacements. What
// was acknowledged must survive, declarations must be accepted in time, and each process must
// become a member.
func TestSeriesOfLossesEndsTheCore(t *testing.T) {
	for _, test := range []struct {
		name             string
		controls, checks int
		beyond           bool
		zones            []string
	}{
		{"6", 6, 100, false, []string{"a1", "b1", "c1", "a2", "b2", "c2"}},
		{"6 beyond the limits", 6, 80, true, []string{"a1", "b1", "c1", "a2", "b2", "c2"}},
		{"27", 27, 3, false, []string{"a1", "b1", "c1", "a2", "b2", "c2", "a3", "b3", "c3"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			limitChecks(t, test.checks)
			rapid.Check(t, func(t *rapid.T) {
				s := newSeries(t, test.controls, test.zones...)
				s.beyond = test.beyond
				for range rapid.IntRange(1, 8).Draw(t, "events") {
					s.event()
					s.pass(drawTime(t, 0, 6000, "gap"))
				}
				s.finish()
			})
		})
	}
}
