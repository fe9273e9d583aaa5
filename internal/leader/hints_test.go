package leader

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/wire"
)

// The next leader starts with the hints from its predecessor's heartbeats, each of which covers only some
// machines: cached images of machines that are still in the same incarnation, run times and boot times.
// Impossible hints are ignored.
func TestNextLeaderRestoresHints(t *testing.T) {
	var names []string
	for i := range 2*peer.MaxCachedImageMachines + 3 {
		names = append(names, fmt.Sprintf("i-%02d", i))
	}
	firstTerm := newTestTerm(t, names...)
	now := firstTerm.liveness.startedAt
	for i, name := range names {
		machine := firstTerm.tracker.Machines[name]
		firstTerm.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: name, Incarnation: 3, Sequence: 1, FencingToken: 9}, now)
		machine.ImageUsedAt[fmt.Sprintf("img-%02d", i)] = now
	}
	firstTerm.scheduler.RunTimeModel("c").Observe(100, 50, 0.2)
	for range 40 {
		firstTerm.scheduler.ObserveBoot(firstTerm.host.MachineTypes()[0].Name, 20*clock.Second)
	}

	nextOwner := ownerOf(newTestTerm(t, names...))
	maxMachines := 2 * len(nextOwner.View.ScaleOuts) * peer.MaxCachedImageMachines
	for range 3 {
		heartbeat := &peer.Heartbeat{Member: "b", Leader: "b", Token: 9}
		firstTerm.addHints(heartbeat)
		if len(heartbeat.CachedImages) > peer.MaxCachedImageMachines {
			t.Fatalf("one heartbeat has hints for %d machines, want at most MaxCachedImageMachines", len(heartbeat.CachedImages))
		}
		heartbeat, err := peer.Decode(peer.Encode(heartbeat)[4:])
		if err != nil {
			t.Fatal(err)
		}
		nextOwner.Hints.Store(heartbeat, maxMachines, now)
	}
	nextOwner.Hints.Store(&peer.Heartbeat{LeaderHints: peer.LeaderHints{RunTimes: []peer.RunTimeStatistics{
		{Class: "c", Count: 1, Mean: math.Log(0.5), MeanSquare: math.Log(0.5) * math.Log(0.5)},
		{Class: "d", Count: 9, Mean: math.NaN(), MeanSquare: 1}, {Class: "e", Count: 9, Mean: 3, MeanSquare: 1},
	}, BootTimes: []peer.BootTimes{{MachineType: "none", Durations: []clock.Micros{clock.Second}}}}}, maxMachines, now)

	// Unchanged hints are not sent again, while changed ones are. All hints are sent again once a member
	// that may have missed some is back.
	sentMachines := func(heartbeats int) (machines []string) {
		for range heartbeats {
			heartbeat := &peer.Heartbeat{Member: "b", Leader: "b", Token: 9}
			firstTerm.addHints(heartbeat)
			for _, images := range heartbeat.CachedImages {
				machines = append(machines, images.Machine)
			}
		}
		return machines
	}
	if again := sentMachines(3); len(again) > 0 {
		t.Errorf("unchanged hints are sent again for %v", again)
	}
	firstTerm.tracker.Machines["i-07"].ImageUsedAt["another"] = now
	if changed := sentMachines(3); !slices.Equal(changed, []string{"i-07"}) {
		t.Errorf("changed hints are sent for %v, want i-07 alone", changed)
	}
	firstTerm.ResendHints(clock.Now())
	if all := sentMachines(3); len(all) != len(names) {
		t.Errorf("after ResendHints, hints are sent for %d machines, want all", len(all))
	}

	term := nextOwner.newTerm(10, clock.Now())
	for i, name := range names {
		machine := term.tracker.Machines[name]
		incarnation := uint64(3 + i%2) // every second machine is in a new incarnation, without images
		term.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: name, Incarnation: incarnation, Sequence: 2, FencingToken: 10}, term.liveness.startedAt+clock.Second)
		if _, hasImage := machine.ImageUsedAt[fmt.Sprintf("img-%02d", i)]; hasImage != (incarnation == 3) {
			t.Errorf("%s in incarnation %d: image cached %v, want the opposite", name, incarnation, hasImage)
		}
	}
	if boot := term.scheduler.BootTime(term.host.MachineTypes()[0].Name, 50); boot < 19*clock.Second || boot > 21*clock.Second {
		t.Errorf("machines are expected to boot in %.1f s, want about 20 s as observed by the previous leader", boot.Seconds())
	}
	for class, want := range map[string]float64{"c": 50, "d": 100, "e": 100} {
		if got := term.scheduler.RunTimeModel(class).PredictedSeconds(100); math.Abs(got-want) > 1e-9 {
			t.Errorf("class %s: predicted to run %.1f s, want %.1f", class, got, want)
		}
	}
}
