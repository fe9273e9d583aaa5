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
	"firwood.dev/firwood/internal/standin"
	"firwood.dev/firwood/wire"
)

func run(args ...string) (string, error) {
	var out bytes.Buffer
	c := root()
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// The worker's own account, asked of a stand-in.
func TestWorkerCommand(t *testing.T) {
	types := []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, Zones: []string{"x"}}}
	c, stop := standin.NewCloud([]string{"n0"}, map[string]string{"n0": "127.0.0.1:1"}, types, time.Second, time.Minute)
	defer stop()
	h := cloud.New(client.DialTCP, c.Addr, 1000)
	if _, err := h.Hire(wire.Hire{Request: "a", Type: "m", Zone: "x", Count: 1}, nil); err != nil {
		t.Fatal(err)
	}
	l, err := h.List()
	if err != nil || len(l) != 1 {
		t.Fatalf("%v %v", l, err)
	}
	out, err := run("worker", l[0].Addr)
	if err != nil || !strings.Contains(out, "i-000000 m in x, session 1, token 0, 0 tasks") {
		t.Fatalf("%v: %s", err, out)
	}
}

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	bad := write("bad.json", `{"member":"a","serve_on":"nonsense"}`)
	yaml := write("good.yaml", "alpha: 60\n")
	typo := write("typo.yaml", "alhpa: 60\n")
	job := write("job.json", `{"nameId":"x"}`)
	for _, c := range []struct {
		args []string
		out  string // what the output or the error has to name
		ok   bool
	}{
		{nil, "Usage:", true},
		{[]string{"job", "--help"}, "withdraw", true},
		{[]string{"version"}, "firwood", true},
		{[]string{"check", "--settings", yaml}, "good", true},
		{[]string{"check", "--settings", typo}, "alhpa", false},
		{[]string{"check", "--config", bad}, "serve_on", false},
		{[]string{"check"}, "--config", false},
		{[]string{"--config", bad}, "serve_on", false},
		{[]string{"serve", "--config", filepath.Join(dir, "none.json")}, "none.json", false},
		{[]string{"serve"}, "--config", false},
		{[]string{"job", "show", "nonsense"}, "form of a job id", false},
		{[]string{"job", "submit", job}, "lot is missing", false},
		{[]string{"job", "show", "req-000001", "--node", "here"}, "not IP:port", false},
		{[]string{"worker", "here"}, "not IP:port", false},
		{[]string{"nonsense"}, "nonsense", false},
	} {
		out, err := run(c.args...)
		if err != nil {
			out += err.Error()
		}
		if (err == nil) != c.ok || !strings.Contains(out, c.out) {
			t.Errorf("%v: %v: %s", c.args, err, out)
		}
	}
}
