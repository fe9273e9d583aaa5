package election

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// The test plays members with drifting clocks against a state service as the
// protocol describes it. Calls and answers take time, are lost, or come late;
// members pause, die and come back; the service has outages for all or for
// one. At no true instant may two members be entitled.

const testTTL = 6 * clock.Second

type fakeLease struct{ expiresAt clock.Micros }

type fakeStore struct {
	now           clock.Micros
	leases        map[uint64]*fakeLease
	lastLeaseID   uint64
	revision      uint64
	lock          Lock
	isDown        bool
	refusesMember map[int]bool
}

func (store *fakeStore) expireLeases() {
	for id, lease := range store.leases {
		if store.now >= lease.expiresAt {
			delete(store.leases, id)
			if store.lock.Exists && store.lock.LeaseID == id {
				store.revision++
				store.lock = Lock{}
			}
		}
	}
}

type simulatedMember struct {
	name         string
	clockRate    float64 // of its clock
	elector      *Elector
	pausedUntil  clock.Micros
	restartAt    clock.Micros
	incarnation  int
	seenRevision uint64
}

func (member *simulatedMember) localTime(now clock.Micros) clock.Micros {
	return clock.Micros(float64(now) * member.clockRate)
}

type scheduledEvent struct {
	at  clock.Micros
	run func()
}

type electionSimulation struct {
	rng     *rand.Rand
	store   *fakeStore
	members []*simulatedMember
	events  []scheduledEvent
}

func (simulation *electionSimulation) scheduleWithin(maxDelay clock.Micros, run func()) {
	simulation.events = append(simulation.events, scheduledEvent{simulation.store.now + clock.Micros(simulation.rng.Int64N(int64(maxDelay))), run})
}

// sendRequest carries a request to the service and its answer back; either may be
// lost or late.
func (simulation *electionSimulation) sendRequest(index int, handle func() func()) {
	member := simulation.members[index]
	incarnation := member.incarnation
	delay := 40 * clock.Millisecond
	if simulation.rng.IntN(6) == 0 {
		delay = 4 * clock.Second
	}
	lost := simulation.rng.IntN(15) == 0
	simulation.scheduleWithin(delay, func() {
		var deliverResponse func()
		if !simulation.store.isDown && !simulation.store.refusesMember[index] {
			deliverResponse = handle()
		}
		simulation.scheduleWithin(delay, func() {
			if member.incarnation == incarnation && member.restartAt == 0 && !lost && deliverResponse != nil {
				deliverResponse()
			}
		})
	})
	// The client's own time limit: by then an answer that is missing counts
	// as none.
}

func (simulation *electionSimulation) performActions(index int, actions []Action) {
	member, store := simulation.members[index], simulation.store
	now := func() clock.Micros { return member.localTime(store.now) }
	incarnation := member.incarnation
	isRunning := func() bool { return member.incarnation == incarnation && member.restartAt == 0 }
	scheduleTimeout := func(isAnswered *bool, callback func()) {
		simulation.events = append(simulation.events, scheduledEvent{store.now + 3*clock.Second, func() {
			if isRunning() && !*isAnswered {
				*isAnswered = true
				callback()
			}
		}})
	}
	for _, action := range actions {
		a := action
		isDone := new(bool)
		once := func(callback func()) func() {
			return func() {
				if !*isDone {
					*isDone = true
					callback()
				}
			}
		}
		switch a.Kind {
		case GrantLease:
			simulation.sendRequest(index, func() func() {
				store.lastLeaseID++
				id := store.lastLeaseID
				store.leases[id] = &fakeLease{store.now + testTTL}
				return once(func() { simulation.performActions(index, member.elector.HandleGrantResult(now(), id)) })
			})
			scheduleTimeout(isDone, func() { simulation.performActions(index, member.elector.HandleGrantResult(now(), 0)) })
		case AcquireLock:
			simulation.sendRequest(index, func() func() {
				if store.lock.Exists || store.leases[a.LeaseID] == nil {
					return once(func() { simulation.performActions(index, member.elector.HandleAcquireResult(now(), AcquireFailed, 0)) })
				}
				store.revision++
				store.lock = Lock{Exists: true, Holder: member.name, LeaseID: a.LeaseID, Version: store.revision}
				version := store.revision
				return once(func() {
					simulation.performActions(index, member.elector.HandleAcquireResult(now(), AcquireSucceeded, version))
				})
			})
			scheduleTimeout(isDone, func() { simulation.performActions(index, member.elector.HandleAcquireResult(now(), AcquireUnknown, 0)) })
		case RenewLease:
			simulation.sendRequest(index, func() func() {
				lease := store.leases[a.LeaseID]
				result := RenewLeaseExpired
				if lease != nil {
					result = RenewSucceeded
					lease.expiresAt = store.now + testTTL
				}
				return once(func() {
					simulation.performActions(index, member.elector.HandleRenewResult(now(), a.LeaseID, result))
				})
			})
			scheduleTimeout(isDone, func() {
				simulation.performActions(index, member.elector.HandleRenewResult(now(), a.LeaseID, RenewUnknown))
			})
		case RevokeLease:
			simulation.sendRequest(index, func() func() {
				if lease := store.leases[a.LeaseID]; lease != nil {
					lease.expiresAt = store.now
					store.expireLeases()
				}
				return func() {}
			})
		case RefreshLock:
			simulation.readLock(index)
		}
	}
}

func (simulation *electionSimulation) readLock(index int) {
	member, store := simulation.members[index], simulation.store
	simulation.sendRequest(index, func() func() {
		lock, revision := store.lock, store.revision
		return func() {
			if revision < member.seenRevision || member.elector.Phase() == Leader && revision < member.elector.Token() {
				return
			}
			member.seenRevision = revision
			simulation.performActions(index, member.elector.ObserveLock(member.localTime(store.now), lock))
		}
	})
}

func TestAtMostOneMemberIsEntitled(t *testing.T) {
	termCount := 0
	for seed := uint64(1); seed <= 80; seed++ {
		simulation := &electionSimulation{rng: rand.New(rand.NewPCG(seed, 2)), store: &fakeStore{now: clock.Second, leases: map[uint64]*fakeLease{}, refusesMember: map[int]bool{}}}
		for i := 0; i < 3; i++ {
			simulation.members = append(simulation.members, &simulatedMember{name: fmt.Sprint("m", i), clockRate: 1 + (simulation.rng.Float64()-0.5)*0.001,
				elector: New(Config{Member: fmt.Sprint("m", i), TTL: testTTL, TimerSlack: 50 * clock.Millisecond})})
		}
		wasEntitled := [3]bool{}
		for simulation.store.now < 240*clock.Second {
			simulation.store.now += 10 * clock.Millisecond
			simulation.store.expireLeases()
			due := simulation.events
			simulation.events = nil
			for _, event := range due {
				if event.at <= simulation.store.now {
					event.run()
				} else {
					simulation.events = append(simulation.events, event)
				}
			}
			switch simulation.rng.IntN(3000) {
			case 0:
				simulation.store.isDown = true
			case 1, 2, 3, 4:
				if simulation.store.isDown {
					simulation.store.isDown = false
					for _, lease := range simulation.store.leases {
						lease.expiresAt = simulation.store.now + testTTL // whole again after an outage
					}
				}
			case 5:
				simulation.store.refusesMember[simulation.rng.IntN(3)] = true
			case 6, 7:
				clear(simulation.store.refusesMember)
			case 8:
				simulation.members[simulation.rng.IntN(3)].pausedUntil = simulation.store.now + clock.Micros(simulation.rng.Int64N(int64(12*clock.Second)))
			case 9, 10:
				if member := simulation.members[simulation.rng.IntN(3)]; member.restartAt == 0 {
					member.restartAt = simulation.store.now + clock.Micros(simulation.rng.Int64N(int64(4*clock.Second))) + 1
				}
			}
			entitledCount := 0
			for i, member := range simulation.members {
				if member.restartAt != 0 {
					if simulation.store.now >= member.restartAt {
						member.restartAt, member.incarnation, member.seenRevision = 0, member.incarnation+1, 0
						member.elector = New(Config{Member: member.name, TTL: testTTL, TimerSlack: 50 * clock.Millisecond})
					}
					continue
				}
				if simulation.store.isDown {
					// Nothing ends in an outage.
					for _, lease := range simulation.store.leases {
						lease.expiresAt = max(lease.expiresAt, simulation.store.now+clock.Second)
					}
				}
				if simulation.store.now >= member.pausedUntil {
					if simulation.rng.IntN(30) == 0 {
						simulation.readLock(i)
					}
					simulation.performActions(i, member.elector.Tick(member.localTime(simulation.store.now)))
				}
				if member.elector.IsEntitled(member.localTime(simulation.store.now)) {
					entitledCount++
					if !wasEntitled[i] {
						termCount++
					}
					wasEntitled[i] = true
				} else {
					wasEntitled[i] = false
				}
			}
			if entitledCount > 1 {
				t.Fatalf("play %d at %d: %d entitled at once", seed, simulation.store.now, entitledCount)
			}
		}
	}
	if termCount < 80 {
		t.Fatalf("only %d reigns in 80 plays", termCount)
	}
}

// A member that comes back ends the lease of its earlier life at once: nobody
// has to wait for the lock's time.
func TestRestartRevokesEarlierLease(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	actions := elector.ObserveLock(1, Lock{Exists: true, Holder: "a", LeaseID: 9, Version: 4})
	if len(actions) == 0 || actions[0] != (Action{Kind: RevokeLease, LeaseID: 9}) {
		t.Fatalf("%v", actions)
	}
	if actions := elector.ObserveLock(2, Lock{Exists: true, Holder: "b", LeaseID: 10, Version: 5}); len(actions) != 0 {
		t.Fatalf("another's lock is touched: %v", actions)
	}
}

// The answer to the winning transaction was lost; the lock itself shows it.
func TestAcquireSurvivesLostResponse(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	elector.ObserveLock(1, Lock{})
	elector.Tick(2)
	if actions := elector.HandleGrantResult(3, 5); len(actions) != 1 || actions[0].Kind != AcquireLock {
		t.Fatalf("%v", actions)
	}
	elector.HandleAcquireResult(4, AcquireUnknown, 0)
	elector.ObserveLock(5, Lock{Exists: true, Holder: "a", LeaseID: 5, Version: 77})
	if elector.Token() != 77 || !elector.IsEntitled(6) {
		t.Fatalf("token %d", elector.Token())
	}
	// The entitlement runs from the send time of the grant, not from now.
	if elector.IsEntitled(2 + testTTL - testTTL/1000) {
		t.Fatal("entitled past the lease")
	}
}

// A lock that vanishes is stood for at once, however it was seen before.
func TestFollowerCampaignsAtOnceWhenLockIsFree(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	foreignLock := Lock{Exists: true, Holder: "b", LeaseID: 1, Version: 1}
	elector.ObserveLock(1, foreignLock)
	elector.Tick(2)
	elector.ObserveLock(3, Lock{})
	if actions := elector.Tick(3); len(actions) != 1 || actions[0].Kind != GrantLease {
		t.Fatalf("%v", actions)
	}
}
