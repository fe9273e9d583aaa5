package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// after describes an array that awaits others.
func after(number int, team string, awaits ...int) *wire.Job {
	j := Array(number, 2, team)
	for _, n := range awaits {
		j.DependsOn = append(j.DependsOn, name(n))
	}
	return j
}

func name(number int) string { return fmt.Sprintf("req-%06d", number) }

// A pipeline runs in order, over changes of the leader, across teams; what waits is
// pending and holds nothing of its team's limit.
func TestPipelineRunsInOrder(t *testing.T) {
	teams := []config.Team{{Name: "a"}, {Name: "b", MaxCPUs: 4}}
	Run(t, Options{Teams: teams}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 3, "a"))
		c.MustSubmit("n1", after(2, "b", 1))
		c.MustSubmit("n2", after(3, "a", 2))
		c.MustSubmit("n0", after(4, "b", 1, 3))
		c.MustSubmit("n1", Array(5, 2, "b")) // the whole limit, while 2 and 4 wait
		c.UntilOn(name(5), 2)
		if s := c.Poll("n2", name(4)).Stage(); s != wire.JobPending {
			t.Errorf("a waiting job is %q", s)
		}
		for range 4 {
			c.Restart(c.Leader(), time.Second)
			time.Sleep(15 * time.Second)
		}
		for i := 1; i <= 5; i++ {
			c.UntilStage("n2", name(i), wire.JobDone, 3*time.Minute)
		}
		c.MustSubmit("n2", after(6, "a", 1, 4)) // long after those that it needs
		c.UntilStage("n0", name(6), wire.JobDone, time.Minute)
	})
}

// Cancelling a job cancels everything that needs it, on every controller, through a
// change of the leader, an outage, and submissions that race with it.
func TestPipelineIsCancelledWithItsRoot(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 2, "a"))
		for i := 2; i <= 9; i++ {
			c.MustSubmit(c.Nodes()[i%3], after(i, "b", i-1))
		}
		for i := 10; i <= 20; i++ {
			c.MustSubmit(c.Nodes()[i%3], after(i, "a", 1))
		}
		c.UntilOn(name(1), 2)
		leader := refuseLeader(c)
		for i := 21; i <= 24; i++ {
			go c.MustSubmit(c.Others(leader)[i%2], after(i, "a", 9))
		}
		c.MustCancel(c.Others(leader)[0], name(1))
		c.Crash(leader)
		time.Sleep(100 * time.Millisecond)
		c.State.SetDown(true)
		time.Sleep(8 * time.Second)
		c.State.SetDown(false)
		c.State.SetFault(leader, fake.Served)
		c.Start(leader)
		c.MustSubmit("n1", after(25, "a", 20))
		for _, n := range c.Nodes() {
			for i := 1; i <= 25; i++ {
				c.UntilStage(n, name(i), wire.JobCancelled, c.options.Cancellation)
			}
		}
		c.UntilOn(name(1), 0)
		// The derived ends become durable too.
		c.Until("every record says so", time.Minute, func() bool {
			for i := 1; i <= 25; i++ {
				if !recordIsAborted(c, i) {
					return false
				}
			}
			return true
		})
	})
}

func recordIsAborted(c *Cluster, number int) bool {
	var record struct {
		State string `json:"s"`
	}
	if err := unmarshal(c.State.Value("firwood/job/"+name(number)), &record); err != nil {
		return false
	}
	return record.State == wire.JobCancelled
}

// A cancellation that is answered with done leaves the jobs after it alone.
func TestDoneIsNotCancelled(t *testing.T) {
	Run(t, Options{}, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 1, "a"))
		c.MustSubmit("n1", after(2, "a", 1))
		c.UntilStage("n2", name(1), wire.JobDone, time.Minute)
		if s := c.Cancel("n0", name(1)).Stage(); s != wire.JobDone {
			t.Errorf("cancelled after its end: %q", s)
		}
		c.UntilStage("n2", name(2), wire.JobDone, time.Minute)
	})
}

// Jobs that were never accepted cannot be awaited, nor a job itself, nor a service;
// every controller says so, and one that cannot know says when to come back. What
// another controller accepted a moment ago can.
func TestAwaitedJobsAreChecked(t *testing.T) {
	Run(t, Options{}, func(c *Cluster) {
		c.MustSubmit("n0", Service(1, 1, "a"))
		for _, n := range c.Nodes() {
			for _, job := range []*wire.Job{after(2, "a", 99), after(3, "a", 3), after(4, "a", 1)} {
				if a := c.Submit(n, job); a.Status != 422 {
					t.Errorf("%s awaiting %v gets %d at %s", job.ID, job.DependsOn, a.Status, n)
				}
			}
		}
		for i := 10; i < 30; i += 2 {
			c.MustSubmit(c.Nodes()[i%3], Array(i, 1, "a"))
			if a := c.Submit(c.Nodes()[(i+1)%3], after(i+1, "a", i)); a.Status != 201 {
				t.Errorf("awaiting what was accepted a moment ago: %d", a.Status)
			}
		}
		leader := refuseLeader(c)
		if a := c.Submit(leader, after(5, "a", 98)); a.Status != 503 || a.RetryAfter == 0 {
			t.Errorf("a controller that cannot know answers %d, retry after %d s", a.Status, a.RetryAfter)
		}
	})
}

// The state service takes less from some moment on: a job that awaits hundreds fits
// all the same, nothing is refused for its size, and a change of the leader finds it.
func TestLimitsAreLowered(t *testing.T) {
	next := &config.UpcomingStoreLimits{MaxValueKB: 1, MaxTransactionOps: 10, WriteRPS: 40}
	Run(t, Options{Next: next, RunFor: 3 * time.Second}, func(c *Cluster) {
		const awaited = 300
		last := Array(1000, 1, "a")
		for i := 1; i <= awaited; i++ {
			c.MustSubmit(c.Nodes()[i%3], Array(i, 1, "a"))
			last.DependsOn = append(last.DependsOn, name(i))
			if i == awaited/2 {
				c.State.SetLimits(fake.StateLimits{ValueBytes: 1 << 10, TxnOps: 10})
			}
		}
		c.MustSubmit("n1", last)
		if s := c.Poll("n0", last.ID).Stage(); s != wire.JobPending && s != wire.JobDone {
			t.Errorf("it is %q", s)
		}
		c.Restart(c.Leader(), time.Second)
		c.UntilStage("n2", last.ID, wire.JobDone, 5*time.Minute)
		if n := c.State.TooLarge(); n > 0 {
			t.Errorf("%d transactions were refused for their size", n)
		}
		if keys := c.State.Keys("firwood/needs/"); len(keys) < 2 {
			t.Errorf("a long list lies in %v", keys)
		}
		if !slices.Contains(c.State.Keys("firwood/job/"), "firwood/job/"+last.ID) {
			t.Error("its record is missing")
		}
	})
}

// A hundred jobs depend on each other in chains, fans and diamonds; half of them are
// cancelled with their roots as the leader ends, and users go on submitting. Every
// controller says the same of each, submissions are answered in time, and the others end.
func TestManyDependentJobs(t *testing.T) {
	Run(t, Options{RunFor: 2 * time.Second, WriteRPS: 200}, func(c *Cluster) {
		number := 0
		submit := func(awaits ...int) int {
			number++
			c.MustSubmit(c.Nodes()[number%3], after(number, "a", awaits...))
			return number
		}
		pipelines := func(root int) (jobs []int) {
			jobs = append(jobs, root)
			last := root
			for range 4 { // a chain
				last = submit(last)
				jobs = append(jobs, last)
			}
			for range 40 { // a fan
				jobs = append(jobs, submit(root))
			}
			for range 2 { // diamonds
				left, right := submit(last), submit(last)
				last = submit(left, right)
				jobs = append(jobs, left, right, last)
			}
			return jobs
		}
		leader := c.Leader()
		c.Cloud.SetDown(true) // nothing starts while they come
		first, second := submit(), submit()
		cancelled, kept := pipelines(first), pipelines(second)
		go c.MustCancel(c.Others(leader)[0], name(first))
		time.Sleep(50 * time.Millisecond)
		c.Crash(leader)
		c.Cloud.SetDown(false)
		for i := range 20 {
			asked := time.Now()
			number++
			c.MustSubmit(c.Others(leader)[i%2], after(number, "a"))
			if took := time.Since(asked); took > 2*time.Second {
				t.Errorf("a submission takes %v", took)
			}
		}
		c.Start(leader)
		for _, n := range c.Nodes() {
			for _, i := range cancelled {
				c.UntilStage(n, name(i), wire.JobCancelled, c.options.Cancellation)
			}
		}
		for _, i := range kept {
			c.UntilStage(c.Nodes()[i%3], name(i), wire.JobDone, 10*time.Minute)
		}
	})
}
