package sim

import (
	"fmt"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// Jobs are cancelled in the seconds in which the lead changes hands.
func TestCancelledWhileTheLeadChanges(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		for i := 1; i <= 8; i++ {
			c.MustSubmit("n0", Array(i, 1, "a"))
		}
		c.UntilOn("req-000008", 1)
		leader := c.Leader()
		others := c.Others(leader)
		c.Crash(leader)
		for i := 1; i <= 7; i++ {
			go c.MustCancel(others[i%2], fmt.Sprintf("req-%06d", i))
			time.Sleep(time.Second)
		}
		c.Start(leader)
		for i := 1; i <= 7; i++ {
			id := fmt.Sprintf("req-%06d", i)
			c.Until(id+" is gone", c.options.Cancellation, func() bool { return len(c.On(id)) == 0 })
		}
		c.UntilOn("req-000008", 1)
	})
}

// A leader ends while machines with long tasks can't be reached, or don't hear the
// new leader's answers.
func TestMachinesOutOfReachAtATakeOver(t *testing.T) {
	for name, fault := range map[string]fake.MachineFault{"hanging": fake.Hanging, "deaf": fake.Deaf, "mute": fake.Mute, "slow": fake.Slow} {
		t.Run(name, func(t *testing.T) {
			Run(t, Options{RunFor: long}, func(c *Cluster) {
				c.MustSubmit("n0", Array(1, 8, "a"))
				c.UntilOn("req-000001", 8)
				machines := c.Cloud.Machines()
				c.MustSubmit("n0", Array(2, 1, "a")) // on a machine that has room for more
				c.UntilOn("req-000002", 1)
				for _, m := range machines {
					c.Cloud.SetFault(m, fault)
				}
				c.Restart(c.Leader(), 10*time.Second)
				time.Sleep(15 * time.Second)
				for _, m := range machines {
					c.Cloud.SetFault(m, fake.Healthy)
				}
				c.UntilOn("req-000001", 8)
			})
		})
	}
}

// Leaders change ten times in two minutes, also inside an outage.
func TestLeadersChangeOften(t *testing.T) {
	Run(t, Options{RunFor: 15 * time.Second}, func(c *Cluster) {
		for i := 1; i <= 4; i++ {
			c.MustSubmit("n0", Array(i, 3, "a"))
		}
		for i := range 10 {
			if leader := c.Leader(); leader != "" {
				c.Restart(leader, 200*time.Millisecond)
			}
			if i == 5 {
				c.State.SetDown(true)
			}
			if i == 7 {
				c.State.SetDown(false)
			}
			time.Sleep(11 * time.Second)
		}
		for i := 1; i <= 4; i++ {
			c.UntilStage("n2", fmt.Sprintf("req-%06d", i), wire.JobDone, 2*time.Minute)
		}
	})
}

// Controllers all end, and one returns within a second; all are away for longer
// than a lease.
func TestAllControllersAway(t *testing.T) {
	for _, away := range []time.Duration{300 * time.Millisecond, 45 * time.Second} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			Run(t, Options{RunFor: long}, func(c *Cluster) {
				c.MustSubmit("n0", Array(1, 4, "a"))
				c.MustSubmit("n1", Service(2, 2, "a"))
				c.UntilOn("req-000001", 4)
				c.UntilOn("req-000002", 2)
				for _, n := range c.Nodes() {
					c.Crash(n)
				}
				time.Sleep(away)
				c.Start("n1")
				c.MustCancel("n1", "req-000001")
				c.Start("n0")
				c.Start("n2")
				c.UntilOn("req-000002", 2)
				c.Until("the cancelled tasks are gone", c.options.Cancellation, func() bool { return len(c.On("req-000001")) == 0 })
			})
		})
	}
}

// Jobs of two or three tasks end far apart, across changes of the leader: what is done
// stays done, and no job is called done before its last task.
func TestTasksEndFarApart(t *testing.T) {
	Run(t, Options{RunFor: 3 * time.Second, Apart: 25 * time.Second}, func(c *Cluster) {
		for i := 1; i <= 4; i++ {
			c.MustSubmit("n0", Array(i, 2+i%2, "a"))
		}
		c.UntilOn(name(4), 2)
		for range 5 {
			time.Sleep(6 * time.Second)
			c.Restart(c.Leader(), 500*time.Millisecond)
			for i := 1; i <= 4; i++ {
				go c.Poll("n0", name(i))
			}
		}
		for i := 1; i <= 4; i++ {
			c.UntilStage("n1", name(i), wire.JobDone, 3*time.Minute)
		}
		if again := c.Checker.Reruns(); len(again) > 0 {
			t.Errorf("done tasks are started again: %v", again)
		}
	})
}

// Controllers hand over and back: the leader loses its workers, then the next one
// does, while jobs are cancelled at both.
func TestHandOverAndBack(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		for i := 1; i <= 4; i++ {
			c.MustSubmit("n0", Array(i, 3, "a"))
		}
		c.UntilOn(name(4), 3)
		for i := 1; i <= 2; i++ {
			leader := c.Leader()
			c.CutFromWorkers(leader, true)
			time.Sleep(3 * time.Second)
			go c.MustCancel(leader, name(i))
			c.Until("another leads", time.Minute, func() bool { l := c.Leader(); return l != "" && l != leader })
			c.CutFromWorkers(leader, false)
			time.Sleep(10 * time.Second)
		}
		for i := 1; i <= 2; i++ {
			c.Until(name(i)+" is gone", c.options.Cancellation, func() bool { return len(c.On(name(i))) == 0 })
		}
		c.UntilOn(name(4), 3)
	})
}
