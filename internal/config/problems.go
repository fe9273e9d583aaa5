package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// FieldError is what is wrong with one field of the settings.
type FieldError struct{ Field, Reason string }

func (p FieldError) String() string { return p.Field + ": " + p.Reason }

// FieldErrors are all that is wrong with a settings file.
type FieldErrors []FieldError

// Error lists the problems, a line each.
func (problems FieldErrors) Error() string {
	lines := make([]string, len(problems))
	for i := range problems {
		lines[i] = problems[i].String()
	}
	return strings.Join(lines, "\n")
}

// withFilePath names the file that an error is about, in each of its lines.
func withFilePath(path string, err error) error {
	var problems FieldErrors
	if !errors.As(err, &problems) {
		return fmt.Errorf("%s: %w", path, err)
	}
	prefixed := make(FieldErrors, len(problems))
	for i, problem := range problems {
		prefixed[i] = FieldError{path + ": " + problem.Field, problem.Reason}
	}
	return prefixed
}

// check is something that has to hold of a field.
type check struct {
	ok            bool
	field, reason string
}

// collectProblems lists the checks that don't hold, nil if there are none.
func collectProblems(checks []check) error {
	var problems FieldErrors
	for _, c := range checks {
		if !c.ok {
			problems = append(problems, FieldError{c.field, c.reason})
		}
	}
	if problems == nil {
		return nil
	}
	return problems
}

func isPositive(f float64) bool    { return f > 0 && !math.IsInf(f, 0) }
func isNonNegative(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

func hasDistinctNames(names []string) bool {
	seen := map[string]bool{"": true}
	for _, name := range names {
		if seen[name] {
			return false
		}
		seen[name] = true
	}
	return true
}

func isAddrPort(s string) bool {
	addrPort, err := netip.ParseAddrPort(s)
	return err == nil && addrPort.Port() != 0
}
