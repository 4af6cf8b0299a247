package dhoperator

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// apiDescription is the part of docs/openapi.json that the tests compare with
// the code.
type apiDescription struct {
	Paths      map[string]map[string]any `json:"paths"`
	Components struct {
		Schemas map[string]struct {
			Properties map[string]struct {
				Type string `json:"type"`
			} `json:"properties"`
		} `json:"schemas"`
	} `json:"components"`
}

func readDescription(t *testing.T) apiDescription {
	t.Helper()
	raw, err := os.ReadFile("../../docs/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	var d apiDescription
	if err := json.Unmarshal(raw, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

// TestPathsMatchOpenAPI compares the methods and paths of docs/openapi.json with
// the routes of the API.
func TestPathsMatchOpenAPI(t *testing.T) {
	described := map[string]bool{}
	for path, methods := range readDescription(t).Paths {
		for method := range methods {
			described[strings.ToUpper(method)+" "+path] = true
		}
	}
	served := map[string]bool{}
	for pattern := range New(Options{}).routes() {
		served[pattern] = true
	}
	if !reflect.DeepEqual(described, served) {
		t.Errorf("docs/openapi.json describes %v, the API serves %v", described, served)
	}
}

// TestTypesMatchOpenAPI compares the schemas of docs/openapi.json with the JSON
// members of the Go types, by name and type.
func TestTypesMatchOpenAPI(t *testing.T) {
	schemas := readDescription(t).Components.Schemas
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
			t.Errorf("%s: docs/openapi.json describes %d members, the type has %d", typed.Name(), len(schema.Properties), typed.NumField())
		}
		for i := range typed.NumField() {
			f := typed.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if got := schema.Properties[name].Type; got != kinds[f.Type.Kind()] {
				t.Errorf("%s.%s: docs/openapi.json has type %q", typed.Name(), name, got)
			}
		}
	}
}
