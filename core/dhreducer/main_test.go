package dhreducer

import (
	"flag"
	"os"
	"testing"
)

// rapidDefaults make test runs deterministic. Flags on the command line override
// them, such as -rapid.seed=7 -rapid.checks=5000 for a longer search.
var rapidDefaults = map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "60", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range rapidDefaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
