package e2e

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
)

// buildProgram builds the program from the present sources, or from the given revision in the repository's
// history if it is not empty. It returns the path of the program.
func buildProgram(t *testing.T, revision string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "firwood")
	command := exec.Command("go", "build", "-o", program, "firwood.dev/firwood/cmd/firwood")
	if revision != "" {
		sources := t.TempDir()
		checkOut := exec.Command("sh", "-c", `git archive "$1" go.mod go.sum cmd internal wire | tar -x -C "$2"`, "sh", revision, sources)
		checkOut.Dir = filepath.Join("..", "..")
		if out, err := checkOut.CombinedOutput(); err != nil {
			t.Fatalf("extract the sources of the revision with git archive: %v: %s", err, out)
		}
		command.Dir = sources
	}
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v: %s", err, out)
	}
	return program
}

// memberProcess is a controller that runs as a process. It persists across restarts of the process.
type memberProcess struct {
	name                      string
	serveAddress, peerAddress string // host:port that users and workers, and other controllers, connect to
	platformFile              string
	settingsFile              string    // file of the operators' settings, or empty if there is none
	logFile                   *os.File  // receives the standard error of all processes of the member
	cmd                       *exec.Cmd // most recently started process
}

// freeAddress returns a loopback address whose port is free. Another process may still take the port before
// it is used.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// start starts a process of the member from a program.
func (member *memberProcess) start(t *testing.T, program string) {
	t.Helper()
	member.cmd = exec.Command(program, "--config", member.platformFile)
	if member.settingsFile != "" {
		member.cmd.Args = append(member.cmd.Args, "--settings", member.settingsFile)
	}
	member.cmd.Stderr = member.logFile
	if err := member.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

// kill kills the process and waits until it has exited.
func (member *memberProcess) kill(t *testing.T) {
	t.Helper()
	if err := member.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	member.cmd.Wait() //nolint:errcheck // killed
}

// logOutput returns what all processes of the member have logged so far.
func (member *memberProcess) logOutput(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(member.logFile.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// sendRequest sends an HTTP request to the member. The message that it returns has the status 0 if there
// was no response.
func (member *memberProcess) sendRequest(method, target string, body []byte) *http1.Message {
	host := client.NewHost(client.DialTCP, member.serveAddress, 0, 1<<20)
	message, err := host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: 3 * clock.Second})
	if err != nil {
		return &http1.Message{}
	}
	return message
}
