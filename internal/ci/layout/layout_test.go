package layout

import (
	"os"
	"slices"
	"testing"
	"testing/fstest"
)

// TestReadmeListsExactlyTheExistingPackages checks that README names every package and no package that
// doesn't exist. It guards against a search and replace that also hits a package's name in
// README; one such replacement left words of a sentence in place of the name.
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
		t.Fatalf("ExistingPackages: got only %v, want at least 10 packages", existing)
	}
	documented := DocumentedPackages(string(readme))
	for _, name := range documented {
		if !slices.Contains(existing, name) {
			t.Errorf("README names %q, which is not a package", name)
		}
	}
	for _, name := range existing {
		if !slices.Contains(documented, name) {
			t.Errorf("README does not name the package %q", name)
		}
	}
}

func TestDocumentedAndExistingPackages(t *testing.T) {
	document := "| `wire` | forms |\n| `internal/a b`, `internal/c` | `other/d`; see `internal/c` |"
	if got, want := DocumentedPackages(document), []string{"internal/a b", "internal/c", "wire"}; !slices.Equal(got, want) {
		t.Errorf("DocumentedPackages: got %q, want each package of the document once, sorted", got)
	}
	tree := fstest.MapFS{"internal/c/x.go": {}, "internal/c/testdata/y.txt": {}, "internal/e/f/z.go": {}, "other/d/w.go": {}}
	got, err := ExistingPackages(tree, "internal")
	if want := []string{"internal/c", "internal/e/f"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("ExistingPackages: got %q, error %v; want the directories below internal that hold Go files", got, err)
	}
	if _, err := ExistingPackages(tree, "missing"); err == nil {
		t.Error("ExistingPackages of a missing directory: got no error")
	}
}
