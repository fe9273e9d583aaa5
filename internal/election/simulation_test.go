package election

import (
	"fmt"
	"math/rand/v2"

	"firwood.dev/firwood/internal/clock"
)

const (
	testTTL        = 6 * clock.Second
	testTimerSlack = 50 * clock.Millisecond
	// requestTimeout is how long a member waits before it treats a response as lost.
	requestTimeout = 3 * clock.Second
	memberCount    = 3
)

type simulatedMember struct {
	name         string
	clockRate    float64 // seconds that the member's clock advances per second of true time
	elector      *Elector
	pausedUntil  clock.Micros
	restartAt    clock.Micros // when the member restarts, or 0 while it runs
	incarnation  int
	seenRevision uint64
	wasEntitled  bool
}

func newElector(name string) *Elector {
	return New(Config{Member: name, TTL: testTTL, TimerSlack: testTimerSlack})
}

func (member *simulatedMember) localTime(now clock.Micros) clock.Micros {
	return clock.Micros(float64(now) * member.clockRate)
}

func (member *simulatedMember) restart() {
	member.restartAt, member.incarnation, member.seenRevision = 0, member.incarnation+1, 0
	member.elector = newElector(member.name)
}

type scheduledEvent struct {
	at  clock.Micros
	run func()
}

// electionSimulation runs members with drifting clocks against a fake store. Requests and responses are
// delayed or lost, members pause, crash and restart, and the store is unavailable to all members or to
// one of them.
type electionSimulation struct {
	rng       *rand.Rand
	store     *fakeStore
	members   []*simulatedMember
	events    []scheduledEvent
	termCount int
}

func newElectionSimulation(seed uint64) *electionSimulation {
	simulation := &electionSimulation{
		rng:   rand.New(rand.NewPCG(seed, 2)),
		store: &fakeStore{now: clock.Second, leases: map[uint64]*fakeLease{}, isUnreachableFor: map[int]bool{}},
	}
	for i := range memberCount {
		name := fmt.Sprint("m", i)
		clockRate := 1 + (simulation.rng.Float64()-0.5)*0.001
		simulation.members = append(simulation.members, &simulatedMember{name: name, clockRate: clockRate, elector: newElector(name)})
	}
	return simulation
}

func (simulation *electionSimulation) scheduleWithin(maxDelay clock.Micros, run func()) {
	at := simulation.store.now + clock.Micros(simulation.rng.Int64N(int64(maxDelay)))
	simulation.events = append(simulation.events, scheduledEvent{at, run})
}

// sendRequest simulates a request to the store and its response, either of which may be lost or delayed.
// execute carries the request out in the store and returns a function that delivers the response to the
// member.
func (simulation *electionSimulation) sendRequest(index int, execute func() func()) {
	member := simulation.members[index]
	incarnation := member.incarnation
	delay := 40 * clock.Millisecond
	if simulation.rng.IntN(6) == 0 {
		delay = 4 * clock.Second
	}
	isResponseLost := simulation.rng.IntN(15) == 0
	simulation.scheduleWithin(delay, func() {
		var deliverResponse func()
		if !simulation.store.isDown && !simulation.store.isUnreachableFor[index] {
			deliverResponse = execute()
		}
		simulation.scheduleWithin(delay, func() {
			if member.incarnation == incarnation && member.restartAt == 0 && !isResponseLost && deliverResponse != nil {
				deliverResponse()
			}
		})
	})
}

// call is a request whose result is handled once: when the response arrives or, as unknown, at the
// timeout.
type call struct {
	simulation *electionSimulation
	index      int
	member     *simulatedMember
	isDone     bool
}

func (simulation *electionSimulation) newCall(index int) *call {
	return &call{simulation: simulation, index: index, member: simulation.members[index]}
}

// finish passes a result to the elector and performs the resulting actions, unless the call is done.
func (call *call) finish(handleResult func(now clock.Micros) []Action) {
	if call.isDone {
		return
	}
	call.isDone = true
	now := call.member.localTime(call.simulation.store.now)
	call.simulation.performActions(call.index, handleResult(now))
}

// finishAtTimeout calls finish at the timeout if the member's process still runs then.
func (call *call) finishAtTimeout(handleResult func(now clock.Micros) []Action) {
	incarnation := call.member.incarnation
	at := call.simulation.store.now + requestTimeout
	call.simulation.events = append(call.simulation.events, scheduledEvent{at, func() {
		if call.member.incarnation == incarnation && call.member.restartAt == 0 {
			call.finish(handleResult)
		}
	}})
}

func (simulation *electionSimulation) performActions(index int, actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case GrantLease:
			simulation.requestLease(index)
		case AcquireLock:
			simulation.acquireLock(index, action.LeaseID)
		case RenewLease:
			simulation.renewLease(index, action.LeaseID)
		case RevokeLease:
			simulation.sendRequest(index, func() func() {
				simulation.store.revokeLease(action.LeaseID)
				return func() {}
			})
		case RefreshLock:
			simulation.readLock(index)
		}
	}
}

func (simulation *electionSimulation) requestLease(index int) {
	call := simulation.newCall(index)
	simulation.sendRequest(index, func() func() {
		id := simulation.store.grantLease()
		return func() {
			call.finish(func(now clock.Micros) []Action { return call.member.elector.HandleGrantResult(now, id) })
		}
	})
	call.finishAtTimeout(func(now clock.Micros) []Action { return call.member.elector.HandleGrantResult(now, 0) })
}

func (simulation *electionSimulation) acquireLock(index int, leaseID uint64) {
	call := simulation.newCall(index)
	simulation.sendRequest(index, func() func() {
		result, version := simulation.store.acquireLock(call.member.name, leaseID)
		return func() {
			call.finish(func(now clock.Micros) []Action {
				return call.member.elector.HandleAcquireResult(now, result, version)
			})
		}
	})
	call.finishAtTimeout(func(now clock.Micros) []Action {
		return call.member.elector.HandleAcquireResult(now, AcquireUnknown, 0)
	})
}

func (simulation *electionSimulation) renewLease(index int, leaseID uint64) {
	call := simulation.newCall(index)
	simulation.sendRequest(index, func() func() {
		result := simulation.store.renewLease(leaseID)
		return func() {
			call.finish(func(now clock.Micros) []Action {
				return call.member.elector.HandleRenewResult(now, leaseID, result)
			})
		}
	})
	call.finishAtTimeout(func(now clock.Micros) []Action {
		return call.member.elector.HandleRenewResult(now, leaseID, RenewUnknown)
	})
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

func (simulation *electionSimulation) runDueEvents() {
	due := simulation.events
	simulation.events = nil
	for _, event := range due {
		if event.at <= simulation.store.now {
			event.run()
		} else {
			simulation.events = append(simulation.events, event)
		}
	}
}

// injectFault occasionally begins or ends a random fault.
func (simulation *electionSimulation) injectFault() {
	rng, store := simulation.rng, simulation.store
	switch rng.IntN(3000) {
	case 0:
		store.isDown = true
	case 1, 2, 3, 4:
		store.endOutage()
	case 5:
		store.isUnreachableFor[rng.IntN(memberCount)] = true
	case 6, 7:
		clear(store.isUnreachableFor)
	case 8:
		simulation.members[rng.IntN(memberCount)].pausedUntil = store.now + clock.Micros(rng.Int64N(int64(12*clock.Second)))
	case 9, 10:
		if member := simulation.members[rng.IntN(memberCount)]; member.restartAt == 0 {
			member.restartAt = store.now + clock.Micros(rng.Int64N(int64(4*clock.Second))) + 1
		}
	}
}

// stepMember lets a member act, and reports whether the member is entitled afterwards.
func (simulation *electionSimulation) stepMember(index int) bool {
	member, store := simulation.members[index], simulation.store
	if member.restartAt != 0 {
		if store.now >= member.restartAt {
			member.restart()
		}
		return false
	}
	store.extendLeasesInOutage()
	if store.now >= member.pausedUntil {
		if simulation.rng.IntN(30) == 0 {
			simulation.readLock(index)
		}
		simulation.performActions(index, member.elector.Tick(member.localTime(store.now)))
	}
	isEntitled := member.elector.IsEntitled(member.localTime(store.now))
	if isEntitled && !member.wasEntitled {
		simulation.termCount++
	}
	member.wasEntitled = isEntitled
	return isEntitled
}

// step advances the time and returns how many members are entitled afterwards.
func (simulation *electionSimulation) step() (entitledCount int) {
	simulation.store.now += 10 * clock.Millisecond
	simulation.store.expireLeases()
	simulation.runDueEvents()
	simulation.injectFault()
	for i := range simulation.members {
		if simulation.stepMember(i) {
			entitledCount++
		}
	}
	return entitledCount
}
