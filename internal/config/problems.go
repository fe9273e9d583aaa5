package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// Problem is what is wrong with one field of the settings.
type Problem struct{ Field, Reason string }

func (p Problem) String() string { return p.Field + ": " + p.Reason }

// Problems are all that is wrong with a settings file.
type Problems []Problem

// Error lists the problems, a line each.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// inFile names the file that an error is about, in each of its lines.
func inFile(path string, err error) error {
	var problems Problems
	if !errors.As(err, &problems) {
		return fmt.Errorf("%s: %w", path, err)
	}
	named := make(Problems, len(problems))
	for i, p := range problems {
		named[i] = Problem{path + ": " + p.Field, p.Reason}
	}
	return named
}

// check is something that has to hold of a field.
type check struct {
	ok            bool
	field, reason string
}

// failed lists the checks that don't hold, nil if there are none.
func failed(checks []check) error {
	var problems Problems
	for _, c := range checks {
		if !c.ok {
			problems = append(problems, Problem{c.field, c.reason})
		}
	}
	if problems == nil {
		return nil
	}
	return problems
}

func positive(f float64) bool    { return f > 0 && !math.IsInf(f, 0) }
func notNegative(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

func distinct(names []string) bool {
	seen := map[string]bool{"": true}
	for _, name := range names {
		if seen[name] {
			return false
		}
		seen[name] = true
	}
	return true
}

func address(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}
