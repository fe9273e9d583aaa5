package config

import (
	"encoding/json"
	"strings"
	"testing"
)

const platform = `{"member":"n0","location":"x","serve_on":"127.0.0.1:8080","peer_bind":"127.0.0.1:8081","new":{"a":1},
"others":[{"member":"n1","location":"y","address":"127.0.0.1:8082"}],"outside":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
"deployment":{"nodes":2,"zones":["x","y"],"teams":[{"name":"a","cpus":1,"cpus_max":2,"gpus":0,"gpus_max":0}],
"objectives":[{"kind":"wait","class":"c","within_s":1,"share":0.9}],
"workers":{"report_s":3,"lease_s":36,"gang_wait_s":30,"gang_peer_s":8,"cancel_s":66},
"state":{"rps":150,"write_rps":30,"value_kb":8,"txn_ops":24},"cloud":{"rps":4,"list_lag_s":5},
"limits":{"cores":0.3,"ram_mb":179,"max_sockets":3500},"clock_error_ms":5}}`

// Every fault names the field that it is in.
func TestPlatformFaultsNameTheField(t *testing.T) {
	if _, err := ParsePlatform([]byte(platform)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ path, value, field string }{
		{"member", `""`, "member"},
		{"member", `7`, "member"},
		{"serve_on", `"localhost"`, "serve_on"},
		{"outside.state", `"1.2.3.4"`, "outside.state"},
		{"others.0.member", `"n0"`, "others[0].member"},
		{"deployment.zones", `[]`, "deployment.zones"},
		{"deployment.teams.0.cpus", `-1`, "deployment.teams[0]"},
		{"deployment.workers.report_s", `0`, "deployment.workers.report_s"},
		{"deployment.workers.lease_s", `2`, "deployment.workers.lease_s"},
		{"deployment.workers.lease_s", `"x"`, "deployment.workers.lease_s"},
		{"deployment.state.txn_ops", `0`, "deployment.state.txn_ops"},
		{"deployment.limits.max_sockets", `3`, "deployment.limits.max_sockets"},
		{"deployment.state.next", `{"value_kb":0.5}`, "deployment.state.next.value_kb"},
		{"deployment.state.next", `{"write_rps":-1}`, "deployment.state.next.write_rps"},
		{"deployment.state.next", `{"txn_ops":-1}`, "deployment.state.next.txn_ops"},
		{"deployment.state.next", `[]`, "deployment.state.next"},
	} {
		var doc any
		if err := json.Unmarshal([]byte(platform), &doc); err != nil {
			t.Fatal(err)
		}
		var v any
		if err := json.Unmarshal([]byte(c.value), &v); err != nil {
			t.Fatal(err)
		}
		set(doc, strings.Split(c.path, "."), v)
		b, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParsePlatform(b); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s=%s: %v", c.path, c.value, err)
		}
	}
	for _, bad := range []string{"", "{", "[]", platform[:200]} {
		if _, err := ParsePlatform([]byte(bad)); err == nil {
			t.Errorf("%.20q is taken", bad)
		}
	}
}

func set(doc any, path []string, v any) {
	switch d := doc.(type) {
	case map[string]any:
		if len(path) == 1 {
			d[path[0]] = v
			return
		}
		set(d[path[0]], path[1:], v)
	case []any:
		set(d[0], path[1:], v)
	}
}

func TestTuning(t *testing.T) {
	if v, err := ParseTuning(nil); err != nil || v != DefaultTuning() {
		t.Fatalf("empty: %v %v", v, err)
	}
	v, err := ParseTuning([]byte("alpha: 70\nspare_max: 2\n"))
	if err != nil || v.Alpha != 70 || v.SpareMax != 2 || v.IdleWaitS != DefaultTuning().IdleWaitS {
		t.Fatalf("%+v %v", v, err)
	}
	for _, c := range [][2]string{
		{"alfa: 3\n", "alfa"}, {"alpha: -1\n", "alpha"}, {"alpha: x\n", "Alpha"}, {"spare_min: 3\nspare_max: 2\n", "spare_max"},
		{"smooth_need: 2\n", "smooth_need"}, {"alpha: [\n", ""}, {"leader_ttl_s: 0.1\n", "leader_ttl_s"},
	} {
		if _, err := ParseTuning([]byte(c[0])); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%q: %v", c[0], err)
		}
	}
}

func TestMissingFiles(t *testing.T) {
	if _, err := LoadPlatform("/nowhere/a.json"); err == nil || !strings.Contains(err.Error(), "/nowhere/a.json") {
		t.Error(err)
	}
	if _, err := LoadTuning("/nowhere/a.yaml"); err == nil || !strings.Contains(err.Error(), "/nowhere/a.yaml") {
		t.Error(err)
	}
}

// Settings that are odd but have a meaning are accepted: guarantees beyond limits or
// beyond any fleet, guarantees in one resource alone, small values and transactions.
// What has none is refused by the field's name.
func TestOddDeployments(t *testing.T) {
	for _, c := range []struct {
		from, to, field string
	}{
		{`"gpus":0`, `"gpus":150,"gpus_max":100`, ""},
		{`"gpus":0`, `"gpus":1e9`, ""},
		{`"value_kb":8`, `"value_kb":1`, ""},
		{`"txn_ops":24`, `"txn_ops":1`, ""},
		{`"gpus":0`, `"gpus":-1`, "deployment.teams[0]"},
		{`"value_kb":8`, `"value_kb":0.5`, "deployment.state.value_kb"},
		{`"txn_ops":24`, `"txn_ops":0`, "deployment.state.txn_ops"},
	} {
		s := strings.Replace(odd, c.from, c.to, 1)
		if s == odd {
			t.Fatalf("%s is not in the settings", c.from)
		}
		_, err := ParsePlatform([]byte(s))
		switch {
		case c.field == "" && err != nil:
			t.Errorf("%s: %v", c.to, err)
		case c.field != "" && (err == nil || !strings.HasPrefix(err.Error(), c.field+":")):
			t.Errorf("%s: %v, want %s named", c.to, err, c.field)
		}
	}
	if _, err := ParseTuning([]byte("gang_weight: -1")); err == nil || !strings.HasPrefix(err.Error(), "gang_weight:") {
		t.Errorf("a gang weight below 0: %v", err)
	}
}

const odd = `{"member":"a","location":"x","serve_on":"127.0.0.1:1","peer_bind":"127.0.0.1:2",
"outside":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"deployment":{"nodes":1,"zones":["x"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0}],
"workers":{"report_s":1.5,"lease_s":10,"gang_wait_s":45,"gang_peer_s":6,"cancel_s":35},
"state":{"rps":200,"write_rps":20,"value_kb":8,"txn_ops":24},"cloud":{"rps":8,"list_lag_s":3},
"limits":{"cores":0.12,"ram_mb":98,"max_sockets":900},"clock_error_ms":100}}`

// What is kept to is the smaller of each limit in force and to come.
func TestEffectiveLimits(t *testing.T) {
	now := State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 48}
	if got := now.Effective(); got != now {
		t.Errorf("without limits to come: %+v", got)
	}
	later := now
	later.Next = &NextState{WriteRPS: 56, ValueKB: 2, TxnOps: 96}
	if got, want := later.Effective(), (State{RPS: 200, WriteRPS: 56, ValueKB: 2, TxnOps: 48}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
