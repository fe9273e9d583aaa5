package allocation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Between the decision to start a task and the message with the start, another task of the job may be
// found elsewhere, or the machine or the job may change. A start that is no longer allowed is not sent,
// and its task waits again.
func TestStartIsCheckedAgainWhenSent(t *testing.T) {
	type fixture struct {
		tracker         *Tracker
		job             *Job
		machine, second *Machine
	}
	adoptSecondTask := func(f fixture) {
		f.tracker.RecordHeartbeat(f.second, newHeartbeat(f.second, 1, 1, 7, wire.TaskStatus{TaskID: "req-000001/1", Attempt: 3, State: wire.TaskRunning}), 3)
	}
	for _, c := range []struct {
		name       string
		spec       wire.Job
		change     func(f fixture)
		wantStarts int
	}{
		{name: "nothing changes", change: func(fixture) {}, wantStarts: 1},
		{name: "another task elsewhere is allowed", change: adoptSecondTask, wantStarts: 1},
		{name: "the quota is used up", spec: wire.Job{Team: "limited"}, change: adoptSecondTask},
		{name: "another zone", spec: wire.Job{SingleZone: true}, change: adoptSecondTask},
		{name: "the machine is not recorded", change: func(f fixture) { f.machine.RecordedInStore = false }},
		{name: "starts of the job are not recorded", change: func(f fixture) { f.job.StartsRecorded = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, channel := range []commandChannel{channelHeartbeatReply, channelCommandRequest} {
				channelName := map[commandChannel]string{channelHeartbeatReply: "heartbeat reply", channelCommandRequest: "command request"}[channel]
				tracker := New(Config{FencingToken: 7, LeaseTTL: testLeaseTTL, CancelFenceWindow: 20 * clock.Second, Quotas: map[string]TeamQuota{"limited": {MaxMicroCPU: 1 * Unit}}})
				tracker.FinishRecovery()
				spec := c.spec
				spec.ID, spec.Kind, spec.Priority, spec.TaskCount, spec.CPUs = "req-000001", wire.KindArray, wire.PriorityNormal, 2, 1
				f := fixture{tracker: tracker, job: tracker.AddJob(&spec, 0, 1, true, nil)}
				f.machine = tracker.AddMachine("i-1", "t", "x", false, Resources{MicroCPU: 8 * Unit, MicroGB: 8 * Unit}, 1)
				f.second = tracker.AddMachine("i-2", "t", "y", false, Resources{MicroCPU: 8 * Unit, MicroGB: 8 * Unit}, 1)
				f.machine.RecordedInStore, f.second.RecordedInStore = true, true
				tracker.RecordHeartbeat(f.machine, newHeartbeat(f.machine, 1, 1, 7), 1)
				if err := tracker.PlaceTask(f.job, 0, f.machine, tracker.NextAttempt(), 2); err != nil {
					t.Fatal(err)
				}
				c.change(f)
				var commands []wire.Command
				if channel == channelHeartbeatReply {
					commands = tracker.HeartbeatCommands(f.machine, 4)
				} else if request, _ := tracker.BuildCommandRequest(f.machine, 4); request != nil {
					commands = request.Commands
				}
				if len(commands) != c.wantStarts {
					t.Fatalf("%s: %d commands, want %d: %+v", channelName, len(commands), c.wantStarts, commands)
				}
				if isPlaced := f.job.Tasks[0].Placement != nil; isPlaced != (c.wantStarts == 1) {
					t.Errorf("%s: the task has a placement = %v, want true exactly if a start is expected", channelName, isPlaced)
				}
			}
		})
	}
}
