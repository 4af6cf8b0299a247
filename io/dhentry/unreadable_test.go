package dhentry

import (
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhwire"
)

// TestUnreadableTextsLoseOtherMessages sends an idempotency key that isn't UTF-8, and lets an
// upstream respond with such a header field. Neither may get into a message: encoding it would
// fail, and the messages that are sent with it would be lost.
func TestUnreadableTextsLoseOtherMessages(t *testing.T) {
	u := startUpstream(t, func(*http.Request, int64) (string, bool) { return okResponse("ok"), false })
	e := startEntry(t, u.Addr().String())
	if got := e.send(http.MethodPost, "/buy/1", "", HeaderIdempotencyKey, "k\xff"); got.kind != "idempotencyKeyMissing" || got.run != NotRun {
		t.Errorf("got %+v, want a refusal that did not run", got)
	}
	if got := e.send(http.MethodPost, "/write/1", "", HeaderIdempotencyKey, "k\xff"); got.err != nil || got.status != http.StatusOK {
		t.Errorf("got %+v on a route without claims, want status 200", got)
	}
	for name, response := range map[string]*http.Response{
		"value": {StatusCode: 200, Header: http.Header{"Content-Disposition": {"attachment; filename=caf\xe9"}}},
		"name":  {StatusCode: 200, Header: http.Header{"X-\xe9": {"1"}}},
		"text":  {StatusCode: 200, Header: http.Header{"X-Name": {"café"}}},
	} {
		recorded := responseToRecord(&attempt{response: response, bodyPrefix: []byte("\xff")})
		outcome := dhmessage.NewOutcome(dhmessage.NewClaimKey("o", "k"), dhmessage.NewClaimant("i", 1, 2), dhmessage.ClaimDone, recorded)
		if _, err := proto.Marshal(dhwire.EntryToWire(dhmessage.NewEntry(1, 1, 1, outcome))); err != nil {
			t.Errorf("%s: the recorded response can't be sent: %v", name, err)
		}
		if (recorded != nil) != (name == "text") {
			t.Errorf("%s: the recorded response is %+v", name, recorded)
		}
	}
}
