package dhcommand

import (
	"bytes"
	"os"
	"path/filepath"
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

// TestExplainShowsTheConnection checks that explain tells on which connection an attempt failed.
func TestExplainShowsTheConnection(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.log")
	line := `{"msg":"attempt failed","process":"p","time":"2026-01-24T01:11:09Z","request":"r1","upstream":"10.0.0.2:80",` +
		`"end":"refused","reason":"why","ms":4,"status":503,"connection":"10.0.0.1:3","carried":2}` + "\n"
	if err := os.WriteFile(path, []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errors bytes.Buffer
	code := Main([]string{"dogwoodhitch", "explain", "r1", path}, &out, &errors)
	if want := "with status 503 on connection 10.0.0.1:3, which had carried 2 requests"; code != ExitOK || !strings.Contains(out.String(), want) {
		t.Errorf("got exit code %d and %q, want %q", code, out.String(), want)
	}
}
