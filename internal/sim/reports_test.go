package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// An old report reaches every controller just as a new leader begins, and a report
// held back until a new leader has acted arrives there.
func TestOldReportsAtATakeOver(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 6, "a"))
		c.UntilOn("req-000001", 6)
		time.Sleep(5 * time.Second)
		old := c.Cloud.Reports()
		for c.Cloud.KillOne() && len(c.On("req-000001")) > 2 {
		}
		c.UntilOn("req-000001", 6)
		leader := c.Leader()
		c.Crash(leader)
		for range 100 {
			c.DeliverCopies(old)
			time.Sleep(100 * time.Millisecond)
		}
		c.Start(leader)
		c.DeliverCopies(old)
		c.UntilOn("req-000001", 6)
		time.Sleep(60 * time.Second)
		c.UntilOn("req-000001", 6)
	})
}

// A report from before tasks were started comes again under the leader that started
// them: that it lacks them says nothing.
func TestOldReportUnderTheSameLeader(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 2, "a")) // half a machine
		c.UntilOn(name(1), 2)
		time.Sleep(5 * time.Second)
		old := c.Cloud.Reports()
		c.MustSubmit("n0", Array(2, 2, "a"))
		c.UntilOn(name(2), 2)
		time.Sleep(5 * time.Second)
		// More than there is room for, and it goes first: were the tasks taken for gone,
		// their room would be given away.
		c.MustSubmit("n0", Service(3, 24, "a"))
		for range 30 {
			c.DeliverCopies(old)
			time.Sleep(200 * time.Millisecond)
		}
		c.UntilOn(name(3), 24)
		c.UntilOn(name(2), 2)
	})
}

// A task goes from one machine to another, which then can't be reached; a new leader
// hears first a copy of a report from before, of the machine that had the task. Neither
// that copy, nor that the machine's next report lacks the task, says that it is over.
func TestOldReportOfAMovedTask(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		moved, filler := Array(1, 1, "a"), Array(2, 1, "a")
		moved.CPUs, filler.CPUs = 8, 8
		c.MustSubmit("n0", moved)
		c.UntilOn(moved.ID, 1)
		from := c.On(moved.ID)[0]
		time.Sleep(5 * time.Second)
		old := c.Cloud.Reports()
		c.Cloud.Fail(wire.TaskID(moved.ID, 0))
		c.MustSubmit("n0", filler)
		c.Until("the task has moved", time.Minute, func() bool {
			on := c.On(moved.ID)
			return len(on) == 1 && on[0] != from && len(c.On(filler.ID)) == 1
		})
		time.Sleep(5 * time.Second)
		to := c.On(moved.ID)[0]
		c.Cloud.SetFault(to, fake.Hanging)
		c.MustCancel("n1", filler.ID) // where the task was there is room again
		time.Sleep(time.Second)
		// The copies are what the new leader hears first of that machine.
		c.Network.Cut("copies first", func(a, b string) bool { return a == from || b == from })
		c.Restart(c.Leader(), 200*time.Millisecond)
		c.Until("somebody leads again", 20*time.Second, func() bool { return c.Leader() != "" })
		for range 20 {
			c.DeliverCopies(old)
			time.Sleep(50 * time.Millisecond)
		}
		c.Network.Heal("copies first")
		time.Sleep(20 * time.Second)
		c.Cloud.SetFault(to, fake.Healthy)
		time.Sleep(10 * time.Second)
		c.UntilOn(moved.ID, 1)
	})
}

// A command that is held up for seconds is carried out after the new leader's.
func TestCommandsOfAnEndedLeader(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 2, "a"))
		c.UntilOn("req-000001", 2)
		for _, m := range c.Cloud.Machines() {
			c.Cloud.SetFault(m, fake.Slow)
		}
		c.MustSubmit("n0", Array(2, 4, "a"))
		c.MustSubmit("n0", Array(3, 2, "a"))
		time.Sleep(500 * time.Millisecond)
		c.MustCancel(c.Others(c.Leader())[0], "req-000001")
		old := c.Leader()
		c.Restart(old, 200*time.Millisecond)
		c.Until("somebody leads again", 5*time.Second, func() bool { return c.Leader() != "" })
		time.Sleep(2 * time.Second) // the workers have heard of the new leader
		c.MustCancel(c.Leader(), "req-000003")
		time.Sleep(10 * time.Second)
		if late := c.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("started by a command of the ended leader: %v", late)
		}
		for _, m := range c.Cloud.Machines() {
			c.Cloud.SetFault(m, fake.Healthy)
		}
		c.UntilOn("req-000002", 4)
		c.Until("the cancelled tasks are gone", c.options.Cancellation, func() bool { return len(c.On("req-000001")) == 0 })
	})
}
