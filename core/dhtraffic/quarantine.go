package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhview"
)

// mayForward reports whether a request may be sent now, and a refusal if not. A request
// that waits is checked again when it is sent.
func (s *State) mayForward(now dhclock.Millis, r *request) (dheffect.Refusal, bool) {
	if remaining := s.quarantine(now, r); remaining > 0 {
		return dheffect.NewRefusal(dheffect.RefuseQuarantined, false, remaining), false
	}
	return s.checkKey(now, r)
}

// quarantine returns how long a request is still quarantined; 0 if it isn't.
func (s *State) quarantine(now dhclock.Millis, r *request) dhclock.Millis {
	if r.fingerprint == nil {
		return 0
	}
	return s.suspects.Quarantine(now, *r.fingerprint)
}

// acquit records that a request ended without a crash. A server error is no evidence: an
// upstream may have sent it before it ran the request.
func (s *State) acquit(now dhclock.Millis, r *request, status int, out *dheffect.List) {
	if r.fingerprint == nil || status >= statusServerError || !s.suspects.Acquit(now, *r.fingerprint) {
		return
	}
	s.reportSuspects(now, out)
}

// reportSuspects reports what has changed in the suspects to the control state.
func (s *State) reportSuspects(now dhclock.Millis, out *dheffect.List) {
	if !s.suspectsReported.HasUnsent(s.suspects) {
		return
	}
	out.Add(dheffect.NewPostToControl(dheffect.PostToControlOptions{
		Event: dhevent.NewSuspectsReported(now, dhevent.SuspectsReportedOptions{Report: s.suspectsReported.NextReport(now, s.suspects)}),
	}))
}

// mergeSuspects merges the suspects of a new view. The view shows which reports to the
// control state were lost.
func (s *State) mergeSuspects(now dhclock.Millis, x *dhview.Suspects) {
	if x == nil {
		s.suspectsReported.Compare(now, s.suspects, 0)
		return
	}
	s.suspects.Merge(x.At(), x.Report().Suspects())
	s.suspectsReported.Compare(now, s.suspects, x.Report().Digest())
}

// tickSuspects removes expired suspects and reports changes that are still due.
func (s *State) tickSuspects(now dhclock.Millis, out *dheffect.List) {
	s.suspects.RemoveExpired(now)
	s.reportSuspects(now, out)
}
