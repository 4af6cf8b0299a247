package dhoperator

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// description is the part of docs/openapi.json that is compared.
type description struct {
	Paths      map[string]map[string]any `json:"paths"`
	Components struct {
		Schemas map[string]struct {
			Properties map[string]struct {
				Type string `json:"type"`
			} `json:"properties"`
		} `json:"schemas"`
	} `json:"components"`
}

func withDescription(t *testing.T) description {
	t.Helper()
	raw, err := os.ReadFile("../../docs/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	var d description
	if err := json.Unmarshal(raw, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

// TestDescribedPaths compares the description with the paths that are served.
func TestDescribedPaths(t *testing.T) {
	described := map[string]bool{}
	for path, methods := range withDescription(t).Paths {
		for method := range methods {
			described[strings.ToUpper(method)+" "+path] = true
		}
	}
	served := map[string]bool{}
	for pattern := range New(Options{}).routes() {
		served[pattern] = true
	}
	if !reflect.DeepEqual(described, served) {
		t.Errorf("described %v, served %v", described, served)
	}
}

// TestDescribedTypes compares the description with the members of the types.
func TestDescribedTypes(t *testing.T) {
	schemas := withDescription(t).Components.Schemas
	kinds := map[reflect.Kind]string{
		reflect.String: "string", reflect.Bool: "boolean", reflect.Slice: "array", reflect.Float64: "number",
		reflect.Int: "integer", reflect.Int64: "integer", reflect.Uint64: "integer",
	}
	for _, v := range []any{
		Changed{}, Accepted{}, Status{}, VoterStatus{}, InstanceStatus{}, DrainStatus{}, Pool{}, Upstream{}, Burn{}, Claim{},
	} {
		typed := reflect.TypeOf(v)
		schema := schemas[typed.Name()]
		if len(schema.Properties) != typed.NumField() {
			t.Errorf("%s: %d members described, %d in the type", typed.Name(), len(schema.Properties), typed.NumField())
		}
		for i := range typed.NumField() {
			f := typed.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if got := schema.Properties[name].Type; got != kinds[f.Type.Kind()] {
				t.Errorf("%s.%s: described as %q", typed.Name(), name, got)
			}
		}
	}
}
