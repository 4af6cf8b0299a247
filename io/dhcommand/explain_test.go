package dhcommand

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// TestOperationsPageExamples runs each explain command of docs/OPERATIONS.md on
// recorded log lines of real processes, and checks that the page shows the
// output.
func TestOperationsPageExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	const prompt = "    $ dogwoodhitch explain "
	examples := strings.Split(string(page), prompt)[1:]
	if len(examples) < 3 {
		t.Fatalf("docs/OPERATIONS.md has %d examples of explain, want at least 3", len(examples))
	}
	for _, example := range examples {
		command, shown, _ := strings.Cut(example, "\n")
		request := strings.Fields(command)[0]
		want, _, _ := strings.Cut(shown, "\n\n")
		var out, errors bytes.Buffer
		if code := Main([]string{"dogwoodhitch", "explain", request, "testdata/run.log"}, &out, &errors); code != ExitOK {
			t.Fatalf("request %s: got exit code %d and error %s, want ExitOK", request, code, errors.String())
		}
		for line := range strings.Lines(out.String()) {
			if !strings.Contains(want, strings.TrimRight(line, "\n")) {
				t.Errorf("request %s: docs/OPERATIONS.md lacks the output line %q", request, line)
			}
		}
	}
}

// TestExplainUnknownRequest checks the exit code and message of explain for a
// request without a log line, and for a file that doesn't exist.
func TestExplainUnknownRequest(t *testing.T) {
	var out, errors bytes.Buffer
	if code := Main([]string{"dogwoodhitch", "explain", "none", "testdata/run.log"}, &out, &errors); code != ExitRefused || !strings.Contains(errors.String(), "leftOut") {
		t.Errorf("unknown request: got exit code %d and error %s, want ExitRefused and an error that names leftOut", code, errors.String())
	}
	if code := Main([]string{"dogwoodhitch", "explain", "none", "testdata/missing.log"}, &out, &errors); code != ExitUsage {
		t.Errorf("missing file: got exit code %d and error %s, want ExitUsage", code, errors.String())
	}
}
