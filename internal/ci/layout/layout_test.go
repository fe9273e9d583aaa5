package layout

import (
	"os"
	"slices"
	"testing"
	"testing/fstest"
)

// README names every package, and none that does not exist: a careless replacement once
// left words of a sentence where a package's name had stood.
func TestReadmeListsExactlyTheExistingPackages(t *testing.T) {
	const root = "../../.."
	readme, err := os.ReadFile(root + "/README.md")
	if err != nil {
		t.Fatal(err)
	}
	existing, err := ExistingPackages(os.DirFS(root), "cmd", "internal", "wire")
	if err != nil {
		t.Fatal(err)
	}
	if len(existing) < 10 {
		t.Fatalf("only %v are found", existing)
	}
	documented := DocumentedPackages(string(readme))
	for _, name := range documented {
		if !slices.Contains(existing, name) {
			t.Errorf("README names %q, which is no package", name)
		}
	}
	for _, name := range existing {
		if !slices.Contains(documented, name) {
			t.Errorf("README does not name %q", name)
		}
	}
}

func TestDocumentedAndExistingPackages(t *testing.T) {
	document := "| `wire` | forms |\n| `internal/a b`, `internal/c` | `other/d`; see `internal/c` |"
	if got, want := DocumentedPackages(document), []string{"internal/a b", "internal/c", "wire"}; !slices.Equal(got, want) {
		t.Errorf("named are %q", got)
	}
	tree := fstest.MapFS{"internal/c/x.go": {}, "internal/c/testdata/y.txt": {}, "internal/e/f/z.go": {}, "other/d/w.go": {}}
	got, err := ExistingPackages(tree, "internal")
	if want := []string{"internal/c", "internal/e/f"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("present are %q, %v", got, err)
	}
	if _, err := ExistingPackages(tree, "missing"); err == nil {
		t.Error("a folder that is missing is no error")
	}
}
