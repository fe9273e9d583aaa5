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

// Declarations are what the project's Go files declare, apart from test files.
type Declarations struct {
	// files are the files of each package, by its directory.
	files map[string][]string
	// names are the files that declare a name, by package directory and name: "Name" for what
	// stands at the top of a file, "Type.Member" for methods and fields.
	names map[string]map[string][]string
	// embedded are the types that a struct embeds, by package directory and type. Those of
	// other packages are left out.
	embedded map[string]map[string][]string
	// settings are the names in the struct tags of internal/config.
	settings map[string]bool
	// literals are the files that have a string literal, by its value.
	literals map[string][]string
}

// ReadDeclarations parses the Go files of some packages, which are directories below root.
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
				return nil, fmt.Errorf("%s: %w", name, err)
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

// typeName is the name of a type of the same package that an expression names, perhaps through a
// pointer or with type arguments, else "".
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

// FilesDeclaring lists the files that declare a name: "package.Name", "package.Type.Member", or without
// the package's name, which may be of any package then.
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

// packageFilesDeclaring lists the files of a package that declare a name; a member may be of an embedded type.
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

// HasFile tells whether a Go file exists.
func (declarations *Declarations) HasFile(name string) bool {
	return slices.Contains(declarations.files[path.Dir(name)], name)
}

// HasPackage tells whether a directory is a package, perhaps one of test files only.
func (declarations *Declarations) HasPackage(directory string) bool {
	return declarations.names[directory] != nil
}

// IsSetting tells whether a name is the path of a setting, as "limits.ram_mb".
func (declarations *Declarations) IsSetting(name string) bool {
	for part := range strings.SplitSeq(name, ".") {
		if part == "" || !declarations.settings[part] {
			return false
		}
	}
	return true
}

// FilesWithLiteral lists the files that have a string literal of this value.
func (declarations *Declarations) FilesWithLiteral(value string) []string {
	return declarations.literals[value]
}
