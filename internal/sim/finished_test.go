package sim

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

const (
	// finishedKept is how many finished jobs controllers of these tests remember.
	finishedKept = 100
	finishedJobs = 3 * finishedKept
)

// forgetful is a deployment whose controllers remember few finished jobs.
func forgetful() Options {
	return Options{FinishedJobs: finishedKept, RunFor: time.Second, WriteRPS: 2000}
}

// finishMany has many more jobs finish than controllers remember; one in ten is cancelled.
func (c *Cluster) finishMany() {
	for i := range finishedJobs {
		job := Array(i, 1, "a")
		c.MustSubmit(c.Nodes()[i%3], job)
		if i%10 == 0 {
			c.MustCancelOrDone(c.Nodes()[(i+1)%3], job.ID)
		}
	}
	for i := range finishedJobs {
		id := jobID(i)
		c.Until(id+" is over", time.Minute, func() bool {
			stage := c.Poll("n0", id).Stage()
			return stage == wire.JobDone || stage == wire.JobCancelled
		})
	}
	time.Sleep(5 * time.Second)
}

func jobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// Controllers that have forgotten most finished jobs say the same of them as ever, at once
// and to many: their end, also to a repeated submission and cancellation, and 404 only of
// what nobody has submitted. The checker watches. So do controllers that come back.
func TestForgottenJobsAreKnown(t *testing.T) {
	Run(t, forgetful(), func(c *Cluster) {
		c.finishMany()
		for _, name := range c.Nodes() {
			c.askForManyAtOnce(name)
		}
		c.askForAll()
		leader := c.Leader()
		for _, name := range c.Nodes() {
			c.Restart(name, time.Second)
		}
		c.Until("another leads", time.Minute, func() bool { return c.Leader() != "" })
		t.Logf("%s led, now %s does", leader, c.Leader())
		time.Sleep(5 * time.Second)
		c.askForAll()
	})
}

// askForManyAtOnce asks a controller for many forgotten jobs, and as many unknown ones, in
// one moment.
func (c *Cluster) askForManyAtOnce(name string) {
	const many = 60
	statuses := make(chan string, 2*many)
	ask := func(id string, want int) {
		if a := c.Poll(name, id); a.Status != want {
			statuses <- fmt.Sprintf("%s says %d of %s", name, a.Status, id)
			return
		}
		statuses <- ""
	}
	for i := range many {
		go ask(jobID(i), 200)
		go ask(jobID(500000+i), 404)
	}
	for range 2 * many {
		if what := <-statuses; what != "" {
			c.t.Error(what)
		}
	}
}

// askForAll asks every controller about every job, each job at all controllers at once.
func (c *Cluster) askForAll() {
	for i := range finishedJobs {
		id, wrong := jobID(i), make(chan string, 3)
		for _, name := range c.Nodes() {
			go func() {
				if a := c.Poll(name, id); a.Status != 200 || a.Stage() != wire.JobDone && a.Stage() != wire.JobCancelled {
					wrong <- fmt.Sprintf("%s says %d, %q of %s", name, a.Status, a.Stage(), id)
					return
				}
				wrong <- ""
			}()
		}
		for range c.Nodes() {
			if what := <-wrong; what != "" {
				c.t.Error(what)
			}
		}
		if i%7 == 0 {
			name := c.Nodes()[i%3]
			if a := c.Submit(name, Array(i, 1, "a")); a.Status != 200 || a.Stage() == wire.JobPending {
				c.t.Errorf("submitted again: %d, %s", a.Status, a.Stage())
			}
			if a := c.Cancel(name, id); a.Status != 200 {
				c.t.Errorf("cancelled again: %d", a.Status)
			}
		}
	}
	for i := range 50 {
		id := jobID(500000 + i)
		if a := c.Poll(c.Nodes()[i%3], id); a.Status != 404 {
			c.t.Errorf("a job that nobody submitted: %d", a.Status)
		}
	}
}

// Jobs await ones that were forgotten: they run after those that are done, also when all
// controllers have begun anew meanwhile, are cancelled with those that are, and are refused
// only for what was never accepted.
func TestForgottenJobsAreAwaited(t *testing.T) {
	Run(t, forgetful(), func(c *Cluster) {
		c.finishMany()
		var done, aborted string
		for i := range finishedJobs / 3 {
			switch id := jobID(i); c.Poll("n1", id).Stage() {
			case wire.JobDone:
				done = id
			case wire.JobCancelled:
				aborted = id
			}
		}
		for i := range 2 * finishedKept { // so that these are forgotten again
			c.Poll("n1", jobID(finishedJobs-1-i))
		}
		after, with, without := Array(600001, 1, "a"), Array(600002, 1, "a"), Array(600003, 1, "a")
		after.DependsOn, with.DependsOn, without.DependsOn = []string{done}, []string{aborted, done}, []string{"req-700000"}
		c.MustSubmit("n1", after)
		c.MustSubmit("n2", with)
		for _, name := range c.Nodes() {
			c.UntilStage(name, after.ID, wire.JobDone, 20*time.Second)
			c.UntilStage(name, with.ID, wire.JobCancelled, 20*time.Second)
		}
		for i := range 2 * finishedKept {
			c.Poll("n1", jobID(finishedJobs-1-i))
		}
		later := Array(600004, 1, "a")
		later.DependsOn = after.DependsOn
		c.MustSubmit("n2", later)
		if a := c.Submit("n0", without); a.Status != 422 {
			t.Errorf("it awaits a job that was never accepted: %d", a.Status)
		}
		for _, name := range c.Nodes() {
			c.Restart(name, time.Second)
		}
		for _, name := range c.Nodes() {
			c.UntilStage(name, later.ID, wire.JobDone, time.Minute)
		}
	})
}

// While the state service is down nobody is told that a forgotten job is unknown, and
// nobody is held up.
func TestForgottenJobsInAnOutage(t *testing.T) {
	Run(t, forgetful(), func(c *Cluster) {
		c.finishMany()
		c.State.SetDown(true)
		began := time.Now()
		for i := range 60 {
			name := c.Nodes()[i%3]
			if a := c.Poll(name, jobID(i)); a.Status == 404 {
				t.Errorf("%s does not know %s", name, jobID(i))
			}
			if a := c.Submit(name, Array(i, 1, "a")); a.Status != 503 && a.Status != 200 {
				t.Errorf("submitted again: %d", a.Status)
			}
		}
		if took := time.Since(began); took > 60*2*2*time.Second {
			t.Errorf("answers took %v", took)
		}
		c.State.SetDown(false)
		time.Sleep(5 * time.Second)
		c.UntilStage("n0", jobID(1), wire.JobDone, 10*time.Second)
	})
}

const (
	archiveAfter = 20 * time.Second
	archivedKeys = "firwood.finished/"
	jobKeys      = "firwood/job/"
)

// untilMoved waits until so many records lie in the archive, and the others where they were.
func (c *Cluster) untilMoved(archived int) {
	c.t.Helper()
	c.Until(fmt.Sprintf("%d records are archived", archived), 10*time.Minute, func() bool {
		return len(c.State.Keys(archivedKeys)) == archived && len(c.State.Keys(jobKeys)) == finishedJobs-archived
	})
}

// Finished jobs are moved to the archive, and back when that is turned off, while leaders
// end, the state service is down, loses answers and carries writes out late, and old writes
// come again. All the while every controller knows every job, also one that has just begun.
func TestFinishedJobsAreArchived(t *testing.T) {
	options := forgetful()
	options.ArchiveAfter = archiveAfter
	Run(t, options, func(c *Cluster) {
		c.finishMany()
		submissions := c.State.Transactions()
		c.disturbMoves()
		c.untilMoved(finishedJobs)
		for _, old := range submissions {
			c.State.Repeat(old)
		}
		if left := c.State.Keys(jobKeys); len(left) > 0 {
			t.Errorf("old writes brought back %d records", len(left))
		}
		c.askForAll()
		c.beginAnew()
		c.askForAll()
		c.awaitArchived()

		c.options.WithoutArchive = c.Nodes()
		c.beginAnew()
		c.disturbMoves()
		c.Until("all records are back", 10*time.Minute, func() bool {
			return len(c.State.Keys(archivedKeys)) == 0 && len(c.State.Keys("firwood/archive")) == 0
		})
		for _, old := range c.State.Transactions() {
			if slices.ContainsFunc(old.Changes, func(change wire.Change) bool { return strings.HasPrefix(change.PutKey, archivedKeys) }) {
				c.State.Repeat(old)
			}
		}
		if left := c.State.Keys(archivedKeys); len(left) > 0 {
			t.Errorf("old moves archived %d records again", len(left))
		}
		c.askForAll()
	})
}

// disturbMoves has one trouble after another while records are moved.
func (c *Cluster) disturbMoves() {
	time.Sleep(archiveAfter)
	for _, fault := range []fake.StateFault{fake.AnswersLost, fake.CarriedOutLate, fake.Refused} {
		if leader := c.Leader(); leader != "" {
			c.State.SetFault(leader, fault)
			time.Sleep(2 * time.Second)
			c.askForManyAtOnce(c.Others(leader)[0])
			c.State.SetFault(leader, fake.Served)
			c.Restart(leader, 300*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
	}
	c.State.SetDown(true)
	time.Sleep(3 * time.Second)
	c.State.SetDown(false)
	time.Sleep(3 * time.Second)
}

// beginAnew has every controller begin anew.
func (c *Cluster) beginAnew() {
	for _, name := range c.Nodes() {
		c.Restart(name, time.Second)
	}
	c.Until("somebody leads", time.Minute, func() bool { return c.Leader() != "" })
	time.Sleep(5 * time.Second)
}

// awaitArchived has a job await one that lies in the archive.
func (c *Cluster) awaitArchived() {
	job := Array(600001, 1, "a")
	for i := range finishedJobs {
		if c.Poll("n1", jobID(i)).Stage() == wire.JobDone {
			job.DependsOn = []string{jobID(i)}
			break
		}
	}
	c.MustSubmit("n2", job)
	for _, name := range c.Nodes() {
		c.UntilStage(name, job.ID, wire.JobDone, 30*time.Second)
	}
}
