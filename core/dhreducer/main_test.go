package dhreducer

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// rapidDefaults make test runs deterministic. Flags on the command line override
// them, such as -rapid.seed=7 -rapid.checks=5000 for a longer search.
var rapidDefaults = map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "60", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { isGiven[f.Name] = true })
	for name, value := range rapidDefaults {
		if isGiven[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// isGiven are the flags of rapid that the command line sets.
var isGiven = map[string]bool{}

// limitChecks lowers the number of sequences for a test whose sequences take long, unless the
// command line sets it.
func limitChecks(t *testing.T, number int) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	if isGiven[f.Name] {
		return
	}
	before := f.Value.String()
	if err := f.Value.Set(strconv.Itoa(number)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(before) })
}
