package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
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
		{[]string{"job", "show", "req-000001", "--node", "here"}, "--node", false},
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
