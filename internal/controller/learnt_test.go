package controller

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/wire"
)

// What a leader tells in its beats, some machines at a time, is what the next one
// begins with: images of machines that are still in the same session, and run times.
// Words that make no sense are not believed.
func TestTheNextLeaderGoesOn(t *testing.T) {
	var names []string
	for i := range 2*peer.MaxCachedImageMachines + 3 {
		names = append(names, fmt.Sprintf("i-%02d", i))
	}
	first := rebuilt(t, names...)
	now := first.since
	for i, n := range names {
		m := first.lg.Machines[n]
		first.lg.RecordHeartbeat(m, &wire.Heartbeat{MachineID: n, Incarnation: 3, Sequence: 1, FencingToken: 9}, now)
		m.ImageUsedAt[fmt.Sprintf("img-%02d", i)] = now
	}
	first.pl.RunTimeModel("c").Observe(100, 50, 0.2)
	for range 40 {
		first.pl.ObserveBoot(first.c.types[0].Name, 20*clock.Second)
	}

	second := rebuilt(t, names...).c
	for range 3 {
		b := &peer.Heartbeat{Member: "b", Leader: "b", Token: 9}
		first.tell(b)
		if len(b.CachedImages) > peer.MaxCachedImageMachines {
			t.Fatalf("one beat tells of %d machines", len(b.CachedImages))
		}
		b, err := peer.Decode(peer.Encode(b)[4:])
		if err != nil {
			t.Fatal(err)
		}
		second.learn(b, now)
	}
	second.learn(&peer.Heartbeat{RunTimes: []peer.RunTimeStatistics{
		{Class: "c", Count: 1, Mean: math.Log(0.5), MeanSquare: math.Log(0.5) * math.Log(0.5)},
		{Class: "d", Count: 9, Mean: math.NaN(), MeanSquare: 1}, {Class: "e", Count: 9, Mean: 3, MeanSquare: 1},
	}, BootTimes: []peer.BootTimes{{MachineType: "none", Durations: []clock.Micros{clock.Second}}}}, now)

	// What has not changed is not told again, what has is, and all of it once a member
	// is back that may not have heard it.
	told := func(beats int) (machines []string) {
		for range beats {
			b := &peer.Heartbeat{Member: "b", Leader: "b", Token: 9}
			first.tell(b)
			for _, h := range b.CachedImages {
				machines = append(machines, h.Machine)
			}
		}
		return machines
	}
	if again := told(3); len(again) > 0 {
		t.Errorf("told again: %v", again)
	}
	first.lg.Machines["i-07"].ImageUsedAt["another"] = now
	if news := told(3); !slices.Equal(news, []string{"i-07"}) {
		t.Errorf("news are %v", news)
	}
	first.c.lead = first
	first.c.heard(&peer.Heartbeat{Member: "b", Incarnation: 5, Timestamp: 1})
	if all := told(3); len(all) != len(names) {
		t.Errorf("a member that is back is told of %d machines", len(all))
	}

	l := newLead(second, 10, clock.Now())
	for i, n := range names {
		m := l.lg.Machines[n]
		session := uint64(3 + i%2) // every second one has lost all it had
		l.lg.RecordHeartbeat(m, &wire.Heartbeat{MachineID: n, Incarnation: session, Sequence: 2, FencingToken: 10}, l.since+clock.Second)
		if _, holds := m.ImageUsedAt[fmt.Sprintf("img-%02d", i)]; holds != (session == 3) {
			t.Errorf("%s in session %d: said to hold its image %v", n, session, holds)
		}
	}
	if boot := l.pl.BootTime(l.c.types[0].Name, 50); boot < 19*clock.Second || boot > 21*clock.Second {
		t.Errorf("machines are expected to boot in %.1f s, not as long as the last leader saw", boot.Seconds())
	}
	for class, want := range map[string]float64{"c": 50, "d": 100, "e": 100} {
		if got := l.pl.RunTimeModel(class).PredictedSeconds(100); math.Abs(got-want) > 1e-9 {
			t.Errorf("class %s: predicted to run %.1f s, want %.1f", class, got, want)
		}
	}
}
