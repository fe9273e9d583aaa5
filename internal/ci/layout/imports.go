package layout

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"
)

// ReadImports returns, for each of the given packages, the project's packages that it imports outside
// test files, sorted and without duplicates. Packages are directories below root; modulePath is the
// project's module path.
func ReadImports(root fs.FS, modulePath string, packages []string) (map[string][]string, error) {
	imports := make(map[string][]string, len(packages))
	for _, name := range packages {
		files, err := fs.Glob(root, name+"/*.go")
		if err != nil {
			return nil, err
		}
		imports[name] = nil
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			imported, err := readFileImports(root, modulePath, file)
			if err != nil {
				return nil, err
			}
			imports[name] = append(imports[name], imported...)
		}
		slices.Sort(imports[name])
		imports[name] = slices.Compact(imports[name])
	}
	return imports, nil
}

func readFileImports(root fs.FS, modulePath, name string) ([]string, error) {
	source, err := fs.ReadFile(root, name)
	if err != nil {
		return nil, err
	}
	file, err := parser.ParseFile(token.NewFileSet(), path.Base(name), source, parser.ImportsOnly)
	if err != nil {
		return nil, fmt.Errorf("parse the imports of %s: %w", name, err)
	}
	var imported []string
	for _, spec := range file.Imports {
		importPath, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, fmt.Errorf("unquote an import path of %s: %w", name, err)
		}
		if directory, isOwn := strings.CutPrefix(importPath, modulePath+"/"); isOwn {
			imported = append(imported, directory)
		}
	}
	return imported, nil
}

// CheckLayers returns the violations of the layers as sentences, sorted: packages that are in no layer
// or listed twice, layers with a package that does not exist, and imports of a package in a higher
// layer. imports is the result of ReadImports for all packages.
func CheckLayers(layers []Layer, imports map[string][]string) []string {
	var problems []string
	rank := map[string]int{}
	for i, layer := range layers {
		for _, name := range layer.Packages {
			if _, hasLayer := rank[name]; hasLayer {
				problems = append(problems, fmt.Sprintf("%s is listed twice in the layers", name))
			}
			if _, exists := imports[name]; !exists {
				problems = append(problems, fmt.Sprintf("%s is listed in layer %q but does not exist", name, layer.Name))
			}
			rank[name] = i
		}
	}
	for name, imported := range imports {
		ownRank, hasLayer := rank[name]
		if !hasLayer {
			problems = append(problems, fmt.Sprintf("%s is in no layer: list it in internal/ci/layout/layers.go", name))
			continue
		}
		for _, other := range imported {
			if otherRank, hasLayer := rank[other]; hasLayer && otherRank > ownRank {
				problems = append(problems, fmt.Sprintf("%s (layer %q) imports %s of the higher layer %q", name, layers[ownRank].Name, other, layers[otherRank].Name))
			}
		}
	}
	slices.Sort(problems)
	return problems
}
