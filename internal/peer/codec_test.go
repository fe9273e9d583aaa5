package peer

import (
	"reflect"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/seed"
	"firwood.dev/firwood/internal/standby"
)

func TestMain(m *testing.M) { seed.Main(m) }

func heartbeatGenerator() *rapid.Generator[Heartbeat] {
	return rapid.Custom(func(t *rapid.T) Heartbeat {
		heartbeat := Heartbeat{
			Member: rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "member"), IsStoreReachable: rapid.Bool().Draw(t, "served"),
			Leader: rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "leader"), Token: rapid.Uint64().Draw(t, "token"),
			WorkerCount: rapid.Uint32().Draw(t, "workers"),
		}
		for i := rapid.IntRange(0, 5).Draw(t, "counts"); i > 0; i-- {
			heartbeat.JobProgress = append(heartbeat.JobProgress, JobProgress{Job: rapid.String().Draw(t, "job"), Done: rapid.Uint32().Draw(t, "done"), Running: rapid.Uint32().Draw(t, "running")})
		}
		for i := rapid.IntRange(0, 3).Draw(t, "holdings"); i > 0; i-- {
			machineImages := CachedImages{Machine: rapid.StringMatching(`i-[0-9]{1,6}`).Draw(t, "machine"), Incarnation: rapid.Uint64().Draw(t, "session")}
			for k := rapid.IntRange(0, 4).Draw(t, "images"); k > 0; k-- {
				machineImages.Images = append(machineImages.Images, rapid.String().Draw(t, "image"))
			}
			heartbeat.CachedImages = append(heartbeat.CachedImages, machineImages)
		}
		for i := rapid.IntRange(0, 3).Draw(t, "runs"); i > 0; i-- {
			heartbeat.RunTimes = append(heartbeat.RunTimes, RunTimeStatistics{
				Class: rapid.String().Draw(t, "class"), Count: rapid.Uint32().Draw(t, "count"),
				Mean: rapid.Float64Range(-9, 9).Draw(t, "mean"), MeanSquare: rapid.Float64Range(0, 81).Draw(t, "square"),
			})
		}
		heartbeat.ProgressPageCount = rapid.Uint32().Draw(t, "counts of")
		for i := rapid.IntRange(0, 3).Draw(t, "boot times"); i > 0; i-- {
			heartbeat.BootTimes = append(heartbeat.BootTimes, BootTimes{
				MachineType: rapid.String().Draw(t, "type"), Durations: []clock.Micros{clock.Micros(rapid.Int64().Draw(t, "boot"))},
			})
		}
		heartbeat.StoreRevision = rapid.Uint64().Draw(t, "revision")
		for i := rapid.IntRange(0, 3).Draw(t, "withdrawals"); i > 0; i-- {
			heartbeat.Cancellations = append(heartbeat.Cancellations, Cancellation{
				Job: rapid.String().Draw(t, "withdrawn job"), Revision: rapid.Uint64().Draw(t, "withdrawn at revision"),
				CancelledAt: clock.Micros(rapid.Int64().Draw(t, "withdrawn at")),
			})
		}
		heartbeat.StandbyProtocolVersion = rapid.Uint8().Draw(t, "standby version")
		if rapid.Bool().Draw(t, "has message") {
			heartbeat.StandbyMessage = messageGenerator().Draw(t, "message")
		}
		if rapid.Bool().Draw(t, "has position") {
			heartbeat.StandbyPosition = &standby.Position{
				ProtocolVersion: rapid.Uint8().Draw(t, "version"),
				Incarnation:     rapid.Uint64().Draw(t, "replica's life"), Token: rapid.Uint64().Draw(t, "replica's token"),
				IsComplete: rapid.Bool().Draw(t, "complete"), Sequence: rapid.Uint64().Draw(t, "sequence"),
				SnapshotSequence: rapid.Uint64().Draw(t, "building"), SnapshotParts: rapid.IntRange(0, standby.MaxSnapshotParts).Draw(t, "parts"),
			}
		}
		return heartbeat
	})
}

func placementGenerator() *rapid.Generator[standby.Placement] {
	return rapid.Custom(func(t *rapid.T) standby.Placement {
		return standby.Placement{
			Task: rapid.String().Draw(t, "task"), Attempt: rapid.Uint64().Draw(t, "attempt"),
			Machine: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "machine"),
		}
	})
}

func messageGenerator() *rapid.Generator[*standby.Message] {
	return rapid.Custom(func(t *rapid.T) *standby.Message {
		message := &standby.Message{Token: rapid.Uint64().Draw(t, "token"), AfterSequence: rapid.Uint64().Draw(t, "after")}
		for _, placement := range rapid.SliceOfN(placementGenerator(), 0, 3).Draw(t, "decisions") {
			kind := rapid.SampledFrom([]standby.DecisionKind{standby.Started, standby.Ended}).Draw(t, "kind")
			message.Decisions = append(message.Decisions, standby.Decision{Kind: kind, Placement: placement})
		}
		if rapid.Bool().Draw(t, "has part") {
			message.Part = &standby.SnapshotPart{Sequence: rapid.Uint64().Draw(t, "part's sequence"), Index: 1, PartCount: 2, Digest: rapid.Uint64().Draw(t, "digest")}
			message.Part.Placements = append(message.Part.Placements, rapid.SliceOfN(placementGenerator(), 0, 3).Draw(t, "placements")...)
		}
		if rapid.Bool().Draw(t, "has check") {
			message.Check = &standby.DigestCheck{Sequence: rapid.Uint64().Draw(t, "checked"), Digest: rapid.Uint64().Draw(t, "check")}
		}
		return message
	})
}

// The largest messages of a stream fit into a frame, whatever jobs and machines are called.
func TestLargestStandbyMessageFitsFrame(t *testing.T) {
	longest := standby.Placement{Task: strings.Repeat("t", 140), Attempt: 1 << 60, Machine: strings.Repeat("m", 64)}
	var decisions, part standby.Message
	part.Part = &standby.SnapshotPart{PartCount: 1}
	for i := range standby.MaxDecisions {
		placement := longest
		placement.Machine += strconv.Itoa(i) // strings that are alike are written once
		decisions.Decisions = append(decisions.Decisions, standby.Decision{Kind: standby.Started, Placement: placement})
		part.Part.Placements = append(part.Part.Placements, placement)
	}
	for name, message := range map[string]*standby.Message{"decisions": &decisions, "part": &part} {
		if frame := Encode(&Heartbeat{Member: "n1", StandbyFrame: StandbyFrame{StandbyMessage: message}}); len(frame) > MaxFrame {
			t.Errorf("%s: %d bytes", name, len(frame))
		}
	}
}

// A message over its bounds is refused as malformed.
func TestOversizedStandbyMessageIsRefused(t *testing.T) {
	message := &standby.Message{Token: 1, Decisions: make([]standby.Decision, standby.MaxDecisions+1)}
	var frames FrameReader
	if err := frames.Feed(Encode(&Heartbeat{Member: "n1", StandbyFrame: StandbyFrame{StandbyMessage: message}}), func(*Heartbeat) { t.Error("taken") }); err == nil {
		t.Error("not refused")
	}
}

// Beats come out as they went in, however the stream is cut.
func TestHeartbeatsSurviveAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(heartbeatGenerator(), 1, 4).Draw(t, "beats")
		var stream []byte
		for i := range in {
			stream = append(stream, Encode(&in[i])...)
		}
		var reader FrameReader
		var out []Heartbeat
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "piece")
			if err := reader.Feed(stream[:n], func(heartbeat *Heartbeat) { out = append(out, *heartbeat) }); err != nil {
				t.Fatal(err)
			}
			stream = stream[n:]
		}
		if !reflect.DeepEqual(in, out) {
			t.Fatalf("got %+v, want %+v", out, in)
		}
	})
}

// Garbage on the peers' port is refused; it neither panics nor piles up.
func TestGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeat := heartbeatGenerator().Draw(t, "beat")
		frame := append([]byte(nil), Encode(&heartbeat)...)
		for i := rapid.IntRange(1, 6).Draw(t, "changes"); i > 0; i-- {
			frame[rapid.IntRange(0, len(frame)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		var reader FrameReader
		if err := reader.Feed(frame, func(*Heartbeat) {}); err == nil && len(reader.buffer) > MaxFrame+4 {
			t.Fatalf("%d bytes are kept", len(reader.buffer))
		}
		if heartbeat, err := Decode(rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "bytes")); err == nil && heartbeat.Member == "" {
			t.Fatal("a beat of nobody")
		}
	})
}

// Names as long as users like don't make a frame that receivers refuse; what matters
// goes all the same.
func TestLargeHeartbeatsFitFrame(t *testing.T) {
	longName := strings.Repeat("x", 2000)
	heartbeat := &Heartbeat{Member: "a", Leader: "a", Token: 7}
	for range MaxCachedImageMachines {
		machineImages := CachedImages{Machine: "i-1", Incarnation: 1}
		for range MaxImagesPerMachine {
			machineImages.Images = append(machineImages.Images, longName)
		}
		heartbeat.CachedImages = append(heartbeat.CachedImages, machineImages)
	}
	for range MaxJobProgress {
		heartbeat.JobProgress = append(heartbeat.JobProgress, JobProgress{Job: "req-000001", Done: 1})
	}
	heartbeat.Cancellations = []Cancellation{{Job: "req-000002", Revision: 3}}
	for _, withLongJobs := range []bool{false, true} {
		if withLongJobs {
			for i := range heartbeat.JobProgress {
				heartbeat.JobProgress[i].Job = longName
			}
		}
		var got *Heartbeat
		var frames FrameReader
		if err := frames.Feed(Encode(heartbeat), func(heartbeat *Heartbeat) { got = heartbeat }); err != nil || got == nil {
			t.Fatalf("refused: %v", err)
		}
		if got.Token != 7 || len(got.Cancellations) != 1 || len(got.CachedImages) != 0 {
			t.Errorf("received %+v", got)
		}
		if (len(got.JobProgress) == MaxJobProgress) == withLongJobs {
			t.Errorf("%d counts", len(got.JobProgress))
		}
	}
}
