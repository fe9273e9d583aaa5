package sim

import (
	"testing"
	"time"
)

// A zone with workers and a controller is cut off for longer than a lease, and jobs
// that run there are cancelled meanwhile.
func TestZoneCutForLongerThanALease(t *testing.T) {
	for _, zone := range []string{"x", "y"} {
		t.Run(zone, func(t *testing.T) {
			Run(t, Options{RunFor: long}, func(c *Cluster) {
				inside, everywhere := Array(1, 4, "a"), Service(2, 4, "a")
				inside.Zone = zone
				c.MustSubmit("n0", inside)
				c.MustSubmit("n1", everywhere)
				c.UntilOn(inside.ID, 4)
				c.UntilOn(everywhere.ID, 4)
				c.CutZone(zone, true)
				outside := "n1"
				if zone == "y" {
					outside = "n0"
				}
				time.Sleep(2 * time.Second)
				c.MustCancel(outside, inside.ID)
				time.Sleep(c.options.Cancellation + time.Second)
				c.CutZone(zone, false)
				c.UntilOn(everywhere.ID, 4)
			})
		})
	}
}

// A zone is cut off while the cloud's interface is down, so that machines whose leases
// are taken for over can't be deleted: tasks start elsewhere only once nobody in the
// zone can have renewed their leases for long enough.
func TestZoneCutWhileTheCloudIsDown(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		job := Array(1, 2, "a")
		c.MustSubmit("n0", job)
		c.UntilOn(job.ID, 2)
		zone := c.Cloud.ZoneOf(c.On(job.ID)[0])
		filler := Array(2, 2, "a") // its machine has room for the job
		filler.Zone = "y"
		if zone == "y" {
			filler.Zone = "x"
		}
		c.MustSubmit("n0", filler)
		c.UntilOn(filler.ID, 2)
		c.Cloud.SetDown(true)
		c.CutZone(zone, true)
		time.Sleep(90 * time.Second)
		c.UntilOn(job.ID, 2)
		c.Cloud.SetDown(false)
		c.CutZone(zone, false)
		time.Sleep(20 * time.Second)
		c.UntilOn(job.ID, 2)
	})
}

// Jobs bound to one zone lose machines, and the leader.
func TestOneZoneLosesMachines(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		job := Array(1, 6, "a")
		job.SingleZone = true
		c.MustSubmit("n0", job)
		c.UntilOn(job.ID, 6)
		for range 3 {
			c.Cloud.KillOne()
			c.Restart(c.Leader(), time.Second)
			c.UntilOn(job.ID, 6)
		}
	})
}

// A controller that loses the others and the state service, but not its workers, does not
// send them to a leader that is dead by then: they find the one that leads.
func TestWorkersLeaveAControllerThatIsCutOff(t *testing.T) {
	Run(t, Options{RunFor: 15 * time.Second, Apart: 300 * time.Millisecond}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 60, "b"))
		c.UntilOn("req-000001", 8)
		leader := c.Leader()
		lost := c.after(leader)
		c.CutFromPeers(lost, true)
		c.CutFromState(lost, true)
		c.Crash(leader)
		c.startAfter(90 * time.Second)
	})
}
