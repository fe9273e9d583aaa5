// Package knownred judges a test run against KNOWN-RED.txt, the list of at most three tests that
// may fail because of a known fault that is not fixed yet. It reads the list and the events of
// `go test -json`, and touches neither files nor processes.
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

// ErrTooManyEntries means that the list is longer than MaxEntries.
var ErrTooManyEntries = errors.New("too many known failures")

// ErrMalformed means that a line of the list doesn't have the form of an Entry.
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
		return nil, fmt.Errorf("%w: %d, at most %d", ErrTooManyEntries, len(entries), MaxEntries)
	}
	return entries, nil
}

func parseLine(line string) (Entry, error) {
	fields := strings.Split(line, "|")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	if len(fields) != fieldsPerLine || slices.Contains(fields, "") {
		return Entry{}, fmt.Errorf("%w: %q", ErrMalformed, line)
	}
	return Entry{Test: fields[0], Cause: fields[1], Issue: fields[2]}, nil
}

// Actions of test events.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionSkip        = "skip"
	actionFail        = "fail"
)

// testEvent is a line of `go test -json`. Test is empty in events of a package.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// topLevelTest is the package and the name of the event's test, or of the test that its
// subtest belongs to.
func (event *testEvent) topLevelTest() string {
	name, _, _ := strings.Cut(event.Test, "/")
	return event.Package + "." + name
}

// isTopLevel reports that the event is of a test that is no subtest.
func (event *testEvent) isTopLevel() bool {
	return event.Test != "" && !strings.Contains(event.Test, "/")
}

// Result is the result of a run.
type Result struct {
	// Passed, Failed and Skipped count tests, without subtests.
	Passed, Failed, Skipped int
	// UnexpectedFailures are failures that the list does not excuse: tests, and packages
	// that failed by other means than a test, such as a build failure, a panic
	// or a timeout.
	UnexpectedFailures []string
	// KnownFailures are listed tests that failed; they don't fail the run.
	KnownFailures []Entry
	// StaleEntries are listed tests that passed, were skipped or did not run.
	StaleEntries []Entry
}

// IsSuccess reports that the run passes: no failure but listed ones, no listed test that did not fail,
// and at least one test that passed.
func (result *Result) IsSuccess() bool {
	return len(result.UnexpectedFailures) == 0 && len(result.StaleEntries) == 0 && result.Passed > 0
}

// resultCollector collects the events of a run. Tests are named as in Entry; output of subtests
// counts as their test's, and their other events are left out.
type resultCollector struct {
	out                 io.Writer           // gets the output of packages and of failed tests
	testOutputs         map[string][]string // lines of tests that have not passed
	failedTests         map[string]bool
	failedPackages      map[string]bool
	inexcusablePackages map[string]bool // by isInexcusableOutput
	result              Result
}

// Judge reads the events of a run and compares them with the list. The output of
// packages and of failed tests is copied to out. The events are read to their end also where they
// cannot be decoded, so that whoever writes them into a pipe isn't blocked.
func Judge(events io.Reader, entries []Entry, out io.Writer) (*Result, error) {
	collector := &resultCollector{
		out: out, testOutputs: map[string][]string{}, failedTests: map[string]bool{},
		failedPackages: map[string]bool{}, inexcusablePackages: map[string]bool{},
	}
	decoder := json.NewDecoder(events)
	for {
		var event testEvent
		if err := decoder.Decode(&event); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			_, _ = io.Copy(io.Discard, events) // the run fails by the first error
			return nil, fmt.Errorf("the test events cannot be read: %w", err)
		}
		collector.recordEvent(&event)
	}
	return collector.buildResult(entries), nil
}

func (collector *resultCollector) recordEvent(event *testEvent) {
	switch event.Action {
	case actionOutput, actionBuildOutput:
		collector.recordOutput(event)
	case actionPass:
		if event.isTopLevel() {
			collector.result.Passed++
			delete(collector.testOutputs, event.topLevelTest())
		}
	case actionSkip:
		if event.isTopLevel() {
			collector.result.Skipped++
		}
	case actionFail:
		collector.recordFailure(event)
	}
}

func (collector *resultCollector) recordOutput(event *testEvent) {
	if isInexcusableOutput(event.Output) {
		collector.inexcusablePackages[event.Package] = true
	}
	if event.Test == "" {
		fmt.Fprint(collector.out, event.Output)
		return
	}
	test := event.topLevelTest()
	collector.testOutputs[test] = append(collector.testOutputs[test], event.Output)
}

func (collector *resultCollector) recordFailure(event *testEvent) {
	switch {
	case event.Test == "":
		collector.failedPackages[event.Package] = true
	case event.isTopLevel():
		test := event.topLevelTest()
		collector.failedTests[test] = true
		collector.result.Failed++
		fmt.Fprint(collector.out, strings.Join(collector.testOutputs[test], ""))
	}
}

// isInexcusableOutput reports that a line of output shows that the test binary crashed, timed out, had a data
// race or wasn't built. No entry excuses that: other tests may not have run, and a data race is
// another fault than the listed one.
func isInexcusableOutput(line string) bool {
	return strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") ||
		strings.HasPrefix(line, "*** Test killed") || strings.Contains(line, "[build failed]") ||
		strings.Contains(line, "WARNING: DATA RACE")
}

// buildResult compares the failures with the list.
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
		if !packagesWithFailedTests[name] || collector.inexcusablePackages[name] {
			collector.result.UnexpectedFailures = append(collector.result.UnexpectedFailures, name+" (the package)")
		}
	}
	slices.Sort(collector.result.UnexpectedFailures)
	return &collector.result
}

// packageOf is the package in a test's name as in Entry. Names of tests have no dots, import paths may.
func packageOf(testName string) string { return testName[:strings.LastIndex(testName, ".")] }
