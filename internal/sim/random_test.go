package sim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// histories is how many generated histories are played; firstSeed is the first's
// seed.
var (
	histories = flag.Int("histories", 10, "generated histories of overlapping troubles to play")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first generated history")
)

// history is a generated course of jobs and overlapping troubles.
type history struct {
	*Cluster
	rng  *rand.Rand
	jobs []*wire.Job
	// cancelled are jobs that users have called off.
	cancelled map[string]bool
	// gone are jobs that are cancelled with others.
	gone map[string]bool
	// ends are when the troubles under way are over.
	lastEnd time.Time
	copies  [][]byte
	pending int // submissions and cancellations under way
	told    chan struct{}
}

func (h *history) pick(names []string) string { return names[h.rng.IntN(len(names))] }

func (h *history) seconds(from, to float64) time.Duration {
	return time.Duration((from + h.rng.Float64()*(to-from)) * float64(time.Second))
}

// during begins a trouble and ends it a while later.
func (h *history) during(d time.Duration, set func(on bool)) {
	set(true)
	if end := time.Now().Add(d); end.After(h.lastEnd) {
		h.lastEnd = end
	}
	time.AfterFunc(d, func() { set(false) })
}

func (h *history) submit() {
	number := len(h.jobs) + 1
	team := []string{"a", "b", "b"}[h.rng.IntN(3)]
	var j *wire.Job
	if h.rng.IntN(4) == 0 {
		// Of the team without a limit: services would hold the other's for good.
		j = Service(number, 1+h.rng.IntN(3), "a")
	} else {
		j = Array(number, 1+h.rng.IntN(4), team)
		switch h.rng.IntN(4) {
		case 0:
			j.Zone = h.pick(h.options.Zones)
		case 1:
			j.SingleZone = true
		}
	}
	if accepted := h.Checker.Accepted(); j.Kind == wire.KindArray && len(accepted) > 0 && h.rng.IntN(2) == 0 {
		for range 1 + h.rng.IntN(2) {
			if id := h.pick(accepted); !h.Checker.IsService(id) {
				j.DependsOn = append(j.DependsOn, id)
			}
		}
		slices.Sort(j.DependsOn)
		j.DependsOn = slices.Compact(j.DependsOn)
	}
	h.jobs = append(h.jobs, j)
	h.async(func(node string) bool { return h.Submit(node, j).Stage() != "" })
}

func (h *history) cancel() {
	if len(h.jobs) == 0 {
		return
	}
	id := h.jobs[h.rng.IntN(len(h.jobs))].ID
	h.cancelled[id] = true
	h.async(func(node string) bool {
		a := h.Cancel(node, id)
		if a.Status == 200 {
			h.lookEverywhere(id)
		}
		return a.Status == 200
	})
}

// async tries something at one controller after the other until it succeeds, while
// the history goes on.
func (h *history) async(try func(node string) bool) {
	h.pending++
	nodes, next := h.Nodes(), h.rng.IntN(3)
	go func() {
		for !try(nodes[next%len(nodes)]) {
			next++
			time.Sleep(time.Second)
		}
		h.told <- struct{}{}
	}()
}

// lookEverywhere asks every controller about a job at once.
func (h *history) lookEverywhere(id string) {
	for _, n := range h.Nodes() {
		go h.Poll(n, id)
	}
}

// trouble begins one of the troubles that days hold.
func (h *history) trouble() {
	node := h.pick(h.Nodes())
	if leader := h.Leader(); leader != "" && h.rng.IntN(3) > 0 {
		node = leader
	}
	machine := ""
	if machines := h.Cloud.Machines(); len(machines) > 0 {
		machine = h.pick(machines)
	}
	fault := func(f fake.StateFault) func(bool) {
		return func(on bool) {
			if on {
				h.State.SetFault(node, f)
			} else {
				h.State.SetFault(node, fake.Served)
			}
		}
	}
	machineFault := func(f fake.MachineFault) func(bool) {
		return func(on bool) {
			if on {
				h.Cloud.SetFault(machine, f)
			} else {
				h.Cloud.SetFault(machine, fake.Healthy)
			}
		}
	}
	switch h.rng.IntN(13) {
	case 0:
		h.during(h.seconds(0.2, 4), func(on bool) { h.alive(node, !on) })
	case 1:
		for _, n := range h.Nodes() {
			h.during(h.seconds(0.2, 50), func(on bool) { h.alive(n, !on) })
		}
	case 2:
		h.during(h.seconds(1, 20), fault(fake.Refused))
	case 3:
		// The leader alone first, then everybody.
		h.during(h.seconds(5, 15), fault(fake.Refused))
		time.Sleep(h.seconds(0.2, 3))
		h.during(h.seconds(2, 90), h.State.SetDown)
	case 4:
		h.during(h.seconds(1, 10), fault(fake.AnswersLost))
	case 5:
		h.during(h.seconds(1, 10), fault(fake.CarriedOutLate))
	case 6:
		h.during(h.seconds(5, 50), func(on bool) { h.CutFromState(node, on); h.CutFromPeers(node, on) })
	case 7:
		h.during(h.seconds(5, 50), func(on bool) { h.CutFromWorkers(node, on) })
	case 8:
		zone := h.pick(h.options.Zones)
		h.during(h.seconds(5, 60), func(on bool) { h.CutZone(zone, on) })
	case 9:
		h.during(h.seconds(2, 50), machineFault(fake.Hanging))
	case 10:
		h.during(h.seconds(2, 50), machineFault(fake.Deaf))
	case 11:
		h.during(h.seconds(2, 50), machineFault(fake.Mute))
	case 12:
		h.during(h.seconds(2, 20), machineFault(fake.Slow))
	}
}

func (h *history) alive(node string, alive bool) {
	if alive {
		h.Start(node)
	} else {
		h.Crash(node)
	}
}

func (h *history) step() {
	switch h.rng.IntN(9) {
	case 0, 1, 2:
		h.submit()
	case 3, 4:
		h.cancel()
	case 5:
		h.trouble()
	case 6:
		h.copies = h.Cloud.Reports()
	case 7:
		h.DeliverCopies(h.copies)
	case 8:
		if len(h.jobs) > 0 {
			h.lookEverywhere(h.jobs[h.rng.IntN(len(h.jobs))].ID)
		}
	}
}

// goneWith tells whether what needs a job is cancelled with it.
func (h *history) goneWith(id string) bool {
	return h.gone[id] || h.cancelled[id] && h.Poll("n1", id).Stage() == wire.JobCancelled
}

// settle waits until the troubles are over, and checks that every accepted job that
// was not cancelled comes to its end or runs, and is known.
func (h *history) settle() {
	if left := time.Until(h.lastEnd); left > 0 {
		time.Sleep(left)
	}
	time.Sleep(time.Second)
	for range h.pending {
		select {
		case <-h.told:
		case <-time.After(75 * time.Second):
			h.t.Fatal("a request gets no answer after the troubles")
		}
	}
	for _, j := range h.jobs {
		if h.cancelled[j.ID] || slices.ContainsFunc(j.DependsOn, h.goneWith) {
			h.gone[j.ID] = h.gone[j.ID] || slices.ContainsFunc(j.DependsOn, h.goneWith)
			if h.gone[j.ID] {
				h.UntilStage(h.pick(h.Nodes()), j.ID, wire.JobCancelled, 10*time.Second)
			}
			continue
		}
		stage := wire.JobDone
		if j.Kind == wire.KindService {
			stage = wire.JobRunning
		}
		h.UntilStage(h.pick(h.Nodes()), j.ID, stage, 6*time.Minute)
	}
	for id := range h.cancelled {
		if h.Poll("n0", id).Stage() == wire.JobDone {
			continue
		}
		h.Until("no task of "+id+" is on a machine", h.options.Cancellation, func() bool { return len(h.On(id)) == 0 })
	}
}

// Over generated histories of jobs, cancellations, questions and overlapping
// troubles no rule is broken, and everything accepted is served.
func TestGeneratedHistories(t *testing.T) {
	lateStarts := 0
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			options := Options{Log: historyLog()}
			if seed%3 == 0 {
				options.Lease, options.Cancellation, options.ReportEvery = 14*time.Second, 44*time.Second, 2*time.Second
			}
			Run(t, options, func(c *Cluster) {
				h := &history{
					Cluster: c, rng: rand.New(rand.NewPCG(seed, 7)), cancelled: map[string]bool{}, gone: map[string]bool{}, told: make(chan struct{}, 1000),
				}
				for range 60 {
					time.Sleep(h.seconds(0, 6))
					h.step()
				}
				h.settle()
				for _, s := range c.Checker.LateStarts() {
					lateStarts++
					t.Log("late start: ", s)
				}
			})
		})
	}
	t.Logf("%d starts after a confirmed cancellation", lateStarts)
}
