package dhprocess

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines of a process are still running after the tests.
// The exceptions are those of open HTTP connections and of the metrics library.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"),
		goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"), goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
