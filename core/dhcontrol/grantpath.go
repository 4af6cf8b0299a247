package dhcontrol

import "dogwoodhitch/core/dhclock"

// Time constants of the path of grant requests, in milliseconds.
const (
	// grantPathTimeout is the time without a response after which the next process is asked.
	grantPathTimeout dhclock.Millis = 300
	// grantPathRetryInterval is the time after which the preferred process is asked again.
	grantPathRetryInterval dhclock.Millis = 10_000
)

// grantPath selects the process to which an instance sends its requests for tokens: a member
// of the consensus group, the nearest first, so that the leader gets one call for the requests
// of many instances. A leader that responds late must not get a call of each instance then.
type grantPath struct {
	index           int            // in the list of members
	selectedAt      dhclock.Millis // when index was last changed
	unansweredSince dhclock.Millis // when the oldest request without a response was sent
	isAwaiting      bool
}

// next returns the process to ask, or "" if none is known: one of the members, which are listed
// by distance, or the leader if there are none. It selects another one when the present one
// doesn't respond, and later returns to the first.
func (p *grantPath) next(now dhclock.Millis, members []string, leader string) string {
	switch {
	case p.isAwaiting && now.Since(p.unansweredSince) > grantPathTimeout:
		p.index++
		p.selectedAt, p.isAwaiting = now, false
	case p.index > 0 && now.Since(p.selectedAt) > grantPathRetryInterval:
		p.index, p.isAwaiting = 0, false
	}
	if len(members) == 0 {
		return leader
	}
	return members[p.index%len(members)]
}

// recordRequest records that a request which gets a response was sent.
func (p *grantPath) recordRequest(now dhclock.Millis) {
	if !p.isAwaiting {
		p.unansweredSince, p.isAwaiting = now, true
	}
}

func (p *grantPath) recordResponse() { p.isAwaiting = false }
