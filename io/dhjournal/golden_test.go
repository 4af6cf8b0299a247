package dhjournal

import (
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dhtraffic"
)

// update rewrites the golden file; only additions are safe for old journals.
var update = flag.Bool("update", false, "rewrite testdata/stored.golden")

// goldenFile lists every stored name, with kinds and values.
const goldenFile = "testdata/stored.golden"

// modulePath is the import path prefix of the module.
const modulePath = "dogwoodhitch/"

// TestStoredNames compares what journals store with the golden file. It guards
// against a rename in core that changes a stored name: journals of earlier
// releases could then no longer be replayed.
func TestStoredNames(t *testing.T) {
	s := &schema{importer: &moduleImporter{fset: token.NewFileSet(), packages: map[string]*types.Package{}}}
	roots := maps.Clone(typesByStoredName)
	roots["control options"] = reflect.TypeFor[dhcontrol.Options]()
	roots["traffic options"] = reflect.TypeFor[dhtraffic.Options]()
	for _, name := range slices.Sorted(maps.Keys(roots)) {
		root := roots[name]
		if root.Kind() == reflect.Pointer {
			root = root.Elem()
		}
		s.lines = append(s.lines, name)
		start := len(s.lines)
		s.walk("", root)
		slices.Sort(s.lines[start:])
	}
	for _, err := range s.errs {
		t.Error(err)
	}
	got := strings.Join(s.lines, "\n") + "\n"
	if *update {
		if err := os.WriteFile(goldenFile, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	stored, golden := withHeaders(got), withHeaders(string(want))
	for _, l := range golden {
		if !slices.Contains(stored, l) {
			t.Errorf("no longer stored: %s; keep the stored name of a renamed field with a journal tag, that of a renamed type in types.go", l)
		}
	}
	for _, l := range stored {
		if !slices.Contains(golden, l) {
			t.Errorf("not in %s: %s; add it with -update if it is new", goldenFile, l)
		}
	}
	if !t.Failed() {
		t.Errorf("%s has the same lines in a different order or number; compare it after -update", goldenFile)
	}
}

// withHeaders returns the lines of a golden file, each line of a stored type
// preceded by the type's name.
func withHeaders(text string) []string {
	var lines []string
	header := ""
	for l := range strings.Lines(text) {
		l = strings.TrimSuffix(l, "\n")
		if path, nested := strings.CutPrefix(l, "\t"); nested {
			lines = append(lines, header+" "+path)
			continue
		}
		header = l
		lines = append(lines, l)
	}
	return lines
}

// schema describes stored types by lines "path shape values". Paths consist of
// stored names, [] for an element of a list and {} for a value of a map, so
// that no Go name appears in them.
type schema struct {
	lines     []string
	errs      []error
	enclosing []enclosingStruct
	importer  *moduleImporter
}

// enclosingStruct is a struct that contains the type that walk describes.
type enclosingStruct struct {
	path string
	t    reflect.Type
}

func (s *schema) add(path, shape string) {
	s.lines = append(s.lines, "\t"+strings.TrimSpace(path+" "+shape))
}

// walk describes a type as encodeValue stores it.
func (s *schema) walk(path string, t reflect.Type) {
	switch t.Kind() {
	case reflect.Interface:
		s.add(path, "interface")
	case reflect.Pointer:
		if t == catalogType {
			s.add(path, "catalog")
			return
		}
		s.add(path, "optional")
		s.walk(path, t.Elem())
	case reflect.Slice, reflect.Array:
		shape := t.Kind().String()
		if t.Kind() == reflect.Array {
			shape = fmt.Sprintf("array of %d", t.Len())
		}
		if t.Elem().Kind() == reflect.Uint8 {
			s.add(path, shape+" of bytes")
			return
		}
		s.add(path, shape)
		s.walk(path+"[]", t.Elem())
	case reflect.Map:
		if t.Key().Kind() != reflect.String {
			s.errs = append(s.errs, fmt.Errorf("%s: the key of %s isn't a string", path, t))
		}
		s.add(path, "map"+s.enumValues(t.Key()))
		s.walk(path+"{}", t.Elem())
	case reflect.Struct:
		s.walkStruct(path, t)
	case reflect.Bool, reflect.String, reflect.Float64,
		reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		s.add(path, t.Kind().String()+s.enumValues(t))
	default:
		s.errs = append(s.errs, fmt.Errorf("%s: a value of type %s can't be encoded", path, t))
	}
}

func (s *schema) walkStruct(path string, t reflect.Type) {
	for _, o := range s.enclosing {
		if o.t == t {
			s.add(path, "as "+o.path)
			return
		}
	}
	s.enclosing = append(s.enclosing, enclosingStruct{path: path, t: t})
	defer func() { s.enclosing = s.enclosing[:len(s.enclosing)-1] }()
	names := map[string]bool{}
	for f := range t.Fields() {
		name := storedName(f)
		if names[name] {
			s.errs = append(s.errs, fmt.Errorf("%s: two fields of %s are stored as %q", path, t, name))
		}
		names[name] = true
		s.walk(strings.TrimPrefix(path+"."+name, "."), f.Type)
	}
}

// enumValues returns the constants of an enumeration: a named type with at least
// two constants in its own package. A single constant is a unit or a limit.
func (s *schema) enumValues(t reflect.Type) string {
	if !strings.HasPrefix(t.PkgPath(), modulePath) {
		return ""
	}
	p, err := s.importer.Import(t.PkgPath())
	if err != nil {
		s.errs = append(s.errs, err)
		return ""
	}
	if p.Scope().Lookup(t.Name()) == nil {
		s.errs = append(s.errs, fmt.Errorf("type %s wasn't found in the sources of its package", t))
		return ""
	}
	var values []constant.Value
	for _, name := range p.Scope().Names() {
		if c, ok := p.Scope().Lookup(name).(*types.Const); ok && types.Identical(c.Type(), p.Scope().Lookup(t.Name()).Type()) {
			if c.Val().Kind() == constant.Unknown {
				s.errs = append(s.errs, fmt.Errorf("the value of constant %s of type %s is unknown", name, t))
				return ""
			}
			values = append(values, c.Val())
		}
	}
	if len(values) < 2 {
		return ""
	}
	slices.SortFunc(values, func(a, b constant.Value) int {
		switch {
		case constant.Compare(a, token.LSS, b):
			return -1
		case constant.Compare(b, token.LSS, a):
			return 1
		}
		return 0
	})
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = v.ExactString()
	}
	return " of " + strings.Join(texts, " ")
}

// moduleImporter type-checks the module's packages from their sources. Packages
// of the standard library stay empty, and errors that follow from this are
// ignored: only constants are read.
type moduleImporter struct {
	fset     *token.FileSet
	packages map[string]*types.Package
}

// Import implements types.Importer.
func (c *moduleImporter) Import(path string) (*types.Package, error) {
	if p, found := c.packages[path]; found {
		return p, nil
	}
	folder, inModule := strings.CutPrefix(path, modulePath)
	if !inModule {
		p := types.NewPackage(path, path[strings.LastIndex(path, "/")+1:])
		p.MarkComplete()
		c.packages[path] = p
		return p, nil
	}
	names, err := filepath.Glob(filepath.Join("../..", folder, "*.go"))
	if err != nil {
		return nil, err
	}
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(c.fset, name, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	if len(files) == 0 {
		return nil, errors.New("no sources of package " + path)
	}
	config := types.Config{Importer: c, Error: func(error) {}}
	p, _ := config.Check(path, c.fset, files, nil) // errors are expected without the standard library
	c.packages[path] = p
	return p, nil
}
