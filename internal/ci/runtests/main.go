// Command runtests runs `go test` once for each list of arguments that it is given; the lists are separated by --next.
// It fails if a run fails, except for failures that KNOWN-RED.txt lists, or if the list has stale entries; see package
// knownred.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"slices"

	"firwood.dev/firwood/internal/ci/knownred"
)

// knownFailuresFile is the list of known failures. The command runs at the root of the repository,
// where the file is; without the file the list is empty.
const knownFailuresFile = "KNOWN-RED.txt"

// runSeparator separates the arguments of one run from those of the next.
const runSeparator = "--next"

func main() {
	if err := runAll(splitRuns(os.Args[1:]), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(1)
	}
}

// splitRuns returns the arguments of each run.
func splitRuns(args []string) [][]string {
	runs := [][]string{nil}
	for _, arg := range args {
		if arg == runSeparator {
			runs = append(runs, nil)
			continue
		}
		last := len(runs) - 1
		runs[last] = append(runs[last], arg)
	}
	return runs
}

// runAll makes the runs one after the other until one fails, and checks the list against all of them.
func runAll(runs [][]string, out io.Writer) error {
	entries, err := loadKnownFailures()
	if err != nil {
		return fmt.Errorf("read %s: %w", knownFailuresFile, err)
	}
	var results []*knownred.Result
	for _, args := range runs {
		result, err := runTests(args, entries, out)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	return checkList(entries, results, out)
}

// runTests runs `go test -json` with the arguments, and returns an error if the run does not pass.
func runTests(args []string, entries []knownred.Entry, out io.Writer) (*knownred.Result, error) {
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	result, err := knownred.Judge(events, entries, out)
	exitErr := command.Wait()
	if err != nil {
		return nil, err
	}
	return result, printResult(result, exitErr, out)
}

func loadKnownFailures() ([]knownred.Entry, error) {
	file, err := os.Open(knownFailuresFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return knownred.Parse(file)
}

// printResult prints the result. It returns an error if the result is not a success, or if `go test`
// exited with an error although no listed test failed that would explain it.
func printResult(result *knownred.Result, exitErr error, out io.Writer) error {
	for _, entry := range result.KnownFailures {
		fmt.Fprintf(out, "known failure: %s: %s (issue %s)\n", entry.Test, entry.Cause, entry.Issue)
	}
	for _, entry := range result.SkippedEntries {
		fmt.Fprintf(out, "%s lists a test that was skipped: %s\n", knownFailuresFile, entry.Test)
	}
	for _, name := range result.UnexpectedFailures {
		fmt.Fprintf(out, "FAILED: %s\n", name)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", result.Passed, result.Failed, result.Skipped)
	switch {
	case !result.IsSuccess():
		return errors.New("the test run failed")
	case exitErr != nil && len(result.KnownFailures) == 0:
		return fmt.Errorf("go test: %w", exitErr)
	}
	return nil
}

// checkList prints the scripts that the list holds, which no run plays, and returns an error if an entry is stale or a
// script does not exist.
func checkList(entries []knownred.Entry, results []*knownred.Result, out io.Writer) error {
	isListWrong := false
	for _, entry := range entries {
		if !entry.IsScript {
			continue
		}
		fmt.Fprintf(out, "known failure, not run here: %s: %s (issue %s)\n", entry.Test, entry.Cause, entry.Issue)
		if _, err := os.Stat(entry.ScriptPath()); err != nil {
			fmt.Fprintf(out, "%s lists a script that can't be found: %v\n", knownFailuresFile, err)
			isListWrong = true
		}
	}
	for _, entry := range knownred.StaleEntries(entries, results) {
		hasPassed := slices.ContainsFunc(results, func(result *knownred.Result) bool { return slices.Contains(result.PassedEntries, entry) })
		reason := "that no run played"
		if hasPassed {
			reason = "that passed"
		}
		fmt.Fprintf(out, "%s lists a test %s: %s\n", knownFailuresFile, reason, entry.Test)
		isListWrong = true
	}
	if isListWrong {
		return fmt.Errorf("%s has to be changed", knownFailuresFile)
	}
	return nil
}
