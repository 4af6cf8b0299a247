// Package dhquarantine finds the requests that crash the upstreams which run them. A crash
// ends all requests that were in flight, so one crash convicts none of them: a request is
// quarantined once it was in flight at several crashes that no other quarantined request
// explains, and has not ended without a crash since.
//
// Each process holds a Set. The sets of all processes converge by merging, in any order.
package dhquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhsteer"
)

// Bounds of the suspects, in milliseconds unless noted.
const (
	// minCrashes is the number of unexplained crashes that quarantines a request.
	minCrashes = 3
	// maxCrashes bounds the crashes that are kept of one suspect.
	maxCrashes = 16
	// minQuarantine is how long a request is quarantined after its last crash. It
	// doubles with each crash beyond minCrashes, up to maxQuarantine. A request that
	// has become harmless is acquitted after that.
	minQuarantine = 600 * dhclock.Second
	maxQuarantine = 24 * 3600 * dhclock.Second
	// suspicionTTL is how long a suspect is kept after its last crash or the end of
	// its quarantine.
	suspicionTTL = 600 * dhclock.Second
	// acquittalTTL is how long an acquittal is kept, so that it reaches all processes.
	acquittalTTL = 60 * dhclock.Second
	// maxSuspects and maxAcquittals bound the suspects of one process that have crashes, and those
	// that have none since their acquittal.
	maxSuspects   = 512
	maxAcquittals = 512
)

// expiryInterval is the least time between two searches for expired suspects, in
// milliseconds.
const expiryInterval = dhclock.Second

// Set holds the suspects that one process knows.
type Set struct {
	suspects    map[dhmessage.Fingerprint]*suspect
	acquitted   int    // suspects without crashes
	changes     uint64 // number of changes so far
	quarantined map[dhmessage.Fingerprint]bool
	// repeated holds the suspects that were in flight at minCrashes crashes or more.
	repeated        map[dhmessage.Fingerprint]*suspect
	repeatedChanges uint64 // number of changes of repeated so far
	digest          uint64
	lastExpiry      dhclock.Millis
}

// suspect is a request that was in flight at upstreams that crashed.
type suspect struct {
	request    dhmessage.Fingerprint
	key        uint64 // hash of request
	acquittals uint64
	crashes    []uint64 // sorted
	changedAt  dhclock.Millis
	change     uint64 // value of Set.changes after the last change
	hash       uint64 // of all but the times
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		suspects: map[dhmessage.Fingerprint]*suspect{}, quarantined: map[dhmessage.Fingerprint]bool{},
		repeated: map[dhmessage.Fingerprint]*suspect{},
	}
}

// Changes returns the number of changes so far.
func (s *Set) Changes() uint64 { return s.changes }

// Digest returns a hash of all suspects and their crashes; 0 if there are none. Sets with
// the same digest need not be merged.
func (s *Set) Digest() uint64 { return s.digest }

// HashCrash identifies the crash of one process of an upstream.
func HashCrash(service, upstream string, incarnation int64) uint64 {
	return dhsteer.HashObject(service + "\x00" + upstream + "\x00" + strconv.FormatInt(incarnation, 10))
}

// RecordCrash records that requests were in flight at a crash, and returns those that are
// quarantined by it.
func (s *Set) RecordCrash(now dhclock.Millis, crash uint64, requests ...dhmessage.Fingerprint) []dhmessage.Fingerprint {
	var list []dhmessage.Suspect
	var others []dhmessage.Fingerprint
	for _, request := range requests {
		o := dhmessage.SuspectOptions{Fingerprint: request, Crashes: []uint64{crash}}
		if x, found := s.suspects[request]; found {
			o.Acquittals = x.acquittals
		}
		list = append(list, dhmessage.NewSuspect(o))
		if !s.quarantined[request] {
			others = append(others, request)
		}
	}
	s.Merge(now, list)
	return slices.DeleteFunc(others, func(request dhmessage.Fingerprint) bool { return !s.quarantined[request] })
}

// Acquit records that a request ended without a crash. It reports whether the request was
// suspected.
func (s *Set) Acquit(now dhclock.Millis, request dhmessage.Fingerprint) bool {
	x, found := s.suspects[request]
	if !found || len(x.crashes) == 0 {
		return false
	}
	return s.Merge(now, []dhmessage.Suspect{dhmessage.NewSuspect(dhmessage.SuspectOptions{
		Fingerprint: request, Acquittals: x.acquittals + 1,
	})})
}

// Quarantine returns how long a request is still quarantined; 0 if it isn't.
func (s *Set) Quarantine(now dhclock.Millis, request dhmessage.Fingerprint) dhclock.Millis {
	if !s.quarantined[request] {
		return 0
	}
	x := s.suspects[request]
	return max(0, x.changedAt+x.quarantine()-now)
}

// quarantine returns how long the suspect is quarantined after its last crash.
func (x *suspect) quarantine() dhclock.Millis {
	return min(maxQuarantine, minQuarantine<<max(0, len(x.crashes)-minCrashes))
}

// Merge adds the suspects of another process and reports whether it has changed the set.
// More acquittals replace earlier crashes; crashes since the same acquittal are united.
func (s *Set) Merge(now dhclock.Millis, list []dhmessage.Suspect) bool {
	before := s.changes
	for _, other := range list {
		s.merge(now, other)
	}
	if s.changes == before {
		return false
	}
	s.evict()
	s.judge()
	return true
}

func (s *Set) merge(now dhclock.Millis, other dhmessage.Suspect) {
	request := other.Fingerprint()
	incoming := &suspect{request: request, acquittals: other.Acquittals(), changedAt: now - other.Age()}
	x, found := s.suspects[request]
	switch {
	case !found:
		incoming.key = hashKey(request)
		incoming.crashes = unite(nil, other.Crashes())
	case other.Acquittals() < x.acquittals:
		return
	case other.Acquittals() == x.acquittals:
		if slices.Equal(x.crashes, other.Crashes()) {
			x.changedAt = max(x.changedAt, incoming.changedAt)
			return
		}
		incoming.key = x.key
		incoming.crashes = unite(x.crashes, other.Crashes())
		incoming.changedAt = max(x.changedAt, incoming.changedAt)
		if len(incoming.crashes) == len(x.crashes) {
			x.changedAt = incoming.changedAt
			return
		}
	default:
		incoming.key = x.key
		incoming.crashes = unite(nil, other.Crashes())
	}
	if incoming.expired(now) {
		return
	}
	s.put(incoming)
}

// put adds a suspect, or replaces the one of the same request.
func (s *Set) put(x *suspect) {
	if old, found := s.suspects[x.request]; found {
		s.remove(old)
	}
	s.changes++
	x.change, x.hash = s.changes, x.computeHash()
	s.suspects[x.request] = x
	s.digest += x.hash
	if len(x.crashes) == 0 {
		s.acquitted++
	}
	if len(x.crashes) >= minCrashes {
		s.repeated[x.request] = x
		s.repeatedChanges++
	}
}

func (s *Set) remove(x *suspect) {
	delete(s.suspects, x.request)
	if len(x.crashes) == 0 {
		s.acquitted--
	}
	if s.repeated[x.request] != nil {
		delete(s.repeated, x.request)
		s.repeatedChanges++
	}
	s.digest -= x.hash
}

// unite returns the union of two lists of crashes, sorted.
func unite(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashes)]
}

// expired reports whether the suspect need not be kept any more.
func (x *suspect) expired(now dhclock.Millis) bool {
	age := now.Since(x.changedAt)
	switch {
	case len(x.crashes) == 0:
		return age > acquittalTTL
	case len(x.crashes) < minCrashes:
		return age > suspicionTTL
	default:
		return age > x.quarantine()+suspicionTTL
	}
}

// RemoveExpired removes the suspects that need not be kept any more.
func (s *Set) RemoveExpired(now dhclock.Millis) {
	if now.Since(s.lastExpiry) < expiryInterval {
		return
	}
	s.lastExpiry = now
	before := len(s.suspects)
	for _, x := range s.suspects {
		if x.expired(now) {
			s.remove(x)
		}
	}
	if len(s.suspects) != before {
		s.judge()
	}
}

// evict removes the suspects with the fewest crashes, the oldest first, beyond maxSuspects, and the
// oldest acquittals beyond maxAcquittals.
func (s *Set) evict() {
	if s.acquitted <= maxAcquittals && len(s.suspects)-s.acquitted <= maxSuspects {
		return
	}
	list := slices.SortedFunc(maps.Values(s.suspects), func(a, b *suspect) int {
		return cmp.Or(byCrashes(a, b), cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(a.key, b.key))
	})
	crashed := len(list) - s.acquitted
	for _, x := range list[min(crashed, maxSuspects):crashed] {
		s.remove(x)
	}
	for _, x := range list[min(len(list), crashed+maxAcquittals):] {
		s.remove(x)
	}
}

// byCrashes orders suspects with more crashes first.
func byCrashes(a, b *suspect) int { return cmp.Compare(len(b.crashes), len(a.crashes)) }

// judge computes the quarantined requests. Suspects with more crashes come first; the
// crashes at which a quarantined request was in flight count for no other request.
func (s *Set) judge() {
	clear(s.quarantined)
	explained := map[uint64]bool{}
	for _, x := range slices.SortedFunc(maps.Values(s.repeated), func(a, b *suspect) int {
		return cmp.Or(byCrashes(a, b), cmp.Compare(a.key, b.key))
	}) {
		unexplained := 0
		for _, c := range x.crashes {
			if !explained[c] {
				unexplained++
			}
		}
		if unexplained < minCrashes {
			continue
		}
		s.quarantined[x.request] = true
		for _, c := range x.crashes {
			explained[c] = true
		}
	}
}

// hashKey returns a hash of a request.
func hashKey(request dhmessage.Fingerprint) uint64 {
	content := request.Content()
	return dhsteer.HashObject(string(content[:]) + request.Organisation())
}

// computeHash returns a hash of the suspect, apart from times.
func (x *suspect) computeHash() uint64 {
	text := strconv.AppendUint(append(strconv.AppendUint(nil, x.key, 36), ':'), x.acquittals, 36)
	for _, c := range x.crashes {
		text = strconv.AppendUint(append(text, ','), c, 36)
	}
	return dhsteer.HashObject(string(text))
}

// messages returns the suspects that have changed after a number of changes, in the order
// of their changes.
func messages(now dhclock.Millis, suspects map[dhmessage.Fingerprint]*suspect, change uint64) []dhmessage.Suspect {
	var list []dhmessage.Suspect
	for _, x := range slices.SortedFunc(maps.Values(suspects), func(a, b *suspect) int { return cmp.Compare(a.change, b.change) }) {
		if x.change > change && !x.expired(now) {
			list = append(list, dhmessage.NewSuspect(dhmessage.SuspectOptions{
				Fingerprint: x.request, Acquittals: x.acquittals, Crashes: x.crashes, Age: now.Since(x.changedAt),
			}))
		}
	}
	return list
}
