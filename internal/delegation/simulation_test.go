package delegation

import (
	"math/rand/v2"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// heartbeat is a message in transit. It may stay in transit for minutes.
type heartbeat struct {
	from, to       int
	token          uint64 // 0 unless the sender is leader
	timestamp, ack Timestamp
	silentFor      clock.Micros
	arrivesAt      clock.Micros
}

// simulatedController is one process of a member.
type simulatedController struct {
	delegate             *Delegate
	grants               *Grants // nil unless the controller is leader
	token                uint64
	timestamps           map[int]Timestamp // the newest timestamp received from each other member
	acks                 map[int]Timestamp // the timestamps that the controller acknowledges as leader
	clockOffset          clock.Micros
	clockRate            float64 // seconds that the controller's clock advances per second of true time
	cancellationsKnownAt clock.Micros
}

func (controller *simulatedController) localTime(trueTime clock.Micros) clock.Micros {
	return controller.clockOffset + clock.Micros(float64(trueTime)*controller.clockRate)
}

// isNewer reports whether timestamp is newer than other: from a later process, or later in the same one.
func isNewer(timestamp, other Timestamp) bool {
	return timestamp.Incarnation > other.Incarnation ||
		timestamp.Incarnation == other.Incarnation && timestamp.At > other.At
}

// delegationSimulation runs three members with drifting clocks. Heartbeats are lost, delayed and
// reordered, processes restart, members are partitioned from the others, and the leader changes.
type delegationSimulation struct {
	rng             *rand.Rand
	cfg             Config
	names           []string
	now             clock.Micros // true time
	lastIncarnation uint64
	controllers     []*simulatedController
	isCutOff        []bool
	inTransit       []heartbeat
	leaderIndex     int // index of the leader in controllers, or -1 if there is none
	token           uint64
	lastReplyAt     clock.Micros // true time of the last reply by any delegate, or 0 if there was none
	replyCount      int
}

func newDelegationSimulation(seed uint64) *delegationSimulation {
	simulation := &delegationSimulation{
		rng:         rand.New(rand.NewPCG(seed, 9)),
		cfg:         Config{GrantTTL: 20 * clock.Second, LeaderHeartbeatTimeout: 3 * clock.Second, CancellationGrace: 5 * clock.Second},
		names:       []string{"a", "b", "c"},
		now:         1000 * clock.Second,
		controllers: make([]*simulatedController, 3),
		isCutOff:    make([]bool, 3),
		leaderIndex: -1,
	}
	for i := range simulation.controllers {
		simulation.restart(i)
	}
	return simulation
}

func (simulation *delegationSimulation) restart(i int) {
	simulation.lastIncarnation++
	controller := &simulatedController{
		timestamps:  map[int]Timestamp{},
		acks:        map[int]Timestamp{},
		clockOffset: -simulation.now + clock.Micros(simulation.rng.IntN(9000000)),
		clockRate:   1 + (simulation.rng.Float64()-0.5)*0.001,
	}
	controller.delegate = NewDelegate(simulation.cfg, simulation.lastIncarnation, controller.localTime(simulation.now))
	simulation.controllers[i] = controller
	if simulation.leaderIndex == i {
		simulation.leaderIndex = -1
	}
}

// leader returns the controller that is leader, or nil if there is none.
func (simulation *delegationSimulation) leader() *simulatedController {
	if simulation.leaderIndex < 0 {
		return nil
	}
	return simulation.controllers[simulation.leaderIndex]
}

func (simulation *delegationSimulation) step() {
	simulation.now += clock.Micros(simulation.rng.IntN(900)) * clock.Millisecond
	if simulation.rng.IntN(20) == 0 {
		simulation.isCutOff[simulation.rng.IntN(3)] = simulation.rng.IntN(2) == 0
	}
	if simulation.rng.IntN(60) == 0 {
		simulation.restart(simulation.rng.IntN(3))
	}
	if simulation.rng.IntN(40) == 0 {
		simulation.changeLeader()
	}
	for i, controller := range simulation.controllers {
		if controller.grants != nil && simulation.rng.IntN(2) == 0 && !simulation.isCutOff[i] {
			simulation.acknowledgeTimestamps(controller)
		}
		simulation.sendHeartbeats(i)
	}
	simulation.deliverHeartbeats()
	simulation.replyToWorkers()
}

// changeLeader gives the lock to a random member. The deposed leader may give itself a grant.
func (simulation *delegationSimulation) changeLeader() {
	if deposed := simulation.leader(); deposed != nil {
		deposed.delegate.GrantToSelf(deposed.token, deposed.cancellationsKnownAt)
		deposed.grants, deposed.token = nil, 0
	}
	simulation.leaderIndex = simulation.rng.IntN(3)
	simulation.token++
	controller := simulation.leader()
	localNow := controller.localTime(simulation.now)
	others := slices.Delete(slices.Clone(simulation.names), simulation.leaderIndex, simulation.leaderIndex+1)
	controller.token, controller.acks = simulation.token, map[int]Timestamp{}
	controller.grants = NewGrants(simulation.cfg, localNow, controller.delegate.SilentFor(localNow), others)
	controller.cancellationsKnownAt = localNow
}

// acknowledgeTimestamps makes a leader that has just read the store acknowledge all received timestamps.
func (simulation *delegationSimulation) acknowledgeTimestamps(controller *simulatedController) {
	controller.cancellationsKnownAt = controller.localTime(simulation.now)
	for other, timestamp := range controller.timestamps {
		controller.acks[other] = timestamp
		controller.grants.RecordAck(simulation.names[other], controller.localTime(simulation.now))
	}
}

// sendHeartbeats sends heartbeats from one member to some of the others.
func (simulation *delegationSimulation) sendHeartbeats(from int) {
	for to := range simulation.controllers {
		if to == from || simulation.rng.IntN(2) == 0 {
			continue
		}
		message := simulation.newHeartbeat(from, to)
		if simulation.isCutOff[from] || simulation.isCutOff[to] {
			if simulation.rng.IntN(2) == 0 {
				continue
			}
			message.arrivesAt += clock.Micros(simulation.rng.IntN(120)) * clock.Second
		}
		simulation.inTransit = append(simulation.inTransit, message)
	}
}

func (simulation *delegationSimulation) newHeartbeat(from, to int) heartbeat {
	controller := simulation.controllers[from]
	localNow := controller.localTime(simulation.now)
	message := heartbeat{
		from: from, to: to, token: controller.token,
		timestamp: controller.delegate.Timestamp(localNow),
		ack:       controller.timestamps[to],
		silentFor: controller.delegate.SilentFor(localNow),
		arrivesAt: simulation.now + clock.Micros(simulation.rng.IntN(20))*clock.Millisecond,
	}
	if controller.grants != nil {
		message.ack = controller.acks[to]
	}
	return message
}

func (simulation *delegationSimulation) deliverHeartbeats() {
	undelivered := simulation.inTransit[:0]
	for _, message := range simulation.inTransit {
		if message.arrivesAt > simulation.now {
			undelivered = append(undelivered, message)
			continue
		}
		simulation.deliver(message)
	}
	simulation.inTransit = undelivered
}

func (simulation *delegationSimulation) deliver(message heartbeat) {
	controller := simulation.controllers[message.to]
	localNow := controller.localTime(simulation.now)
	if isNewer(message.timestamp, controller.timestamps[message.from]) {
		controller.timestamps[message.from] = message.timestamp
	}
	switch {
	case controller.grants == nil && message.token != 0:
		controller.delegate.RecordLeaderHeartbeat(localNow, message.token, message.ack)
	case controller.grants != nil && controller.delegate.IsOwnTimestamp(message.ack):
		controller.grants.RecordReceipt(simulation.names[message.from], localNow, message.ack.At, message.silentFor)
	}
}

// replyToWorkers makes some members other than the leader reply to a worker as delegates, if they may.
func (simulation *delegationSimulation) replyToWorkers() {
	for _, controller := range simulation.controllers {
		if controller.grants != nil || simulation.rng.IntN(2) == 0 {
			continue
		}
		localNow := controller.localTime(simulation.now)
		if _, until, ok := controller.delegate.MayReply(localNow, simulation.token); ok {
			controller.delegate.RecordReply(min(until, localNow))
			simulation.lastReplyAt = simulation.now
			simulation.replyCount++
		}
	}
}
