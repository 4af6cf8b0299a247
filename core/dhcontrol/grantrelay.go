package dhcontrol

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// Time constants of passing requests for tokens on, in milliseconds.
const (
	// grantRelayInterval is the least time between two calls with requests. A single request
	// isn't delayed.
	grantRelayInterval dhclock.Millis = 30
	// grantRelayIntervalStep is that time for each member of a large consensus group: all of
	// them call the leader.
	grantRelayIntervalStep dhclock.Millis = 3
	// grantRelayTimeout is the time without a response after which the next call is made.
	grantRelayTimeout dhclock.Millis = 300
)

// maxRelayedRequests bounds the requests that wait for the next call. Holders repeat those
// that are dropped.
const maxRelayedRequests = 1024

// grantRelay holds the requests for tokens that a member of the consensus group passes on to
// the leader. A call costs the leader many times what a request in it costs, so there is one at
// a time: a leader that is late gets fewer calls with more requests each.
type grantRelay struct {
	waiting   []dhmessage.HolderRequest
	lastFlush dhclock.Millis
	// awaited is the leader that has not responded to the last call; "" for none.
	awaited string
}

func (r *grantRelay) add(m dhmessage.HolderRequest) {
	if len(r.waiting) < maxRelayedRequests {
		r.waiting = append(r.waiting, m)
	}
}

// flush sends the waiting requests to the leader of a group with a number of members, unless
// others were sent within the interval or the leader has not responded to them. Without a leader
// they are dropped.
func (r *grantRelay) flush(now dhclock.Millis, leader string, members int, out *dheffect.List) {
	interval := max(grantRelayInterval, grantRelayIntervalStep*dhclock.Millis(members))
	if r.awaited != "" && r.awaited == leader {
		interval = max(interval, grantRelayTimeout)
	}
	if len(r.waiting) == 0 || now.Since(r.lastFlush) < interval {
		return
	}
	if leader != "" {
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: leader, Message: dhmessage.NewRelayedGrantRequests(r.waiting)}))
	}
	r.waiting, r.lastFlush, r.awaited = nil, now, leader
}

// recordResponse records that a leader has responded to the last call.
func (r *grantRelay) recordResponse(from string) {
	if r.awaited == from {
		r.awaited = ""
	}
}
