package sim

import (
	"flag"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// secondDeaths is how many times a second death is played.
var secondDeaths = flag.Int("second-deaths", 1, "how many times a leader ends before its own doubt has")

// nextLeader ends the leader, has it come back a second later, and waits until another
// one leads and others stand by.
func (c *Cluster) nextLeader() string {
	c.t.Helper()
	before := c.Leader()
	c.Restart(before, time.Second)
	c.Until("another leads", 15*time.Second, func() bool { return c.Leader() != "" && c.Leader() != before })
	return c.Leader()
}

// A leader ends while a machine hangs, and the next one three seconds after it took over,
// in doubt of what is on that machine. The third one's doubt is no more than that, so that
// what is owed a start begins when tasks elsewhere end.
func TestASecondDeath(t *testing.T) {
	var took []time.Duration
	for i := range *secondDeaths {
		options, seen := limited(true)
		options.RunFor += time.Duration(i) * 700 * time.Millisecond
		Run(t, options, func(c *Cluster) {
			c.hangOne()
			c.nextLeader()
			time.Sleep(3 * time.Second)
			c.Crash(c.Leader())
			first := c.startAfter(2 * time.Minute)
			took = append(took, first.Round(100*time.Millisecond))
			if used, _ := seen.last(); !used {
				t.Error("the third leader had no replica that it could use")
			}
			if longest := 10*time.Second + options.RunFor - 15*time.Second; first > longest {
				t.Errorf("the first start took %v", first)
			}
			c.UntilStage(c.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
		})
	}
	slices.Sort(took)
	t.Logf("from the second death to the first start owed: %v", took)
}

// Five leaders end in a row, each before its doubt has: a machine hangs, can't be told
// anything or can't tell, or is back in a new session in between. All use their replicas,
// and are in doubt of no more than what runs.
func TestAChainOfLeadersInDoubt(t *testing.T) {
	for name, fault := range map[string]fake.MachineFault{"hanging": fake.Hanging, "deaf": fake.Deaf, "mute": fake.Mute} {
		t.Run(name, func(t *testing.T) {
			options, seen := limited(true)
			Run(t, options, func(c *Cluster) {
				c.MustSubmit("n0", Array(1, 60, "b"))
				c.UntilOn("req-000001", 8)
				time.Sleep(9 * time.Second)
				faulty := c.On("req-000001")[0]
				c.Cloud.SetFault(faulty, fault)
				for range 5 {
					c.nextLeader()
					time.Sleep(3 * time.Second)
				}
				// Eight run at a time, and of eight the end may not be durable yet.
				c.expectReplicas(seen.all()[1:], 16)
				time.Sleep(20 * time.Second) // its lease ends, and with it its session
				c.Cloud.SetFault(faulty, fake.Healthy)
				c.nextLeader()
				c.UntilStage(c.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
			})
		})
	}
}

// expectReplicas checks that take-overs used their replicas, and how many tasks were in
// doubt at most.
func (c *Cluster) expectReplicas(all []takeOver, atMost int64) {
	c.t.Helper()
	for i, o := range all {
		if !o.isReplicaUsed || o.inDoubt > atMost {
			c.t.Errorf("take-over %d: %+v", i, o)
		}
	}
}

// Leaders end one after another while jobs are cancelled, jobs wait for others, and copies
// of reports from two leaders ago reach the newest one.
func TestAChainMeetsOldReportsAndCancellations(t *testing.T) {
	options, seen := limited(true)
	Run(t, options, func(c *Cluster) {
		c.hangOne()
		var copies [][][]byte
		for i := range 5 {
			first, after, called := Array(10*i+2, 2, "a"), Array(10*i+3, 2, "a"), Array(10*i+4, 30, "a")
			after.DependsOn = []string{first.ID}
			for _, job := range []*wire.Job{first, after, called} {
				c.MustSubmit(c.Leader(), job)
			}
			copies = append(copies, c.Cloud.Reports())
			leader := c.nextLeader()
			go c.MustCancel(c.Others(leader)[0], called.ID)
			time.Sleep(time.Second)
			if i >= 2 {
				c.DeliverCopies(copies[i-2])
			}
			time.Sleep(2 * time.Second)
		}
		c.expectReplicas(seen.all()[1:], 100)
		for i := range 5 {
			c.UntilStage("n1", Array(10*i+3, 2, "a").ID, wire.JobDone, 3*time.Minute)
			called := Array(10*i+4, 30, "a").ID
			c.Until(called+" is gone", time.Minute, func() bool { return len(c.On(called)) == 0 })
		}
		c.UntilStage(c.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
	})
}

// A controller that keeps no replicas leads in the middle of a chain: the one after it
// begins with everything in doubt, and the chain goes on from there.
func TestAChainWithALeaderWithoutReplicas(t *testing.T) {
	options, seen := limited(true)
	options.WithoutStandby = []string{"n2"}
	Run(t, options, func(c *Cluster) {
		c.leadBy("n0")
		c.hangOne()
		c.Crash("n0")
		c.CutFromState("n1", true) // so that n2 leads
		c.Until("n2 leads", time.Minute, func() bool { return c.Leader() == "n2" })
		c.CutFromState("n1", false)
		c.Start("n0")
		time.Sleep(3 * time.Second)
		c.Crash("n2")
		c.Until("another leads", time.Minute, func() bool { return c.Leader() != "" })
		if used, _ := seen.last(); used {
			t.Error("a replica of before n2 led was used")
		}
		time.Sleep(3 * time.Second)
		c.nextLeader()
		if used, _ := seen.last(); !used {
			t.Error("the chain does not go on")
		}
		c.Start("n2")
		c.UntilStage(c.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
	})
}
