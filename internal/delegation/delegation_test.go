package delegation

import (
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// heartbeat is a message on its way, perhaps for minutes.
type heartbeat struct {
	to                int
	token             uint64 // 0: not from a leader
	timestamp, ack    Timestamp
	silentFor         clock.Micros
	from              int
	arrivesAt, sentAt clock.Micros
}

type simulatedController struct {
	delegate    *Delegate
	grants      *Grants
	token       uint64
	timestamps  map[int]Timestamp
	acks        map[int]Timestamp
	clockOffset clock.Micros
	clockRate   float64 // of its clock
	syncedAt    clock.Micros
}

func (controller *simulatedController) localTime(trueTime clock.Micros) clock.Micros {
	return controller.clockOffset + clock.Micros(float64(trueTime)*controller.clockRate)
}

// Over generated histories of beats that are lost, late and out of order, of
// lives that end, leaders that change and clocks that drift: nobody answers as delegate
// later than the leader of the day takes for possible, and no right outlives a
// stamp that a leader has echoed by more than its time.
func TestLatestRenewalBoundsEveryDelegatedAnswer(t *testing.T) {
	answerCount, proofCount := 0, 0
	for seed := uint64(1); seed <= 1500; seed++ {
		rng := rand.New(rand.NewPCG(seed, 9))
		cfg := Config{GrantTTL: 20 * clock.Second, SilenceBeforeActing: 3 * clock.Second, CancellationGrace: 5 * clock.Second}
		names := []string{"a", "b", "c"}
		lastIncarnation := uint64(0)
		controllers := make([]*simulatedController, 3)
		now := 1000 * clock.Second
		restart := func(i int) {
			lastIncarnation++
			controller := &simulatedController{timestamps: map[int]Timestamp{}, acks: map[int]Timestamp{}, clockOffset: -now + clock.Micros(rng.IntN(9000000)), clockRate: 1 + (rng.Float64()-0.5)*0.001}
			controller.delegate = NewDelegate(cfg, lastIncarnation, controller.localTime(now))
			controllers[i] = controller
		}
		for i := range controllers {
			restart(i)
		}
		otherNames := func(i int) []string { return append(append([]string{}, names[:i]...), names[i+1:]...) }
		leaderIndex, token := -1, uint64(0)
		var lastAnswerAt clock.Micros // the latest answering as delegate of anybody, in true time
		isCutOff := [3]bool{}
		var inTransit []heartbeat
		for step := 0; step < 400; step++ {
			now += clock.Micros(rng.IntN(900)) * clock.Millisecond
			if rng.IntN(20) == 0 {
				isCutOff[rng.IntN(3)] = rng.IntN(2) == 0
			}
			if rng.IntN(60) == 0 {
				i := rng.IntN(3)
				restart(i)
				if leaderIndex == i {
					leaderIndex = -1
				}
			}
			if rng.IntN(40) == 0 {
				// The lock passes on; a deposed leader may keep a right of its own.
				if leaderIndex >= 0 {
					deposed := controllers[leaderIndex]
					deposed.delegate.EndTerm(deposed.token, deposed.syncedAt)
					deposed.grants, deposed.token = nil, 0
				}
				leaderIndex = rng.IntN(3)
				token++
				controller := controllers[leaderIndex]
				controller.token, controller.acks = token, map[int]Timestamp{}
				controller.grants = NewGrants(cfg, controller.localTime(now), controller.delegate.SilentFor(controller.localTime(now)), otherNames(leaderIndex))
				controller.syncedAt = controller.localTime(now)
			}
			for i, controller := range controllers {
				if controller.grants != nil && rng.IntN(2) == 0 && !isCutOff[i] {
					controller.syncedAt = controller.localTime(now)
					for other, timestamp := range controller.timestamps {
						controller.acks[other] = timestamp
						controller.grants.RecordAck(names[other], controller.localTime(now))
					}
				}
				for other := range controllers {
					if other == i || rng.IntN(2) == 0 {
						continue
					}
					message := heartbeat{to: other, from: i, token: controller.token, timestamp: controller.delegate.Timestamp(controller.localTime(now)), silentFor: controller.delegate.SilentFor(controller.localTime(now)), sentAt: now, arrivesAt: now + clock.Micros(rng.IntN(20))*clock.Millisecond}
					message.ack = controller.timestamps[other]
					if controller.grants != nil {
						message.ack = controller.acks[other]
					}
					if isCutOff[i] || isCutOff[other] {
						if rng.IntN(2) == 0 {
							continue
						}
						message.arrivesAt += clock.Micros(rng.IntN(120)) * clock.Second
					}
					inTransit = append(inTransit, message)
				}
			}
			undelivered := inTransit[:0]
			for _, message := range inTransit {
				if message.arrivesAt > now {
					undelivered = append(undelivered, message)
					continue
				}
				controller := controllers[message.to]
				if timestamp := controller.timestamps[message.from]; message.timestamp.Incarnation > timestamp.Incarnation || message.timestamp.Incarnation == timestamp.Incarnation && message.timestamp.At > timestamp.At {
					controller.timestamps[message.from] = message.timestamp
				}
				if message.token != 0 && controller.grants == nil {
					controller.delegate.RecordLeaderHeartbeat(controller.localTime(now), message.token, message.ack)
				}
				if controller.grants != nil && controller.delegate.IsOwnStamp(message.ack) {
					controller.grants.RecordReceipt(names[message.from], controller.localTime(now), message.ack.At, message.silentFor)
				}
			}
			inTransit = undelivered
			for i, controller := range controllers {
				if controller.grants != nil || rng.IntN(2) == 0 {
					continue
				}
				if _, until, ok := controller.delegate.MayAnswer(controller.localTime(now), token); ok {
					controller.delegate.RecordAnswer(min(until, controller.localTime(now)))
					lastAnswerAt = now
					answerCount++
				}
				_ = i
			}
			if leaderIndex >= 0 {
				controller := controllers[leaderIndex]
				if latestRenewal := controller.grants.LatestRenewal(controller.localTime(now)); latestRenewal < controller.localTime(lastAnswerAt) && lastAnswerAt != 0 {
					t.Fatalf("history %d, step %d: answered as delegate at %d, the leader takes %d for the latest", seed, step, controller.localTime(lastAnswerAt), latestRenewal)
				}
				if controller.grants.LatestRenewal(controller.localTime(now)) < controller.localTime(now)-10*clock.Second {
					proofCount++
				}
			}
		}
	}
	if answerCount < 1000 || proofCount < 1000 {
		t.Fatalf("%d answers, %d proofs: the histories show little", answerCount, proofCount)
	}
}

// A right lasts from the follower's own stamp on, not from the beat that brings
// it, and it is used only when the leader is not heard.
func TestGrantRunsFromOwnTimestamp(t *testing.T) {
	cfg := NewConfig(66*clock.Second, 36*clock.Second, 3*clock.Second, 18*clock.Second)
	if cfg.GrantTTL+cfg.CancellationGrace+36*clock.Second >= 66*clock.Second || cfg.GrantTTL < 20*clock.Second {
		t.Fatalf("%+v", cfg)
	}
	if derived := NewConfig(30*clock.Second, 28*clock.Second, 3*clock.Second, 9*clock.Second); derived.GrantTTL != 0 {
		t.Fatalf("a right where a cancellation leaves no time: %+v", derived)
	}
	if derived := NewConfig(44*clock.Second, 14*clock.Second, 3*clock.Second, 13*clock.Second); derived.GrantTTL != 0 {
		t.Fatalf("a right where no worker is back in time: %+v", derived)
	}
	delegate := NewDelegate(cfg, 1, clock.Second)
	timestamp := delegate.Timestamp(10 * clock.Second)
	delegate.RecordLeaderHeartbeat(25*clock.Second, 5, timestamp) // fifteen seconds late
	if _, _, ok := delegate.MayAnswer(26*clock.Second, 5); ok {
		t.Fatal("answers as delegate while the leader is heard")
	}
	if _, until, ok := delegate.MayAnswer(29*clock.Second, 5); !ok || until != timestamp.At+cfg.GrantTTL {
		t.Fatalf("until %v, %v", until, ok)
	}
	if _, _, ok := delegate.MayAnswer(29*clock.Second, 6); ok {
		t.Fatal("answers as delegate for a worker that has seen a newer leader")
	}
	delegate.RecordLeaderHeartbeat(30*clock.Second, 6, Timestamp{})
	if token, until, ok := delegate.MayAnswer(34*clock.Second, 5); !ok || token != 6 || until != timestamp.At+cfg.GrantTTL {
		t.Fatalf("under the new leader: token %d until %v, %v", token, until, ok)
	}
	if delegate.RecordLeaderHeartbeat(35*clock.Second, 5, delegate.Timestamp(35*clock.Second)); delegate.grantUntil != timestamp.At+cfg.GrantTTL {
		t.Fatal("a deposed leader extends a right")
	}
	restarted := NewDelegate(cfg, 2, clock.Second)
	restarted.RecordLeaderHeartbeat(20*clock.Second, 5, timestamp)
	if _, _, ok := restarted.MayAnswer(24*clock.Second, 5); ok {
		t.Fatal("a stamp of an earlier life gives a right")
	}
}
