package dhtraffic

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
)

// transferAllowance is the part of the departure and change bounds that is left for the way of a
// request or response over a congested link, in milliseconds.
const transferAllowance dhclock.Millis = 400

// sendBefore returns the time until which a request may be sent to a registered upstream; 0 for
// no limit. An upstream that is ready in the configuration here may have departed since its last
// confirmation, and the request's route or key may have been removed. An instance that can have no
// newer confirmation goes on with what it has.
func (s *State) sendBefore() dhclock.Millis {
	bound := s.departureBound
	if bound == 0 || s.changeBound > 0 && s.changeBound < bound {
		bound = s.changeBound
	}
	if bound == 0 || s.view.IsDetached() {
		return 0
	}
	return s.view.ConfirmedAt() + bound - transferAllowance
}

// checkDepartures reports whether a request may be sent to a registered upstream now, and a
// refusal if not.
func (s *State) checkDepartures(now dhclock.Millis) (dheffect.Refusal, bool) {
	if before := s.sendBefore(); before > 0 && now >= before {
		return dheffect.NewRefusal(dheffect.RefuseConfigurationStale, false, shortRetryAfter), false
	}
	return dheffect.Refusal{}, true
}
