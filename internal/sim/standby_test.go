package sim

import (
	"context"
	"flag"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// takeOverPlays is how many take-overs are compared with and without replicas.
var takeOverPlays = flag.Int("take-over-plays", 1, "how many take-overs are played with replicas and without")

// takeOver is what a new leader began with.
type takeOver struct {
	isReplicaUsed bool
	inDoubt       int64 // tasks
}

// takeOvers notes take-overs from the log.
type takeOvers struct {
	mu   sync.Mutex
	seen []takeOver
}

func (h *takeOvers) Enabled(context.Context, slog.Level) bool { return true }
func (h *takeOvers) WithAttrs([]slog.Attr) slog.Handler       { return h }
func (h *takeOvers) WithGroup(string) slog.Handler            { return h }

func (h *takeOvers) Handle(_ context.Context, r slog.Record) error {
	if r.Message != "account rebuilt" {
		return nil
	}
	var seen takeOver
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "replica_used":
			seen.isReplicaUsed = a.Value.Bool()
		case "in_doubt":
			seen.inDoubt = a.Value.Int64()
		}
		return true
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = append(h.seen, seen)
	return nil
}

func (h *takeOvers) logger() *slog.Logger { return slog.New(h) }

// all are the take-overs so far.
func (h *takeOvers) all() []takeOver {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.seen)
}

// last tells whether the last take-over used its replica, and how many there were.
func (h *takeOvers) last() (used bool, count int) {
	all := h.all()
	if len(all) == 0 {
		return false, 0
	}
	return all[len(all)-1].isReplicaUsed, len(all)
}

// limited is a deployment where a team of many tasks has a limit of eight at a time, of
// which four are on a machine that hangs when the leader ends.
func limited(standby bool) (Options, *takeOvers) {
	seen := &takeOvers{}
	return Options{Standby: standby, RunFor: 15 * time.Second, Apart: 300 * time.Millisecond, Log: seen.logger()}, seen
}

// hangOne waits until the team's first tasks run, and has one machine hang.
func (c *Cluster) hangOne() {
	c.MustSubmit("n0", Array(1, 40, "b"))
	c.UntilOn("req-000001", 8)
	time.Sleep(9 * time.Second) // all that there is to account for is accounted for
	c.Cloud.SetFault(c.On("req-000001")[0], fake.Hanging)
}

func (c *Cluster) starts() int {
	_, starts := c.Cloud.Broken()
	return starts
}

// startAfter tells how long after now the next task starts.
func (c *Cluster) startAfter(atMost time.Duration) time.Duration {
	began, before := time.Now(), c.starts()
	c.Until("a task starts", atMost, func() bool { return c.starts() > before })
	return time.Since(began)
}

// The leader ends while a machine hangs, so that its tasks can't be accounted for before
// its lease ends. Without a replica no task of the job starts until then; with one, those
// that the replica has nowhere do, within ten seconds.
func TestAReplicaEndsDoubt(t *testing.T) {
	for i := range *takeOverPlays {
		t.Run(strconv.Itoa(i), func(t *testing.T) { compareTakeOver(t, time.Duration(i)*700*time.Millisecond) })
	}
}

// compareTakeOver plays a take-over with replicas and without, where tasks run longer by
// some time.
func compareTakeOver(t *testing.T, longer time.Duration) {
	after := func(standby bool) (first, done time.Duration) {
		options, seen := limited(standby)
		options.RunFor += longer
		Run(t, options, func(c *Cluster) {
			c.hangOne()
			killed := time.Now()
			c.Crash(c.Leader())
			first = c.startAfter(2 * time.Minute)
			if used, _ := seen.last(); used != standby {
				t.Errorf("replica used: %v", used)
			}
			c.UntilStage(c.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
			done = time.Since(killed).Round(time.Second)
		})
		return first, done
	}
	with, doneWith := after(true)
	if with > 10*time.Second+longer {
		t.Errorf("with a replica the first start took %v", with)
	}
	if *standbyInAll {
		return
	}
	without, doneWithout := after(false)
	t.Logf("from the leader's end to the first start and the job's: %v and %v with a replica, %v and %v without", with, doneWith, without, doneWithout)
	if without < 20*time.Second {
		t.Errorf("without a replica it took %v: the test causes no doubt", without)
	}
}

// A follower that was cut off from the leader for a while lacks starts. It is left out of
// the record of those in step, and takes over by the slower way.
func TestAReplicaThatLacksStartsIsNotUsed(t *testing.T) {
	options, seen := limited(true)
	Run(t, options, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 40, "b"))
		c.UntilOn("req-000001", 8)
		time.Sleep(6 * time.Second)
		leader := c.Leader()
		c.CutFromPeers(leader, true)
		c.startAfter(30 * time.Second) // what is told to nobody
		for _, machine := range c.Cloud.Machines() {
			c.Cloud.SetFault(machine, fake.Hanging) // nobody can tell of it
		}
		time.Sleep(time.Second)
		c.Crash(leader)
		c.Until("another leads", 30*time.Second, func() bool { return c.Leader() != "" })
		if used, count := seen.last(); used || count != 2 {
			t.Errorf("replica used: %v, in take-over %d", used, count)
		}
		time.Sleep(20 * time.Second)
		c.UntilStage(c.Leader(), "req-000001", wire.JobDone, 5*time.Minute)
	})
}

// A start waits for followers in step that don't answer, for half a second and a write,
// and not for ever.
func TestAFollowerThatIsSilentHoldsUpLittle(t *testing.T) {
	options, _ := limited(true)
	Run(t, options, func(c *Cluster) {
		c.MustSubmit("n0", Array(1, 2, "a"))
		c.UntilOn("req-000001", 2)
		time.Sleep(6 * time.Second)
		leader := c.Leader()
		c.CutFromPeers(c.Others(leader)[0], true)
		c.MustSubmit(leader, Array(2, 2, "a"))
		if took := c.startAfter(30 * time.Second); took > 3*time.Second {
			t.Errorf("the start took %v", took)
		}
	})
}

// Somebody who keeps no replica led in between: a record that still names a follower of
// the leader before says nothing of what was started since.
func TestALeaderWithoutReplicasInBetween(t *testing.T) {
	options, seen := limited(true)
	options.WithoutStandby = []string{"n2"}
	Run(t, options, func(c *Cluster) {
		c.leadBy("n0")
		c.MustSubmit("n0", Array(1, 40, "b"))
		c.UntilOn("req-000001", 8)
		time.Sleep(6 * time.Second)
		c.Crash("n0")
		c.CutFromState("n1", true) // so that n2 leads
		c.Until("n2 leads", time.Minute, func() bool { return c.Leader() == "n2" })
		c.CutFromState("n1", false)
		time.Sleep(40 * time.Second)
		for _, machine := range c.Cloud.Machines() {
			c.Cloud.SetFault(machine, fake.Hanging)
		}
		c.Crash("n2")
		c.Until("n1 leads", time.Minute, func() bool { return c.Leader() == "n1" })
		if used, _ := seen.last(); used {
			t.Error("a replica of an earlier leader was used")
		}
		time.Sleep(time.Minute)
		c.UntilStage("n1", "req-000001", wire.JobDone, 5*time.Minute)
	})
}

// A leader that itself does not know where tasks are, since the one before kept no
// replicas, ends before it does. It passes its doubt on: the next one believes its copy,
// which has the whole job in doubt, and starts nothing of it before that is over.
func TestALeaderThatEndsInDoubt(t *testing.T) {
	options, seen := limited(true)
	options.WithoutStandby = []string{"n0"}
	Run(t, options, func(c *Cluster) {
		c.leadBy("n0")
		c.hangOne()
		c.Crash("n0")
		c.Until("another leads", time.Minute, func() bool { return c.Leader() != "" })
		time.Sleep(4 * time.Second)
		c.Crash(c.Leader())
		c.Until("the third leads", time.Minute, func() bool { return c.Leader() != "" })
		all := seen.all()
		last, before := all[len(all)-1], all[len(all)-2]
		// Of the eight that ran some may be durably done by now.
		if !last.isReplicaUsed || before.isReplicaUsed || last.inDoubt > before.inDoubt || last.inDoubt < before.inDoubt-8 {
			t.Errorf("%+v after %+v", last, before)
		}
		time.Sleep(20 * time.Second)
		c.UntilStage(c.Leader(), "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// leadBy ends leaders until a controller of a name leads.
func (c *Cluster) leadBy(name string) {
	for range 20 {
		leader := c.Leader()
		if leader == name {
			return
		}
		if leader != "" {
			c.Restart(leader, 2*time.Second)
		}
		c.Until("somebody leads", 30*time.Second, func() bool { return c.Leader() != "" })
	}
	c.t.Fatalf("%s does not come to lead", name)
}

// The leader ends again and again, also soon after a take-over, while tasks of all kinds
// start, end and are cancelled: the checker watches, and nothing waits for long.
func TestLeadersEndAgainAndAgainWithReplicas(t *testing.T) {
	seen := &takeOvers{}
	Run(t, Options{Standby: true, RunFor: 12 * time.Second, Apart: 200 * time.Millisecond, Log: seen.logger()}, func(c *Cluster) {
		for i := range 12 {
			c.MustSubmit(c.Nodes()[i%3], Array(i+1, 6, []string{"a", "b"}[i%2]))
			time.Sleep([]time.Duration{300 * time.Millisecond, 4 * time.Second, 20 * time.Second}[i%3])
			if leader := c.Leader(); leader != "" {
				c.Restart(leader, time.Second)
			}
		}
		for i := range 12 {
			c.UntilStage("n1", Array(i+1, 1, "a").ID, wire.JobDone, 3*time.Minute)
		}
		if !slices.ContainsFunc(seen.all(), func(o takeOver) bool { return o.isReplicaUsed }) {
			t.Error("no take-over used its replica")
		}
	})
}
