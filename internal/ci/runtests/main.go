// Command runtests runs `go test` with the arguments that it is given. It fails if the test run fails,
// except for failures that KNOWN-RED.txt lists; see package knownred.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"

	"firwood.dev/firwood/internal/ci/knownred"
)

// knownFailuresFile is the list of known failures. The command runs at the root of the repository,
// where the file is; without the file the list is empty.
const knownFailuresFile = "KNOWN-RED.txt"

func main() {
	if err := runTests(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(1)
	}
}

// runTests runs `go test -json` with the arguments, and returns an error if the run does not pass.
func runTests(args []string, out io.Writer) error {
	entries, err := loadKnownFailures()
	if err != nil {
		return fmt.Errorf("read %s: %w", knownFailuresFile, err)
	}
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	result, err := knownred.Judge(events, entries, out)
	exitErr := command.Wait()
	if err != nil {
		return err
	}
	return printResult(result, exitErr, out)
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
	for _, entry := range result.StaleEntries {
		fmt.Fprintf(out, "%s lists a test that did not fail: %s\n", knownFailuresFile, entry.Test)
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
