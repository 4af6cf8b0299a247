package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
)

// transferAllowance is the part of the departure bound that is left for a request's way to its
// upstream over a congested link, in milliseconds.
const transferAllowance dhclock.Millis = 400

// sendBefore returns the time until which a request may be sent to a registered upstream; 0 for
// no limit. An upstream that is ready in the configuration here may have departed since its last
// confirmation. An instance that can have no newer one goes on with what it has.
func (s *State) sendBefore() dhclock.Millis {
	if s.departureBound == 0 || s.view.IsDetached() {
		return 0
	}
	return s.view.ConfirmedAt() + s.departureBound - transferAllowance
}

// checkDepartures reports whether a request may be sent to a registered upstream now, and a
// refusal if not.
func (s *State) checkDepartures(now dhclock.Millis) (dheffect.Refusal, bool) {
	if before := s.sendBefore(); before > 0 && now >= before {
		return dheffect.NewRefusal(dheffect.RefuseConfigurationStale, false, shortRetryAfter), false
	}
	return dheffect.Refusal{}, true
}
