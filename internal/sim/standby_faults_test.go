package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// A follower lags, and loses its way to the state service just as the leader dies: it
// decides nothing and holds nobody up. Once the way is back it follows the new leader, and
// when that dies takes over with a replica which that one has vouched for.
func TestAFollowerLosesItsWayAsTheLeaderDies(t *testing.T) {
	options, seen := limited(true)
	Run(t, options, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 60, "b"))
		c.UntilOn("req-000001", 8)
		time.Sleep(6 * time.Second)
		leader := c.Leader()
		lost := c.after(leader)
		other := c.after(lost)
		c.CutFromPeers(lost, true)
		c.startAfter(30 * time.Second)
		c.CutFromState(lost, true)
		c.Crash(leader)
		c.Until("the other one leads", 12*time.Second, func() bool { return c.Leader() == other })
		c.startAfter(90 * time.Second)
		c.CutFromPeers(lost, false)
		time.Sleep(5 * time.Second)
		if c.Leader() != other {
			t.Errorf("%s leads without the state service", c.Leader())
		}
		c.CutFromState(lost, false)
		time.Sleep(20 * time.Second)
		c.Crash(other)
		c.Until("it leads itself", 12*time.Second, func() bool { return c.Leader() == lost })
		if used, _ := seen.last(); !used {
			t.Error("it has not proved its replica")
		}
		c.UntilStage(lost, "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// The leader and a follower die at once, and the state service is down meanwhile.
func TestTwoDieAtOnceInAnOutage(t *testing.T) {
	options, _ := limited(true)
	Run(t, options, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 40, "b"))
		c.UntilOn("req-000001", 8)
		time.Sleep(8 * time.Second)
		leader := c.Leader()
		c.State.SetDown(true)
		time.Sleep(time.Second)
		c.Crash(leader)
		c.Crash(c.Others(leader)[0])
		time.Sleep(2 * time.Second) // the lock is alive when the service is back
		c.State.SetDown(false)
		last := c.Others(leader)[1]
		c.Until("the last one leads", 15*time.Second, func() bool { return c.Leader() == last })
		time.Sleep(5 * time.Second)
		c.Start(leader)
		c.Start(c.Others(leader)[0])
		c.UntilStage(last, "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// The lead passes five times in two minutes between versions that keep replicas and one
// that keeps none, while a machine hangs now and then.
func TestTheLeadPassesBetweenVersions(t *testing.T) {
	options, _ := limited(true)
	options.WithoutStandby = []string{"n1"}
	Run(t, options, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 60, "b"))
		c.MustSubmit("n0", Array(2, 20, "a"))
		c.UntilOn("req-000001", 8)
		for i := range 5 {
			hanging := c.Cloud.Machines()[i%2]
			c.Cloud.SetFault(hanging, fake.Hanging)
			if leader := c.Leader(); leader != "" {
				c.Restart(leader, time.Second)
			}
			time.Sleep(20 * time.Second)
			c.Cloud.SetFault(hanging, fake.Healthy)
		}
		c.UntilStage("n0", "req-000001", wire.JobDone, 8*time.Minute)
		c.UntilStage("n2", "req-000002", wire.JobDone, 8*time.Minute)
	})
}

// Of two followers the one in step gets the lead, also where the other is as quick.
func TestAFollowerOutOfStepGivesWay(t *testing.T) {
	options, _ := limited(true)
	Run(t, options, func(c *Cluster) {
		for round := range 6 {
			c.Until("somebody leads", 30*time.Second, func() bool { return c.Leader() != "" })
			leader := c.Leader()
			behind, inStep := c.Others(leader)[0], c.Others(leader)[1]
			time.Sleep(10 * time.Second)
			c.Network.Cut("two", fake.Hosts(leader, behind))
			c.MustSubmit(inStep, Array(round+1, 2, "a")) // what the other one lacks
			time.Sleep(15 * time.Second)
			c.Crash(leader)
			c.Until("another leads", 15*time.Second, func() bool { return c.Leader() != "" })
			if c.Leader() != inStep {
				t.Errorf("%s leads, which was out of step", c.Leader())
			}
			c.Network.Heal("two")
			c.Start(leader)
		}
	})
}

// The account is larger than a message. A follower dies while it takes a snapshot, and
// again; then the leader dies while another takes one.
func TestFollowersDieWhileTheyCatchUp(t *testing.T) {
	const machines = 160
	options := fleetOf(machines)
	options.Standby = true
	seen := &takeOvers{}
	options.Log = seen.logger()
	Run(t, options, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, machines*4, "a"))
		c.Until("all run", 3*time.Minute, func() bool { return c.Cloud.CountRunning() == machines*4 })
		time.Sleep(15 * time.Second)
		leader := c.Leader()
		follower := c.Others(leader)[0]
		for _, after := range []time.Duration{1100 * time.Millisecond, 1005 * time.Millisecond} {
			c.Restart(follower, time.Second)
			time.Sleep(after)
		}
		c.Restart(follower, time.Second)
		time.Sleep(1050 * time.Millisecond)
		c.Restart(leader, 10*time.Second)
		c.Until("another leads", 15*time.Second, func() bool { return c.Leader() != "" })
		c.MustSubmit("n0", Array(2, 4, "a"))
		c.UntilOn("req-000002", 4)
		if running := c.Cloud.CountRunning(); running != machines*4+4 {
			t.Errorf("%d tasks run", running)
		}
	})
}

// The leader is back within a moment of its crash, without what it knew: the follower that
// stands by gets the lead all the same.
func TestALeaderThatIsBackAtOnceGivesWay(t *testing.T) {
	options, seen := limited(true)
	Run(t, options, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 60, "b"))
		c.UntilOn("req-000001", 8)
		for range 4 {
			time.Sleep(15 * time.Second)
			_, before := seen.last()
			leader := c.Leader()
			for _, other := range c.Others(leader) {
				c.Network.SetSlow(other, 12*time.Millisecond) // it would be the quicker one
			}
			c.Network.SetSlow(leader, 0)
			c.Crash(leader)
			c.Start(leader)
			c.Until("somebody takes over", 15*time.Second, func() bool { _, count := seen.last(); return count > before })
			if used, _ := seen.last(); !used {
				t.Error("no replica was used")
			}
		}
		c.UntilStage("n0", "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// A follower in step falls silent as the state service goes down, so that it can't be left
// out: starts wait for it until the lock ends, as they would a little later anyway. With
// the service back, they go on.
func TestASilentFollowerInAnOutage(t *testing.T) {
	held := func(isSilent bool) (starts int, after time.Duration) {
		options, _ := limited(true)
		options.RunFor, options.Apart = 3*time.Second, 100*time.Millisecond
		Run(t, options, func(c *Cluster) {
			c.MustSubmit("n0", Array(1, 200, "b"))
			c.UntilOn("req-000001", 8)
			time.Sleep(6 * time.Second)
			if isSilent {
				c.CutFromPeers(c.Others(c.Leader())[0], true)
			}
			c.State.SetDown(true)
			before := c.starts()
			time.Sleep(12 * time.Second)
			starts = c.starts() - before
			c.State.SetDown(false)
			after = c.startAfter(20 * time.Second)
		})
		return starts, after
	}
	silent, afterSilent := held(true)
	all, after := held(false)
	t.Logf("starts in an outage of 12 s: %d with a silent follower, %d without; the first one after it: %v, %v", silent, all, afterSilent, after)
	if afterSilent > after+3*time.Second {
		t.Errorf("starts go on %v after the outage, %v without a silent follower", afterSilent, after)
	}
}
