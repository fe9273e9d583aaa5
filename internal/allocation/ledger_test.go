package allocation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// The history test plays workers as the protocol describes them against
// ledgers of successive leaders: messages are lost, held back and delivered
// late, machines die, leaders change. What a worker does is checked against
// the rules, not against the ledger.

const testLease = 30 * clock.Second

type fakeTask struct {
	attempt uint64
	state   string
	why     string
}

type fakeWorker struct {
	name, zone  string
	session     uint64
	seq         uint64
	token       uint64
	leaseFrom   clock.Micros
	tasks       map[string]*fakeTask
	gone        bool
	hung        bool
	answer      []wire.Command // on its way to the worker
	answerToken uint64
	answerAt    clock.Micros // when its report was sent
	hasAnswer   bool
}

type heldDirect struct {
	worker *fakeWorker
	msg    *wire.Direct
	ledger *Ledger // that sent it and still waits for the answer
	m      *Machine
	starts []*Placement
}

type world struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       clock.Micros
	workers   []*fakeWorker
	lg        *Ledger
	token     uint64
	ids       []string
	specs     map[string]*wire.Job
	marked    map[string]bool
	done      map[string]map[int]bool
	over      map[string]bool
	held      []heldDirect
	old       []heldDirect // carried out before; copies of them may come
	limit     int64
	starts    int
	gangs     int // that were complete
	copies    []*wire.Report
	delegated clock.Micros // others may answer workers until then
	follower  *follower    // of the present ledger
	trusted   int          // take-overs that began with what a follower knew
}

// follower is the account of another controller that is told of each decision at once.
type follower struct{ account *standby.Table }

func (f *follower) apply(kind standby.DecisionKind, p standby.Placement) {
	f.account.Apply(standby.Decision{Kind: kind, Placement: p})
}

func (f *follower) Started(task string, attempt uint64, machine string) uint64 {
	f.apply(standby.Started, standby.Placement{Task: task, Attempt: attempt, Machine: machine})
	return 0
}

func (f *follower) Over(task string, attempt uint64, machine string) {
	f.apply(standby.Ended, standby.Placement{Task: task, Attempt: attempt, Machine: machine})
}

func (f *follower) Doubted(id string)   { f.apply(standby.Started, standby.UnconfirmedPlacement(id)) }
func (f *follower) DoubtOver(id string) { f.apply(standby.Ended, standby.UnconfirmedPlacement(id)) }
func (f *follower) MaySend(uint64) bool { return true }

// checkFollower holds what the follower knows to what is on machines.
func (w *world) checkFollower() {
	for _, k := range w.workers {
		for id, t := range k.tasks {
			if !k.gone && t.state != wire.TaskExited && !w.follower.account.MayBeRunning(id) {
				w.fatal("a follower would start %s, which is on %s", id, k.name)
			}
		}
	}
}

func (w *world) fatal(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("history %d: "+format, append([]any{w.seed}, args...)...)
}

func (w *world) newWorker() *fakeWorker {
	i := len(w.workers)
	k := &fakeWorker{name: fmt.Sprintf("i-%d", i), zone: []string{"x", "y"}[i%2], session: 1, leaseFrom: w.now, tasks: map[string]*fakeTask{}}
	w.workers = append(w.workers, k)
	return k
}

func (w *world) newJob() *wire.Job {
	i := len(w.ids)
	id := fmt.Sprintf("req-%06d", i)
	s := &wire.Job{
		ID: id, Class: "c", Team: []string{"a", "b"}[i%2], Priority: wire.PriorityNormal, Tasks: 2 + i%2, CPUs: 1, Image: "i",
		Kind: []string{wire.KindArray, wire.KindService, wire.KindGang}[i%3],
	}
	switch i % 4 {
	case 0:
		s.Spread = true
	case 1:
		s.OneZone = true
	case 2:
		s.Zone = "y"
	}
	if i%7 == 6 {
		s.Tasks = mostDoubtsTold + 2
	}
	w.ids = append(w.ids, id)
	w.specs[id] = s
	w.done[id] = map[int]bool{}
	return s
}

func (w *world) on(id string) *fakeWorker {
	for _, k := range w.workers {
		if t := k.tasks[id]; t != nil && t.state != wire.TaskExited && !k.gone {
			return k
		}
	}
	return nil
}

// gang lists the tasks of a gang that are on machines.
func (w *world) gang(job string) (out []*fakeTask) {
	for n := range w.specs[job].Tasks {
		id := wire.TaskID(job, n)
		if k := w.on(id); k != nil {
			out = append(out, k.tasks[id])
		}
	}
	return out
}

// playGang has a gang's tasks do what the workers would: start together, notice
// that one is missing, give up waiting, or complete together.
func (w *world) playGang(job string) {
	spec := w.specs[job]
	tasks := w.gang(job)
	if spec.Kind != wire.KindGang || len(tasks) == 0 {
		return
	}
	all := func(state string) bool {
		return len(tasks) == spec.Tasks && !slices.ContainsFunc(tasks, func(t *fakeTask) bool { return t.state != state })
	}
	exit := func(t *fakeTask, why string) { t.state, t.why = wire.TaskExited, why }
	switch {
	case all(wire.TaskWaiting):
		for _, t := range tasks {
			t.state = wire.TaskRunning
		}
		w.gangs++
	case all(wire.TaskRunning):
		if w.rng.IntN(3) == 0 {
			for _, t := range tasks {
				exit(t, wire.WhyDone)
			}
		}
	default:
		t := tasks[w.rng.IntN(len(tasks))]
		if t.state == wire.TaskRunning {
			exit(t, wire.WhyPeers)
		} else if w.rng.IntN(6) == 0 {
			exit(t, wire.WhyAlone)
		}
	}
}

func (w *world) expire(k *fakeWorker) {
	if !k.gone && w.now-k.leaseFrom > testLease {
		k.session++
		k.leaseFrom = w.now
		k.tasks = map[string]*fakeTask{}
		k.hasAnswer = false // answers to reports of an earlier session are dropped
	}
}

func (w *world) exec(k *fakeWorker, cmds []wire.Command) {
	for _, c := range cmds {
		job, i, ok := wire.ParseTaskID(c.Task)
		if !ok {
			w.fatal("bad task id %q", c.Task)
		}
		t := k.tasks[c.Task]
		switch c.Op {
		case wire.OpStart:
			switch {
			case t == nil:
				if other := w.on(c.Task); other != nil {
					w.fatal("ran twice: %s starts on %s while on %s", c.Task, k.name, other.name)
				}
				spec := w.specs[job]
				if spec.Zone != "" && spec.Zone != k.zone {
					w.fatal("wrong place: %s in %s", c.Task, k.zone)
				}
				inZone, elsewhere := 0, 0
				for n := 0; n < spec.Tasks; n++ {
					if o := w.on(wire.TaskID(job, n)); o != nil {
						if o.zone == k.zone {
							inZone++
						} else {
							elsewhere++
						}
					}
				}
				if spec.OneZone && elsewhere > 0 {
					w.fatal("one zone: %s", c.Task)
				}
				if spec.Spread && inZone+1 > (spec.Tasks+1)/2 {
					w.fatal("spread: %s", c.Task)
				}
				k.tasks[c.Task] = &fakeTask{attempt: c.Attempt, state: wire.TaskRunning}
				if spec.Kind == wire.KindGang {
					k.tasks[c.Task].state = wire.TaskWaiting
					for _, t := range w.gang(job) {
						if t.attempt != c.Attempt {
							w.fatal("two attempts of a gang: %s starts as %d beside %d", c.Task, c.Attempt, t.attempt)
						}
					}
				}
				if w.done[job][i] {
					k.tasks[c.Task].state, k.tasks[c.Task].why = wire.TaskExited, wire.WhyDone
				}
				w.starts++
				w.checkLimits()
			case t.attempt == c.Attempt:
			case t.state == wire.TaskExited:
				w.fatal("started beside a listed attempt: %s", c.Task)
			}
		case wire.OpStop:
			if t != nil && t.attempt == c.Attempt && t.state != wire.TaskExited {
				t.state, t.why = wire.TaskExited, wire.WhyStopped
			}
		case wire.OpForget:
			if t != nil && t.attempt == c.Attempt && t.state == wire.TaskExited {
				if t.why == wire.WhyDone && !w.done[job][i] && !w.over[job] {
					w.fatal("forgot a result that is not durable: %s", c.Task)
				}
				delete(k.tasks, c.Task)
			}
		}
	}
}

func (w *world) checkLimits() {
	use := map[string]int64{}
	for _, k := range w.workers {
		if k.gone {
			continue
		}
		for id, t := range k.tasks {
			if t.state != wire.TaskExited {
				job, _, _ := wire.ParseTaskID(id)
				s := w.specs[job]
				use[s.Team] += FromAmounts(s.CPUs, 0, 0).CPU
			}
		}
	}
	for team, u := range use {
		if u > w.limit {
			w.fatal("quota: %s uses %d of %d", team, u, w.limit)
		}
	}
}

func (w *world) report(k *fakeWorker) *wire.Report {
	k.seq++
	r := &wire.Report{Machine: k.name, Addr: "127.0.0.1:1", Zone: k.zone, Session: k.session, Seq: k.seq, Token: k.token}
	ids := make([]string, 0, len(k.tasks))
	for id := range k.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := k.tasks[id]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: id, Attempt: t.attempt, State: t.state, Why: t.why})
	}
	return r
}

func (w *world) direct(h heldDirect) {
	k := h.worker
	if k.gone {
		return
	}
	w.expire(k)
	ok := h.msg.Token >= k.token && h.msg.Session == k.session
	if ok {
		k.token = h.msg.Token
		w.exec(k, h.msg.Commands)
		w.old = append(w.old, heldDirect{worker: k, msg: h.msg})
	}
	rep := w.report(k)
	if h.ledger != w.lg || h.m == nil {
		return
	}
	res := Rejected
	if ok {
		res = Executed
	}
	w.lg.DirectEnded(h.m, h.starts, res, w.now)
	if w.lg.Machines[k.name] == h.m {
		w.lg.DirectReport(h.m, rep, w.now)
	}
}

// exchange plays one report and its answer; fate 0 loses the report, 1 the
// answer.
func (w *world) exchange(k *fakeWorker, fate int) {
	if k.gone || k.hung {
		return
	}
	w.expire(k)
	k.hasAnswer = false // a new report: the answer to the last one is dead
	rep := w.report(k)
	m := w.machine(k)
	if fate == 0 || m == nil {
		return
	}
	if w.rng.IntN(4) == 0 {
		w.copies = append(w.copies, rep)
	}
	w.lg.HeardBy(m, w.now)
	if res := w.lg.Report(m, rep, w.now); res == Deposed {
		w.fatal("deposed by %d under %d", rep.Token, w.token)
	}
	w.makeDurable()
	cmds := w.lg.Orders(m, w.now)
	if fate == 1 {
		return
	}
	k.answer, k.answerToken, k.answerAt, k.hasAnswer = cmds, w.lg.Token(), w.now, true
	if fate > 3 {
		w.answered(k)
	}
}

// answered delivers the answer to a worker's last report, unless it is too late.
func (w *world) answered(k *fakeWorker) {
	session := k.session
	w.expire(k)
	if !k.hasAnswer || k.gone || k.hung || k.session != session || w.now-k.answerAt > 4*clock.Second || k.answerToken < k.token {
		k.hasAnswer = false
		return
	}
	k.hasAnswer = false
	k.token = k.answerToken
	k.leaseFrom = k.answerAt
	w.exec(k, k.answer)
}

func (w *world) takeOver() {
	w.token += 1 + w.rng.Uint64N(4)
	cfg := Config{
		Token: w.token, Lease: testLease, MayFence: 10 * clock.Second,
		Teams: map[string]Team{"a": {CPUMax: w.limit}, "b": {CPUMax: w.limit}},
	}
	if w.follower != nil && w.rng.IntN(4) > 0 {
		// The follower of the last leader, which may have been one itself.
		cfg.MayRun = w.follower.account.MayBeRunning
		w.trusted++
	}
	w.follower = &follower{standby.NewTable()}
	cfg.Decisions = w.follower
	w.lg = New(cfg)
	for _, k := range w.workers {
		if !k.gone {
			w.lg.AddMachine(k.name, "t", k.zone, false, Resources{4000, 0, 1 << 40}, w.now).Recorded = true
		}
	}
	ids := make([]string, 0, len(w.specs))
	for id := range w.specs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := w.lg.AddJob(w.specs[id], 0, w.now, w.marked[id], func(i int) bool { return w.done[id][i] })
		if w.over[id] {
			w.lg.Withdraw(j, w.now)
		}
	}
	// Somebody may still hold a right of the leader before.
	w.delegated = w.now + 20*clock.Second
	w.lg.Answered(w.delegated, nil)
	w.lg.Settle()
}

func (w *world) machine(k *fakeWorker) *Machine { return w.lg.Machines[k.name] }

// makeDurable is what the owner does with completions.
func (w *world) makeDurable() {
	if w.rng.IntN(3) > 0 {
		return
	}
	for _, id := range w.ids {
		j := w.lg.Jobs[id]
		if j == nil {
			continue
		}
		todo := j.NotDurable()
		for _, i := range todo {
			w.done[id][i] = true
		}
		w.lg.MadeDurable(j, todo)
	}
	w.lg.Ended, w.lg.Begun = nil, nil
}

// due tells whether a direct message would be sent now: the plain look at all
// that is on the machine, which the outbox saves.
func due(m *Machine) bool {
	if m.directs || !m.Synced {
		return false
	}
	for _, p := range m.places {
		if p.Phase == Assigned || p.Phase == Present && p.stop && p.stopSent == 0 {
			return true
		}
	}
	return false
}

func TestHistories(t *testing.T) {
	total, gangs, trusted := 0, 0, 0
	for seed := uint64(1); seed <= 4000; seed++ {
		w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Second, specs: map[string]*wire.Job{}, marked: map[string]bool{},
			done: map[string]map[int]bool{}, over: map[string]bool{}, limit: 5000}
		for i := 0; i < 3; i++ {
			w.newWorker()
		}
		for i := 0; i < 4; i++ {
			w.newJob()
		}
		w.takeOver()
		job := func() string { return w.ids[len(w.ids)-1-w.rng.IntN(4)] }
		worker := func() *fakeWorker { return w.workers[len(w.workers)-1-w.rng.IntN(3)] }
		exchange := func() { w.exchange(worker(), w.rng.IntN(6)) }
		place := func() {
			j := w.lg.Jobs[job()]
			m := w.machine(worker())
			if j == nil || m == nil {
				return
			}
			w.marked[j.Spec.ID] = true
			j.Marked = true
			attempt := j.Attempt
			for i := range j.Tasks {
				if !j.Gang() || attempt == 0 || w.rng.IntN(20) == 0 {
					attempt = w.lg.Attempt()
				}
				_ = w.lg.Place(j, i, m, attempt, w.now) // refusals are the point
				if other := w.machine(worker()); j.Gang() && other != nil {
					m, attempt = other, max(j.Attempt, attempt)
				}
			}
		}
		lateCopy := func() {
			// A copy of a report comes late, perhaps to another leader.
			if len(w.copies) == 0 {
				return
			}
			r := w.copies[len(w.copies)-1-w.rng.IntN(min(len(w.copies), 5))]
			if m := w.lg.Machines[r.Machine]; m != nil && r.Token <= w.token {
				w.lg.HeardBy(m, w.now)
				w.lg.Report(m, r, w.now)
				w.makeDurable()
				w.lg.Orders(m, w.now) // nobody waits for the answer any more
			}
		}
		actions := map[string]func(){
			"report":  exchange,
			"answer":  func() { w.answered(worker()) },
			"report2": exchange,
			"report3": exchange,
			"place":   place,
			"place2":  place,
			"stop": func() {
				if j := w.lg.Jobs[job()]; j != nil {
					if p := j.Tasks[w.rng.IntN(len(j.Tasks))].Place; p != nil {
						w.lg.Stop(p, 0)
					}
				}
			},
			"direct": func() {
				k := worker()
				m := w.machine(k)
				if m == nil {
					return
				}
				msg, starts := w.lg.Direct(m, w.now)
				if msg == nil {
					return
				}
				// As the owner does: it goes off the list while a message is out.
				w.lg.Outbox(func(o *Machine) bool { return o != m })
				h := heldDirect{k, msg, w.lg, m, starts}
				switch w.rng.IntN(4) {
				case 0: // never leaves
					w.lg.DirectEnded(m, starts, NotSent, w.now)
				case 1: // held back, given up, perhaps delivered later
					w.lg.DirectEnded(m, starts, Lost, w.now)
					h.m = nil
					w.held = append(w.held, h)
				default:
					w.direct(h)
				}
				w.makeDurable()
			},
			"delegated answer": func() {
				// Another controller keeps a lease alive, in this leader's name or
				// an earlier one's.
				if w.rng.IntN(4) == 0 {
					w.delegated = w.now + 20*clock.Second
					w.lg.Answered(w.delegated, nil)
				}
				if k := worker(); !k.gone && !k.hung && w.now < w.delegated {
					w.expire(k)
					w.report(k)
					k.hasAnswer = false
					k.leaseFrom = w.now
				}
			},
			"probe": func() {
				// The worker is asked for its state, and says nothing else.
				k := worker()
				if m := w.machine(k); m != nil && !k.gone && !k.hung {
					w.expire(k)
					w.lg.DirectReport(m, w.report(k), w.now)
				}
			},
			"outbox": func() {
				// What has nothing due goes off the list; it must come back.
				w.lg.Outbox(func(m *Machine) bool { return w.rng.IntN(2) == 0 || due(m) })
			},
			"copy": lateCopy,
			"again": func() {
				// A copy of a direct message that was carried out comes again.
				if len(w.old) > 0 {
					i := len(w.old) - 1 - w.rng.IntN(min(len(w.old), 8))
					w.direct(heldDirect{worker: w.old[i].worker, msg: w.old[i].msg})
				}
			},
			"issue": func() {
				// The token rises, or one that was issued is used.
				if w.rng.IntN(4) == 0 {
					w.token++
					w.lg.Issue(w.token)
				} else if w.rng.IntN(2) == 0 {
					w.lg.Raise()
				}
			},
			"late": func() {
				if len(w.held) == 0 {
					return
				}
				i := w.rng.IntN(len(w.held))
				h := w.held[i]
				w.held = slices.Delete(w.held, i, i+1)
				w.direct(h)
			},
			"finish": func() {
				k := worker()
				ids := make([]string, 0, len(k.tasks))
				for id := range k.tasks {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				for _, id := range ids {
					jid, _, _ := wire.ParseTaskID(id)
					if t := k.tasks[id]; t.state == wire.TaskRunning && w.specs[jid].Kind == wire.KindArray {
						t.state, t.why = wire.TaskExited, wire.WhyDone
						return
					}
				}
			},
			"time": func() {
				w.now += clock.Micros(1+w.rng.IntN(2000)) * clock.Millisecond
				if w.rng.IntN(25) == 0 {
					w.now += clock.Micros(10+w.rng.IntN(26)) * clock.Second
				}
				for _, k := range w.workers {
					w.expire(k)
					if m := w.machine(k); m != nil {
						w.lg.Expire(m, w.now)
					}
				}
				w.makeDurable()
			},
			"hang": func() {
				k := worker()
				k.hung = !k.hung && w.rng.IntN(8) == 0
			},
			"delete": func() {
				if w.rng.IntN(20) > 0 {
					return
				}
				k := worker()
				if m := w.machine(k); m != nil {
					k.gone = true
					w.lg.MachineGone(m, w.now)
					n := w.newWorker()
					w.lg.AddMachine(n.name, "t", n.zone, false, Resources{4000, 0, 1 << 40}, w.now).Recorded = true
				}
			},
			"gang":  func() { w.playGang(job()) },
			"gang2": func() { w.playGang(job()) },
			"takeOver": func() {
				if w.rng.IntN(12) == 0 {
					w.takeOver()
					// What a new leader hears first of a machine may be a copy of what
					// was, and the next what is.
					for range w.rng.IntN(4) {
						lateCopy()
					}
					k := worker()
					w.exchange(k, 5)
					w.exchange(k, 5)
					place()
				}
			},
			"withdraw": func() {
				id := job()
				j := w.lg.Jobs[id]
				if !j.Complete() && w.rng.IntN(20) > 0 {
					return
				}
				w.over[id] = true
				w.lg.Withdraw(j, w.now)
				w.lg.AddJob(w.newJob(), 0, w.now, false, nil)
			},
		}
		names := make([]string, 0, len(actions))
		for n := range actions {
			names = append(names, n)
		}
		slices.Sort(names)
		for step := 0; step < 300; step++ {
			actions[names[w.rng.IntN(len(names))]]()
			w.checkFollower()
			for _, m := range w.lg.Machines {
				if due(m) && !m.outbox {
					w.fatal("%s has a message due and is not in the outbox", m.Name)
				}
				var sum Resources
				m.Places(func(p *Placement) { sum = sum.Add(p.Job.Need) })
				if sum != m.Used() {
					w.fatal("books of %s: %v, placements %v", m.Name, m.Used(), sum)
				}
			}
			may := map[string]int64{} // what teams may use, in doubt and without a place
			for id, j := range w.lg.Jobs {
				waiting, doubts := 0, 0
				for i := range j.Tasks {
					if j.Tasks[i].State == Waiting {
						waiting++
					}
					if j.Tasks[i].Doubt && j.Tasks[i].Place == nil {
						may[j.Spec.Team] += j.Need.CPU
					}
					if j.Tasks[i].Doubt {
						doubts++
					}
				}
				if waiting != j.WaitingCount() || doubts != j.Doubts() {
					w.fatal("books of %s: %d waiting of %d, %d in doubt of %d", id, j.WaitingCount(), waiting, j.Doubts(), doubts)
				}
			}
			for team, u := range w.lg.doubt {
				if u.CPU != may[team] {
					w.fatal("books of team %s: %d in doubt of %d", team, u.CPU, may[team])
				}
			}
		}
		total += w.starts
		gangs += w.gangs
		trusted += w.trusted
	}
	t.Logf("%d starts, %d gangs complete, %d take-overs with what a follower knew", total, gangs, trusted)
	if total == 0 || gangs < 200 || trusted < 1000 {
		t.Fatal("the histories show too little")
	}
}

func reportOf(m *Machine, session, seq, token uint64, tasks ...wire.TaskReport) *wire.Report {
	return &wire.Report{Machine: m.Name, Addr: "127.0.0.1:1", Zone: m.Zone, Session: session, Seq: seq, Token: token, Tasks: tasks}
}

func small(t *testing.T, kind string, tasks int) (*Ledger, *Job, *Machine) {
	t.Helper()
	l := New(Config{Token: 7, Lease: testLease, MayFence: 20 * clock.Second})
	l.Settle()
	m := l.AddMachine("i-1", "t", "x", false, Resources{8000, 0, 8000}, 1)
	m.Recorded = true
	j := l.AddJob(&wire.Job{ID: "req-000001", Kind: kind, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 1, Team: "a"}, 0, 1, true, nil)
	if l.Report(m, reportOf(m, 1, 1, 7), 1) != Taken {
		t.Fatal("first report not taken")
	}
	return l, j, m
}

// A start that was sent directly and not answered may arrive after the worker
// was told to forget the attempt: it would run again.
func TestNoForgettingWhileAStartMayArrive(t *testing.T) {
	l, j, m := small(t, wire.KindArray, 1)
	if err := l.Place(j, 0, m, l.Attempt(), 2); err != nil {
		t.Fatal(err)
	}
	msg, starts := l.Direct(m, 2)
	if msg == nil || len(starts) != 1 {
		t.Fatal("no direct start")
	}
	l.DirectEnded(m, starts, Lost, 2)
	attempt := msg.Commands[0].Attempt
	l.Report(m, reportOf(m, 1, 2, 7, wire.TaskReport{Task: "req-000001/0", Attempt: attempt, State: wire.TaskExited, Why: wire.WhyError}), 3)
	for _, c := range l.Orders(m, 3) {
		if c.Op == wire.OpForget {
			t.Fatal("told to forget an attempt whose start may still arrive")
		}
	}
	// A new session refuses commands of the old one.
	l.Report(m, reportOf(m, 2, 3, 7, wire.TaskReport{Task: "req-000001/0", Attempt: attempt, State: wire.TaskExited, Why: wire.WhyError}), 4)
	if c := l.Orders(m, 4); len(c) != 1 || c[0].Op != wire.OpForget {
		t.Fatalf("not forgotten in the new session: %v", c)
	}
}

// A start in a report's answer may still be on its way when the worker answers a
// direct message. That answer lacks the task and proves nothing; only the
// worker's next report does.
func TestDirectAnswerProvesNothingOfAReportsAnswer(t *testing.T) {
	l, j, m := small(t, wire.KindArray, 1)
	if err := l.Place(j, 0, m, l.Attempt(), 2); err != nil {
		t.Fatal(err)
	}
	if c := l.Orders(m, 2); len(c) != 1 {
		t.Fatalf("orders %v", c)
	}
	l.DirectReport(m, reportOf(m, 1, 2, 7), 3)
	l.Stop(j.Tasks[0].Place, 0)
	if l.Gone(j) || j.WaitingCount() != 0 {
		t.Fatal("a task whose start is on its way is free to start elsewhere")
	}
	l.Report(m, reportOf(m, 1, 3, 7), 4)
	if !l.Gone(j) {
		t.Fatal("the next report is proof")
	}
}

// A withdrawn job's start that may still arrive is met by a start and a stop
// in one message, so that the late one finds its attempt listed as exited.
func TestFenceOfAWithdrawnStart(t *testing.T) {
	l, j, m := small(t, wire.KindArray, 1)
	if err := l.Place(j, 0, m, l.Attempt(), 2); err != nil {
		t.Fatal(err)
	}
	_, starts := l.Direct(m, 2)
	l.DirectEnded(m, starts, Lost, 2)
	l.Withdraw(j, 3)
	l.Report(m, reportOf(m, 1, 2, 7), 4)
	c := l.Orders(m, 4)
	if len(c) != 2 || c[0].Op != wire.OpStart || c[1].Op != wire.OpStop {
		t.Fatalf("not fenced: %v", c)
	}
	if l.Gone(j) {
		t.Fatal("a task that may start is counted as gone")
	}
	if c = l.Orders(m, 4+30*clock.Second); len(c) != 0 {
		t.Fatalf("fenced too long after the withdrawal: %v", c)
	}
	if !l.Tainted(m, 4+30*clock.Second) {
		t.Fatal("the machine has to go")
	}
}

// A report of a session that was given up for over may come out of the network
// late; it must not bring its tasks back.
func TestReportOfAnExpiredSession(t *testing.T) {
	l, j, m := small(t, wire.KindArray, 1)
	if err := l.Place(j, 0, m, l.Attempt(), 2); err != nil {
		t.Fatal(err)
	}
	l.Orders(m, 2)
	if !l.Expire(m, l.LeaseEnd(m)) || j.Active() != 0 {
		t.Fatal("not expired")
	}
	late := reportOf(m, 1, 9, 7, wire.TaskReport{Task: "req-000001/0", Attempt: 1, State: wire.TaskRunning})
	if l.Report(m, late, l.LeaseEnd(m)) != Stale {
		t.Fatal("a report of the expired session was taken")
	}
}

// One lost task ends a gang's attempt, and the next attempt waits until every
// task of the old one is over.
func TestGangRestartsWhole(t *testing.T) {
	l, j, m := small(t, wire.KindGang, 2)
	a := l.Attempt()
	for i := range j.Tasks {
		if err := l.Place(j, i, m, a, 2); err != nil {
			t.Fatal(err)
		}
	}
	l.Orders(m, 2)
	run := func(i int, state, why string) wire.TaskReport {
		return wire.TaskReport{Task: wire.TaskID("req-000001", i), Attempt: a, State: state, Why: why}
	}
	l.Report(m, reportOf(m, 1, 2, 7, run(0, wire.TaskRunning, ""), run(1, wire.TaskRunning, "")), 3)
	l.Report(m, reportOf(m, 1, 3, 7, run(0, wire.TaskExited, wire.WhyError), run(1, wire.TaskRunning, "")), 4)
	if err := l.Place(j, 0, m, l.Attempt(), 5); err == nil {
		t.Fatal("a new attempt beside the old one")
	}
	stops := 0
	for _, c := range l.Orders(m, 5) {
		if c.Op == wire.OpStop {
			stops++
		}
	}
	if stops != 1 {
		t.Fatalf("%d stops for the rest of the gang", stops)
	}
	l.Report(m, reportOf(m, 1, 4, 7, run(1, wire.TaskExited, wire.WhyPeers)), 6)
	if j.Attempt != 0 || j.Broken {
		t.Fatal("the old attempt is not over")
	}
	l.Report(m, reportOf(m, 1, 5, 7), 7)
	b := l.Attempt()
	for i := range j.Tasks {
		if err := l.Place(j, i, m, b, 8); err != nil {
			t.Fatal(err)
		}
	}
}

// A worker whose lease ran out begins a new session, with a lease of its own that
// nobody has to have answered. When that is first seen in the answer to a probe,
// and tasks are started in it, the old session's lease proves nothing of them.
func TestANewSessionHasALeaseOfItsOwn(t *testing.T) {
	l, j, m := small(t, wire.KindArray, 1)
	l.HeardBy(m, 1)
	now := testLease - clock.Second
	if l.DirectReport(m, reportOf(m, 2, 2, 7), now) != Taken {
		t.Fatal("the probe's report is not taken")
	}
	if err := l.Place(j, 0, m, l.Attempt(), now); err != nil {
		t.Fatal(err)
	}
	if msg, _ := l.Direct(m, now); msg == nil || msg.Session != 2 {
		t.Fatal("no start in the new session")
	}
	if l.Expire(m, now+3*clock.Second) || j.Tasks[0].Place == nil {
		t.Fatal("the new session's task is taken for over with the old lease")
	}
}
