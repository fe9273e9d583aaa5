package layout

import (
	"os"
	"slices"
	"testing"
	"testing/fstest"
)

// notGoNames are texts in backquotes on the pages that look like Go names but are none, each with what
// it is instead.
var notGoNames = map[string]string{
	"LOG_LEVEL":        "a variable of the environment",
	"FIRWOOD_SETTINGS": "a variable of the environment",
}

func readProject(t *testing.T) *Declarations {
	t.Helper()
	root := os.DirFS("../../..")
	packages, err := ExistingPackages(root, "cmd", "internal", "wire")
	if err != nil {
		t.Fatal(err)
	}
	declarations, err := ReadDeclarations(root, packages)
	if err != nil {
		t.Fatal(err)
	}
	return declarations
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	document, err := os.ReadFile("../../../" + page)
	if err != nil {
		t.Fatal(err)
	}
	return string(document)
}

// TestPagesNameOnlyExistingCode checks that the files and names on the pages that describe the code
// exist. It guards against moved files and renamed declarations that leave outdated names on the pages;
// a move of files once left a hundred of them.
func TestPagesNameOnlyExistingCode(t *testing.T) {
	declarations := readProject(t)
	for _, page := range []string{"docs/architecture.md", "docs/operations.md"} {
		document := readPage(t, page)
		if count := len(codeSpans(document)); count < 100 {
			t.Errorf("%s: got only %d texts in backquotes, want at least 100", page, count)
		}
		for _, problem := range CheckPage(page, document, declarations, notGoNames) {
			t.Error(problem)
		}
	}
}

// TestLogTableMessagesAreInTheNamedFiles checks that each log message that operators may search for is
// a string literal in a file that its row of the table names.
func TestLogTableMessagesAreInTheNamedFiles(t *testing.T) {
	const page = "docs/operations.md"
	checked, problems := CheckLogTable(page, readPage(t, page), readProject(t))
	if checked < 50 {
		t.Errorf("%s: got only %d log messages, want at least 50", page, checked)
	}
	for _, problem := range problems {
		t.Error(problem)
	}
}

func exampleDeclarations(t *testing.T) *Declarations {
	t.Helper()
	root := fstest.MapFS{
		"cmd/program/main.go":       {Data: []byte("package main\nfunc main() {}\n")},
		"internal/a/tree.go":        {Data: []byte("package a\ntype Tree[T any] struct { roots; *leaf }\nfunc (t *Tree[T]) Grow() { log(\"tree grows\") }\nconst Height = 1\n")},
		"internal/a/roots.go":       {Data: []byte("package a\ntype roots struct { depth int }\ntype leaf struct{}\nfunc (l *leaf) fall() {}\ntype Climber interface { Climb() }\n")},
		"internal/a/tree_test.go":   {Data: []byte("package a\nfunc helper() { log(\"only in tests\") }\n")},
		"internal/config/config.go": {Data: []byte("package config\ntype Limits struct { RAM int `json:\"ram_mb,omitempty\"` }\ntype All struct { Limits Limits `yaml:\"limits\"` }\n")},
	}
	declarations, err := ReadDeclarations(root, []string{"cmd/program", "internal/a", "internal/config"})
	if err != nil {
		t.Fatal(err)
	}
	root["internal/a/broken.go"] = &fstest.MapFile{Data: []byte("no Go")}
	if _, err := ReadDeclarations(root, []string{"internal/a"}); err == nil {
		t.Error("ReadDeclarations with a file that is not Go source: got no error")
	}
	return declarations
}

func TestCheckPage(t *testing.T) {
	declarations := exampleDeclarations(t)
	for _, testCase := range []struct{ document, want string }{
		{"`a/tree.go` and `cmd/program/main.go`; `main` (`cmd/program/main.go`)", ""},
		{"`Tree`, `a.Tree.Grow`, `Tree.Grow` (`a/tree.go`), `a.Height`, `Climber.Climb`, `internal/a`", ""},
		{"of embedded types: `Tree.depth` and `a.Tree.fall`; `Tree.roots`", ""},
		{"`a.Tree`: `.depth`, `.fall`", ""},
		{"`a.Tree`: `.depth`, `.height`", "page:1: `a.Tree.height` is not declared"},
		{"settings: `limits.ram_mb`; other texts: `tree`, `tree grows`, `firwood/job/ID`, `n=1`; `EXCEPTION`", ""},
		{"```\n`a.Gone` in a fenced block\n```\n", ""},
		{"\n`tree.go`", "page:2: `tree.go` is no file: name it by its path below internal/, or from cmd/ on"},
		{"`a/tree_test.go`", "page:1: `a/tree_test.go` is no file: name it by its path below internal/, or from cmd/ on"},
		{"`internal/b`", "page:1: `internal/b` is no package"},
		{"`a.Shrub`", "page:1: `a.Shrub` is not declared"},
		{"`Tree.Shrink`", "page:1: `Tree.Shrink` is not declared"},
		{"`Shrub`", "page:1: `Shrub` is not declared"},
		{"`shrink` (`a/tree.go`)", "page:1: `shrink` is not declared"},
		{"`a.helper`", "page:1: `a.helper` is not declared"},
		{"`Tree.Grow` (`a/roots.go`)", "page:1: `Tree.Grow` is in internal/a/tree.go, not in a/roots.go"},
		{"`limits.rom_mb`", "page:1: `limits.rom_mb` is not declared"},
	} {
		var want []string
		if testCase.want != "" {
			want = []string{testCase.want}
		}
		if got := CheckPage("page", testCase.document, declarations, map[string]string{"EXCEPTION": "for the test"}); !slices.Equal(got, want) {
			t.Errorf("CheckPage of %q: got %q, want %q", testCase.document, got, want)
		}
	}
}

func TestCheckLogTable(t *testing.T) {
	declarations := exampleDeclarations(t)
	const header = "| level | line | keys | means | written by | formerly |\n| --- | --- | --- | --- | --- | --- |\n"
	for _, testCase := range []struct {
		row         string
		wantChecked int
		want        string
	}{
		{"| info | `tree grows` | `n` | it grows | `a/tree.go` | `old text` |", 1, ""},
		{"| | | `tree grows` | a reason | `a/roots.go`, `a/tree.go` | `old text` |", 1, ""},
		{"| info | `tree grows` | none | it grows | | - |", 1, "page:3: \"tree grows\" is not written by ; it is in [\"internal/a/tree.go\"]"},
		{"| info | `tree grows` | none | it grows | `a/roots.go` | - |", 1, "page:3: \"tree grows\" is not written by `a/roots.go` ; it is in [\"internal/a/tree.go\"]"},
		{"| info | `tree falls` | none | it falls | | - |", 1, "page:3: \"tree falls\" is not written by ; it is in []"},
		{"| info | `only in tests` | none | no log line | `a/tree.go` | - |", 1, "page:3: \"only in tests\" is not written by `a/tree.go` ; it is in []"},
		{"| info | `tree grows` |", 0, "page:3: the row has 2 cells, not 6"},
	} {
		var want []string
		if testCase.want != "" {
			want = []string{testCase.want}
		}
		checked, got := CheckLogTable("page", header+testCase.row+"\n\n| `tree falls` | another table |\n", declarations)
		if checked != testCase.wantChecked || !slices.Equal(got, want) {
			t.Errorf("CheckLogTable with row %q: got %d checked, problems %q; want %d, %q", testCase.row, checked, got, testCase.wantChecked, want)
		}
	}
}
