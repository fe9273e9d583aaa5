// Package knownred judges a test run against KNOWN-RED.txt, the short list of
// tests that may fail because of a known fault that is not mended yet. It is
// pure: it reads the list and the event stream of `go test -json`, and returns a
// verdict.
package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// MaxEntries is how many tests may be listed at a time.
const MaxEntries = 3

// Entry is one line of the list: "PACKAGE.TEST | CAUSE | ISSUE".
type Entry struct {
	// Test is the package path and the name of the test, with a dot between.
	Test string
	// Cause says why the test fails.
	Cause string
	// Issue names the issue that tracks the fault.
	Issue string
}

// fieldCount is how many fields a line has.
const fieldCount = 3

// ErrTooMany tells that the list is longer than MaxEntries.
var ErrTooMany = errors.New("too many known failures")

// ErrMalformed tells that a line of the list has not the form of an Entry.
var ErrMalformed = errors.New("malformed line")

// Parse reads the list. Blank lines and lines that begin with # are skipped.
func Parse(r io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, err := parseLine(line)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(entries, func(e Entry) bool { return e.Test == entry.Test }) {
			return nil, fmt.Errorf("%w: %s is listed twice", ErrMalformed, entry.Test)
		}
		entries = append(entries, entry)
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(entries) > MaxEntries {
		return nil, fmt.Errorf("%w: %d, at most %d", ErrTooMany, len(entries), MaxEntries)
	}
	return entries, nil
}

func parseLine(line string) (Entry, error) {
	fields := strings.Split(line, "|")
	if len(fields) != fieldCount {
		return Entry{}, fmt.Errorf("%w: %q", ErrMalformed, line)
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
		if fields[i] == "" {
			return Entry{}, fmt.Errorf("%w: %q", ErrMalformed, line)
		}
	}
	return Entry{Test: fields[0], Cause: fields[1], Issue: fields[2]}, nil
}

// event is a line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Result is what a run came to.
type Result struct {
	Passed, Failed, Skipped int
	// Unlisted are failures that the list does not excuse: tests, and packages
	// that failed by other means than a test, such as a build failure, a panic
	// or a timeout.
	Unlisted []string
	// Excused are listed tests that failed.
	Excused []Entry
	// Stale are listed tests that passed or did not run.
	Stale []Entry
}

// OK tells whether the run passes.
func (r *Result) OK() bool { return len(r.Unlisted) == 0 && len(r.Stale) == 0 && r.Passed > 0 }

// run collects events until the verdict.
type run struct {
	failed         map[string]bool // tests, subtests apart
	passed         map[string]bool
	failedPackages map[string]bool
	crashed        map[string]bool // packages that printed a panic or a timeout
	result         Result
}

// Judge reads the events of a run and compares them with the list. The output of
// packages and of failed tests is copied to out.
func Judge(events io.Reader, entries []Entry, out io.Writer) (*Result, error) {
	collected := &run{
		failed: map[string]bool{}, passed: map[string]bool{},
		failedPackages: map[string]bool{}, crashed: map[string]bool{},
	}
	outputs := map[string][]string{}
	decoder := json.NewDecoder(events)
	for {
		var e event
		if err := decoder.Decode(&e); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fmt.Errorf("the test events cannot be read: %w", err)
		}
		collected.take(&e, outputs, out)
	}
	return collected.verdict(entries), nil
}

func (r *run) take(e *event, outputs map[string][]string, out io.Writer) {
	name := e.Package + "." + e.Test
	subtest := strings.Contains(e.Test, "/")
	switch e.Action {
	case "output", "build-output":
		if isCrash(e.Output) {
			r.crashed[e.Package] = true
		}
		if e.Test == "" {
			fmt.Fprint(out, e.Output)
			return
		}
		top, _, _ := strings.Cut(e.Test, "/")
		key := e.Package + "." + top
		outputs[key] = append(outputs[key], e.Output)
	case "pass":
		if e.Test != "" && !subtest {
			r.passed[name] = true
			r.result.Passed++
			delete(outputs, name)
		}
	case "skip":
		if e.Test != "" && !subtest {
			r.result.Skipped++
		}
	case "fail":
		switch {
		case e.Test == "":
			r.failedPackages[e.Package] = true
		case !subtest:
			r.failed[name] = true
			r.result.Failed++
			fmt.Fprint(out, strings.Join(outputs[name], ""))
		}
	}
}

// isCrash tells whether a line of output shows that a test binary ended by
// itself: the tests after that did not run, so no list excuses it.
func isCrash(line string) bool {
	return strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") ||
		strings.HasPrefix(line, "*** Test killed") || strings.Contains(line, "[build failed]") ||
		strings.Contains(line, "WARNING: DATA RACE")
}

func (r *run) verdict(entries []Entry) *Result {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Test] = true
		if r.failed[entry.Test] {
			r.result.Excused = append(r.result.Excused, entry)
		} else {
			r.result.Stale = append(r.result.Stale, entry)
		}
	}
	explained := map[string]bool{}
	for name := range r.failed {
		explained[packageOf(name)] = true
		if !listed[name] {
			r.result.Unlisted = append(r.result.Unlisted, name)
		}
	}
	for name := range r.failedPackages {
		if !explained[name] || r.crashed[name] {
			r.result.Unlisted = append(r.result.Unlisted, name+" (the package)")
		}
	}
	slices.Sort(r.result.Unlisted)
	return &r.result
}

// packageOf is the package of a test's name; names of tests have no dots.
func packageOf(name string) string { return name[:strings.LastIndex(name, ".")] }
