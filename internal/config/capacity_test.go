package config

import (
	"strings"
	"testing"
)

// Shortfalls must report each limit that is too low for the fleet, with its deficit, and must report
// none for a fleet for which all limits suffice.
func TestShortfallsNameTooLowLimits(t *testing.T) {
	platform, err := ParsePlatform([]byte(validPlatformJSON))
	if err != nil {
		t.Fatal(err)
	}
	if shortfalls := platform.Shortfalls(1500); shortfalls != nil {
		t.Fatalf("Shortfalls(1500) = %v, want none", shortfalls)
	}
	shortfalls := platform.Shortfalls(4000)
	fields := map[string]Shortfall{}
	for _, s := range shortfalls {
		fields[s.Field] = s
		if !strings.Contains(s.Error(), "4000 machines") || s.Deficit() <= 0 {
			t.Errorf("shortfall of 4000 machines: %q, want the fleet's size and a positive deficit", s)
		}
	}
	sockets, ok := fields["deployment.limits.max_sockets"]
	if !ok || sockets.Required != 4000+667+64 || sockets.Deficit() != 4000+667+64-3500 {
		t.Errorf("shortfall of sockets for 4000 machines: %+v, want 4731 required and a deficit of 1231", sockets)
	}
	if _, ok := fields["deployment.cloud.rps"]; ok {
		t.Error("Shortfalls(4000) reports deployment.cloud.rps, want no shortfall: the cloud's rate suffices")
	}
	platform.Deployment.ProcessLimits = ProcessLimits{Cores: 1, MemoryMB: 512, MaxSockets: 5000}
	if shortfalls := platform.Shortfalls(4000); shortfalls != nil {
		t.Errorf("Shortfalls(4000) with sufficient limits = %v, want none", shortfalls)
	}
	for name, lowerLimit := range map[string]func(){
		"deployment.limits.ram_mb":   func() { platform.Deployment.ProcessLimits.MemoryMB = 64 },
		"deployment.limits.cores":    func() { platform.Deployment.ProcessLimits.Cores = 0.1 },
		"deployment.cloud.rps":       func() { platform.Deployment.Cloud.RPS = 0.5 },
		"deployment.state.write_rps": func() { platform.Deployment.Store.Upcoming = &UpcomingStoreLimits{WriteRPS: 2} },
	} {
		original := platform.Deployment
		lowerLimit()
		if shortfalls := platform.Shortfalls(4000); len(shortfalls) != 1 || shortfalls[0].Field != name {
			t.Errorf("Shortfalls(4000) with %s lowered = %v, want only that limit", name, shortfalls)
		}
		platform.Deployment = original
	}
}

// All errors in a file must be reported together, each on a line that begins with its field.
func TestAllErrorsReportedTogether(t *testing.T) {
	broken := strings.NewReplacer(`"member":"n0"`, `"member":""`, `"txn_ops":24`, `"txn_ops":0`, `"cores":0.3`, `"cores":-1`, `"zones":["x","y"]`, `"zones":["x","x"]`).Replace(validPlatformJSON)
	_, err := ParsePlatform([]byte(broken))
	if err == nil {
		t.Fatal("ParsePlatform accepted a file with four invalid fields")
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != 4 {
		t.Fatalf("%d lines of errors, want 4: %v", len(lines), err)
	}
	for i, field := range []string{"member: ", "deployment.zones: ", "deployment.state.txn_ops: ", "deployment.limits.cores: "} {
		if !strings.HasPrefix(lines[i], field) {
			t.Errorf("line %d of the errors is %q, want it to begin with the expected field", i, lines[i])
		}
	}
	if _, err := ParseTuning([]byte("alpha: -1\nbeta: -2\nfleet_machines: -3\nfinished_jobs: 99\narchive_finished_after_s: 599\n")); err == nil || len(strings.Split(err.Error(), "\n")) != 5 {
		t.Errorf("ParseTuning with five invalid fields: %v, want five lines", err)
	}
	platform, err := ParsePlatform([]byte(validPlatformJSON))
	if err != nil {
		t.Fatal(err)
	}
	tuning := DefaultTuning()
	if err := CheckCompatibility(platform, tuning); err != nil {
		t.Error(err)
	}
	tuning.LeaderTTLS = 36
	if err := CheckCompatibility(platform, tuning); err == nil || !strings.HasPrefix(err.Error(), "leader_ttl_s: ") {
		t.Errorf("CheckCompatibility with a leader TTL equal to a worker's lease: %v, want an error about leader_ttl_s", err)
	}
}
