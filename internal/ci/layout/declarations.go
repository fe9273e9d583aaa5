package layout

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Declarations holds the names that the project's Go files declare, and their struct tags and string
// literals. Test files are left out.
type Declarations struct {
	// files lists the files of each package, by package directory.
	files map[string][]string
	// names lists the files that declare a name, by package directory and name. The name is "Name"
	// for a package-level declaration and "Type.Member" for a method or field.
	names map[string]map[string][]string
	// embedded lists the types of the same package that a type embeds, by package directory and
	// type name. Embedded types of other packages are left out.
	embedded map[string]map[string][]string
	// settings holds the names in the json and yaml struct tags of internal/config.
	settings map[string]bool
	// literals lists the files that have a string literal, by the literal's value. A file is listed
	// once for each time that it has the literal.
	literals map[string][]string
}

// ReadDeclarations parses the Go files of the given packages, which are directories below root.
func ReadDeclarations(root fs.FS, packages []string) (*Declarations, error) {
	declarations := &Declarations{
		files: map[string][]string{}, names: map[string]map[string][]string{}, embedded: map[string]map[string][]string{},
		settings: map[string]bool{}, literals: map[string][]string{},
	}
	for _, directory := range packages {
		files, err := fs.Glob(root, directory+"/*.go")
		if err != nil {
			return nil, err
		}
		declarations.names[directory], declarations.embedded[directory] = map[string][]string{}, map[string][]string{}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			source, err := fs.ReadFile(root, name)
			if err != nil {
				return nil, err
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.SkipObjectResolution)
			if err != nil {
				return nil, fmt.Errorf("parse %s: %w", name, err)
			}
			declarations.files[directory] = append(declarations.files[directory], name)
			declarations.addFile(name, file)
		}
	}
	return declarations, nil
}

func (declarations *Declarations) addFile(name string, file *ast.File) {
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			declared := declaration.Name.Name
			if declaration.Recv != nil {
				declared = typeName(declaration.Recv.List[0].Type) + "." + declared
			}
			declarations.addName(name, declared)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				declarations.addSpec(name, spec)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, isLiteral := node.(*ast.BasicLit); isLiteral && literal.Kind == token.STRING {
			if value, err := strconv.Unquote(literal.Value); err == nil {
				declarations.literals[value] = append(declarations.literals[value], name)
			}
		}
		return true
	})
}

func (declarations *Declarations) addSpec(name string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, identifier := range spec.Names {
			declarations.addName(name, identifier.Name)
		}
	case *ast.TypeSpec:
		declarations.addName(name, spec.Name.Name)
		switch body := spec.Type.(type) {
		case *ast.StructType:
			declarations.addMembers(name, spec.Name.Name, body.Fields)
		case *ast.InterfaceType:
			declarations.addMembers(name, spec.Name.Name, body.Methods)
		}
	}
}

func (declarations *Declarations) addMembers(name, owner string, members *ast.FieldList) {
	directory := path.Dir(name)
	for _, member := range members.List {
		for _, identifier := range member.Names {
			declarations.addName(name, owner+"."+identifier.Name)
		}
		if embedded := typeName(member.Type); len(member.Names) == 0 && embedded != "" {
			declarations.addName(name, owner+"."+embedded)
			declarations.embedded[directory][owner] = append(declarations.embedded[directory][owner], embedded)
		}
		if member.Tag != nil && directory == "internal/config" {
			declarations.addSettings(member.Tag.Value)
		}
	}
}

func (declarations *Declarations) addSettings(tag string) {
	unquoted, err := strconv.Unquote(tag)
	if err != nil {
		return
	}
	for _, format := range []string{"json", "yaml"} {
		setting, _, _ := strings.Cut(reflect.StructTag(unquoted).Get(format), ",")
		declarations.settings[setting] = true
	}
}

func (declarations *Declarations) addName(file, name string) {
	names := declarations.names[path.Dir(file)]
	names[name] = append(names[name], file)
}

// typeName returns the name of the type in an expression like T, *T, T[A] or *T[A], where T is a type of
// the same package. For any other expression it returns "".
func typeName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.StarExpr:
		return typeName(expression.X)
	case *ast.IndexExpr:
		return typeName(expression.X)
	}
	return ""
}

// FilesDeclaring returns the files that declare a name, sorted and without duplicates. The name is
// "package.Name" or "package.Type.Member", where package is the last element of the package's directory.
// Without "package." the name matches declarations of all packages.
func (declarations *Declarations) FilesDeclaring(name string) []string {
	var files []string
	first, rest, _ := strings.Cut(name, ".")
	for directory := range declarations.names {
		files = append(files, declarations.packageFilesDeclaring(directory, name)...)
		if path.Base(directory) == first {
			files = append(files, declarations.packageFilesDeclaring(directory, rest)...)
		}
	}
	slices.Sort(files)
	return slices.Compact(files)
}

// packageFilesDeclaring returns the files of a package that declare a name. A "Type.Member" may also be
// a member of a type that Type embeds.
func (declarations *Declarations) packageFilesDeclaring(directory, name string) []string {
	files := slices.Clone(declarations.names[directory][name])
	owner, member, isMember := strings.Cut(name, ".")
	if isMember {
		for _, embedded := range declarations.embedded[directory][owner] {
			files = append(files, declarations.packageFilesDeclaring(directory, embedded+"."+member)...)
		}
	}
	return files
}

// HasFile reports whether a Go file was read. Test files are not read.
func (declarations *Declarations) HasFile(name string) bool {
	return slices.Contains(declarations.files[path.Dir(name)], name)
}

// HasPackage reports whether a directory is a package that was read. Its files may all be test files.
func (declarations *Declarations) HasPackage(directory string) bool {
	return declarations.names[directory] != nil
}

// IsSetting reports whether each part of a dotted name, such as "limits.ram_mb", is the name of a
// setting. It does not check that the settings are nested in this way.
func (declarations *Declarations) IsSetting(name string) bool {
	for part := range strings.SplitSeq(name, ".") {
		if part == "" || !declarations.settings[part] {
			return false
		}
	}
	return true
}

// FilesWithLiteral returns the files that have a string literal with the given value, one for each time
// that the literal occurs.
func (declarations *Declarations) FilesWithLiteral(value string) []string {
	return declarations.literals[value]
}
