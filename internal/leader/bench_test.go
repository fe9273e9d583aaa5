package leader

import (
	"fmt"
	"runtime"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// addFleetRecords adds the records of a number of machines to the owner's view, with array jobs that
// have eight tasks for each machine. It returns the heartbeats in which the machines report these tasks.
func addFleetRecords(owner *testOwner, machines int) []*wire.Heartbeat {
	const tasks, jobTasks = 8, 96
	scaleOut := owner.View.ScaleOuts["h"]
	var heartbeats []*wire.Heartbeat
	for i := range machines {
		name := fmt.Sprintf("i-%06d", i)
		scaleOut.Machines = append(scaleOut.Machines, name)
		heartbeat := &wire.Heartbeat{MachineID: name, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, FencingToken: 10}
		for index := range tasks {
			task := i*tasks + index
			id := fmt.Sprintf("req-%06d", task/jobTasks)
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID(id, task%jobTasks), Attempt: 5 << 20, State: wire.TaskRunning})
		}
		heartbeats = append(heartbeats, heartbeat)
	}
	for i := range machines*tasks/jobTasks + 1 {
		id := fmt.Sprintf("req-%06d", i)
		owner.View.Jobs[id] = &storeview.Job{Job: records.Job{SubmittedAt: int64(clock.WallTime()), Spec: &wire.Job{
			ID: id, Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal,
			TaskCount: jobTasks, CPUs: 2, MemoryGB: 4, EstimatedRunSeconds: 40, Image: fmt.Sprint("image-", i%20),
		}}}
		owner.View.Progress[id] = map[int]storeview.ProgressPart{0: {}}
	}
	return heartbeats
}

// failOverFleet makes a new leader that rebuilds the allocation table and handles every machine's
// heartbeat.
func failOverFleet(b *testing.B, owner *testOwner, heartbeats []*wire.Heartbeat) *Term {
	b.Helper()
	term := owner.newTerm(10, clock.Now())
	term.entitlement.actDeadline.Store(1 << 62)
	for _, heartbeat := range heartbeats {
		term.HandleHeartbeat(heartbeat, &server.Reply{})
	}
	if !term.tracker.IsReconciled() {
		b.Fatal("not every machine is reconciled after its heartbeat")
	}
	return term
}

var fleetSizes = []int{500, 1500, 4000, 6000}

// Measures a failover at several fleet sizes: the leader rebuilds the allocation table from the
// records, handles a heartbeat with eight tasks of every machine, and makes its first plan.
func BenchmarkFailover(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				owner := ownerOf(newTestTerm(b))
				heartbeats := addFleetRecords(owner, machines)
				b.StartTimer()
				term := failOverFleet(b, owner, heartbeats)
				term.Plan(clock.Now())
			}
		})
	}
}

// Measures what a fleet costs its leader after the failover: the time to handle a heartbeat in which
// nothing has changed, the memory for each machine, and the bytes sent to another member in a second.
func BenchmarkLeaderAfterFailover(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			before := heapInUse()
			owner := ownerOf(newTestTerm(b))
			heartbeats := addFleetRecords(owner, machines)
			term := failOverFleet(b, owner, heartbeats)
			heapBytes := heapInUse() - before
			startedAt := clock.Now()
			handled := 0
			for b.Loop() {
				heartbeat := heartbeats[handled%machines]
				heartbeat.Sequence++
				term.HandleHeartbeat(heartbeat, &server.Reply{})
				handled++
			}
			microsPerHeartbeat := (clock.Now() - startedAt).Seconds() * 1e6 / float64(handled)
			b.ReportMetric(microsPerHeartbeat, "us/report")
			b.ReportMetric(heapBytes/float64(machines), "B/machine")
			const sentHeartbeats = 60
			bytes := 0
			for range sentHeartbeats {
				heartbeat := &peer.Heartbeat{Member: "a", Leader: "a", Token: 10}
				for id, job := range term.tracker.Jobs {
					heartbeat.JobProgress = append(heartbeat.JobProgress, peer.JobProgress{Job: id, Done: uint32(job.DoneCount()), Running: uint32(job.StartedCount)})
				}
				term.addHints(heartbeat)
				bytes += len(peer.Encode(heartbeat))
			}
			b.ReportMetric(float64(bytes)/sentHeartbeats, "B/s-told")
		})
	}
}

// heapInUse returns how many bytes of the heap are in use after garbage collections.
func heapInUse() float64 {
	for range 3 {
		runtime.GC() // objects with finalizers are freed by a later collection than the first
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Measures how long reading the metrics of a large fleet blocks the controller's goroutine. A tenth of
// the fleet's jobs are cancelled, and workers still list their tasks.
func BenchmarkMetricsStatus(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			owner := ownerOf(newTestTerm(b))
			term := failOverFleet(b, owner, addFleetRecords(owner, machines))
			for i := 0; i < len(term.tracker.Jobs); i += 10 {
				term.tracker.Cancel(term.tracker.Jobs[fmt.Sprintf("req-%06d", i)], clock.Now())
			}
			for _, machine := range term.tracker.SortedMachines() {
				term.HandleHeartbeat(nextHeartbeat(machine), &server.Reply{})
			}
			for b.Loop() {
				if status := term.MetricsStatus(clock.Now()); status.ListedCancelledTasks < machines/2 {
					b.Fatalf("got status %+v, want at least half as many listed cancelled tasks as machines", status)
				}
			}
		})
	}
}

// nextHeartbeat returns a machine's next heartbeat, which lists the same tasks as its last one.
func nextHeartbeat(machine *allocation.Machine) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{MachineID: machine.Name, Address: machine.Address, Incarnation: machine.Incarnation, Sequence: machine.HeartbeatSequence + 1, FencingToken: 10}
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: placement.TaskID(), Attempt: placement.Attempt, State: wire.TaskRunning})
	})
	return heartbeat
}
