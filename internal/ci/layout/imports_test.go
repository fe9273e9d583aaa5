package layout

import (
	"maps"
	"os"
	"slices"
	"testing"
	"testing/fstest"
)

const modulePath = "firwood.dev/firwood"

// TestImportsFollowLayers checks that each package of the project is in exactly one layer, and that it
// imports only packages of its own layer and of lower layers.
func TestImportsFollowLayers(t *testing.T) {
	root := os.DirFS("../../..")
	packages, err := ExistingPackages(root, "cmd", "internal", "wire")
	if err != nil {
		t.Fatal(err)
	}
	imports, err := ReadImports(root, modulePath, packages)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Contains(imports["cmd/firwood"], "internal/controller") || !slices.Contains(imports["internal/kvstore"], "wire") {
		t.Fatalf("ReadImports did not find the imports that cmd/firwood and internal/kvstore are known to have: %v", imports)
	}
	for _, problem := range CheckLayers(Layers, imports) {
		t.Error(problem)
	}
}

// TestReadImports checks that imports of test files and of other modules are left out, that a package
// imported by two files is returned once, and that a file that isn't Go source is an error.
func TestReadImports(t *testing.T) {
	root := fstest.MapFS{
		"wire/a.go":           {Data: []byte("package wire\n")},
		"internal/a/a.go":     {Data: []byte("package a\nimport (\n\"fmt\"\n\"example.org/x\"\nw \"m.org/m/wire\"\n)\n")},
		"internal/a/b.go":     {Data: []byte("package a\nimport (\n\"m.org/m/internal/b\"\n_ \"m.org/m/wire\"\n\"m.org/mx/c\"\n)\n")},
		"internal/a/_test.go": {Data: []byte("package a\nimport \"m.org/m/internal/fake\"\n")},
	}
	got, err := ReadImports(root, "m.org/m", []string{"internal/a", "wire"})
	want := map[string][]string{"internal/a": {"internal/b", "wire"}, "wire": nil}
	if err != nil || !maps.EqualFunc(got, want, slices.Equal) {
		t.Errorf("ReadImports: got %v, error %v; want %v", got, err, want)
	}
	root["internal/a/c.go"] = &fstest.MapFile{Data: []byte("no Go")}
	if _, err := ReadImports(root, "m.org/m", []string{"internal/a"}); err == nil {
		t.Error("ReadImports with a file that is not Go source: got no error")
	}
}

// TestCheckLayers checks that each kind of violation is reported, and that imports of the same layer
// and of lower layers are allowed.
func TestCheckLayers(t *testing.T) {
	layers := []Layer{{"low", []string{"a", "b"}}, {"high", []string{"c"}}}
	for _, testCase := range []struct {
		name    string
		layers  []Layer
		imports map[string][]string
		want    []string
	}{
		{"downwards and within a layer", layers, map[string][]string{"a": {"b"}, "b": nil, "c": {"a", "b"}}, nil},
		{"upwards", layers, map[string][]string{"a": {"c"}, "b": nil, "c": nil}, []string{`a (layer "low") imports c of the higher layer "high"`}},
		{"in no layer", layers, map[string][]string{"a": nil, "b": nil, "c": nil, "d": nil}, []string{`d is in no layer: list it in internal/ci/layout/layers.go`}},
		{"missing", layers, map[string][]string{"a": nil, "c": nil}, []string{`b is listed in layer "low" but does not exist`}},
		{"twice", append(slices.Clone(layers), Layer{"top", []string{"a"}}), map[string][]string{"a": nil, "b": nil, "c": nil}, []string{`a is listed twice in the layers`}},
	} {
		if got := CheckLayers(testCase.layers, testCase.imports); !slices.Equal(got, testCase.want) {
			t.Errorf("%s: CheckLayers: got %q, want %q", testCase.name, got, testCase.want)
		}
	}
}
