package dhloop

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid unless the command line sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
