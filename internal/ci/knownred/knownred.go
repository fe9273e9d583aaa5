// Package knownred compares the results of test runs with KNOWN-RED.txt, a list of at most three
// tests that may fail because of a known fault that is not fixed yet. The package reads the list and
// the events of `go test -json` from readers; it opens no files and starts no processes.
//
// One check of the sources may take several runs, each of some tests. A run excuses the listed tests that fail in
// it. Whether an entry is stale follows from all runs together.
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

// MaxEntries is the largest number of tests that the list may hold.
const MaxEntries = 3

// scriptPrefix begins the first field of an entry for a script.
const scriptPrefix = "script "

// Entry is one line of the list: "PACKAGE.TEST | CAUSE | ISSUE", or "script COMMAND | CAUSE | ISSUE" for a test that is
// not a Go test. No run plays a script; it is listed so that it is known and printed.
type Entry struct {
	// Test is the package path and the name of the test, joined by a dot, or a script's path and arguments.
	Test string
	// IsScript is whether Test is a script.
	IsScript bool
	// Cause says why the test fails.
	Cause string
	// Issue names the issue that tracks the fault.
	Issue string
}

// fieldsPerLine is the number of fields in a line of the list.
const fieldsPerLine = 3

// ErrTooManyEntries means that the list holds more than MaxEntries tests.
var ErrTooManyEntries = errors.New("too many known failures")

// ErrMalformed means that a line of the list doesn't have the form of an Entry, or that it lists
// a test for the second time.
var ErrMalformed = errors.New("malformed line")

// Parse reads the list. It skips blank lines and lines that begin with #.
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
		return nil, fmt.Errorf("%w: got %d, want at most %d", ErrTooManyEntries, len(entries), MaxEntries)
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
	entry := Entry{Test: fields[0], Cause: fields[1], Issue: fields[2]}
	if script, isScript := strings.CutPrefix(entry.Test, scriptPrefix); isScript {
		entry.Test, entry.IsScript = strings.TrimSpace(script), true
	}
	if !entry.IsScript && !strings.Contains(entry.Test, ".") || strings.ContainsAny(entry.Test, " \t") && !entry.IsScript {
		return Entry{}, fmt.Errorf("%w: %q names neither a test nor a script", ErrMalformed, line)
	}
	return entry, nil
}

// ScriptPath returns the path of a script, without its arguments.
func (entry *Entry) ScriptPath() string {
	path, _, _ := strings.Cut(entry.Test, " ")
	return path
}

// Values of testEvent.Action.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionSkip        = "skip"
	actionFail        = "fail"
)

// testEvent is an event of `go test -json`. Test is empty if the event is about a whole package.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// topLevelTest returns the package and the name of the event's test, in the form of Entry.Test. For
// a subtest it returns the top-level test that the subtest belongs to.
func (event *testEvent) topLevelTest() string {
	name, _, _ := strings.Cut(event.Test, "/")
	return event.Package + "." + name
}

// isTopLevel reports whether the event is about a test that isn't a subtest.
func (event *testEvent) isTopLevel() bool {
	return event.Test != "" && !strings.Contains(event.Test, "/")
}

// Result is the result of a test run.
type Result struct {
	// Passed, Failed and Skipped are numbers of top-level tests; subtests are not counted.
	Passed, Failed, Skipped int
	// UnexpectedFailures are the failures that the list does not excuse, sorted: tests that are not
	// listed, and packages that failed for another reason than a failed test, such as a build
	// failure, a panic or a timeout.
	UnexpectedFailures []string
	// KnownFailures are the listed tests that failed. They don't fail the run.
	KnownFailures []Entry
	// PassedEntries are the listed tests that passed. They fail no run, but see StaleEntries.
	PassedEntries []Entry
	// SkippedEntries are the listed tests that were skipped. They fail the run: a listed test has to be played.
	SkippedEntries []Entry
}

// IsSuccess reports whether the run passes: only listed tests failed, none of them was skipped, and at least one
// test passed or failed as listed.
func (result *Result) IsSuccess() bool {
	return len(result.UnexpectedFailures) == 0 && len(result.SkippedEntries) == 0 && result.Passed+len(result.KnownFailures) > 0
}

// StaleEntries returns the entries that the list has to lose after these runs: those of tests that passed in a run that
// played them and failed in none, and those of tests that no run played. Scripts are never stale.
func StaleEntries(entries []Entry, results []*Result) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry Entry) bool {
		hasFailed := slices.ContainsFunc(results, func(result *Result) bool { return slices.Contains(result.KnownFailures, entry) })
		return entry.IsScript || hasFailed
	})
}

// resultCollector collects the events of a run. It names tests as Entry.Test does. It adds the
// output of a subtest to the output of its top-level test, and ignores the subtest's other events.
type resultCollector struct {
	out                 io.Writer           // receives the output of packages and of failed tests
	testOutputs         map[string][]string // lines of output, by test; a test that passes is removed
	failedTests         map[string]bool
	passedTests         map[string]bool
	skippedTests        map[string]bool
	failedPackages      map[string]bool
	inexcusablePackages map[string]bool // packages whose output isInexcusableOutput matched
	result              Result
}

// Judge reads the events of a run and compares the failures with the list. It copies the output of
// packages and of failed tests to out. After an event that cannot be decoded it still reads the
// remaining events, because the process that writes them would otherwise block on a full pipe.
func Judge(events io.Reader, entries []Entry, out io.Writer) (*Result, error) {
	collector := &resultCollector{
		out: out, testOutputs: map[string][]string{}, failedTests: map[string]bool{}, passedTests: map[string]bool{}, skippedTests: map[string]bool{},
		failedPackages: map[string]bool{}, inexcusablePackages: map[string]bool{},
	}
	decoder := json.NewDecoder(events)
	for {
		var event testEvent
		if err := decoder.Decode(&event); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			_, _ = io.Copy(io.Discard, events) // Judge returns the decoding error, so an error here adds nothing.
			return nil, fmt.Errorf("decode the events of go test -json: %w", err)
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
			collector.passedTests[event.topLevelTest()] = true
			delete(collector.testOutputs, event.topLevelTest())
		}
	case actionSkip:
		if event.isTopLevel() {
			collector.result.Skipped++
			collector.skippedTests[event.topLevelTest()] = true
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

// isInexcusableOutput reports whether a line of output shows that the test binary crashed, timed out,
// had a data race or could not be built. No entry of the list excuses these failures: after a crash,
// a timeout or a failed build other tests may not have run, and a data race is a different fault from
// the listed one.
func isInexcusableOutput(line string) bool {
	return strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") ||
		strings.HasPrefix(line, "*** Test killed") || strings.Contains(line, "[build failed]") ||
		strings.Contains(line, "WARNING: DATA RACE")
}

// buildResult compares the failures with the list and returns the result of the run.
func (collector *resultCollector) buildResult(entries []Entry) *Result {
	listed := map[string]bool{}
	for _, entry := range entries {
		if entry.IsScript {
			continue
		}
		listed[entry.Test] = true
		switch {
		case collector.failedTests[entry.Test]:
			collector.result.KnownFailures = append(collector.result.KnownFailures, entry)
		case collector.skippedTests[entry.Test]:
			collector.result.SkippedEntries = append(collector.result.SkippedEntries, entry)
		case collector.passedTests[entry.Test]:
			collector.result.PassedEntries = append(collector.result.PassedEntries, entry)
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

// packageOf returns the package path in a test's name, which has the form of Entry.Test. The path
// ends at the last dot: import paths may contain dots, names of tests don't.
func packageOf(testName string) string { return testName[:strings.LastIndex(testName, ".")] }
