package layout

import (
	"os"
	"slices"
	"testing"
	"testing/fstest"
)

// README names every package, and none that does not exist: a careless replacement once
// left words of a sentence where a package's name had stood.
func TestReadmeNamesThePackages(t *testing.T) {
	const root = "../../.."
	readme, err := os.ReadFile(root + "/README.md")
	if err != nil {
		t.Fatal(err)
	}
	present, err := Present(os.DirFS(root), "cmd", "internal", "wire")
	if err != nil {
		t.Fatal(err)
	}
	if len(present) < 10 {
		t.Fatalf("only %v are found", present)
	}
	names := Named(string(readme))
	for _, name := range names {
		if !slices.Contains(present, name) {
			t.Errorf("README names %q, which is no package", name)
		}
	}
	for _, name := range present {
		if !slices.Contains(names, name) {
			t.Errorf("README does not name %q", name)
		}
	}
}

func TestNamedAndPresent(t *testing.T) {
	document := "| `wire` | forms |\n| `internal/a b`, `internal/c` | `other/d`; see `internal/c` |"
	if got, want := Named(document), []string{"internal/a b", "internal/c", "wire"}; !slices.Equal(got, want) {
		t.Errorf("named are %q", got)
	}
	tree := fstest.MapFS{"internal/c/x.go": {}, "internal/c/testdata/y.txt": {}, "internal/e/f/z.go": {}, "other/d/w.go": {}}
	got, err := Present(tree, "internal")
	if want := []string{"internal/c", "internal/e/f"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("present are %q, %v", got, err)
	}
	if _, err := Present(tree, "missing"); err == nil {
		t.Error("a folder that is missing is no error")
	}
}
