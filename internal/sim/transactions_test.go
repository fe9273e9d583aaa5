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

// Prefixes of the keys that record rentals and which tasks are done.
const (
	rentalKeys   = "firwood/hire/"
	progressKeys = "firwood/done/"
)

// A transaction is carried out and only its answer is lost, while other controllers
// read what it wrote: what they have told holds for the writer, whose retry ends in
// the same verdict.
func TestLostAnswers(t *testing.T) {
	Run(t, Options{RunFor: long}, func(c *Cluster) {
		leader := c.Leader()
		writer, reader := c.Others(leader)[0], c.Others(leader)[1]
		c.State.SetFault(writer, fake.AnswersLost)
		job := Array(1, 1, "a")
		if a := c.Submit(writer, job); a.Status != 503 {
			t.Errorf("a submission whose write has no answer gets %d", a.Status)
		}
		if s := c.Poll(reader, job.ID).Stage(); s == "" {
			t.Error("what was carried out is not known to others")
		}
		// A writer that has had no answer for a second may ask to come back later; in the
		// end the verdict is that the job is known.
		c.Until("the repeated submission is answered", 5*time.Second, func() bool {
			a := c.Submit(writer, job)
			if a.Status != 200 && (a.Status != 503 || a.RetryAfter == 0) {
				t.Fatalf("the repeated submission gets %d", a.Status)
			}
			return a.Status == 200
		})
		c.UntilOn(job.ID, 1)
		if a := c.Cancel(writer, job.ID); a.Status != 503 {
			t.Errorf("a cancellation whose write has no answer gets %d", a.Status)
		}
		c.UntilStage(reader, job.ID, wire.JobCancelled, 5*time.Second)
		for _, n := range c.Nodes() {
			c.MustCancel(n, job.ID)
		}
		c.Until("its task is gone", 10*time.Second, func() bool { return len(c.On(job.ID)) == 0 })
	})
}

// Transactions without an answer are carried out seconds later, after newer ones of
// the same controller.
func TestLateTransactions(t *testing.T) {
	Run(t, Options{RunFor: 10 * time.Second}, func(c *Cluster) {
		leader := c.Leader()
		for i := 1; i <= 3; i++ {
			c.MustSubmit("n0", Array(i, 3, "a"))
		}
		c.UntilOn("req-000003", 3)
		c.State.SetFault(leader, fake.CarriedOutLate)
		time.Sleep(4 * time.Second)
		c.State.SetFault(leader, fake.Served)
		for i := 1; i <= 3; i++ {
			c.UntilStage("n1", fmt.Sprintf("req-%06d", i), wire.JobDone, 2*time.Minute)
		}
		time.Sleep(20 * time.Second)
		for i := 1; i <= 3; i++ {
			c.UntilStage("n2", fmt.Sprintf("req-%06d", i), wire.JobDone, time.Second)
		}
	})
}

// Every transaction that was ever carried out comes again, while the same leader goes on
// and once another one has written: records of jobs and rentals, and progress, stay as
// they are.
func TestEveryTransactionComesAgain(t *testing.T) {
	Run(t, Options{RunFor: 3 * time.Second, Apart: 4 * time.Second}, func(c *Cluster) {
		watched := []string{"firwood/job/", rentalKeys, progressKeys}
		repeat := func(when string) {
			before := map[string]string{}
			for _, prefix := range watched {
				for _, key := range c.State.Keys(prefix) {
					before[key] = c.State.Value(key)
				}
			}
			for _, transaction := range c.State.Transactions() {
				c.State.Repeat(transaction)
				for _, change := range transaction.Changes {
					key := change.PutKey + change.DeleteKey
					isWatched := slices.ContainsFunc(watched, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
					// A mark may come again after the end of its job; the leader removes it.
					isMark := strings.HasPrefix(key, progressKeys) && before[key] == ""
					if value := c.State.Value(key); isWatched && !isMark && value != before[key] {
						t.Errorf("%s, %s was %q and is %q", when, key, before[key], value)
					}
				}
			}
		}
		for i := 1; i <= 4; i++ {
			c.MustSubmit("n0", Array(i, 6, "a"))
		}
		c.MustSubmit("n1", Service(5, 2, "a"))
		c.UntilOn(name(5), 2)
		for i := range 6 {
			time.Sleep(1500 * time.Millisecond)
			repeat("under the same leader")
			if i == 2 {
				c.MustCancel("n2", name(4))
			}
		}
		c.Restart(c.Leader(), time.Second)
		c.Until("somebody leads again", 20*time.Second, func() bool { return c.Leader() != "" })
		before := len(c.State.Transactions())
		c.Until("the new leader has written", time.Minute, func() bool { return len(c.State.Transactions()) > before+6 })
		repeat("under another leader")
		for i := 1; i <= 3; i++ {
			c.UntilStage("n2", name(i), wire.JobDone, 3*time.Minute)
		}
		c.MustCancel("n0", name(5))
		c.UntilOn(name(5), 0)
		time.Sleep(20 * time.Second)
		repeat("at the end")
	})
}

// New machines are up at once while writes lag, and the leader ends: no task is on a
// machine that the next leader may not know of when it starts the task again.
func TestQuickMachinesSlowWrites(t *testing.T) {
	Run(t, Options{Boot: 200 * time.Millisecond, ReportEvery: time.Second, RunFor: long}, func(c *Cluster) {
		leader := c.Leader()
		// Once a rental is recorded, the names that the cloud gives are not written for
		// seconds; the next leader learns them when it asks for the same rental again.
		go func() {
			for len(c.State.Keys(rentalKeys)) == 0 {
				time.Sleep(time.Millisecond)
			}
			c.State.SetLate(rentalKeys)
		}()
		for i := 1; i <= 4; i++ {
			c.MustSubmit(c.Others(leader)[0], Array(i, 4, "a"))
		}
		time.Sleep(3 * time.Second)
		if len(c.Cloud.Machines()) == 0 {
			t.Error("no machine is up")
		}
		if running := c.Cloud.Running(); len(running) > 0 {
			t.Errorf("on machines that no record names: %v", running)
		}
		for _, machine := range c.Cloud.Machines() {
			c.Cloud.SetFault(machine, fake.Hanging)
		}
		c.Crash(leader)
		c.State.SetLate("")
		time.Sleep(300 * time.Millisecond)
		c.Start(leader)
		time.Sleep(15 * time.Second)
		for _, machine := range c.Cloud.Machines() {
			c.Cloud.SetFault(machine, fake.Healthy)
		}
		for i := 1; i <= 4; i++ {
			c.UntilOn(name(i), 4)
		}
	})
}

// The state service answers slowly while users submit, cancel and ask, and the leader
// ends: every question is answered, and nothing older than before.
func TestSlowStateService(t *testing.T) {
	Run(t, Options{RunFor: 10 * time.Second}, func(c *Cluster) {
		c.Network.SetSlow(fake.StateHost, 250*time.Millisecond)
		for i := 1; i <= 6; i++ {
			c.MustSubmit(c.Nodes()[i%3], Array(i, 2, "a"))
		}
		c.UntilOn(name(6), 2)
		c.MustCancelOrDone("n1", name(6))
		c.Restart(c.Leader(), time.Second)
		answered := 0
		for range 20 {
			for _, n := range c.Nodes() {
				if c.Poll(n, name(6)).Stage() != "" {
					answered++
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		if answered < 40 {
			t.Errorf("%d of 60 questions are answered", answered)
		}
		for i := 1; i <= 5; i++ {
			c.UntilStage("n2", name(i), wire.JobDone, 2*time.Minute)
		}
	})
}
