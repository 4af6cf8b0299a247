package dhcontrol

import (
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhmessage"
)

// grantRelayInterval is the least time between two calls with requests for tokens that are
// passed on, in milliseconds. A single request isn't delayed.
const grantRelayInterval dhclock.Millis = 30

// maxRelayedRequests bounds the requests that wait for the next call. Holders repeat those
// that are dropped.
const maxRelayedRequests = 1024

// grantRelay holds the requests for tokens that a member of the consensus group passes on to
// the leader. A call costs the leader many times what a request in it costs.
type grantRelay struct {
	waiting   []dhmessage.HolderRequest
	lastFlush dhclock.Millis
}

func (r *grantRelay) add(m dhmessage.HolderRequest) {
	if len(r.waiting) < maxRelayedRequests {
		r.waiting = append(r.waiting, m)
	}
}

// flush sends the waiting requests to the leader unless others were sent within
// grantRelayInterval. Without a leader they are dropped.
func (r *grantRelay) flush(now dhclock.Millis, leader string, out *dheffect.List) {
	if len(r.waiting) == 0 || now.Since(r.lastFlush) < grantRelayInterval {
		return
	}
	if leader != "" {
		out.Add(dheffect.NewSend(dheffect.SendOptions{To: leader, Message: dhmessage.NewRelayedGrantRequests(r.waiting)}))
	}
	r.waiting, r.lastFlush = nil, now
}
