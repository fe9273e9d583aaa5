// Package layout holds the repository's packages to the table of them in README, their imports to
// the project's layers, and the pages that lead to the code to its files, names and log messages.
package layout

import (
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strings"
)

// packageReference matches a package's directory in backquotes.
var packageReference = regexp.MustCompile("`((?:cmd|internal|wire)(?:/[^`]*)?)`")

// DocumentedPackages lists the packages that a document names, each once and sorted.
func DocumentedPackages(document string) []string {
	var packages []string
	for _, match := range packageReference.FindAllStringSubmatch(document, -1) {
		packages = append(packages, match[1])
	}
	slices.Sort(packages)
	return slices.Compact(packages)
}

// ExistingPackages lists the directories in and below the given ones that hold Go files.
func ExistingPackages(root fs.FS, directories ...string) ([]string, error) {
	var packages []string
	for _, directory := range directories {
		err := fs.WalkDir(root, directory, func(name string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && strings.HasSuffix(name, ".go") {
				packages = append(packages, path.Dir(name))
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	slices.Sort(packages)
	return slices.Compact(packages), nil
}
