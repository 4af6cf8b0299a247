package dhannounce

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/core/dhtraffic"
	"dogwoodhitch/io/dhtime"
	"dogwoodhitch/io/dhtrafficstate"
)

const announcePath, leavePath = "/dogwoodhitch/v1/upstreams/announce", "/dogwoodhitch/v1/upstreams/leave"

// announcementText returns a valid announcement in which one field is replaced by a JSON text.
func announcementText(field, value string) string {
	fields := map[string]string{"name": `"u"`, "service": `"s"`, "address": `"10.0.0.1:80"`, "slots": "4", "running": "0", "echoes": "true"}
	maps.Copy(fields, map[string]string{field: value})
	var list []string
	for name, value := range fields {
		list = append(list, strconv.Quote(name)+":"+value)
	}
	return "{" + strings.Join(list, ",") + "}"
}

// TestOddAnnouncementsChangeTheUpstreams sends announcements with a wrong value under the name
// of an announced upstream and under another one. They must be refused and change nothing.
func TestOddAnnouncementsChangeTheUpstreams(t *testing.T) {
	clock := dhtime.New(func() dhclock.Millis { return 1_000_000 })
	state := dhtrafficstate.New(dhreducer.NewTraffic(dhtraffic.Options{Instance: "i", Zone: "z", Now: clock.Now()}), dhtrafficstate.Seams{
		Clock: clock, Execute: func(dheffect.Effect) {},
	})
	mux := New(Options{TrafficState: state, Secret: "secret"}).Mux()
	post := func(path, body string) int {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer secret")
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, r)
		return w.Code
	}
	if status := post(announcePath, announcementText("slots", "4")); status != http.StatusOK {
		t.Fatalf("got status %d for a valid announcement", status)
	}
	odd := []string{"", "null", "[]", "{", strings.Repeat("[", 1<<20), strings.Repeat(`{"a":`, 1<<20), "\x00\xff"}
	for field, values := range map[string][]string{
		"name":    {"null", "7", `""`, `"a/b"`, "\"\xff\"", `"` + strings.Repeat("a", 200) + `"`},
		"service": {"null", "7", `""`, `"a b"`},
		"address": {"null", `""`, `"10.0.0.1:+80"`, `"10.0.0.1:0"`, `"10.0.0.1:65536"`, `"localhost:80"`, `"0.0.0.0:80"`, `"224.0.0.1:80"`, `"[fe80::1%eth0]:80"`},
		"slots":   {"null", "0", "-1", "10001", "9223372036854775808", "1e400", `"4"`, "4.5"},
		"running": {"-1", "9223372036854775808", `"0"`},
		"unknown": {"1"},
	} {
		for _, v := range values {
			odd = append(odd, announcementText(field, v), strings.Replace(announcementText(field, v), `"u"`, `"v"`, 1))
		}
	}
	for _, body := range odd {
		if status := post(announcePath, body); status != http.StatusBadRequest {
			t.Errorf("got status %d for %.200s, want 400", status, body)
		}
	}
	for _, body := range []string{"", "{", "[]", `{"name":7,"service":"s"}`, `{"name":"u"}`, `{"service":"s"}`} {
		post(leavePath, body)
	}
	pools := state.Query(func(at dhclock.Millis) dhevent.Event { return dhevent.NewPoolStatusRequested(at) })[0].(*dheffect.PoolStatusReply).Pools()
	if len(pools) != 1 || len(pools[0].Upstreams()) != 1 {
		t.Fatalf("got pools %+v, want one with one upstream", pools)
	}
	if u := pools[0].Upstreams()[0]; u.Name() != "u" || u.Address() != "10.0.0.1:80" || u.Slots() != 4 || u.State() != "ok" {
		t.Errorf("the upstream became %+v", u)
	}
}
