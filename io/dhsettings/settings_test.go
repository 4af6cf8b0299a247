package dhsettings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeSettings writes the edited example of an entry instance and its secret
// files into a temporary folder, and returns the path of the settings file.
func writeSettings(t *testing.T, edit func(text string) string) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range []string{"peers.secret", "operators.secret", "upstreams.secret"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte("a-secret-of-the-tests\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile("../../examples/entry.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, "entry.jsonc")
	if err := os.WriteFile(path, []byte(edit(string(raw))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestExampleIsValid guards against an example file that a process would refuse.
func TestExampleIsValid(t *testing.T) {
	s, err := Read(writeSettings(t, func(text string) string { return text }))
	if err != nil {
		t.Fatal(err)
	}
	if s.Role() != RoleEntry || s.Zone() != "a1" || s.PeerSecret() != "a-secret-of-the-tests" || len(s.Voters()) != 1 {
		t.Errorf("got settings %+v of the example, want an entry instance in zone a1 with its secret and one voter", s.file)
	}
}

// TestProblemsNameFieldAndRemedy makes one field invalid at a time. The error
// must have a single problem and name the file, the field, the value found and
// the remedy.
func TestProblemsNameFieldAndRemedy(t *testing.T) {
	cases := []struct{ old, new, path, found, remedy string }{
		{`"zone": "a1"`, `"zone": ""`, "zone", `""`, "letters"},
		{`"zone": "a1"`, `"zone": "a1", "colour": 1`, "colour", "unknown", "remove"},
		{`"role": "entry"`, `"role": "guard"`, "role", "guard", "entry or control"},
		{`"127.0.0.1:8080"`, `"example.org:8080"`, "listen.callers", "example.org", "IP address"},
		{`"127.0.0.1:7002"`, `"127.0.0.1"`, "voters[0].address", "127.0.0.1", "port"},
		{`"peers.secret"`, `"none.secret"`, "secrets.peersFile", "no such file", "create"},
		{`"maxBodyBytes": 1048576`, `"maxBodyBytes": -1`, "requests.maxBodyBytes", "-1", "from 1"},
		{`"maxBodyBytes": 1048576`, `"maxBodyBytes": "big"`, "requests.maxBodyBytes", "string", "int64"},
		{`"journalFile": ""`, `"dataFolder": "/x"`, "dataFolder", "/x", "remove"},
		{`{`, ``, "file", "", "JSON"},
	}
	for _, c := range cases {
		path := writeSettings(t, func(text string) string { return strings.Replace(text, c.old, c.new, 1) })
		_, err := Read(path)
		var invalid Error
		if !errors.As(err, &invalid) || len(invalid.Problems()) != 1 {
			t.Errorf("settings with %s: got error %v, want one problem", c.new, err)
			continue
		}
		p := invalid.Problems()[0]
		if p.Path() != c.path || !strings.Contains(p.Found(), c.found) || !strings.Contains(p.Remedy(), c.remedy) || !strings.Contains(err.Error(), path) {
			t.Errorf("settings with %s: got error %v, want the file, the field, the value and the remedy", c.new, err)
		}
	}
	if _, err := Read("/none"); err == nil || !strings.Contains(err.Error(), "examples/") {
		t.Errorf("reading a missing file: got error %v, want one that refers to examples/", err)
	}
}

// TestNestedSettingsExhaustTheStack parses deeply nested files. They must be refused with an
// error; an exhausted stack would end the process.
func TestNestedSettingsExhaustTheStack(t *testing.T) {
	for _, text := range []string{"[", `{"a":`, "/**/[", " [\n"} {
		for _, depth := range []int{20_000, 4_000_000} {
			if _, err := Parse("settings.jsonc", []byte(strings.Repeat(text, depth))); err == nil {
				t.Errorf("%d times %q was accepted", depth, text)
			}
		}
	}
}
