package config

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"net/netip"
	"os"
	"strings"
)

// FieldError reports an invalid field of the settings.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason.
func (problem FieldError) Error() string { return problem.Field + ": " + problem.Reason }

// FieldErrors holds all invalid fields of a settings file.
type FieldErrors []FieldError

// Error returns the errors, one per line.
func (problems FieldErrors) Error() string {
	lines := make([]string, len(problems))
	for i := range problems {
		lines[i] = problems[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors of the single fields.
func (problems FieldErrors) Unwrap() []error {
	wrapped := make([]error, len(problems))
	for i := range problems {
		wrapped[i] = problems[i]
	}
	return wrapped
}

// readFile reads a settings file. Its error contains the path only once.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	if err != nil {
		return nil, fmt.Errorf("%s: cannot be read: %w", path, err)
	}
	return data, nil
}

// withFilePath adds the path of the file to an error, in each line if the error has one line per field.
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

// check is the result of checking one field.
type check struct {
	isSatisfied   bool
	field, reason string // reason continues the sentence after the field's name, as in "is below 0"
}

func checkPositive(field string, value float64) check {
	return check{isPositive(value), field, "is not above 0"}
}

func checkNonNegative(field string, value float64) check {
	return check{isNonNegative(value), field, "is below 0"}
}

// checkSmoothingFactor checks that a value is within (0, 1], as smoothing factors are.
func checkSmoothingFactor(field string, value float64) check {
	return check{value > 0 && value <= 1, field, "is not within (0, 1]"}
}

func checkAddrPort(field, value string) check {
	return check{isAddrPort(value), field, "is not IP:port"}
}

// checkUnique checks that a name is not empty and not in seen, and adds it to seen.
func checkUnique(field, name string, seen map[string]bool) check {
	isUnique := name != "" && !seen[name]
	seen[name] = true
	return check{isUnique, field, "is missing or not unique"}
}

// collectProblems returns the errors of the checks that failed, or nil if there are none.
func collectProblems(checks []check) error {
	var problems FieldErrors
	for _, c := range checks {
		if !c.isSatisfied {
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
