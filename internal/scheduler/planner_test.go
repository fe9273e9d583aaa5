package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

func params() Params {
	return Params{
		Alpha: 50, Beta: 1, IdleWait: 60 * clock.Second, Window: 120 * clock.Second, Recency: 60 * clock.Second,
		SpareMin: 1, SpareMax: 4, MinSamples: 3, MaxCount: 1000, CV: 0.45, Lag: 0.65, KS: 3.75,
		SmoothArrival: 0.2, SmoothService: 0.1, SmoothNeed: 0.1, Horizon: 600 * clock.Second,
		AgeAfter: 150 * clock.Second, GangWeight: 3,
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9*max(1, math.Abs(b)) }

// W and E worked by hand from (23), (25), (34), (35) and (59): arrivals 0.1 a
// second, nearest finish in 10 s, so each is next with chance one half and the
// next event comes after 5 s; one machine is ready, one boots for 6 s more, a
// new one takes 20 s; the next job asks for 1, 2 or 3 machines with weights
// 0.5, 0.3 and 0.2.
func TestCostByHand(t *testing.T) {
	in := SpareInput{Unit: 1, Lambda: 0.1, LambdaC: 0.1, Needs: map[int]float64{1: 0.5, 2: 0.3, 3: 0.2}, Ready: 1, Booting: []float64{6}, BootS: 20}
	left6 := 6 - (1-math.Exp(-1.2))/0.2
	left20 := 20 - (1-math.Exp(-4))/0.2
	for _, c := range []struct {
		x    int
		w, e float64
	}{
		{0, 0.5 * 20, 0},
		{1, 0.5 * (0.5*0 + 0.5*20), 5},
		{2, 0.5 * (0.3*left6 + 0.2*20), 10},
		{3, 0.5 * (0.3*left6 + 0.2*left20), 15},
	} {
		got := in.Cost(c.x, 50, 1)
		if !near(got.W, c.w) || !near(got.E, c.e) || !near(got.J, 50*c.w+c.e) {
			t.Errorf("x=%d: W=%v E=%v J=%v, want W=%v E=%v", c.x, got.W, got.E, got.J, c.w, c.e)
		}
	}
	in.Unit = 0.25 // four typical jobs to a machine: a spare costs a quarter
	if got := in.Cost(2, 50, 1); !near(got.E, 2.5) || !near(got.W, 0.5*(0.3*left6+0.2*20)) {
		t.Errorf("a quarter machine: %+v", got)
	}
	in.Unit = 1
	in.Horizon = 4
	if got, want := in.Cost(1, 50, 1).E, (1-math.Exp(-0.8))/0.2; !near(got, want) {
		t.Errorf("capped horizon: %v, want %v", got, want)
	}
}

func TestChoiceAgainstBruteForce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for n := 0; n < 2000; n++ {
		in := SpareInput{Unit: 0.01 + rng.Float64(), Lambda: rng.Float64(), LambdaC: rng.Float64(), Ready: rng.IntN(4), BootS: 30 * rng.Float64(), Needs: map[int]float64{}}
		for i := rng.IntN(4); i > 0; i-- {
			in.Booting = append(in.Booting, 20*rng.Float64())
		}
		for r := 1; r <= 5; r++ {
			in.Needs[r] = rng.Float64()
		}
		alpha := 100 * rng.Float64()
		got := in.Choose(1, 6, alpha, 1)
		for x := 1; x <= 6; x++ {
			if c := in.Cost(x, alpha, 1); c.J < got.J {
				t.Fatalf("x=%d has J=%v, the choice %d has %v", x, c.J, got.X, got.J)
			}
		}
	}
}

func TestScreen(t *testing.T) {
	p := params()
	rng := rand.New(rand.NewPCG(4, 4))
	accepted := 0
	for n := 0; n < 200; n++ {
		x := make([]float64, 40)
		for i := range x {
			x[i] = rng.ExpFloat64() * 7
		}
		if screen(x, &p).OK {
			accepted++
		}
	}
	if accepted < 180 {
		t.Errorf("only %d of 200 exponential windows pass", accepted)
	}
	same := make([]float64, 40)
	for i := range same {
		same[i] = 7
	}
	if v := screen(same, &p); v.OK || v.Reason != "variation" {
		t.Errorf("equal gaps: %+v", v)
	}
	rising := make([]float64, 40)
	for i := range rising {
		rising[i] = math.Exp(float64(i) / 10)
	}
	if v := screen(rising, &p); v.OK {
		t.Errorf("a trend passes: %+v", v)
	}
	if v := screen(same[:2], &p); v.OK || v.Reason != "too few samples" {
		t.Errorf("two samples: %+v", v)
	}
	// More samples than the bound in a window: the newest count.
	var many Series
	for i := 0; i < 3*p.MaxCount; i++ {
		many.Add(clock.Micros(i), rng.ExpFloat64()*7)
	}
	if v := many.Screen(&p, clock.Second); !v.OK || v.N != p.MaxCount {
		t.Errorf("a busy window: %+v", v)
	}
	var s Series
	for i := 0; i < 10; i++ {
		s.Add(clock.Micros(i)*clock.Second, 1)
	}
	if v := s.Screen(&p, 125*clock.Second); v.N != 5 {
		t.Errorf("%d samples in the window, want 5", v.N)
	}
}

// The conditional mean (50) against numbers drawn from the distribution.
func TestRemainingAgainstSampling(t *testing.T) {
	r := RunTimes{}
	rng := rand.New(rand.NewPCG(5, 5))
	for i := 0; i < 4000; i++ {
		r.Observe(40, 40*math.Exp(0.2+0.4*rng.NormFloat64()), 0.01)
	}
	for _, age := range []float64{0, 20, 60} {
		sum, n := 0.0, 0
		for i := 0; i < 200000; i++ {
			d := 40 * math.Exp(r.m+r.sigma()*rng.NormFloat64())
			if d > age {
				sum += d - age
				n++
			}
		}
		if got, want := r.Remaining(40, age), sum/float64(n); math.Abs(got-want) > 0.03*want {
			t.Errorf("age %v: %v, sampled %v", age, got, want)
		}
	}
	if v := r.Remaining(40, 1e6); v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		t.Errorf("far tail: %v", v)
	}
}

type scene struct {
	l    *allocation.Tracker
	pl   *Planner
	now  clock.Micros
	seqs map[string]uint64
}

func newScene(teams map[string]allocation.TeamQuota) *scene {
	types := []wire.MachineType{
		{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, Price: 1, SpotPrice: 0.4, BootS: 15, FetchGBPerS: 1, Zones: []string{"x", "y", "z"}},
		{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.3, SpotPrice: 0.15, BootS: 15, FetchGBPerS: 1, Zones: []string{"x", "y"}},
	}
	s := &scene{l: allocation.New(allocation.Config{FencingToken: 1, LeaseTTL: 30 * clock.Second, Quotas: teams}), now: clock.Second, seqs: map[string]uint64{}}
	s.pl = New(params(), types, teams, []string{"x", "y", "z"})
	s.pl.Fresh = 3600 * clock.Second
	s.l.FinishRecovery()
	return s
}

func (s *scene) machine(name, typ, zone string, spot bool) *allocation.Machine {
	m := s.l.AddMachine(name, typ, zone, spot, s.pl.Size(typ), s.now)
	m.RecordedInStore = true
	s.seqs[name]++
	s.l.RecordHeartbeat(m, &wire.Report{Machine: name, Session: 1, Seq: s.seqs[name], Token: 1, Addr: "127.0.0.1:1"}, s.now)
	return m
}

func (s *scene) job(w wire.Job) *allocation.Job {
	if w.Priority == "" {
		w.Priority = wire.PriorityNormal
	}
	if w.Kind == "" {
		w.Kind = wire.KindArray
	}
	return s.l.AddJob(&w, s.now, s.now, true, nil)
}

// Over generated scenes no plan breaks a job's wishes, a machine's room or a
// team's limit, and gangs are placed whole.
func TestPlansKeepConstraints(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 6))
	placed, gangs := 0, 0
	for n := 0; n < 400; n++ {
		s := newScene(map[string]allocation.TeamQuota{"a": {GuaranteedMilliCPU: 8000, MaxMilliCPU: 40000}, "b": {MaxMilliGPU: 3000}})
		for i := rng.IntN(8); i >= 0; i-- {
			s.machine(fmt.Sprint("i-", i), []string{"big", "small"}[rng.IntN(2)], []string{"x", "y"}[rng.IntN(2)], rng.IntN(2) == 0)
		}
		for i := rng.IntN(10); i >= 0; i-- {
			w := wire.Job{ID: fmt.Sprintf("req-%06d", i), Team: []string{"a", "b"}[rng.IntN(2)], Tasks: 1 + rng.IntN(9),
				CPUs: 0.5 + float64(rng.IntN(6)), GPUs: float64(rng.IntN(2)), MemoryGB: float64(1 + rng.IntN(12)), EstimateS: float64(1 + rng.IntN(90)),
				Kind:     []string{wire.KindArray, wire.KindGang, wire.KindService}[rng.IntN(3)],
				Priority: []string{wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}[rng.IntN(4)],
				Spot:     rng.IntN(2) == 0, OneZone: rng.IntN(4) == 0, Spread: rng.IntN(4) == 0}
			if w.OneZone {
				w.Spread = false
			}
			if rng.IntN(4) == 0 {
				w.Zone = "x"
			}
			if rng.IntN(4) == 0 {
				w.Types = []string{"big"}
			}
			s.job(w)
		}
		for k := 0; k < 3; k++ {
			d := s.pl.Plan(s.l, s.now, s.now, nil)
			for _, r := range d.Rent {
				if r.Count < 1 || r.Count > wire.MaxHire {
					t.Fatalf("scene %d: rents %d", n, r.Count)
				}
			}
			s.now += clock.Second
		}
		use := map[string]allocation.Resources{}
		for _, j := range s.l.Jobs {
			zones := map[string]int{}
			for i := range j.Tasks {
				p := j.Tasks[i].Placement
				if p == nil {
					continue
				}
				placed++
				zones[p.Machine.Zone]++
				use[j.Spec.Team] = use[j.Spec.Team].Add(j.Request)
				if p.Machine.Spot && !j.Spec.Spot || j.Spec.Zone != "" && p.Machine.Zone != j.Spec.Zone || j.Spec.Types != nil && p.Machine.Type != "big" {
					t.Fatalf("scene %d: %s in a wrong place", n, j.Spec.ID)
				}
			}
			if j.Spec.OneZone && len(zones) > 1 {
				t.Fatalf("scene %d: %s in several zones", n, j.Spec.ID)
			}
			for _, c := range zones {
				if j.Spec.Spread && c > j.MaxTasksPerZone() {
					t.Fatalf("scene %d: %s is not spread", n, j.Spec.ID)
				}
			}
			if j.IsGang() && j.ActiveCount() > 0 {
				gangs++
				if j.WaitingCount() > 0 {
					t.Fatalf("scene %d: gang %s is placed in part", n, j.Spec.ID)
				}
			}
		}
		for _, m := range s.l.Machines {
			if !m.Used().IsWithin(m.Capacity) {
				t.Fatalf("scene %d: %s is over-full", n, m.Name)
			}
		}
		if use["a"].MilliCPU > 40000 || use["b"].MilliGPU > 3000 {
			t.Fatalf("scene %d: over the limit: %v", n, use)
		}
	}
	if placed < 1000 || gangs < 20 {
		t.Fatalf("%d tasks and %d gangs were placed", placed, gangs)
	}
}

// Smallest need first, inside rank and guarantee.
func TestOrder(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {GuaranteedMilliCPU: 4000}, "b": {}})
	s.machine("i-0", "big", "x", false)
	s.job(wire.Job{ID: "req-000001", Team: "b", Tasks: 1, CPUs: 4, EstimateS: 50})
	s.job(wire.Job{ID: "req-000002", Team: "b", Tasks: 1, CPUs: 4, EstimateS: 20})
	s.job(wire.Job{ID: "req-000003", Team: "b", Tasks: 8, CPUs: 4, EstimateS: 1, Kind: wire.KindGang})
	s.job(wire.Job{ID: "req-000004", Team: "a", Tasks: 1, CPUs: 4, EstimateS: 90})
	s.job(wire.Job{ID: "req-000005", Team: "b", Tasks: 1, CPUs: 4, EstimateS: 90, Priority: wire.PriorityProduction, Kind: wire.KindService})
	var got []string
	for _, e := range s.pl.queue(s.l, s.pl.owed(s.l), s.now, s.now) {
		got = append(got, e.job.Spec.ID)
	}
	want := []string{"req-000005", "req-000004", "req-000002", "req-000001", "req-000003"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%v, want %v", got, want)
	}
}

// A long job whose deadline is near goes before shorter ones; one that is late
// anyway does not.
func TestTightDeadline(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 1, CPUs: 4, EstimateS: 20})
	s.job(wire.Job{ID: "req-000002", Team: "a", Tasks: 1, CPUs: 4, EstimateS: 100, DeadlineS: 230})
	s.job(wire.Job{ID: "req-000003", Team: "a", Tasks: 1, CPUs: 4, EstimateS: 100, DeadlineS: 150})
	first := func(wall clock.Micros) string {
		return s.pl.queue(s.l, nil, s.now, wall)[0].job.Spec.ID
	}
	for _, c := range []struct {
		after clock.Micros
		want  string
	}{{0, "req-000001"}, {40 * clock.Second, "req-000003"}, {80 * clock.Second, "req-000001"}, {120 * clock.Second, "req-000002"}, {200 * clock.Second, "req-000001"}} {
		if got := first(s.now + c.after); got != c.want {
			t.Errorf("after %v s: %s first, want %s", c.after.Seconds(), got, c.want)
		}
	}
}

// A replica that finds no room takes that of batch work, of what started last.
func TestPreemption(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	m := s.machine("i-0", "small", "x", false)
	old := s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 2, CPUs: 2, EstimateS: 50})
	s.pl.Plan(s.l, s.now, s.now, nil)
	s.l.HeartbeatCommands(m, s.now) // sent: from here on only a stop ends them
	s.now += 10 * clock.Second
	serve := s.job(wire.Job{ID: "req-000002", Team: "a", Tasks: 1, CPUs: 2, Priority: wire.PriorityProduction, Kind: wire.KindService})
	s.pl.Plan(s.l, s.now, s.now, nil)
	stopping := 0
	for i := range old.Tasks {
		if p := old.Tasks[i].Placement; p != nil && p.IsStopping() {
			stopping++
		}
	}
	if stopping != 1 || serve.ActiveCount() != 0 {
		t.Fatalf("%d stopped, %d replicas placed", stopping, serve.ActiveCount())
	}
	s.pl.Plan(s.l, s.now, s.now, nil)
	for i := range old.Tasks {
		if p := old.Tasks[i].Placement; p != nil && p.IsStopping() {
			stopping--
		}
	}
	if stopping != 0 {
		t.Fatal("the same replica stopped a second task")
	}
}

// A gang of higher rank gets room whole, or nothing is stopped for it.
func TestPreemptionForGang(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	for _, n := range []string{"i-0", "i-1"} {
		s.machine(n, "small", "x", false)
	}
	batch := s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 4, CPUs: 2, EstimateS: 50})
	s.pl.Plan(s.l, s.now, s.now, nil)
	for _, m := range s.l.Machines {
		s.l.HeartbeatCommands(m, s.now)
	}
	stopping := func() (n int) {
		for i := range batch.Tasks {
			if p := batch.Tasks[i].Placement; p != nil && p.IsStopping() {
				n++
			}
		}
		return n
	}
	big := s.job(wire.Job{ID: "req-000002", Team: "a", Tasks: 3, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindGang})
	s.pl.Plan(s.l, s.now, s.now, nil)
	if stopping() != 0 {
		t.Fatal("work is stopped for a gang that cannot fit")
	}
	s.l.Cancel(big, s.now)
	s.job(wire.Job{ID: "req-000003", Team: "a", Tasks: 3, CPUs: 2, Priority: wire.PriorityProduction, Kind: wire.KindGang})
	s.pl.Plan(s.l, s.now, s.now, nil)
	if stopping() != 3 {
		t.Fatalf("%d tasks are stopped for a gang of three", stopping())
	}
	s.pl.Plan(s.l, s.now, s.now, nil)
	if stopping() != 3 {
		t.Fatalf("%d after another plan", stopping())
	}
}

// All machines for a gang that wants one zone are rented in one zone, and in
// the next one when that has refused.
func TestRentsForOneZone(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 6, CPUs: 16, Types: []string{"big"}, Kind: wire.KindGang, OneZone: true})
	zone := func() string {
		d := s.pl.Plan(s.l, s.now, s.now, nil)
		if len(d.Rent) != 1 || d.Rent[0].Count != 6 {
			t.Fatalf("rents %v", d.Rent)
		}
		return d.Rent[0].Pool.Zone
	}
	first := zone()
	s.pl.Refused(Pool{"big", first, false}, s.now)
	if second := zone(); second == first {
		t.Fatal("the zone that refused is asked again")
	}
}

// Where a replica is to go boots while its silent machine is not proven gone;
// nothing of it is started before.
func TestRentAheadForSilentMachines(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	s.pl.Fresh = 5 * clock.Second
	m := s.machine("i-0", "small", "x", false)
	j := s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 1, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindService})
	s.pl.Plan(s.l, s.now, s.now, nil)
	if j.ActiveCount() != 1 {
		t.Fatal("not placed")
	}
	s.l.HeartbeatCommands(m, s.now)
	s.now += 4 * clock.Second
	if d := s.pl.Plan(s.l, s.now, s.now, nil); len(d.Rent) != 0 {
		t.Fatalf("rented too early: %v", d.Rent)
	}
	s.now += 2 * clock.Second
	d := s.pl.Plan(s.l, s.now, s.now, nil)
	if len(d.Rent) != 1 || d.Rent[0].Count != 1 || d.Rent[0].Pool.Spot {
		t.Fatalf("rents %v", d.Rent)
	}
	if d := s.pl.Plan(s.l, s.now, s.now, []Hire{{Pool: d.Rent[0].Pool, Count: 1}}); len(d.Rent) != 0 || j.ActiveCount() != 1 {
		t.Fatalf("rented twice: %v", d.Rent)
	}
}

// An empty pool is left alone for a while, and the next zone is asked.
func TestRefusedPoolIsLeftAlone(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 3, CPUs: 16, EstimateS: 50, Types: []string{"big"}})
	first := s.pl.Plan(s.l, s.now, s.now, nil).Rent
	if len(first) == 0 {
		t.Fatal("nothing is rented")
	}
	for _, r := range first {
		s.pl.Refused(r.Pool, s.now)
	}
	for _, r := range s.pl.Plan(s.l, s.now, s.now, nil).Rent {
		for _, f := range first {
			if f.Pool == r.Pool {
				t.Fatalf("%v is asked again at once", r.Pool)
			}
		}
	}
	if len(s.pl.Plan(s.l, s.now+60*clock.Second, s.now+60*clock.Second, nil).Rent) == 0 {
		t.Fatal("never asked again")
	}
}

// A machine that is held because tasks fail on many gets nothing, and nothing is rented
// in its place.
func TestHeldMachineGetsNoWork(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	m := s.machine("i-0", "small", "x", false)
	m.BackoffUntil = s.now + 2*clock.Second
	j := s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 2, CPUs: 2, EstimateS: 50})
	if d := s.pl.Plan(s.l, s.now, s.now, nil); j.ActiveCount() != 0 || len(d.Rent) != 0 {
		t.Fatalf("%d tasks are placed, %v is rented though there will be room in a moment", j.ActiveCount(), d.Rent)
	}
	s.now = m.BackoffUntil
	m.LastHeartbeatAt = s.now
	s.pl.Plan(s.l, s.now, s.now, nil)
	if j.ActiveCount() != 2 {
		t.Fatalf("%d tasks are placed when the time is over", j.ActiveCount())
	}
}

// A machine that is heard is not by that one that can be told: while direct
// messages to it get no answer, and once it is not heard, it gets no work; the
// first sign that it can be told ends that.
func TestDeafMachineGetsNoWork(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	deaf, good := s.machine("i-0", "small", "x", false), s.machine("i-1", "small", "x", false)
	one := s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 2, CPUs: 4, EstimateS: 50})
	s.pl.Plan(s.l, s.now, s.now, nil)
	if one.ActiveCount() != 2 {
		t.Fatalf("%d tasks are placed", one.ActiveCount())
	}
	_, starts := s.l.BuildCommandRequest(deaf, s.now)
	s.l.FinishCommandRequest(deaf, starts, allocation.CommandOutcomeUnknown, s.now)
	report := func(m *allocation.Machine, session uint64) {
		s.seqs[m.Name]++
		s.l.RecordHeartbeat(m, &wire.Report{Machine: m.Name, Session: session, Seq: s.seqs[m.Name], Token: 1, Addr: "127.0.0.1:1"}, s.now)
	}
	// Its lease runs out unseen by us; it reports anew, in its next session.
	s.l.Cancel(one, s.now)
	s.now += 2 * clock.Second
	report(deaf, 2)
	two := s.job(wire.Job{ID: "req-000002", Team: "a", Tasks: 4, CPUs: 2, EstimateS: 50})
	s.pl.Plan(s.l, s.now, s.now, nil)
	two.ForEachPlacement(func(p *allocation.Placement) {
		if p.Machine == deaf {
			t.Fatal("a machine that cannot be told got work")
		}
	})
	msg, starts := s.l.BuildCommandRequest(deaf, s.now)
	if msg == nil {
		t.Fatal("nobody asks whether it can be told")
	}
	s.l.FinishCommandRequest(deaf, starts, allocation.CommandExecuted, s.now)
	good.Draining = true
	s.pl.Plan(s.l, s.now, s.now, nil)
	n := 0
	two.ForEachPlacement(func(p *allocation.Placement) {
		if p.Machine == deaf {
			n++
		}
	})
	if n == 0 {
		t.Fatal("it can be told again, and gets no work")
	}
	silent := s.machine("i-2", "small", "x", false)
	s.pl.Fresh = 5 * clock.Second
	s.now += 6 * clock.Second
	s.job(wire.Job{ID: "req-000003", Team: "a", Tasks: 1, CPUs: 2, EstimateS: 50})
	s.pl.Plan(s.l, s.now, s.now, nil)
	if !silent.IsIdle() {
		t.Fatal("a machine that is not heard got work")
	}
}

// When a whole zone falls silent, what is rented for its replicas comes up in
// another: in the silent one it would be heard no more than the rest.
func TestNothingIsRentedInADarkZone(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	s.pl.Fresh = 5 * clock.Second
	ms := map[string][]*allocation.Machine{}
	for i := 0; i < 12; i++ {
		z := []string{"x", "y"}[i%2]
		ms[z] = append(ms[z], s.machine(fmt.Sprintf("i-%02d", i), "small", z, false))
	}
	s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 12, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindService, Spread: true, Types: []string{"small"}})
	s.pl.Plan(s.l, s.now, s.now, nil)
	reports := func(zone string) {
		for _, m := range ms[zone] {
			s.seqs[m.Name]++
			r := &wire.Report{Machine: m.Name, Session: 1, Seq: s.seqs[m.Name], Token: 1, Addr: "127.0.0.1:1"}
			m.ForEachPlacement(func(p *allocation.Placement) {
				r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskID(p.Job.Spec.ID, p.TaskIndex), Attempt: p.Attempt, State: wire.TaskRunning})
			})
			s.l.RecordHeartbeat(m, r, s.now)
		}
	}
	reports("x")
	reports("y")
	s.now += 6 * clock.Second
	reports("y")
	d := s.pl.Plan(s.l, s.now, s.now, nil)
	if len(d.Rent) == 0 {
		t.Fatal("nothing is rented for the replicas of the silent zone")
	}
	for _, r := range d.Rent {
		if r.Pool.Zone == "x" {
			t.Fatalf("rents %v where nobody is heard", r)
		}
	}
}

// A cut of a zone without a controller once took a third of the replicas: nobody
// inside can keep their leases alive. Replicas go, and machines are rented for
// them, where somebody can, as far as the job's wishes allow.
func TestReplicasWhereLeasesAreKept(t *testing.T) {
	s := newScene(nil)
	s.pl.SetTypes([]wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Price: 1, BootS: 15, Zones: []string{"x", "y", "z"}}})
	s.pl.Zones = []string{"x", "y", "z"}
	s.pl.Kept = map[string]bool{"y": true, "z": true}
	count := func(j *allocation.Job) map[string]int {
		at := map[string]int{}
		j.ForEachPlacement(func(p *allocation.Placement) { at[p.Machine.Zone]++ })
		return at
	}
	j := s.job(wire.Job{Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 5, CPUs: 1, MemoryGB: 1, Spread: true})
	d := s.pl.Plan(s.l, s.now, s.now, nil)
	for _, r := range d.Rent {
		if r.Pool.Zone == "x" {
			t.Errorf("rented in a zone where nobody keeps leases: %+v", d.Rent)
		}
	}
	if len(d.Rent) == 0 {
		t.Fatal("nothing rented")
	}
	for _, z := range []string{"x", "y", "z"} {
		s.machine("i-"+z, "m", z, false)
	}
	s.pl.Plan(s.l, s.now, s.now, nil)
	if at := count(j); at["x"] != 0 || at["y"]+at["z"] != 5 {
		t.Errorf("placed at %v", at)
	}
	// One kept zone alone may not have them all.
	s = newScene(nil)
	s.pl.Kept = map[string]bool{"y": true}
	s.machine("i-x", "big", "x", false)
	s.machine("i-y", "big", "y", false)
	j = s.job(wire.Job{Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 5, CPUs: 1, MemoryGB: 1, Spread: true})
	s.pl.Plan(s.l, s.now, s.now, nil)
	if at := count(j); at["y"] != 3 || at["x"] != 2 {
		t.Errorf("with one kept zone placed at %v", at)
	}
}

// A replica that takes a place from batch work takes it where its image is at hand,
// though a little more work is lost there; where much more would be, it does not.
func TestRoomIsMadeWhereTheImageIs(t *testing.T) {
	for _, c := range []struct {
		ran  clock.Micros // how long the work beside the image has run
		want string
	}{{30 * clock.Second, "i-image"}, {600 * clock.Second, "i-bare"}} {
		s := newScene(nil)
		m := map[string]*allocation.Machine{}
		for _, n := range []string{"i-bare", "i-image"} {
			m[n] = s.machine(n, "big", "x", false)
		}
		m["i-image"].ImageUsedAt["replica"] = s.now
		batch := s.job(wire.Job{ID: "req-000001", Tasks: 2, CPUs: 9, MemoryGB: 1, Image: "batch"})
		for i, n := range []string{"i-image", "i-bare"} {
			if err := s.l.PlaceTask(batch, i, m[n], s.l.NextAttempt(), s.now); err != nil {
				t.Fatal(err)
			}
			s.now += c.ran
		}
		for _, k := range m {
			k.LastHeartbeatAt = s.now
		}
		for i := range batch.Tasks {
			batch.Tasks[i].Placement.Phase = allocation.PhaseReported
		}
		s.job(wire.Job{ID: "req-000002", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 1, CPUs: 8, MemoryGB: 1, Image: "replica", ImageGB: 2})
		s.pl.Plan(s.l, s.now, s.now, nil)
		for i := range batch.Tasks {
			if p := batch.Tasks[i].Placement; p.IsStopping() != (p.Machine.Name == c.want) {
				t.Errorf("after %d s: on %s stopping is %v, want it on %s", c.ran/clock.Second, p.Machine.Name, p.IsStopping(), c.want)
			}
		}
	}
}

// Replicas with many images go to more machines than would hold them: fetches
// share a machine's rate.
func TestFetchesAreSpread(t *testing.T) {
	s := newScene(nil)
	for i := 0; i < 4; i++ {
		s.machine(fmt.Sprintf("i-%d", i), "big", "x", false)
	}
	most := map[string]map[string]bool{}
	var jobs []*allocation.Job
	for i := 0; i < 12; i++ {
		jobs = append(jobs, s.job(wire.Job{ID: fmt.Sprintf("req-%06d", i), Kind: wire.KindService, Priority: wire.PriorityProduction,
			Tasks: 1, CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("image-%d", i), ImageGB: 2}))
	}
	s.pl.Plan(s.l, s.now, s.now, nil)
	for _, j := range jobs {
		j.ForEachPlacement(func(p *allocation.Placement) {
			if most[p.Machine.Name] == nil {
				most[p.Machine.Name] = map[string]bool{}
			}
			most[p.Machine.Name][j.Spec.Image] = true
		})
	}
	for n, images := range most {
		if len(images) > 6 {
			t.Errorf("%s fetches %d of 12 images at a time", n, len(images))
		}
	}
	if len(most) < 3 {
		t.Errorf("all images on %d machines", len(most))
	}
}

// What a pipeline's last job asks for counts for those that it needs: a deadline that
// reaches back makes a job tight, and late, like its own.
func TestDeadlineReachesBack(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 1, CPUs: 4, EstimateS: 20})
	needed := s.job(wire.Job{ID: "req-000002", Team: "a", Tasks: 1, CPUs: 4, EstimateS: 100})
	first := func() string { return s.pl.queue(s.l, nil, s.now, s.now)[0].job.Spec.ID }
	if got := first(); got != "req-000001" {
		t.Fatalf("%s first, with no deadline", got)
	}
	needed.Deadline = needed.ReleasedAt + 110*clock.Second
	if got := first(); got != "req-000002" {
		t.Fatalf("%s first, though the other has to be done for a third", got)
	}
	needed.ReleasedAt, needed.Deadline = s.now+2*clock.Second, s.now+clock.Second
	if due := s.pl.due(needed); due <= 0 {
		t.Fatalf("a deadline that is over counts as none: %v", due)
	}
	if got := first(); got != "req-000001" {
		t.Fatalf("%s first, though its time is over", got)
	}
}
