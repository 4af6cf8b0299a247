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
	// grantRelayTimeout is the time without a response after which a call counts no longer as
	// under way.
	grantRelayTimeout dhclock.Millis = 300
)

// maxRelayedCalls is how many calls with requests for tokens all members of the consensus group
// together have under way, but each may have one.
const maxRelayedCalls = 36

// maxRelayedRequests bounds the requests that wait for the next call. Holders repeat those
// that are dropped.
const maxRelayedRequests = 1024

// grantRelay holds the requests for tokens that a member of the consensus group passes on to
// the leader. A call costs the leader many times what a request in it costs, so few are
// under way at a time: a leader that is late gets fewer calls with more requests each.
type grantRelay struct {
	waiting   []dhmessage.HolderRequest
	lastFlush dhclock.Millis
	// leader is the one that was called last, and sentAt are the times of the calls to it that it
	// hasn't responded to, oldest first.
	leader string
	sentAt []dhclock.Millis
}

func (r *grantRelay) add(m dhmessage.HolderRequest) {
	if len(r.waiting) < maxRelayedRequests {
		r.waiting = append(r.waiting, m)
	}
}

// flush sends the waiting requests to the leader of a group with a number of members, unless
// others were sent within the interval or too many calls are under way. Without a leader they are
// dropped.
func (r *grantRelay) flush(now dhclock.Millis, leader string, members int, out *dheffect.List) {
	if leader != r.leader {
		r.leader, r.sentAt = leader, nil
	}
	for len(r.sentAt) > 0 && now.Since(r.sentAt[0]) >= grantRelayTimeout {
		r.sentAt = r.sentAt[1:]
	}
	interval := max(grantRelayInterval, grantRelayIntervalStep*dhclock.Millis(members))
	isFull := len(r.sentAt) >= max(1, maxRelayedCalls/max(1, members))
	if len(r.waiting) == 0 || now.Since(r.lastFlush) < interval || isFull {
		return
	}
	if leader != "" {
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: leader, Message: dhmessage.NewRelayedGrantRequests(r.waiting)}))
		r.sentAt = append(r.sentAt, now)
	}
	r.waiting, r.lastFlush = nil, now
}

// recordResponse records that a leader has responded to a call.
func (r *grantRelay) recordResponse(from string) {
	if r.leader == from && len(r.sentAt) > 0 {
		r.sentAt = r.sentAt[1:]
	}
}
