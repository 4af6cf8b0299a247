package dhcommand

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// TestOperationsPageWorksOnRealLines runs each explain command of the page on
// lines that processes wrote, and compares what the page shows with what comes.
func TestOperationsPageWorksOnRealLines(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	const prompt = "    $ dogwoodhitch explain "
	examples := strings.Split(string(page), prompt)[1:]
	if len(examples) < 3 {
		t.Fatalf("the page shows %d examples", len(examples))
	}
	for _, example := range examples {
		command, shown, _ := strings.Cut(example, "\n")
		request := strings.Fields(command)[0]
		want, _, _ := strings.Cut(shown, "\n\n")
		var out, errors bytes.Buffer
		if code := Main([]string{"dogwoodhitch", "explain", request, "testdata/run.log"}, &out, &errors); code != ExitDone {
			t.Fatalf("%s: exit %d, %s", request, code, errors.String())
		}
		for line := range strings.Lines(out.String()) {
			if !strings.Contains(want, strings.TrimRight(line, "\n")) {
				t.Errorf("%s: the page lacks %q", request, line)
			}
		}
	}
}

// TestExplainWithoutALine names a request that no line tells of, and a file that
// doesn't exist.
func TestExplainWithoutALine(t *testing.T) {
	var out, errors bytes.Buffer
	if code := Main([]string{"dogwoodhitch", "explain", "none", "testdata/run.log"}, &out, &errors); code != ExitRefused || !strings.Contains(errors.String(), "leftOut") {
		t.Errorf("exit %d, %s", code, errors.String())
	}
	if code := Main([]string{"dogwoodhitch", "explain", "none", "testdata/missing.log"}, &out, &errors); code != ExitUsage {
		t.Errorf("exit %d, %s", code, errors.String())
	}
}
