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

// fieldsPerLine is how many fields a line has.
const fieldsPerLine = 3

// ErrTooMany tells that the list is longer than MaxEntries.
var ErrTooMany = errors.New("too many known failures")

// ErrMalformed tells that a line of the list has not the form of an Entry.
var ErrMalformed = errors.New("malformed line")

// Parse reads the list. Blank lines and lines that begin with # are skipped.
func Parse(reader io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(reader)
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
	if len(fields) != fieldsPerLine {
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

// testEvent is a line of `go test -json`.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Result is what a run came to.
type Result struct {
	Passed, Failed, Skipped int
	// UnexpectedFailures are failures that the list does not excuse: tests, and packages
	// that failed by other means than a test, such as a build failure, a panic
	// or a timeout.
	UnexpectedFailures []string
	// KnownFailures are listed tests that failed.
	KnownFailures []Entry
	// StaleEntries are listed tests that passed or did not run.
	StaleEntries []Entry
}

// IsSuccess tells whether the run passes.
func (result *Result) IsSuccess() bool {
	return len(result.UnexpectedFailures) == 0 && len(result.StaleEntries) == 0 && result.Passed > 0
}

// resultCollector collects events until the verdict.
type resultCollector struct {
	failedTests     map[string]bool // tests, subtests apart
	passedTests     map[string]bool
	failedPackages  map[string]bool
	crashedPackages map[string]bool // packages that printed a panic or a timeout
	result          Result
}

// Judge reads the events of a run and compares them with the list. The output of
// packages and of failed tests is copied to out.
func Judge(events io.Reader, entries []Entry, out io.Writer) (*Result, error) {
	collector := &resultCollector{
		failedTests: map[string]bool{}, passedTests: map[string]bool{},
		failedPackages: map[string]bool{}, crashedPackages: map[string]bool{},
	}
	outputs := map[string][]string{}
	decoder := json.NewDecoder(events)
	for {
		var event testEvent
		if err := decoder.Decode(&event); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fmt.Errorf("the test events cannot be read: %w", err)
		}
		collector.recordEvent(&event, outputs, out)
	}
	return collector.buildResult(entries), nil
}

func (collector *resultCollector) recordEvent(event *testEvent, outputs map[string][]string, out io.Writer) {
	name := event.Package + "." + event.Test
	isSubtest := strings.Contains(event.Test, "/")
	switch event.Action {
	case "output", "build-output":
		if isCrash(event.Output) {
			collector.crashedPackages[event.Package] = true
		}
		if event.Test == "" {
			fmt.Fprint(out, event.Output)
			return
		}
		topLevelTest, _, _ := strings.Cut(event.Test, "/")
		key := event.Package + "." + topLevelTest
		outputs[key] = append(outputs[key], event.Output)
	case "pass":
		if event.Test != "" && !isSubtest {
			collector.passedTests[name] = true
			collector.result.Passed++
			delete(outputs, name)
		}
	case "skip":
		if event.Test != "" && !isSubtest {
			collector.result.Skipped++
		}
	case "fail":
		switch {
		case event.Test == "":
			collector.failedPackages[event.Package] = true
		case !isSubtest:
			collector.failedTests[name] = true
			collector.result.Failed++
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

func (collector *resultCollector) buildResult(entries []Entry) *Result {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Test] = true
		if collector.failedTests[entry.Test] {
			collector.result.KnownFailures = append(collector.result.KnownFailures, entry)
		} else {
			collector.result.StaleEntries = append(collector.result.StaleEntries, entry)
		}
	}
	packagesWithFailedTests := map[string]bool{}
	for name := range collector.failedTests {
		packagesWithFailedTests[packageOf(name)] = true
		if !listed[name] {
			collector.result.UnexpectedFailures = append(collector.result.UnexpectedFailures, name)
		}
	}
	for name := range collector.failedPackages {
		if !packagesWithFailedTests[name] || collector.crashedPackages[name] {
			collector.result.UnexpectedFailures = append(collector.result.UnexpectedFailures, name+" (the package)")
		}
	}
	slices.Sort(collector.result.UnexpectedFailures)
	return &collector.result
}

// packageOf is the package of a test's name; names of tests have no dots.
func packageOf(testName string) string { return testName[:strings.LastIndex(testName, ".")] }
