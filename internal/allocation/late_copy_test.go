package allocation

import (
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// newSuccessorTracker returns the tracker of a new leader with token 9, three machines and a job with
// recorded starts, whose tasks are unconfirmed.
func newSuccessorTracker(kind string) (*Tracker, []*Machine, *Job) {
	tracker := New(Config{FencingToken: 9, LeaseTTL: testLeaseTTL})
	var machines []*Machine
	for _, name := range []string{"i-0", "i-1", "i-2"} {
		machine := tracker.AddMachine(name, "t", "x", false, Resources{4000, 0, 1 << 40}, 0)
		machine.RecordedInStore = true
		machines = append(machines, machine)
	}
	job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: kind, TaskCount: 2, CPUs: 1, Priority: wire.PriorityNormal}, 0, 0, true, nil)
	tracker.FinishRecovery()
	return tracker, machines, job
}

// heartbeatListing returns a heartbeat of incarnation 1 that lists tasks as running.
func heartbeatListing(machineName string, sequence, token, attempt uint64, tasks ...int) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{MachineID: machineName, Incarnation: 1, Sequence: sequence, FencingToken: token}
	for _, i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID("req-000001", i), Attempt: attempt, State: wire.TaskRunning})
	}
	return heartbeat
}

// The first heartbeat that a new leader gets from a machine may be a late copy, from before its task
// went elsewhere. The task stays unconfirmed until a heartbeat made under the new token lists it, or
// all machines are reconciled. Added after such a task was started a second time.
func TestLateCopyKeepsTaskUnconfirmed(t *testing.T) {
	tracker, machines, job := newSuccessorTracker(wire.KindArray)
	now := clock.Second
	tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 5, 4, 40, 0), now) // a copy; the task is on i-1 by now
	if usage := tracker.TeamUsage(""); job.ActiveCount() != 1 || job.UnconfirmedCount() != 2 || usage.MilliCPU != 2000 {
		t.Fatalf("%d placed, %d unconfirmed, the team may use %d", job.ActiveCount(), job.UnconfirmedCount(), usage.MilliCPU)
	}
	tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 9, 9, 0), now) // i-0 itself, under the new token
	tracker.RecordHeartbeat(machines[2], heartbeatListing("i-2", 9, 9, 0), now)
	if err := tracker.PlaceTask(job, 0, machines[2], tracker.NextAttempt(), now); err == nil {
		t.Fatal("a task is started again that may be on a machine without a heartbeat yet")
	}
	tracker.RecordHeartbeat(machines[1], heartbeatListing("i-1", 7, 4, 41, 0), now)
	if placement := job.Tasks[0].Placement; placement == nil || placement.Machine != machines[1] || placement.IsStopping() {
		t.Fatal("the task is not placed where it runs")
	}
	tracker.RecordHeartbeat(machines[1], heartbeatListing("i-1", 8, 9, 41, 0), now)
	if job.UnconfirmedCount() != 0 || !tracker.IsReconciled() || job.Tasks[0].Placement.IsStopping() {
		t.Fatalf("%d unconfirmed when all machines are reconciled", job.UnconfirmedCount())
	}
	if err := tracker.PlaceTask(job, 1, machines[2], tracker.NextAttempt(), now); err != nil {
		t.Fatalf("the other task: %v", err)
	}
	if usage := tracker.TeamUsage(""); usage.MilliCPU != 2000 {
		t.Fatalf("the team uses %d", usage.MilliCPU)
	}
}

// A late copy and the current heartbeat may arrive in either order, of arrays and of gangs: the later
// attempt is where the task is, and it goes on.
func TestLaterAttemptReplacesEarlier(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang} {
		for _, copyFirst := range []bool{true, false} {
			tracker, machines, job := newSuccessorTracker(kind)
			now := clock.Second
			deliveries := []func(){
				func() { tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 5, 4, 40, 0, 1), now) },
				func() { tracker.RecordHeartbeat(machines[1], heartbeatListing("i-1", 7, 4, 41, 0, 1), now) },
			}
			if !copyFirst {
				deliveries[0], deliveries[1] = deliveries[1], deliveries[0]
			}
			deliveries[0]()
			deliveries[1]()
			for i := range job.Tasks {
				if placement := job.Tasks[i].Placement; placement == nil || placement.Machine != machines[1] || placement.IsStopping() {
					t.Fatalf("%s, copy first %v: task %d has the placement %+v", kind, copyFirst, i, placement)
				}
			}
			tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 9, 9, 0), now)
			tracker.RecordHeartbeat(machines[1], heartbeatListing("i-1", 9, 9, 41, 0, 1), now)
			tracker.RecordHeartbeat(machines[2], heartbeatListing("i-2", 9, 9, 0), now)
			if job.UnconfirmedCount() != 0 || job.ActiveCount() != 2 || job.GangAborting || job.Tasks[0].Placement.IsStopping() || job.CountInZone("x") != 2 {
				t.Fatalf("%s, copy first %v: %d unconfirmed, %d active, aborting %v", kind, copyFirst, job.UnconfirmedCount(), job.ActiveCount(), job.GangAborting)
			}
		}
	}
}

// Tasks have moved between machines under an earlier leader. Its successor gets late copies of
// heartbeats, then current ones, in any order. It starts no task that runs, and knows where each task
// is once all machines have sent a heartbeat under its token.
func TestFailoverWithLateCopiesStartsNoTaskTwice(t *testing.T) {
	refusedCount := 0
	for seed := uint64(1); seed <= 3000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 6))
		kind := []string{wire.KindArray, wire.KindGang}[seed%2]
		tracker, machines, job := newSuccessorTracker(kind)
		// past holds the heartbeats of all machines at each of several times.
		var heartbeatsByStep [][]*wire.Heartbeat
		machineIndexByTask := make([]int, len(job.Tasks)) // where each task is, -1: nowhere
		attempts := make([]uint64, len(job.Tasks))
		for step := uint64(1); step <= 5; step++ {
			for i := range machineIndexByTask {
				if kind == wire.KindGang || step == 1 || rng.IntN(2) == 0 {
					machineIndexByTask[i], attempts[i] = rng.IntN(len(machines)+1)-1, 40+step
				}
				if kind == wire.KindGang && i > 0 && machineIndexByTask[0] < 0 {
					machineIndexByTask[i] = -1 // whole or not at all
				} else if kind == wire.KindGang && i > 0 && machineIndexByTask[i] < 0 {
					machineIndexByTask[i] = machineIndexByTask[0]
				}
			}
			var heartbeats []*wire.Heartbeat
			for machineIndex, machine := range machines {
				heartbeat := &wire.Heartbeat{MachineID: machine.Name, Incarnation: 1, Sequence: step, FencingToken: 4}
				for i := range machineIndexByTask {
					if machineIndexByTask[i] == machineIndex {
						heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID(job.Spec.ID, i), Attempt: attempts[i], State: wire.TaskRunning})
					}
				}
				heartbeats = append(heartbeats, heartbeat)
			}
			heartbeatsByStep = append(heartbeatsByStep, heartbeats)
		}
		currentHeartbeats := heartbeatsByStep[len(heartbeatsByStep)-1]
		now := clock.Second
		hasConfirmedToken := make([]bool, len(machines))
		for round := 0; round < 40 || !tracker.IsReconciled(); round++ {
			now += clock.Second / 10
			machineIndex := rng.IntN(len(machines))
			heartbeat := *currentHeartbeats[machineIndex]
			switch rng.IntN(4) {
			case 0:
				if old := heartbeatsByStep[rng.IntN(len(heartbeatsByStep))][machineIndex]; !hasConfirmedToken[machineIndex] {
					tracker.RecordHeartbeat(machines[machineIndex], old, now)
				}
			case 1:
				heartbeat.Sequence, heartbeat.FencingToken = uint64(10+round), 9
				tracker.RecordHeartbeat(machines[machineIndex], &heartbeat, now)
				hasConfirmedToken[machineIndex] = true
			case 2:
				heartbeat.Sequence = uint64(10 + round)
				if !hasConfirmedToken[machineIndex] {
					tracker.RecordHeartbeat(machines[machineIndex], &heartbeat, now)
				}
			default:
				i := rng.IntN(len(machineIndexByTask))
				if machineIndexByTask[i] < 0 {
					continue
				}
				if tracker.PlaceTask(job, i, machines[machineIndex], tracker.NextAttempt(), now) == nil {
					t.Fatalf("history %d: task %d is started on %d while on %d", seed, i, machineIndex, machineIndexByTask[i])
				}
				refusedCount++
			}
		}
		for i := range machineIndexByTask {
			placement := job.Tasks[i].Placement
			switch {
			case job.Tasks[i].Unconfirmed || (placement != nil) != (machineIndexByTask[i] >= 0):
				t.Fatalf("history %d: task %d on %d: unconfirmed %v, placement %+v", seed, i, machineIndexByTask[i], job.Tasks[i].Unconfirmed, placement)
			case placement != nil && (placement.Machine != machines[machineIndexByTask[i]] || placement.Attempt != attempts[i] || placement.IsStopping()):
				t.Fatalf("history %d, %s: task %d on %d as attempt %d is placed on %s as attempt %d, stopping %v",
					seed, kind, i, machineIndexByTask[i], attempts[i], placement.Machine.Name, placement.Attempt, placement.IsStopping())
			}
		}
		if job.GangAborting || job.UnconfirmedCount() != 0 {
			t.Fatalf("history %d: aborting %v, %d unconfirmed", seed, job.GangAborting, job.UnconfirmedCount())
		}
	}
	if refusedCount < 1000 {
		t.Fatalf("only %d starts were tried", refusedCount)
	}
}
