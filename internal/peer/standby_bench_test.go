package peer

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/standby"
)

// BenchmarkStandbyStream measures the time that the leader and two followers spend on the start or end
// of a task, and the bytes that the leader sends. It uses allocation tables for several numbers of
// machines, with four tasks per machine.
func BenchmarkStandbyStream(b *testing.B) {
	for _, machines := range []int{500, 1500, 4000} {
		b.Run(fmt.Sprint(machines, "machines"), func(b *testing.B) { benchmarkStandbyStream(b, 4*machines) })
	}
}

func benchmarkStandbyStream(b *testing.B, placementCount int) {
	followers := map[string]*standby.Replica{"n1": standby.NewReplica(1), "n2": standby.NewReplica(2)}
	publisher := standby.NewPublisher(9, []string{"n1", "n2"})
	startDecision := func(i int) standby.Decision {
		return standby.Decision{Kind: standby.Started, Placement: benchmarkPlacement(i)}
	}
	for i := range placementCount {
		publisher.AppendDecision(startDecision(i))
	}
	now := clock.Second
	sentBytes := 0
	exchange := func() {
		for name, replica := range followers {
			for {
				message, ok := publisher.NextMessage(name, now)
				if !ok {
					break
				}
				frame := Encode(&Heartbeat{Member: "n0", StandbyFrame: StandbyFrame{StandbyMessage: message}})
				sentBytes += len(frame)
				received, err := Decode(frame[sizePrefixLength:])
				if err != nil {
					b.Fatal(err)
				}
				position := replica.ApplyMessage(received.StandbyMessage)
				publisher.RecordPosition(name, position)
			}
		}
	}
	exchange()
	b.ReportMetric(0, "snapshot-bytes")
	snapshotBytes := sentBytes
	sentBytes = 0
	// In a busy fleet, one scheduling cycle starts and ends about ten tasks.
	const tasksPerMessage = 10
	for i := 0; b.Loop(); i++ {
		now += 50 * clock.Millisecond
		for k := range tasksPerMessage {
			number := i*tasksPerMessage + k
			publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: benchmarkPlacement(number)})
			publisher.AppendDecision(startDecision(number + placementCount))
		}
		exchange()
	}
	b.ReportMetric(float64(snapshotBytes)/2, "snapshot-bytes")
	b.ReportMetric(float64(sentBytes)/float64(2*2*tasksPerMessage*b.N), "bytes/decision")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*tasksPerMessage*b.N), "ns/decision")
}

func benchmarkPlacement(number int) standby.Placement {
	return standby.Placement{Task: fmt.Sprintf("req-%06d/%d", number/10, number%10), Attempt: uint64(number), Machine: fmt.Sprintf("i-%06d", number/4)}
}
