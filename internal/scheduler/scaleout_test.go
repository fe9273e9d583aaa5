package scheduler

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A machine that has just come up takes work once it has seen the token, with its next
// report, so nothing is rented in its place. One that is heard for longer without having
// seen it can't be told anything, and is not counted on.
func TestNoScaleOutForMachineThatJustCameUp(t *testing.T) {
	fixture := newFixture(nil)
	fixture.scheduler.HeartbeatWindow = 8 * clock.Second
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 50, MachineTypes: []string{"small"}})
	requests := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil).ScaleOut
	if len(requests) != 1 || requests[0].Count != 1 {
		t.Fatalf("rents %v", requests)
	}
	pool := requests[0].Pool
	machine := fixture.tracker.AddMachine("i-0", pool.Type, pool.Zone, pool.Spot, fixture.scheduler.MachineCapacity(pool.Type), fixture.now)
	machine.RecordedInStore = true
	upAt := fixture.now + 10*clock.Second
	for seq, after := range []clock.Micros{0, 4 * clock.Second, 8 * clock.Second, 9 * clock.Second} {
		fixture.now = upAt + after
		fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: "i-0", Incarnation: 1, Sequence: uint64(seq + 1), Address: "127.0.0.1:1"}, fixture.now)
		isRented := len(fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil).ScaleOut) > 0
		if isRented != (after > fixture.scheduler.HeartbeatWindow) {
			t.Errorf("%v after it came up another one is rented: %v", after.Duration(), isRented)
		}
	}
}
