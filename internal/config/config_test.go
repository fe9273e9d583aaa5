package config

import (
	"encoding/json"
	"strings"
	"testing"
)

const validPlatformJSON = `{"member":"n0","location":"x","serve_on":"127.0.0.1:8080","peer_bind":"127.0.0.1:8081","new":{"a":1},
"others":[{"member":"n1","location":"y","address":"127.0.0.1:8082"}],"outside":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
"deployment":{"nodes":2,"zones":["x","y"],"teams":[{"name":"a","cpus":1,"cpus_max":2,"gpus":0,"gpus_max":0}],
"objectives":[{"kind":"wait","class":"c","within_s":1,"share":0.9}],
"workers":{"report_s":3,"lease_s":36,"gang_wait_s":30,"gang_peer_s":8,"cancel_s":66},
"state":{"rps":150,"write_rps":30,"value_kb":8,"txn_ops":24},"cloud":{"rps":4,"list_lag_s":5},
"limits":{"cores":0.3,"ram_mb":179,"max_sockets":3500},"clock_error_ms":5}}`

// Every error in the platform's file must be reported with the field that it concerns.
func TestPlatformErrorsNameTheField(t *testing.T) {
	if _, err := ParsePlatform([]byte(validPlatformJSON)); err != nil {
		t.Fatal(err)
	}
	for _, testCase := range []struct{ path, value, field string }{
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
		var document any
		if err := json.Unmarshal([]byte(validPlatformJSON), &document); err != nil {
			t.Fatal(err)
		}
		var v any
		if err := json.Unmarshal([]byte(testCase.value), &v); err != nil {
			t.Fatal(err)
		}
		setJSONPath(document, strings.Split(testCase.path, "."), v)
		data, err := json.Marshal(document)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParsePlatform(data); err == nil || !strings.Contains(err.Error(), testCase.field) {
			t.Errorf("ParsePlatform with %s=%s: got error %v, want one that names the field", testCase.path, testCase.value, err)
		}
	}
	for _, bad := range []string{"", "{", "[]", validPlatformJSON[:200]} {
		if _, err := ParsePlatform([]byte(bad)); err == nil {
			t.Errorf("ParsePlatform accepted %.20q, want an error", bad)
		}
	}
}

func setJSONPath(document any, path []string, v any) {
	switch container := document.(type) {
	case map[string]any:
		if len(path) == 1 {
			container[path[0]] = v
			return
		}
		setJSONPath(container[path[0]], path[1:], v)
	case []any:
		setJSONPath(container[0], path[1:], v)
	}
}

// A setting of the wrong type must be rejected with an error that names the field directly within Tuning,
// without the name of the embedded Go struct in which the field is grouped.
func TestTuningTypeErrorsNameTheField(t *testing.T) {
	for _, testCase := range [][2]string{
		{"alpha: x\n", "Go struct field Tuning.Alpha of type float64"},
		{"recency_s: x\n", "Go struct field Tuning.RecencyS of type float64"},
		{"spare_min: x\n", "Go struct field Tuning.SpareMin of type int"},
		{"screen_ks: x\n", "Go struct field Tuning.ScreenKS of type float64"},
		{"smooth_need: x\n", "Go struct field Tuning.SmoothNeed of type float64"},
		{"horizon_s: x\n", "Go struct field Tuning.HorizonS of type float64"},
		{"standby:\n  enabled: x\n", "Go struct field Tuning.Standby of type bool"},
	} {
		if _, err := ParseTuning([]byte(testCase[0])); err == nil || !strings.HasSuffix(err.Error(), testCase[1]) {
			t.Errorf("ParseTuning(%q): got error %v, want one that ends with the field and type", testCase[0], err)
		}
	}
}

// A missing setting must get its default. An unknown or invalid setting must be rejected by name.
func TestTuningDefaultsAndUnknownKeys(t *testing.T) {
	if tuning, err := ParseTuning(nil); err != nil || tuning != DefaultTuning() {
		t.Fatalf("ParseTuning(nil) = %v, %v, want the defaults", tuning, err)
	}
	tuning, err := ParseTuning([]byte("alpha: 70\nspare_max: 2\n"))
	if err != nil || tuning.Alpha != 70 || tuning.SpareMax != 2 || tuning.IdleWaitS != DefaultTuning().IdleWaitS {
		t.Fatalf("ParseTuning with alpha and spare_max set = %+v, %v, want these two changed and the defaults otherwise", tuning, err)
	}
	for _, testCase := range [][2]string{
		{"alfa: 3\n", "alfa"}, {"alpha: -1\n", "alpha"}, {"alpha: x\n", "Alpha"}, {"spare_min: 3\nspare_max: 2\n", "spare_max"},
		{"smooth_need: 2\n", "smooth_need"}, {"alpha: [\n", ""}, {"leader_ttl_s: 0.1\n", "leader_ttl_s"},
	} {
		if _, err := ParseTuning([]byte(testCase[0])); err == nil || !strings.Contains(err.Error(), testCase[1]) {
			t.Errorf("ParseTuning(%q): got error %v, want one that names the invalid setting", testCase[0], err)
		}
	}
}

func TestLoadErrorsNameTheMissingFile(t *testing.T) {
	if _, err := LoadPlatform("/nowhere/a.json"); err == nil || !strings.Contains(err.Error(), "/nowhere/a.json") {
		t.Error(err)
	}
	if _, err := LoadTuning("/nowhere/a.yaml"); err == nil || !strings.Contains(err.Error(), "/nowhere/a.yaml") {
		t.Error(err)
	}
}

// Unusual settings must be accepted if they have a meaning: guarantees above the limits or above any
// fleet, guarantees of only one resource, and small values and transactions. Meaningless settings must
// be rejected with the field's name.
func TestUnusualValidSettingsAreAccepted(t *testing.T) {
	for _, testCase := range []struct {
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
		settings := strings.Replace(minimalPlatformJSON, testCase.from, testCase.to, 1)
		if settings == minimalPlatformJSON {
			t.Fatalf("%s does not occur in minimalPlatformJSON", testCase.from)
		}
		_, err := ParsePlatform([]byte(settings))
		switch {
		case testCase.field == "" && err != nil:
			t.Errorf("ParsePlatform with %s: got error %v, want none", testCase.to, err)
		case testCase.field != "" && (err == nil || !strings.HasPrefix(err.Error(), testCase.field+":")):
			t.Errorf("ParsePlatform with %s: got error %v, want one about %s", testCase.to, err, testCase.field)
		}
	}
	if _, err := ParseTuning([]byte("gang_weight: -1")); err == nil || !strings.HasPrefix(err.Error(), "gang_weight:") {
		t.Errorf("ParseTuning with gang_weight -1: got error %v, want one about gang_weight", err)
	}
}

const minimalPlatformJSON = `{"member":"a","location":"x","serve_on":"127.0.0.1:1","peer_bind":"127.0.0.1:2",
"outside":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"deployment":{"nodes":1,"zones":["x"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0}],
"workers":{"report_s":1.5,"lease_s":10,"gang_wait_s":45,"gang_peer_s":6,"cancel_s":35},
"state":{"rps":200,"write_rps":20,"value_kb":8,"txn_ops":24},"cloud":{"rps":8,"list_lag_s":3},
"limits":{"cores":0.12,"ram_mb":98,"max_sockets":900},"clock_error_ms":100}}`

// The effective limits must be the stricter of the current and the upcoming limits.
func TestEffectiveStoreLimitsAreTheStricter(t *testing.T) {
	currentLimits := StoreLimits{RPS: 200, WriteRPS: 80, MaxValueKB: 16, MaxTransactionOps: 48}
	if got := currentLimits.Effective(); got != currentLimits {
		t.Errorf("Effective() without upcoming limits = %+v, want the limits unchanged", got)
	}
	withUpcoming := currentLimits
	withUpcoming.Upcoming = &UpcomingStoreLimits{WriteRPS: 56, MaxValueKB: 2, MaxTransactionOps: 96}
	if got, want := withUpcoming.Effective(), (StoreLimits{RPS: 200, WriteRPS: 56, MaxValueKB: 2, MaxTransactionOps: 48}); got != want {
		t.Errorf("Effective() with upcoming limits = %+v, want %+v", got, want)
	}
}
