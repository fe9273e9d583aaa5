package allocation

import (
	"firwood.dev/firwood/internal/clock"
)

// exit is an exited attempt that the worker still lists.
type exit struct {
	id      string
	attempt uint64
	job     *Job
	index   int
	done    bool
}

type attemptKey struct {
	id      string
	attempt uint64
}

// Machine is a machine that exists, or may.
type Machine struct {
	Name, Type, Zone, Addr string
	Spot                   bool
	Cap                    Resources
	// Recorded: the state service names it. Only then may it get tasks.
	Recorded bool
	Session  uint64
	Seq      uint64
	Heard    clock.Micros // when the last newer report came
	// Synced: it has reported under this token.
	Synced bool
	// Accounted: nothing of an earlier leader can be on it unseen.
	Accounted bool
	// Draining: it gets nothing new.
	Draining bool
	// TakenAt is when the cloud takes it back, 0 if not announced.
	TakenAt clock.Micros
	// Images that it has fetched, with when each was last used.
	Images map[string]clock.Micros
	Since  clock.Micros // when this leader learnt of it
	UpAt   clock.Micros // when it was first heard
	IdleAt clock.Micros // since when it has nothing to do
	// DeafUntil: a direct message got no answer lately, so until then it is not
	// known that the worker can be told anything, though it may be heard.
	DeafUntil clock.Micros
	// said are images that it is said to hold in a session, see Says.
	said   []string
	saidIn uint64
	// HeldUntil: tasks fail there for a cause that is not its own, so until then it
	// gets nothing new.
	HeldUntil clock.Micros
	// FaultyJobs counts the jobs that failed on it.
	FaultyJobs map[string]bool

	// Rank is its place in ByName, as of the last call of that.
	Rank int

	granted  clock.Micros // its lease may be counted from here
	used     Resources
	places   map[string]*Placement
	replicas int
	fetching map[string]int // placements that have not run yet, by image
	outbox   bool           // listed in the ledger's outbox
	// isWaiting: listed among those whose starts wait for followers.
	isWaiting bool
	exits     []exit
	lateIDs   map[attemptKey]bool // attempts that a late direct start may bring back
	// sent are the tokens of direct starts, of which copies may come, by attempt;
	// token is the highest that the worker has said it has seen.
	sent    map[attemptKey]uint64
	token   uint64
	directs bool // a direct message is out
	// Reports of sessions before this one are void.
	minSession uint64
}

// Used is what its placements take.
func (m *Machine) Used() Resources { return m.used }

// Free is what is left for new tasks.
func (m *Machine) Free() Resources { return m.Cap.Sub(m.used) }

// Replicas is how many tasks of services are, or may be, on it.
func (m *Machine) Replicas() int { return m.replicas }

// Fetching tells whether a task that has not run yet waits for the image.
func (m *Machine) Fetching(image string) bool { return m.fetching[image] > 0 }

// Fetches is how many images tasks on it wait for; they share its rate.
func (m *Machine) Fetches() int { return len(m.fetching) }

// Tasks is how many placements are on it.
func (m *Machine) Tasks() int { return len(m.places) }

// Idle tells that nothing is, or may be, on it.
func (m *Machine) Idle() bool { return len(m.places) == 0 }

// Usable tells that it may get tasks.
func (m *Machine) Usable() bool { return m.Recorded && m.Synced && !m.Draining && m.TakenAt == 0 }

// Places calls f for every placement on it.
func (m *Machine) Places(f func(*Placement)) {
	for _, p := range m.places {
		f(p)
	}
}

// Lists tells whether the worker still lists some attempt of the task.
func (m *Machine) Lists(id string) bool {
	if _, ok := m.places[id]; ok {
		return true
	}
	for i := range m.exits {
		if m.exits[i].id == id {
			return true
		}
	}
	return false
}

// AddMachine takes a machine. One that existed at the take-over has to be
// accounted for.
func (l *Ledger) AddMachine(name, typ, zone string, spot bool, size Resources, now clock.Micros) *Machine {
	if m := l.Machines[name]; m != nil {
		return m
	}
	m := &Machine{
		Name: name, Type: typ, Zone: zone, Spot: spot, Cap: size, Since: now, IdleAt: now, granted: now,
		Images: map[string]clock.Micros{}, places: map[string]*Placement{}, FaultyJobs: map[string]bool{},
		lateIDs: map[attemptKey]bool{}, sent: map[attemptKey]uint64{},
	}
	if l.settled {
		m.Accounted = true
	} else {
		l.open++
	}
	l.Machines[name] = m
	l.byName = nil
	return m
}

func (l *Ledger) account(m *Machine) {
	if !m.Accounted {
		m.Accounted = true
		l.open--
		l.checkAccounts()
	}
}

// checkAccounts clears all doubt once every machine is accounted for: a task
// that no machine has is nowhere.
func (l *Ledger) checkAccounts() {
	if !l.Accounted() {
		return
	}
	for _, j := range l.Jobs {
		if j.doubts == 0 {
			continue
		}
		for i := range j.Tasks {
			l.clearDoubt(j, i)
		}
	}
}
