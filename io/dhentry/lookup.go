package dhentry

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhlookup"
	"dogwoodhitch/io/dhwire"
)

// lookUp returns the entry instances that a client should use. The client's
// address is the address query parameter; without one it is the connection's
// remote address.
func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	id := s.requestID(r)
	addressText := r.URL.Query().Get("address")
	if addressText == "" {
		addressText, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	address, err := netip.ParseAddr(addressText)
	if err != nil {
		s.writeRefusal(w, id, dheffect.NewRefusal(dheffect.RefuseMalformed, false, 0))
		return
	}
	bits, isIPv6 := dhwire.AddressBits(address)
	replies := s.options.TrafficState.Query(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewLookUpRequested(at, dhevent.LookUpRequestedOptions{Address: bits, IPv6: isIPv6})
	})
	answer := replies[0].(*dheffect.LookUpReply).Answer()
	if len(answer.Targets()) == 0 {
		s.writeRefusal(w, id, dheffect.NewRefusal(dheffect.RefuseNoUpstream, false, dhclock.Second))
		return
	}
	writeLookUp(w, id, &answer)
}

func writeLookUp(w http.ResponseWriter, id string, a *dhlookup.Answer) {
	type entry struct {
		Instance string `json:"instance"`
		Address  string `json:"address"`
	}
	entries := make([]entry, 0, dhlookup.MaxTargets)
	for _, i := range a.Targets() {
		entries = append(entries, entry{i.Name(), i.CallerAddress()})
	}
	body, _ := json.Marshal(struct {
		Site         string  `json:"site"`
		Zone         string  `json:"zone"`
		Entries      []entry `json:"entries"`
		TimeToLiveMs int64   `json:"timeToLiveMs"`
		Version      uint64  `json:"version"`
	}{a.Site(), a.Zone(), entries, a.TimeToLive().Milliseconds(), a.Version()})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, id)
	h.Set("Cache-Control", "max-age="+strconv.FormatInt(a.TimeToLive().Milliseconds()/dhclock.Second.Milliseconds(), 10))
	_, _ = w.Write(append(body, '\n'))
}
