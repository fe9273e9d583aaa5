package health

import (
	"strings"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// All three ages grow with the heartbeat interval. A silent machine is first probed, then counts as
// unreachable, and is then suspected.
func TestTimingFollowsHeartbeatInterval(t *testing.T) {
	for _, test := range []struct {
		intervalSeconds float64
		want            Timing
	}{
		{2, Timing{HeartbeatWindow: 4 * clock.Second, SuspectTimeout: 9 * clock.Second, ProbeAfter: 3 * clock.Second}},
		{10, Timing{HeartbeatWindow: 14 * clock.Second, SuspectTimeout: 19 * clock.Second, ProbeAfter: 13 * clock.Second}},
	} {
		if got := NewTiming(test.intervalSeconds); got != test.want {
			t.Errorf("NewTiming(%v): got %+v, want %+v", test.intervalSeconds, got, test.want)
		}
	}
}

// A store that answers no reads takes precedence over the other reasons to hand over. A leader whose workers
// have had no time to send heartbeats again since a stall doesn't conclude from few reachable machines that
// it is cut off.
func TestHandOverReasons(t *testing.T) {
	cutOff := LeaderReach{Fleet: Reachability{Up: 20}, HasCandidate: true, LeaderTTL: 4 * clock.Second, ReadAge: clock.Second, HasWaitedForWorkers: true, ContactingOther: 12}
	with := func(change func(*LeaderReach)) LeaderReach {
		reach := cutOff
		change(&reach)
		return reach
	}
	for _, test := range []struct {
		name  string
		reach LeaderReach
		want  HandOverReason
	}{
		{"many workers contact another member", cutOff, OnlyLeaderCutOff},
		{"workers had no time to return", with(func(reach *LeaderReach) { reach.HasWaitedForWorkers = false }), KeepLeadership},
		{"no reads are answered", with(func(reach *LeaderReach) { reach.ReadAge = 9 * clock.Second; reach.WasMostlyReachable = true }), StoreUnreadable},
		{"reads are slightly late", with(func(reach *LeaderReach) { reach.ReadAge = 8 * clock.Second; reach.HasWaitedForWorkers = false }), KeepLeadership},
		{"no reads are answered, no candidate", with(func(reach *LeaderReach) {
			reach.ReadAge, reach.HasCandidate, reach.ContactingOther = 9*clock.Second, false, 0
		}), KeepLeadership},
		{"all machines become unreachable", with(func(reach *LeaderReach) { reach.WasMostlyReachable, reach.HasWaitedForWorkers = true, false }), NoneReachable},
	} {
		if got := test.reach.HandOverReason(); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Each enum value has its own text, and the text of an undefined value shows its number.
func TestEnumTextsAreUnique(t *testing.T) {
	seen := map[string]bool{}
	checkText := func(text string) {
		if seen[text] || text == "" || strings.Contains(text, "(") {
			t.Errorf("text %q: want a unique name that is neither empty nor a number", text)
		}
		seen[text] = true
	}
	for verdict := Keep; verdict <= Reclaimed; verdict++ {
		checkText(verdict.String())
	}
	for reason := StoreUnreadable; reason <= OnlyLeaderCutOff; reason++ {
		checkText(reason.String())
	}
	for action := PauseMachine; action <= DrainMachine; action++ {
		checkText(action.String())
	}
	if got := (Reclaimed + 1).String(); got != "Verdict(8)" {
		t.Errorf("text of an undefined verdict: got %q, want Verdict(8)", got)
	}
}

// A machine on which tasks of two jobs have failed is faulty. While failures are widespread it is only
// paused, each time for longer. Once its first failure is SharedFaultWindow ago, it is drained even so.
func TestFaultsPauseBeforeDrain(t *testing.T) {
	var faults Faults
	machine := &allocation.Machine{MachineRestrictions: allocation.MachineRestrictions{FailedJobs: map[string]bool{"a": true}}}
	isWidespread := func() bool { return true }
	now := 1000 * clock.Second
	if action, _ := faults.RecordFailure(machine, isWidespread, now); action != NoFaultAction {
		t.Fatalf("tasks of one job failed: got action %v, want none", action)
	}
	machine.FailedJobs["b"] = true
	for _, pause := range []clock.Micros{2 * clock.Second, 4 * clock.Second, 8 * clock.Second} {
		action, until := faults.RecordFailure(machine, isWidespread, now)
		if action != PauseMachine || until != now+pause {
			t.Fatalf("tasks of two jobs failed: got %v for %d microseconds, want a pause for %d", action, until-now, pause)
		}
		machine.BackoffUntil = until
		if action, _ := faults.RecordFailure(machine, isWidespread, until-1); action != NoFaultAction {
			t.Fatalf("failure during a pause: got action %v, want none", action)
		}
		now = until
	}
	if !faults.HasRecentFailure(now) || faults.HasRecentFailure(now+SharedFaultWindow) {
		t.Error("HasRecentFailure: want true right after a failure and false after SharedFaultWindow")
	}
	now += SharedFaultWindow
	if action, _ := faults.RecordFailure(machine, isWidespread, now); action != DrainMachine || faults.RetryAt() != now+RetryBackoff {
		t.Fatalf("failure after SharedFaultWindow: got %v with a retry after %d microseconds, want a drain with a retry after RetryBackoff", action, faults.RetryAt()-now)
	}
}

// A miss from before the zone was reachable doesn't count, and an answer resets the count of misses. A
// machine that missed a probe is probed again sooner than others.
func TestProbeMissesAreCountedInARow(t *testing.T) {
	timing := NewTiming(2)
	var probes Probes
	now := 1000 * clock.Second
	probes.RecordSent(now)
	probes.RecordMiss(now, now+1)
	if probes.Misses != 0 {
		t.Fatal("counted the miss of a probe that was sent before the zone was reachable")
	}
	probes.RecordMiss(now, now)
	if probes.HasTooManyMisses() || probes.FirstMissSentAt() != now {
		t.Fatal("after one miss: want HasTooManyMisses false, and FirstMissSentAt the time of this miss")
	}
	if probes.NeedsProbe(now, 0, now+missRetryInterval-1, timing) || !probes.NeedsProbe(now, 0, now+missRetryInterval, timing) {
		t.Error("after a miss: want another probe due after exactly missRetryInterval")
	}
	probes.RecordMiss(now+1, now)
	if !probes.HasTooManyMisses() || probes.FirstMissSentAt() != now {
		t.Fatal("after two misses: want HasTooManyMisses true, and FirstMissSentAt the time of the first miss")
	}
	probes.RecordResponse(now + 2)
	if probes.HasTooManyMisses() || probes.Misses != 0 {
		t.Fatal("after an answer: want no misses")
	}
	if probes.NeedsProbe(now, 0, now+timing.ProbeAfter-1, timing) || !probes.NeedsProbe(now, 0, now+timing.ProbeAfter, timing) {
		t.Error("without misses: want a probe due after exactly ProbeAfter without a heartbeat")
	}
	if !IsResultTooLate(now, now+ProbeTimeout+maxProbeResultDelay+1) || IsResultTooLate(now, now+ProbeTimeout+maxProbeResultDelay) {
		t.Error("IsResultTooLate: want true only later than maxProbeResultDelay after ProbeTimeout")
	}
}

// The network to a zone counts as working as long as at least two in three of the machines counted have
// answered. Machines that have neither answered nor missed a probe are not counted.
func TestZoneAnswersIfTwoThirdsOfMachinesDo(t *testing.T) {
	since := 1000 * clock.Second
	for _, test := range []struct {
		answered, missed, silent int
		want                     bool
	}{{3, 1, 0, true}, {2, 1, 0, true}, {1, 1, 0, false}, {0, 4, 0, false}, {0, 0, 5, true}} {
		var answers ZoneAnswers
		for range test.answered {
			answers.Add(&Probes{}, since+ProbeTimeout, since)
		}
		for range test.missed {
			answers.Add(&Probes{Misses: 1}, since, since)
		}
		for range test.silent {
			answers.Add(&Probes{}, since, since)
		}
		if got := answers.IsMostlyAnswering(); got != test.want {
			t.Errorf("case %+v: got IsMostlyAnswering %v", test, got)
		}
	}
}
