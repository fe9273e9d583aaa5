package peer

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/standby"
)

// BenchmarkStream measures what a task's start and end cost the leader and two followers,
// and what goes over the links, by the size of the account: four tasks to a machine.
func BenchmarkStream(b *testing.B) {
	for _, machines := range []int{500, 1500, 4000} {
		b.Run(fmt.Sprint(machines, "machines"), func(b *testing.B) { benchmarkStream(b, 4*machines) })
	}
}

func benchmarkStream(b *testing.B, placements int) {
	followers := map[string]*standby.Replica{"n1": standby.NewReplica(1), "n2": standby.NewReplica(2)}
	publisher := standby.NewPublisher(9, nil, []string{"n1", "n2"})
	started := func(i int) standby.Decision {
		return standby.Decision{Kind: standby.Started, Placement: placement(i)}
	}
	for i := range placements {
		publisher.Decide(started(i))
	}
	now := clock.Second
	bytes := 0
	pump := func() {
		for name, replica := range followers {
			for {
				message, ok := publisher.Next(name, now)
				if !ok {
					break
				}
				frame := Encode(&Beat{Member: "n0", Message: message})
				bytes += len(frame)
				received, err := Decode(frame[4:])
				if err != nil {
					b.Fatal(err)
				}
				position := replica.Take(received.Message)
				publisher.Answered(name, position)
			}
		}
	}
	pump()
	b.ReportMetric(0, "snapshot-bytes")
	snapshot := bytes
	bytes = 0
	// Ten decisions in a message, as a plan of a busy fleet makes them.
	const together = 10
	for i := 0; b.Loop(); i++ {
		now += 50 * clock.Millisecond
		for k := range together {
			number := i*together + k
			publisher.Decide(standby.Decision{Kind: standby.Over, Placement: placement(number)})
			publisher.Decide(started(number + placements))
		}
		pump()
	}
	b.ReportMetric(float64(snapshot)/2, "snapshot-bytes")
	b.ReportMetric(float64(bytes)/float64(2*2*together*b.N), "bytes/decision")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*together*b.N), "ns/decision")
}

func placement(number int) standby.Placement {
	return standby.Placement{Task: fmt.Sprintf("req-%06d/%d", number/10, number%10), Attempt: uint64(number), Machine: fmt.Sprintf("i-%06d", number/4)}
}
