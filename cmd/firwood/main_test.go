package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

func executeCommand(args ...string) (string, error) {
	var out bytes.Buffer
	command := newRootCommand()
	command.SetOut(&out)
	command.SetErr(&out)
	command.SetArgs(args)
	err := command.Execute()
	return out.String(), err
}

// `firwood worker` must print the status of a worker, here of a fake one.
func TestWorkerCommandPrintsStatus(t *testing.T) {
	types := []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, Zones: []string{"x"}}}
	fakeCloud, stop := fake.NewCloud([]string{"n0"}, map[string]string{"n0": "127.0.0.1:1"}, types, time.Second, time.Minute)
	defer stop()
	cloudClient := cloud.New(client.DialTCP, fakeCloud.Addr, 1000)
	if _, err := cloudClient.ScaleOut(wire.ScaleOutRequest{RequestID: "a", MachineType: "m", Zone: "x", Count: 1}, nil); err != nil {
		t.Fatal(err)
	}
	machines, err := cloudClient.ListMachines()
	if err != nil || len(machines) != 1 {
		t.Fatalf("ListMachines: machines %v, error %v, want one machine", machines, err)
	}
	out, err := executeCommand("worker", machines[0].Address)
	if err != nil || !strings.Contains(out, "i-000000 m in x, session 1, token 0, 0 tasks") {
		t.Fatalf("error %v, output %q, want the worker's status line", err, out)
	}
}

// writeFile writes a file and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Each command line must have the expected output, or an error that names the faulty argument or setting.
func TestCommandLineOutputsAndErrors(t *testing.T) {
	dir := t.TempDir()
	invalidPlatform := writeFile(t, dir, "bad.json", `{"member":"a","serve_on":"nonsense"}`)
	validTuning := writeFile(t, dir, "good.yaml", "alpha: 60\n")
	misspelledTuning := writeFile(t, dir, "typo.yaml", "alhpa: 60\n")
	invalidJob := writeFile(t, dir, "job.json", `{"nameId":"x"}`)
	for _, testCase := range []struct {
		args []string
		out  string // a text that the output or the error must contain
		ok   bool
	}{
		{nil, "Usage:", true},
		{[]string{"job", "--help"}, "withdraw", true},
		{[]string{"job", "--help"}, "cancel", true},
		{[]string{"version"}, "firwood", true},
		{[]string{"check", "--settings", validTuning}, "good", true},
		{[]string{"check", "--settings", misspelledTuning}, "alhpa", false},
		{[]string{"check", "--config", invalidPlatform}, "serve_on", false},
		{[]string{"check"}, "--config", false},
		{[]string{"--config", invalidPlatform}, "serve_on", false},
		{[]string{"serve", "--config", filepath.Join(dir, "none.json")}, "none.json", false},
		{[]string{"serve"}, "--config", false},
		{[]string{"job", "show", "nonsense"}, "form of a job id", false},
		{[]string{"job", "submit", invalidJob}, "lot is missing", false},
		{[]string{"job", "show", "req-000001", "--node", "here"}, "not IP:port", false},
		{[]string{"worker", "here"}, "not IP:port", false},
		{[]string{"nonsense"}, "nonsense", false},
	} {
		out, err := executeCommand(testCase.args...)
		if err != nil {
			out += err.Error()
		}
		if (err == nil) != testCase.ok || !strings.Contains(out, testCase.out) {
			t.Errorf("firwood %v: error %v, output and error %q, want those of the test case", testCase.args, err, out)
		}
	}
}

const validPlatformJSON = `{"member":"n0","location":"x","serve_on":"127.0.0.1:8080","peer_bind":"127.0.0.1:8081",
"outside":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
"deployment":{"nodes":1,"zones":["x"],"workers":{"report_s":3,"lease_s":36,"gang_wait_s":30,"gang_peer_s":8,"cancel_s":66},
"state":{"rps":150,"write_rps":30,"value_kb":8,"txn_ops":24},"cloud":{"rps":4,"list_lag_s":5},
"limits":{"cores":0.3,"ram_mb":512,"max_sockets":3500}}}`

// Invalid settings must end the process with status 2 and one line for each invalid field of both files
// together. The same holds for limits that are too low for the planned fleet.
func TestInvalidSettingsExitStatus(t *testing.T) {
	dir := t.TempDir()
	platform := writeFile(t, dir, "platform.json", validPlatformJSON)
	invalidPlatform := writeFile(t, dir, "broken.json", strings.NewReplacer(`"rps":150`, `"rps":0`, `"txn_ops":24`, `"txn_ops":0`).Replace(validPlatformJSON))
	for _, testCase := range []struct {
		name, platform, tuning string
		code                   int
		lines                  []string
	}{
		{"good", platform, "fleet_machines: 1500\nfinished_jobs: 100\narchive_finished_after_s: 600\n", 0, nil},
		{"two fields in each", invalidPlatform, "alpha: -1\nbeta: -1\n", 2, []string{"deployment.state.rps: ", "deployment.state.txn_ops: ", "alpha: ", "beta: "}},
		{"incompatible files", platform, "leader_ttl_s: 40\n", 2, []string{"leader_ttl_s: "}},
		{"too many machines", platform, "fleet_machines: 4000\n", 2, []string{"deployment.limits.max_sockets: 3500, and a fleet of 4000 machines needs 4731 (1231 more)", "deployment.limits.cores: "}},
		{"no such file", filepath.Join(dir, "none"), "", 2, []string{"none: cannot be read"}},
	} {
		_, err := executeCommand("check", "--config", testCase.platform, "--settings", writeFile(t, dir, "tuning.yaml", testCase.tuning))
		var out bytes.Buffer
		if code := reportError(err, &out); code != testCase.code {
			t.Errorf("%s: exit status %d, output %q, want the status of the test case", testCase.name, code, out.String())
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(testCase.lines) > 0 && len(lines) != len(testCase.lines) {
			t.Errorf("%s: %d lines, want one for each expected error:\n%s", testCase.name, len(lines), out.String())
			continue
		}
		for i, want := range testCase.lines {
			if !strings.Contains(lines[i], want) {
				t.Errorf("%s: line %d is %q, want the expected error", testCase.name, i, lines[i])
			}
		}
	}
	if _, err := executeCommand("check", "--config", platform); err != nil {
		t.Errorf("check without a planned fleet: got error %v, want none", err)
	}
	if _, err := executeCommand("--config", invalidPlatform); reportError(err, &bytes.Buffer{}) != 2 {
		t.Errorf("serving with invalid settings: error %v, want one with exit status 2", err)
	}
}
