package scheduler

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

const testSpotWait = 40 * clock.Second

// newSpotFixture returns a fixture with one type of machines, one spot machine that runs task 0 of a job of two tasks, and a
// second task that needs a machine of its own.
func newSpotFixture(t *testing.T, kind string) (*schedulerFixture, *allocation.Job) {
	t.Helper()
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.scheduler.SetMachineTypes([]wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 1, SpotPrice: 0.4, BootSeconds: 15, Zones: []string{"x"}}})
	fixture.scheduler.Settings.SpotWaitTimeout = testSpotWait
	fixture.now = 1000 * clock.Second
	machine := fixture.addMachine("i-0", "big", "x", true)
	job := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: kind, TaskCount: 2, CPUs: 16, EstimatedRunSeconds: 10000, AllowsSpot: true})
	if err := fixture.tracker.PlaceTask(job, 0, machine, fixture.tracker.NextAttempt(), fixture.now); err != nil {
		t.Fatal(err)
	}
	fixture.reportTasks(machine, wire.TaskRunning)
	return fixture, job
}

// onDemandRequestedAfter plans every second, with a cloud that has no spot machines, until an on-demand machine is requested. It
// returns the time until then, or the given limit if none is requested.
func (fixture *schedulerFixture) onDemandRequestedAfter(limit clock.Micros) clock.Micros {
	for start := fixture.now; fixture.now-start < limit; fixture.now += clock.Second {
		for _, request := range fixture.plan().ScaleOut {
			if !request.Pool.Spot {
				return fixture.now - start
			}
			fixture.scheduler.ObserveEmptyPool(request.Pool, fixture.now)
		}
	}
	return limit
}

// Guards against a replica, or the last task of an array, that waits for a spot machine for good because another task of its
// job runs: each task's wait ends, for a service after the spot wait, for an array before a job's start is four minutes late.
func TestWaitForSpotEndsWhileOtherTasksRun(t *testing.T) {
	const fourMinutes = 240 * clock.Second
	for kind, want := range map[string]clock.Micros{wire.KindService: testSpotWait, wire.KindArray: activeArraySpotWaitFactor * testSpotWait} {
		fixture, _ := newSpotFixture(t, kind)
		if got := fixture.onDemandRequestedAfter(2 * fourMinutes); got < want || got > want+clock.Second || got+15*clock.Second > fourMinutes {
			t.Errorf("%s: an on-demand machine is requested after %v s, want %v s", kind, got.Seconds(), want.Seconds())
		}
	}
}

// A replica that has lost its spot machine waits anew for another one, for as long.
func TestWaitForSpotCountsFromTheLoss(t *testing.T) {
	fixture, job := newSpotFixture(t, wire.KindService)
	second := fixture.addMachine("i-1", "big", "x", true)
	fixture.plan()
	fixture.reportTasks(second, wire.TaskRunning)
	if job.ActiveCount() != 2 {
		t.Fatalf("got %d replicas placed, want 2", job.ActiveCount())
	}
	fixture.now += 500 * clock.Second
	fixture.tracker.RemoveMachine(second, fixture.now)
	if got := fixture.onDemandRequestedAfter(200 * clock.Second); got < testSpotWait || got > testSpotWait+clock.Second {
		t.Errorf("after the loss of a replica an on-demand machine is requested after %v s, want %v s", got.Seconds(), testSpotWait.Seconds())
	}
}

// Guards against a wait that begins anew with each leader: leaders that change more often than the spot wait lasts would never
// request an on-demand machine.
func TestWaitForSpotSurvivesLeaderChanges(t *testing.T) {
	waited := clock.Micros(0)
	for _, activeTasks := range []int{0, 1} {
		fixture, job := newSpotFixture(t, wire.KindService)
		releasedAt := fixture.now
		isRequested := false
		for leader := range 4 { // each leads for 20 s
			tracker := allocation.New(allocation.Config{FencingToken: uint64(leader + 2), LeaseTTL: 30 * clock.Second})
			tracker.FinishRecovery()
			successor := &schedulerFixture{tracker: tracker, scheduler: New(fixture.scheduler.Settings, nil, fixture.scheduler.Teams, []string{"x"}), now: fixture.now, heartbeatSeqs: map[string]uint64{}}
			successor.scheduler.MachineTypes, successor.scheduler.HeartbeatWindow = fixture.scheduler.MachineTypes, fixture.scheduler.HeartbeatWindow
			restored := tracker.AddJob(job.Spec, releasedAt, successor.now, true, nil)
			for i := range activeTasks {
				machine := tracker.AddMachine("i-0", "big", "x", true, successor.scheduler.MachineCapacity("big"), successor.now)
				machine.RecordedInStore = true
				tracker.RecordHeartbeat(machine, &wire.Heartbeat{
					MachineID: "i-0", Incarnation: 1, Sequence: 100, FencingToken: uint64(leader + 2), Address: "127.0.0.1:1",
					Tasks: []wire.TaskStatus{{TaskID: wire.TaskID(restored.Spec.ID, i), Attempt: 1, State: wire.TaskRunning}},
				}, successor.now)
			}
			isRequested = isRequested || successor.onDemandRequestedAfter(20*clock.Second) < 20*clock.Second
			fixture.now = successor.now
			if waited = fixture.now - releasedAt; isRequested {
				break
			}
		}
		if !isRequested || waited < testSpotWait || waited > testSpotWait+2*clock.Second {
			t.Errorf("%d tasks run, leaders change every 20 s: an on-demand machine requested %v after %v s, want true after %v s", activeTasks, isRequested, waited.Seconds(), testSpotWait.Seconds())
		}
	}
}
