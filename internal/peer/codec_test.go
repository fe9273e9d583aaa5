package peer

import (
	"errors"
	"fmt"
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
			Member: rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "member"), IsStoreReachable: rapid.Bool().Draw(t, "store reachable"),
			Leader: rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "leader"), Token: rapid.Uint64().Draw(t, "token"),
			WorkerCount: rapid.Uint32().Draw(t, "workers"),
		}
		heartbeat.LeaderHints = drawLeaderHints(t)
		heartbeat.StoreRevision = rapid.Uint64().Draw(t, "revision")
		for i := rapid.IntRange(0, 3).Draw(t, "cancellations"); i > 0; i-- {
			heartbeat.Cancellations = append(heartbeat.Cancellations, Cancellation{
				Job: rapid.String().Draw(t, "cancelled job"), Revision: rapid.Uint64().Draw(t, "revision of the cancellation"),
				CancelledAt: clock.Micros(rapid.Int64().Draw(t, "cancelled at")),
			})
		}
		heartbeat.StandbyProtocolVersion = rapid.Uint8().Draw(t, "standby protocol version")
		heartbeat.StandbyFrame = drawStandbyFrame(t)
		return heartbeat
	})
}

func drawLeaderHints(t *rapid.T) LeaderHints {
	var hints LeaderHints
	for i := rapid.IntRange(0, 5).Draw(t, "jobs with progress"); i > 0; i-- {
		hints.JobProgress = append(hints.JobProgress, JobProgress{Job: rapid.String().Draw(t, "job"), Done: rapid.Uint32().Draw(t, "done"), Running: rapid.Uint32().Draw(t, "running")})
	}
	for i := rapid.IntRange(0, 3).Draw(t, "machines with images"); i > 0; i-- {
		machineImages := CachedImages{Machine: rapid.StringMatching(`i-[0-9]{1,6}`).Draw(t, "machine"), Incarnation: rapid.Uint64().Draw(t, "incarnation")}
		for k := rapid.IntRange(0, 4).Draw(t, "images"); k > 0; k-- {
			machineImages.Images = append(machineImages.Images, rapid.String().Draw(t, "image"))
		}
		hints.CachedImages = append(hints.CachedImages, machineImages)
	}
	for i := rapid.IntRange(0, 3).Draw(t, "classes with run times"); i > 0; i-- {
		hints.RunTimes = append(hints.RunTimes, RunTimeStatistics{
			Class: rapid.String().Draw(t, "class"), Count: rapid.Uint32().Draw(t, "count"),
			Mean: rapid.Float64Range(-9, 9).Draw(t, "mean"), MeanSquare: rapid.Float64Range(0, 81).Draw(t, "mean square"),
		})
	}
	hints.ProgressPageCount = rapid.Uint32().Draw(t, "progress page count")
	for i := rapid.IntRange(0, 3).Draw(t, "machine types with boot times"); i > 0; i-- {
		hints.BootTimes = append(hints.BootTimes, BootTimes{
			MachineType: rapid.String().Draw(t, "machine type"), Durations: []clock.Micros{clock.Micros(rapid.Int64().Draw(t, "boot time"))},
		})
	}
	return hints
}

func drawStandbyFrame(t *rapid.T) StandbyFrame {
	var frame StandbyFrame
	if rapid.Bool().Draw(t, "has message") {
		frame.StandbyMessage = standbyMessageGenerator().Draw(t, "message")
	}
	if rapid.Bool().Draw(t, "has position") {
		frame.StandbyPosition = &standby.Position{
			ProtocolVersion: rapid.Uint8().Draw(t, "protocol version"),
			Incarnation:     rapid.Uint64().Draw(t, "replica's incarnation"), Token: rapid.Uint64().Draw(t, "replica's token"),
			IsComplete: rapid.Bool().Draw(t, "complete"), Sequence: rapid.Uint64().Draw(t, "sequence"),
			SnapshotSequence: rapid.Uint64().Draw(t, "snapshot sequence"), SnapshotParts: rapid.IntRange(0, standby.MaxSnapshotParts).Draw(t, "snapshot parts"),
		}
	}
	return frame
}

func placementGenerator() *rapid.Generator[standby.Placement] {
	return rapid.Custom(func(t *rapid.T) standby.Placement {
		return standby.Placement{
			Task: rapid.String().Draw(t, "task"), Attempt: rapid.Uint64().Draw(t, "attempt"),
			Machine: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "machine"),
		}
	})
}

func standbyMessageGenerator() *rapid.Generator[*standby.Message] {
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

// A standby message with the maximum number of decisions or placements fits into a frame, even with long
// names of tasks and machines. Encode can't shorten standby messages, and a receiver closes the link on a
// larger frame.
func TestLargestStandbyMessageFitsFrame(t *testing.T) {
	longestPlacement := standby.Placement{Task: strings.Repeat("t", 140), Attempt: 1 << 60, Machine: strings.Repeat("m", 64)}
	var decisions, part standby.Message
	part.Part = &standby.SnapshotPart{PartCount: 1}
	for i := range standby.MaxDecisions {
		placement := longestPlacement
		placement.Machine += strconv.Itoa(i) // makes the names differ, since equal ones are encoded once
		decisions.Decisions = append(decisions.Decisions, standby.Decision{Kind: standby.Started, Placement: placement})
		part.Part.Placements = append(part.Part.Placements, placement)
	}
	for name, message := range map[string]*standby.Message{"decisions": &decisions, "part": &part} {
		if frame := Encode(&Heartbeat{Member: "n1", StandbyFrame: StandbyFrame{StandbyMessage: message}}); len(frame) > MaxFrame {
			t.Errorf("message with the maximum of %s: got a frame of %d bytes, want at most MaxFrame", name, len(frame))
		}
	}
}

// Guards against links that are closed again and again: with the longest names that users may choose, and with the
// maximum of everything, the frame is within the limit and keeps all but hints.
func TestLargestHeartbeatFitsFrame(t *testing.T) {
	name := func(kind string, i int) string { return kind + strings.Repeat("n", 190) + strconv.Itoa(i) }
	heartbeat := &Heartbeat{Member: name("member", 0), Leader: name("leader", 0)}
	for i := range MaxCancellations {
		heartbeat.Cancellations = append(heartbeat.Cancellations, Cancellation{Job: fmt.Sprintf("req-%06d", i)})
	}
	for i := range MaxJobProgress {
		heartbeat.JobProgress = append(heartbeat.JobProgress, JobProgress{Job: fmt.Sprintf("req-%06d", i), Done: 1, Running: 1})
	}
	for i := range MaxRunTimeClasses {
		heartbeat.RunTimes = append(heartbeat.RunTimes, RunTimeStatistics{Class: name("class", i), Count: 1})
	}
	for i := range MaxBootTimeTypes {
		heartbeat.BootTimes = append(heartbeat.BootTimes, BootTimes{MachineType: name("type", i), Durations: make([]clock.Micros, MaxBootTimesPerType)})
	}
	for i := range MaxCachedImageMachines {
		images := CachedImages{Machine: name("machine", i)}
		for j := range MaxImagesPerMachine {
			images.Images = append(images.Images, name("image", i*MaxImagesPerMachine+j))
		}
		heartbeat.CachedImages = append(heartbeat.CachedImages, images)
	}
	frame := Encode(heartbeat)
	if len(frame) > MaxFrame {
		t.Fatalf("got a frame of %d bytes, want at most %d", len(frame), MaxFrame)
	}
	var reader FrameReader
	received := 0
	err := reader.Feed(frame, func(got *Heartbeat) {
		received++
		if len(got.Cancellations) != MaxCancellations || len(got.RunTimes) != MaxRunTimeClasses || len(got.BootTimes) != MaxBootTimeTypes {
			t.Errorf("got %d cancellations, %d classes and %d types, want all", len(got.Cancellations), len(got.RunTimes), len(got.BootTimes))
		}
	})
	if err != nil || received != 1 {
		t.Errorf("got error %v and %d heartbeats, want none and 1", err, received)
	}
}

// A reader rejects a standby message with more than the maximum number of decisions as malformed.
func TestOversizedStandbyMessageIsRefused(t *testing.T) {
	message := &standby.Message{Token: 1, Decisions: make([]standby.Decision, standby.MaxDecisions+1)}
	var reader FrameReader
	if err := reader.Feed(Encode(&Heartbeat{Member: "n1", StandbyFrame: StandbyFrame{StandbyMessage: message}}), func(*Heartbeat) { t.Error("got a heartbeat, want none") }); !errors.Is(err, ErrMalformed) {
		t.Errorf("got error %v, want %v", err, ErrMalformed)
	}
}

// Heartbeats are decoded as they were encoded, wherever the stream is split between calls of Feed.
func TestHeartbeatsRoundTripOverSplitStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(heartbeatGenerator(), 1, 4).Draw(t, "heartbeats")
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

// Corrupted frames and arbitrary bytes on the port for peers must not make the reader panic or buffer more
// than one frame. If decoding fails, the error is ErrMalformed.
func TestCorruptInputCausesNoPanicOrGrowth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeat := heartbeatGenerator().Draw(t, "heartbeat")
		frame := append([]byte(nil), Encode(&heartbeat)...)
		for i := rapid.IntRange(1, 6).Draw(t, "changes"); i > 0; i-- {
			frame[rapid.IntRange(0, len(frame)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		var reader FrameReader
		err := reader.Feed(frame, func(*Heartbeat) {})
		if err == nil && len(reader.buffer) > MaxFrame+sizePrefixLength {
			t.Fatalf("got %d bytes in the reader's buffer, want at most one frame", len(reader.buffer))
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("got error %v, want %v", err, ErrMalformed)
		}
		decoded, err := Decode(rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "bytes"))
		if err == nil && decoded.Member == "" {
			t.Fatal("got a heartbeat without a sender, want an error")
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("got error %v, want %v", err, ErrMalformed)
		}
	})
}

// Encode shortens a heartbeat with long names of jobs and images so that receivers accept the frame. It
// leaves out the cached images and, if the frame is still too large, also the job progress. It keeps
// everything else.
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
	for _, withLongJobNames := range []bool{false, true} {
		if withLongJobNames {
			for i := range heartbeat.JobProgress {
				heartbeat.JobProgress[i].Job = longName
			}
		}
		var got *Heartbeat
		var reader FrameReader
		if err := reader.Feed(Encode(heartbeat), func(heartbeat *Heartbeat) { got = heartbeat }); err != nil || got == nil {
			t.Fatalf("got error %v or no heartbeat, want a heartbeat", err)
		}
		if got.Token != 7 || len(got.Cancellations) != 1 || len(got.CachedImages) != 0 {
			t.Errorf("got %+v, want token 7, one cancellation and no cached images", got)
		}
		if (len(got.JobProgress) == MaxJobProgress) == withLongJobNames {
			t.Errorf("got the progress of %d jobs, want it left out only with long job names", len(got.JobProgress))
		}
	}
}
