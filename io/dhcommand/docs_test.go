package dhcommand

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/io/dhentry"
)

const repositoryRoot = "../.."

// readPages returns the text of every page by its path.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	texts := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/incidents/*.md"} {
		names, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		if len(names) == 0 {
			t.Fatalf("no page matches %s", pattern)
		}
		for _, n := range names {
			raw, err := os.ReadFile(n)
			if err != nil {
				t.Fatal(err)
			}
			texts[n] = string(raw)
		}
	}
	return texts
}

// TestPagesNameExistingTests checks that every test and benchmark that a page
// names exists.
func TestPagesNameExistingTests(t *testing.T) {
	var sources bytes.Buffer
	for _, pattern := range []string{"core/*/*_test.go", "io/*/*_test.go", "cmd/*/*_test.go", "platform/*_test.go", "soak/*_test.go"} {
		names, _ := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		for _, n := range names {
			raw, err := os.ReadFile(n)
			if err != nil {
				t.Fatal(err)
			}
			sources.Write(raw)
		}
	}
	for page, text := range readPages(t) {
		for _, name := range regexp.MustCompile(`\b(Test|Benchmark)[A-Z]\w+`).FindAllString(text, -1) {
			if !strings.Contains(sources.String(), "func "+name+"(") {
				t.Errorf("%s names %s, which doesn't exist", page, name)
			}
		}
	}
}

// TestPagesNameExistingFiles checks that every package that a page or the linter's
// configuration names exists, and every file and folder that a page names by its
// path from the root of the repository.
func TestPagesNameExistingFiles(t *testing.T) {
	packages := regexp.MustCompile(`\bdh[a-z]+\b`)
	paths := regexp.MustCompile("(?m)(?:^|[ `(])((?:core|io|cmd|platform|deploy|docs|examples|proto)/" +
		`[A-Za-z0-9_/-]+(?:\.(?:go|md|toml|jsonc?|sh|txt))?)`)
	isFolder := func(path string) bool {
		info, err := os.Stat(filepath.Join(repositoryRoot, path))
		return err == nil && info.IsDir()
	}
	checkPackages := func(page, text string) {
		for _, name := range packages.FindAllString(text, -1) {
			if !isFolder("core/"+name) && !isFolder("io/"+name) {
				t.Errorf("%s names package %s, which doesn't exist", page, name)
			}
		}
	}
	for page, text := range readPages(t) {
		checkPackages(page, text)
		for _, m := range paths.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(repositoryRoot, m[1])); err != nil {
				t.Errorf("%s names %s, which doesn't exist", page, m[1])
			}
		}
	}
	linter := filepath.Join(repositoryRoot, ".golangci.yml")
	raw, err := os.ReadFile(linter)
	if err != nil {
		t.Fatal(err)
	}
	checkPackages(linter, string(raw))
}

// TestPagesLinkToExistingFiles checks that the target of every relative link of
// a page exists.
func TestPagesLinkToExistingFiles(t *testing.T) {
	for page, text := range readPages(t) {
		for _, m := range regexp.MustCompile(`\]\(([^)#]+)\)`).FindAllStringSubmatch(text, -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s links to %s, which doesn't exist", page, m[1])
			}
		}
	}
}

// TestEveryRefusalIsDocumented checks that docs/OPERATING.md names every kind of
// refusal.
func TestEveryRefusalIsDocumented(t *testing.T) {
	text := readPages(t)[filepath.Join(repositoryRoot, "docs/OPERATING.md")]
	dhentry.EachRefusal(func(kind dheffect.RefusalKind, status int, remedy string) {
		if !strings.Contains(text, string(kind)) {
			t.Errorf("docs/OPERATING.md doesn't name the refusal %s (%d, %s)", kind, status, remedy)
		}
	})
}

// TestCommandLine checks the exit codes and output of commands that need no
// running system.
func TestCommandLine(t *testing.T) {
	cases := []struct {
		args []string
		code int
		text string // part of the output
	}{
		{[]string{"check", repositoryRoot + "/examples/entry.jsonc", repositoryRoot + "/examples/control.jsonc", repositoryRoot + "/examples/first.json"}, ExitOK, "first.json: ok"},
		{[]string{"check", "none.json"}, ExitUsage, "name a file"},
		{[]string{"check"}, ExitUsage, "at least one file"},
		{[]string{"entry", "--settings", repositoryRoot + "/examples/control.jsonc"}, ExitUsage, "dogwoodhitch control"},
		{[]string{"entry"}, ExitUsage, "settings"},
		{[]string{"status", "--server", "127.0.0.1:1", "--secret-file", repositoryRoot + "/examples/operators.secret"}, ExitUnreachable, "--server"},
		{[]string{"status", "--server", "127.0.0.1:1", "--secret-file", "none"}, ExitUsage, "operators' secret"},
		{[]string{"status", "--server", "127.0.0.1:1", "--secret-file", repositoryRoot + "/examples/operators.secret", "-o", "xml"}, ExitUsage, "table or json"},
		{[]string{"drain", "start", "planet", "a", "--server", "x", "--secret-file", "y"}, ExitUsage, "zone NAME"},
		{[]string{"inspect", "/none"}, ExitFailed, "no such file"},
		{[]string{"replay", repositoryRoot + "/go.mod"}, ExitFailed, "isn't a journal"},
		{[]string{"none"}, ExitUsage, "none"},
	}
	for _, c := range cases {
		var out bytes.Buffer
		code := Main(append([]string{"dogwoodhitch"}, c.args...), &out, &out)
		if code != c.code || !strings.Contains(out.String(), c.text) {
			t.Errorf("%v: got exit code %d and output %s", c.args, code, out.String())
		}
	}
}
