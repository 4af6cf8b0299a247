// Package dhannounce implements the HTTP endpoint at which upstreams announce
// themselves to an entry instance.
package dhannounce

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhsteer"
	"dogwoodhitch/io/dhnet"
	"dogwoodhitch/io/dhtrafficstate"
)

// maxBodyBytes bounds an announcement, in bytes.
const maxBodyBytes = 16 << 10

// RenewInterval is how often an upstream should renew its announcement.
const RenewInterval = dhsteer.AnnouncementTTL / 3

// Options configure a Handler.
type Options struct {
	// TrafficState is the traffic state that receives the announcements.
	TrafficState *dhtrafficstate.Owner
	// Secret is the secret that upstreams authenticate with.
	Secret string
}

// Handler receives announcements.
type Handler struct{ options Options }

// New returns a Handler.
func New(o Options) *Handler { return &Handler{options: o} }

// Mux returns the routes of the endpoint.
func (h *Handler) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+dhcatalog.ReservedPrefix+"v1/upstreams/announce", h.announce)
	mux.HandleFunc("POST "+dhcatalog.ReservedPrefix+"v1/upstreams/leave", h.leave)
	return mux
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Name            string `json:"name"`
		Service         string `json:"service"`
		Address         string `json:"address"`
		Slots           int    `json:"slots"`
		Running         int    `json:"running"`
		EchoesAttemptID bool   `json:"echoes"`
	}
	if !h.authenticateAndDecode(w, r, &body) {
		return
	}
	err := dhnet.CheckHostAddress(body.Address)
	switch {
	case !dhcatalog.ValidName(body.Name) || !dhcatalog.ValidName(body.Service):
		refuse(w, http.StatusBadRequest, "name and service must be 1 to 128 letters, digits, '-', '_' or '.'")
	case err != nil:
		refuse(w, http.StatusBadRequest, err.Error())
	case body.Slots < 1 || body.Slots > dhsteer.MaxSlots || body.Running < 0:
		refuse(w, http.StatusBadRequest, "slots must be from 1 to 10000, and running at least 0")
	default:
		h.options.TrafficState.Handle(func(at dhclock.Millis) dhevent.Event {
			return dhevent.NewUpstreamAnnounced(at, dhevent.UpstreamAnnouncedOptions{
				Announcement: dhsteer.NewAnnouncement(dhsteer.AnnouncementOptions{
					Name: body.Name, Service: body.Service, Address: body.Address,
					Slots: body.Slots, Running: body.Running, EchoesAttemptID: body.EchoesAttemptID,
				}),
			})
		})
		writeJSON(w, struct {
			RenewMs int64 `json:"renewMs"`
			TTLMs   int64 `json:"lifeMs"`
		}{RenewInterval.Milliseconds(), dhsteer.AnnouncementTTL.Milliseconds()})
	}
}

func (h *Handler) leave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Name    string `json:"name"`
		Service string `json:"service"`
	}
	if !h.authenticateAndDecode(w, r, &body) {
		return
	}
	h.options.TrafficState.Handle(func(at dhclock.Millis) dhevent.Event {
		return dhevent.NewUpstreamLeft(at, dhevent.UpstreamLeftOptions{Service: body.Service, Name: body.Name})
	})
	writeJSON(w, struct {
		Left bool `json:"left"`
	}{true})
}

// authenticateAndDecode checks the secret and decodes the body. If either fails, it
// writes the refusal and returns false.
func (h *Handler) authenticateAndDecode(w http.ResponseWriter, r *http.Request, body any) bool {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+h.options.Secret)) != 1 {
		refuse(w, http.StatusUnauthorized, "send the upstreams' secret as 'Authorization: Bearer SECRET'")
		return false
	}
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(body); err != nil {
		refuse(w, http.StatusBadRequest, "send a JSON object as docs/OPERATING.md shows: "+err.Error())
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, status int, remedy string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Kind   string `json:"kind"`
		Remedy string `json:"remedy"`
	}{"malformed", remedy})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
