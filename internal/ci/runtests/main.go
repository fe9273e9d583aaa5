// Command runtests runs `go test` with the arguments that it is given and
// judges the outcome against KNOWN-RED.txt; see package knownred.
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

// listFile is the list of known failures, at the root of the repository.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := runTests(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(1)
	}
}

func runTests(args []string, out io.Writer) error {
	entries, err := loadList()
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	result, err := knownred.Judge(events, entries, out)
	exit := cmd.Wait()
	if err != nil {
		return err
	}
	return report(result, exit, out)
}

func loadList() ([]knownred.Entry, error) {
	f, err := os.Open(listFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return knownred.Parse(f)
}

// report prints the verdict. A failed `go test` that shows no failure passes
// under no list.
func report(r *knownred.Result, exit error, out io.Writer) error {
	for _, e := range r.Excused {
		fmt.Fprintf(out, "known failure: %s: %s (issue %s)\n", e.Test, e.Cause, e.Issue)
	}
	for _, e := range r.Stale {
		fmt.Fprintf(out, "listed in %s, but it did not fail: %s\n", listFile, e.Test)
	}
	for _, name := range r.Unlisted {
		fmt.Fprintf(out, "FAILED: %s\n", name)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", r.Passed, r.Failed, r.Skipped)
	switch {
	case !r.OK():
		return errors.New("the tests failed")
	case exit != nil && len(r.Excused) == 0:
		return fmt.Errorf("go test: %w", exit)
	}
	return nil
}
