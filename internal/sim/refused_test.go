package sim

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// refuseLeader has the state service refuse the leader alone, and returns its name.
func refuseLeader(c *Cluster) string {
	leader := c.Leader()
	c.State.SetFault(leader, fake.Refused)
	return leader
}

// The state service refuses the leader alone, another controller confirms
// cancellations, and then it is down for all for longer than the cancellation time,
// while workers report to the old leader. It learns of the cancellations from the
// others, and stops the tasks while it may.
func TestRefusedLeaderThenOutage(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 4, "a"))
		c.MustSubmit("n0", Array(2, 2, "a"))
		c.UntilOn("req-000001", 4)
		leader := refuseLeader(c)
		time.Sleep(500 * time.Millisecond)
		c.MustCancel(c.Others(leader)[0], "req-000001")
		c.State.SetDown(true)
		c.Until("the tasks are gone", 3*time.Second, func() bool { return len(c.On("req-000001")) == 0 })
		time.Sleep(80 * time.Second)
		c.State.SetFault(leader, fake.Served)
		c.State.SetDown(false)
		c.UntilOn("req-000002", 2)
		time.Sleep(30 * time.Second)
		if late := c.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("started after the cancellation: %v", late)
		}
	})
}

// The same where the leader is cut off from the other controllers too: nobody can
// tell it. Its workers' leases end in time, and when its lock comes back with the
// state service it reads before it starts anything.
func TestCutOffLeaderThenOutage(t *testing.T) {
	for _, times := range []struct{ lease, cancellation time.Duration }{{36 * time.Second, 66 * time.Second}, {14 * time.Second, 44 * time.Second}} {
		t.Run(fmt.Sprint(times.lease), func(t *testing.T) {
			Run(t, Options{RunFor: long, Lease: times.lease, Cancellation: times.cancellation}, func(c *Cluster) {
				c.MustSubmit("n0", Array(1, 4, "a"))
				c.UntilOn("req-000001", 4)
				leader := refuseLeader(c)
				c.CutFromPeers(leader, true)
				c.MustCancel(c.Others(leader)[0], "req-000001")
				c.State.SetDown(true)
				time.Sleep(times.cancellation + 20*time.Second)
				c.CutFromPeers(leader, false)
				c.State.SetFault(leader, fake.Served)
				c.State.SetDown(false)
				time.Sleep(30 * time.Second)
				if late := c.Checker.LateStarts(); len(late) > 0 {
					t.Errorf("started after the cancellation: %v", late)
				}
			})
		})
	}
}

// The lock comes back at the end of an outage before the old leader can read what was
// cancelled meanwhile: it starts nothing until it has read.
func TestLockIsBackBeforeTheView(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 4, "a"))
		c.MustSubmit("n0", Service(2, 2, "a")) // its machines are asked for their state
		c.UntilOn("req-000001", 4)
		c.UntilOn("req-000002", 2)
		leader := refuseLeader(c)
		c.CutFromPeers(leader, true)
		c.MustCancel(c.Others(leader)[0], "req-000001")
		c.State.SetDown(true)
		time.Sleep(c.options.Cancellation + 20*time.Second)
		c.State.SetFault(leader, fake.ReadsRefused)
		c.State.SetDown(false)
		time.Sleep(8 * time.Second)
		c.State.SetFault(leader, fake.Served)
		time.Sleep(20 * time.Second)
		if late := c.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("started after the cancellation: %v", late)
		}
	})
}

// The lock is not renewed for a while though reads are answered, an outage gives it its
// time back, and then reads are refused: however new the view is, what was cancelled
// between the last read and the outage is not known, and nothing is started.
func TestLockIsRegainedWithARecentView(t *testing.T) {
	Run(t, Options{RunFor: long, ReportEvery: time.Second / 2}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 8, "b"))
		c.UntilOn(name(1), 8)
		c.MustSubmit("n0", Array(2, 2, "b")) // over the team's limit, so it waits
		time.Sleep(time.Second)
		leader := c.Leader()
		c.CutFromPeers(leader, true)
		c.State.SetFault(leader, fake.RenewalsRefused)
		time.Sleep(4 * time.Second)
		c.State.SetFault(leader, fake.Refused)
		time.Sleep(100 * time.Millisecond) // the last read has come back
		c.MustCancel(c.Others(leader)[0], name(2))
		c.State.SetDown(true)
		time.Sleep(2 * time.Second) // the entitlement ends
		c.State.SetFault(leader, fake.ReadsRefused)
		c.State.SetDown(false)
		for i := range 8 {
			c.Cloud.Fail(wire.TaskID(name(1), i)) // there is room for the other job
			time.Sleep(time.Second / 2)
		}
		c.State.SetFault(leader, fake.Served)
		c.CutFromPeers(leader, false)
		time.Sleep(20 * time.Second)
		if late := c.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("started after the cancellation: %v", late)
		}
	})
}

// A leader renews its lock, but is refused every read, and the other controllers
// can't tell it of cancellations: it answers workers no longer than the tasks may
// stay. Where others are heard and served, it hands over long before that.
func TestLeaderThatCannotRead(t *testing.T) {
	for _, heard := range []bool{false, true} {
		t.Run(fmt.Sprint("peers heard ", heard), func(t *testing.T) {
			Run(t, Options{RunFor: long}, func(c *Cluster) {
				c.MustSubmit("n0", Array(1, 4, "a"))
				c.MustSubmit("n0", Array(2, 2, "a"))
				c.UntilOn("req-000001", 4)
				c.UntilOn("req-000002", 2)
				leader := c.Leader()
				c.CutFromPeers(leader, !heard)
				c.State.SetFault(leader, fake.ReadsRefused)
				time.Sleep(time.Second)
				c.MustCancel(c.Others(leader)[0], "req-000001")
				if heard {
					c.Until("another leads", 20*time.Second, func() bool { return c.Leader() != "" && c.Leader() != leader })
				}
				time.Sleep(c.options.Cancellation + 5*time.Second)
				if on := c.On("req-000002"); heard && len(on) != 2 {
					t.Errorf("%d of 2 other tasks run", len(on))
				}
				c.CutFromPeers(leader, false)
				c.State.SetFault(leader, fake.Served)
				c.UntilOn("req-000002", 2)
			})
		})
	}
}

// Jobs are cancelled at the very moment at which the leader is refused alone, and a
// second later the state service is down for longer than the cancellation time.
func TestCancelledAsTheLeaderIsRefused(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		for i := 1; i <= 6; i++ {
			c.MustSubmit("n0", Array(i, 2, "a"))
		}
		c.UntilOn("req-000006", 2)
		leader := refuseLeader(c)
		var confirmed [6]atomic.Bool
		for i := 1; i <= 5; i++ {
			go func() { confirmed[i].Store(c.Cancel(c.Others(leader)[i%2], name(i)).Stage() == wire.JobCancelled) }()
		}
		time.Sleep(time.Second)
		c.State.SetDown(true)
		for i := 1; i <= 5; i++ {
			if !confirmed[i].Load() {
				t.Errorf("%s is not cancelled before the outage", name(i))
			}
			// The others tell the old leader, which stops the tasks while it may.
			c.Until(name(i)+" is gone", 3*time.Second, func() bool { return len(c.On(name(i))) == 0 })
		}
		time.Sleep(75 * time.Second)
		c.State.SetFault(leader, fake.Served)
		c.State.SetDown(false)
		c.UntilOn("req-000006", 2)
	})
}

// A leader is cut off from the state service and the other controllers while workers
// and users still reach it, and jobs are cancelled through the new one.
func TestCutOffLeaderWithItsWorkers(t *testing.T) {
	for _, times := range []struct{ lease, cancellation time.Duration }{{36 * time.Second, 66 * time.Second}, {14 * time.Second, 44 * time.Second}} {
		t.Run(fmt.Sprint(times.lease), func(t *testing.T) {
			Run(t, Options{RunFor: long, Lease: times.lease, Cancellation: times.cancellation}, func(c *Cluster) {
				c.MustSubmit("n0", Array(1, 4, "a"))
				c.MustSubmit("n0", Service(2, 2, "a"))
				c.UntilOn(name(1), 4)
				c.UntilOn(name(2), 2)
				old := c.Leader()
				c.CutFromState(old, true)
				c.CutFromPeers(old, true)
				other := c.Others(old)[0]
				c.Until("another leads", 30*time.Second, func() bool { return c.Leader() != "" && c.Leader() != old })
				c.MustCancel(other, name(1))
				if a := c.Poll(old, name(1)); a.Stage() != "" {
					t.Errorf("the old leader answers %q", a.Stage())
				}
				c.Until("the tasks are gone", c.options.Cancellation, func() bool { return len(c.On(name(1))) == 0 })
				// The new leader takes the leases for over, and starts the replicas again.
				time.Sleep(times.lease)
				c.CutFromState(old, false)
				c.CutFromPeers(old, false)
				c.UntilStage(old, name(1), wire.JobCancelled, 20*time.Second)
				c.UntilOn(name(2), 2)
			})
		})
	}
}
