package health

import (
	"strings"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// The three ages of a heartbeat follow the interval, and are passed in this order.
func TestTimingFollowsHeartbeatInterval(t *testing.T) {
	for _, test := range []struct {
		intervalSeconds float64
		want            Timing
	}{
		{2, Timing{HeartbeatWindow: 4 * clock.Second, SuspectTimeout: 9 * clock.Second, ProbeAfter: 3 * clock.Second}},
		{10, Timing{HeartbeatWindow: 14 * clock.Second, SuspectTimeout: 19 * clock.Second, ProbeAfter: 13 * clock.Second}},
	} {
		if got := NewTiming(test.intervalSeconds); got != test.want {
			t.Errorf("interval %v s: %+v, want %+v", test.intervalSeconds, got, test.want)
		}
	}
}

// A store that answers no reads comes first; a leader whose workers have had no time to
// come back does not conclude anything from how many are reachable.
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
		{"others are contacted", cutOff, OnlyLeaderCutOff},
		{"not settled", with(func(reach *LeaderReach) { reach.HasWaitedForWorkers = false }), KeepLeadership},
		{"no reads", with(func(reach *LeaderReach) { reach.ReadAge = 9 * clock.Second; reach.HadMostReachable = true }), StoreUnreadable},
		{"reads are a little late", with(func(reach *LeaderReach) { reach.ReadAge = 8 * clock.Second; reach.HasWaitedForWorkers = false }), KeepLeadership},
		{"no reads, no candidate", with(func(reach *LeaderReach) {
			reach.ReadAge, reach.HasCandidate, reach.ContactingOther = 9*clock.Second, false, 0
		}), KeepLeadership},
		{"all at once", with(func(reach *LeaderReach) { reach.HadMostReachable, reach.HasWaitedForWorkers = true, false }), NoneReachable},
	} {
		if got := test.reach.HandOverReason(); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Each enum value has a text of its own, and one that is none says so.
func TestEnumTextsAreUnique(t *testing.T) {
	seen := map[string]bool{}
	checkText := func(text string) {
		if seen[text] || text == "" || strings.Contains(text, "(") {
			t.Errorf("text %q is empty, stands twice or has no name", text)
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
		t.Errorf("unknown verdict: %q", got)
	}
}

// Two failed jobs make a machine faulty; while failures are widespread it only pauses, each
// time for longer, and after the window of shared faults it is faulty after all.
func TestFaultsPauseBeforeDrain(t *testing.T) {
	var faults Faults
	machine := &allocation.Machine{MachineRestrictions: allocation.MachineRestrictions{FailedJobs: map[string]bool{"a": true}}}
	isWidespread := func() bool { return true }
	now := 1000 * clock.Second
	if action, _ := faults.RecordFailure(machine, isWidespread, now); action != NoFaultAction {
		t.Fatalf("one job: %v", action)
	}
	machine.FailedJobs["b"] = true
	for _, pause := range []clock.Micros{2 * clock.Second, 4 * clock.Second, 8 * clock.Second} {
		action, until := faults.RecordFailure(machine, isWidespread, now)
		if action != PauseMachine || until != now+pause {
			t.Fatalf("%v until %d, want a pause of %d", action, until-now, pause)
		}
		machine.BackoffUntil = until
		if action, _ := faults.RecordFailure(machine, isWidespread, until-1); action != NoFaultAction {
			t.Fatalf("while it pauses: %v", action)
		}
		now = until
	}
	if !faults.HasRecentFailure(now) || faults.HasRecentFailure(now+SharedFaultWindow) {
		t.Error("failures count for the window of shared faults")
	}
	now += SharedFaultWindow
	if action, _ := faults.RecordFailure(machine, isWidespread, now); action != DrainMachine || faults.RetryAt() != now+RetryBackoff {
		t.Fatalf("after the window: %v, retry at %d", action, faults.RetryAt()-now)
	}
}

// Misses before the way to the zone was open don't count, an answer ends a row of misses,
// and a machine that missed a probe is probed again sooner than the others.
func TestProbeMissesAreCountedInARow(t *testing.T) {
	timing := NewTiming(2)
	var probes Probes
	now := 1000 * clock.Second
	probes.RecordSent(now)
	probes.RecordMiss(now, now+1)
	if probes.Misses != 0 {
		t.Fatal("counted a miss while the way was closed")
	}
	probes.RecordMiss(now, now)
	if probes.HasTooManyMisses() || probes.FirstMissSentAt() != now {
		t.Fatal("one miss is too many, or is not the first")
	}
	if probes.NeedsProbe(now, 0, now+missRetryInterval-1, timing) || !probes.NeedsProbe(now, 0, now+missRetryInterval, timing) {
		t.Error("after a miss it is not probed again after half a second")
	}
	probes.RecordMiss(now+1, now)
	if !probes.HasTooManyMisses() || probes.FirstMissSentAt() != now {
		t.Fatal("two misses are not too many, or the first is not the first")
	}
	probes.RecordAnswer(now + 2)
	if probes.HasTooManyMisses() || probes.Misses != 0 {
		t.Fatal("an answer doesn't end the misses")
	}
	if probes.NeedsProbe(now, 0, now+timing.ProbeAfter-1, timing) || !probes.NeedsProbe(now, 0, now+timing.ProbeAfter, timing) {
		t.Error("an overdue heartbeat doesn't lead to a probe")
	}
	if !IsResultTooLate(now, now+ProbeTimeout+maxProbeResultDelay+1) || IsResultTooLate(now, now+ProbeTimeout+maxProbeResultDelay) {
		t.Error("the lateness of results is not bounded as said")
	}
}

// A zone answers while two in three of its machines do.
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
			t.Errorf("%+v: %v", test, got)
		}
	}
}
