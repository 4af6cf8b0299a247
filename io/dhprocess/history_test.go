package dhprocess

import (
	"fmt"
	"strings"
	"testing"
)

// routesBody returns the body of a change set that puts a number of routes with a new timeout.
func routesBody(base, routes int) string {
	puts := []string{`{"service": {"name": "s"}}`}
	for i := range routes {
		puts = append(puts, fmt.Sprintf(`{"route": {"name": "r%d", "pathPrefix": "/r%d/", "service": "s", "timeoutMs": %d}}`, i, i, 1000+base))
	}
	return fmt.Sprintf(`{"id": "change-%d", "base": %d, "author": "test", "puts": [%s]}`, base, base, strings.Join(puts, ","))
}

// TestDiffLacksTheChangesWhoseContentIsDropped compares and lists versions whose changes the
// history no longer holds. An operator must learn that, and from which version on it can compare.
func TestDiffLacksTheChangesWhoseContentIsDropped(t *testing.T) {
	o := newOperatorClient(t)
	const changes = 8
	for base := range changes {
		if status, body := o.call("POST", "/v1/changes", "operators", routesBody(base, 2000)); status != 200 {
			t.Fatalf("change %d got status %d: %s", base, status, body)
		}
	}
	_, list := o.call("GET", "/v1/changes", "operators", "")
	for base := range changes {
		if !strings.Contains(list, fmt.Sprintf(`"id":"change-%d"`, base)) {
			t.Errorf("the history doesn't list change-%d", base)
		}
	}
	if !strings.Contains(list, `{"version":1,"id":"change-0","author":"test","contentOmitted":true}`) {
		t.Errorf("the history doesn't say that the content of version 1 is dropped: %.200s", list)
	}
	if status, body := o.call("GET", "/v1/changes/diff?since=0", "operators", ""); status != 404 || !strings.Contains(body, "no longer kept") {
		t.Errorf("diff since version 0 got status %d: %.200s", status, body)
	}
	if status, body := o.call("GET", fmt.Sprint("/v1/changes/diff?since=", changes-1), "operators", ""); status != 200 || !strings.Contains(body, `"back"`) {
		t.Errorf("diff since the version before the current one got status %d: %.200s", status, body)
	}
	if status, _ := o.call("POST", "/v1/changes", "operators", routesBody(0, 2000)); status != 200 {
		t.Errorf("a resend of the first change got status %d", status)
	}
}
