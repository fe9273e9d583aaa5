package allocation

import (
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// newSuccessorTracker returns the tracker of a new leader with token 9, its three machines, and a job
// with recorded starts, whose tasks are unconfirmed.
func newSuccessorTracker(kind string) (*Tracker, []*Machine, *Job) {
	tracker := New(Config{FencingToken: 9, LeaseTTL: testLeaseTTL})
	var machines []*Machine
	for _, name := range []string{"i-0", "i-1", "i-2"} {
		machine := tracker.AddMachine(name, "t", "x", false, Resources{MicroCPU: 4 * Unit, MicroGB: 1 << 50}, 0)
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

// The first heartbeat that a new leader gets from a machine may be a late copy, made before its task
// moved to another machine. The task stays unconfirmed until a heartbeat made under the new token
// lists it, or all machines are reconciled. Otherwise the leader starts the task a second time.
func TestLateCopyKeepsTaskUnconfirmed(t *testing.T) {
	tracker, machines, job := newSuccessorTracker(wire.KindArray)
	now := clock.Second
	tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 5, 4, 40, 0), now) // a late copy: the task now runs on i-1
	if usage := tracker.TeamUsage(""); job.ActiveCount() != 1 || job.UnconfirmedCount() != 2 || usage.MicroCPU != 2*Unit {
		t.Fatalf("after the late copy: got %d placements, %d unconfirmed tasks and a team usage of %d, want 1, 2 and %d", job.ActiveCount(), job.UnconfirmedCount(), usage.MicroCPU, 2*Unit)
	}
	tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 9, 9, 0), now) // i-0's current heartbeat, under the new token
	tracker.RecordHeartbeat(machines[2], heartbeatListing("i-2", 9, 9, 0), now)
	if err := tracker.PlaceTask(job, 0, machines[2], tracker.NextAttempt(), now); err == nil {
		t.Fatal("task 0 was placed on i-2, although it may be on i-1, which has sent no heartbeat")
	}
	tracker.RecordHeartbeat(machines[1], heartbeatListing("i-1", 7, 4, 41, 0), now)
	if placement := job.Tasks[0].Placement; placement == nil || placement.Machine != machines[1] || placement.IsStopping() {
		t.Fatal("task 0: want a placement on i-1, which lists it, that is not being stopped")
	}
	tracker.RecordHeartbeat(machines[1], heartbeatListing("i-1", 8, 9, 41, 0), now)
	if job.UnconfirmedCount() != 0 || !tracker.IsReconciled() || job.Tasks[0].Placement.IsStopping() {
		t.Fatalf("after all machines confirmed the token: got %d unconfirmed tasks, want 0, a reconciled tracker and no stop of task 0", job.UnconfirmedCount())
	}
	if err := tracker.PlaceTask(job, 1, machines[2], tracker.NextAttempt(), now); err != nil {
		t.Fatalf("place task 1 after reconciliation: %v", err)
	}
	if usage := tracker.TeamUsage(""); usage.MicroCPU != 2*Unit {
		t.Fatalf("after task 1 was placed: got a team usage of %d, want %d", usage.MicroCPU, 2*Unit)
	}
}

// A late copy and a current heartbeat that list the same tasks may arrive in either order, for arrays
// and for gangs. In both orders the tasks are where the later attempt is listed, and they go on.
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
					t.Fatalf("%s, copy first %v, task %d: got placement %+v, want one on i-1 that is not being stopped", kind, copyFirst, i, placement)
				}
			}
			tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 9, 9, 0), now)
			tracker.RecordHeartbeat(machines[1], heartbeatListing("i-1", 9, 9, 41, 0, 1), now)
			tracker.RecordHeartbeat(machines[2], heartbeatListing("i-2", 9, 9, 0), now)
			if job.UnconfirmedCount() != 0 || job.ActiveCount() != 2 || job.GangAborting || job.Tasks[0].Placement.IsStopping() || job.CountInZone("x") != 2 {
				t.Fatalf("%s, copy first %v: got %d unconfirmed tasks, %d placements and GangAborting %v, want 0, 2 and false, with task 0 not being stopped and two tasks in the zone", kind, copyFirst, job.UnconfirmedCount(), job.ActiveCount(), job.GangAborting)
			}
		}
	}
}

// Tasks have moved between machines under an earlier leader. Its successor gets late copies of
// heartbeats and current ones in any order. It must not start a task that is running, and it knows
// where each task is once all machines have sent a heartbeat under its token.
func TestFailoverWithLateCopiesStartsNoTaskTwice(t *testing.T) {
	refusedCount := 0
	for seed := uint64(1); seed <= 3000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 6))
		kind := []string{wire.KindArray, wire.KindGang}[seed%2]
		tracker, machines, job := newSuccessorTracker(kind)
		// heartbeatsByStep holds the heartbeats of all machines at each of several steps.
		var heartbeatsByStep [][]*wire.Heartbeat
		machineIndexByTask := make([]int, len(job.Tasks)) // index of each task's machine, or -1 if it has none
		attempts := make([]uint64, len(job.Tasks))
		for step := uint64(1); step <= 5; step++ {
			for i := range machineIndexByTask {
				if kind == wire.KindGang || step == 1 || rng.IntN(2) == 0 {
					machineIndexByTask[i], attempts[i] = rng.IntN(len(machines)+1)-1, 40+step
				}
				if kind == wire.KindGang && i > 0 && machineIndexByTask[0] < 0 {
					machineIndexByTask[i] = -1 // a gang is placed as a whole or not at all
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
					t.Fatalf("history %d: task %d was placed on machine %d while it runs on machine %d", seed, i, machineIndex, machineIndexByTask[i])
				}
				refusedCount++
			}
		}
		for i := range machineIndexByTask {
			placement := job.Tasks[i].Placement
			switch {
			case job.Tasks[i].Unconfirmed || (placement != nil) != (machineIndexByTask[i] >= 0):
				t.Fatalf("history %d: task %d runs on machine %d (-1 is none): got unconfirmed %v and placement %+v", seed, i, machineIndexByTask[i], job.Tasks[i].Unconfirmed, placement)
			case placement != nil && (placement.Machine != machines[machineIndexByTask[i]] || placement.Attempt != attempts[i] || placement.IsStopping()):
				t.Fatalf("history %d, %s: task %d runs on machine %d with attempt %d, but is placed on %s with attempt %d, stopping %v",
					seed, kind, i, machineIndexByTask[i], attempts[i], placement.Machine.Name, placement.Attempt, placement.IsStopping())
			}
		}
		if job.GangAborting || job.UnconfirmedCount() != 0 {
			t.Fatalf("history %d: got GangAborting %v and %d unconfirmed tasks, want false and 0", seed, job.GangAborting, job.UnconfirmedCount())
		}
	}
	if refusedCount < 1000 {
		t.Fatalf("the histories tried to start a running task %d times, want at least 1000", refusedCount)
	}
}
