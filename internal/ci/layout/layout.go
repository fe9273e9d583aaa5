// Package layout checks three things: the table of packages in README lists the packages that exist,
// imports follow the project's layers, and the pages that describe the code name only files, Go names
// and log messages that the code has.
package layout

import (
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strings"
)

// packageReference matches the directory of a package in backquotes.
var packageReference = regexp.MustCompile("`((?:cmd|internal|wire)(?:/[^`]*)?)`")

// DocumentedPackages returns the packages that a document names in backquotes, sorted and without
// duplicates.
func DocumentedPackages(document string) []string {
	var packages []string
	for _, match := range packageReference.FindAllStringSubmatch(document, -1) {
		packages = append(packages, match[1])
	}
	slices.Sort(packages)
	return slices.Compact(packages)
}

// ExistingPackages returns the directories that hold Go files, at or below the given directories of
// root, sorted and without duplicates.
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
