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

// addFleetRecords are the records of so many machines, each with eight tasks of arrays, in
// a view, and the heartbeats that the machines send.
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

// failOverFleet has a new leader rebuild the allocation table and take every machine's heartbeat.
func failOverFleet(b *testing.B, owner *testOwner, heartbeats []*wire.Heartbeat) *Term {
	b.Helper()
	term := owner.newTerm(10, clock.Now())
	term.entitlement.actDeadline.Store(1 << 62)
	for _, heartbeat := range heartbeats {
		term.HandleHeartbeat(heartbeat, &server.Reply{})
	}
	if !term.tracker.IsReconciled() {
		b.Fatal("not accounted for")
	}
	return term
}

var fleetSizes = []int{500, 1500, 4000, 6000}

// A failover at several sizes of the fleet: the allocation table is rebuilt from the records, every
// machine's heartbeat shows its eight tasks, then the first plan is made.
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

// What a fleet costs its leader after the failover: a heartbeat in which nothing has changed, the
// memory for a machine, and the bytes sent to another member in a second.
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

// heapInUse is how many bytes of the heap are in use after a garbage collection.
func heapInUse() float64 {
	for range 3 {
		runtime.GC() // the first ones leave what has a finalizer
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Reading the metrics of a large fleet: a tenth of its tasks belong to cancelled jobs and are listed
// still. The controller's goroutine is held up for this long.
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
					b.Fatalf("%+v", status)
				}
			}
		})
	}
}

// nextHeartbeat is a machine's next heartbeat, with the tasks that it had.
func nextHeartbeat(machine *allocation.Machine) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{MachineID: machine.Name, Address: machine.Address, Incarnation: machine.Incarnation, Sequence: machine.HeartbeatSequence + 1, FencingToken: 10}
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: placement.TaskID(), Attempt: placement.Attempt, State: wire.TaskRunning})
	})
	return heartbeat
}
