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

func beats() *rapid.Generator[Beat] {
	return rapid.Custom(func(t *rapid.T) Beat {
		b := Beat{
			Member: rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "member"), Served: rapid.Bool().Draw(t, "served"),
			Leader: rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "leader"), Token: rapid.Uint64().Draw(t, "token"),
			Workers: rapid.Uint32().Draw(t, "workers"),
		}
		for i := rapid.IntRange(0, 5).Draw(t, "counts"); i > 0; i-- {
			b.Counts = append(b.Counts, Count{Job: rapid.String().Draw(t, "job"), Done: rapid.Uint32().Draw(t, "done"), Running: rapid.Uint32().Draw(t, "running")})
		}
		for i := rapid.IntRange(0, 3).Draw(t, "holdings"); i > 0; i-- {
			h := Holding{Machine: rapid.StringMatching(`i-[0-9]{1,6}`).Draw(t, "machine"), Session: rapid.Uint64().Draw(t, "session")}
			for k := rapid.IntRange(0, 4).Draw(t, "images"); k > 0; k-- {
				h.Images = append(h.Images, rapid.String().Draw(t, "image"))
			}
			b.Holdings = append(b.Holdings, h)
		}
		for i := rapid.IntRange(0, 3).Draw(t, "runs"); i > 0; i-- {
			b.RunTimes = append(b.RunTimes, RunTimes{
				Class: rapid.String().Draw(t, "class"), Count: rapid.Uint32().Draw(t, "count"),
				Mean: rapid.Float64Range(-9, 9).Draw(t, "mean"), Square: rapid.Float64Range(0, 81).Draw(t, "square"),
			})
		}
		b.CountsOf = rapid.Uint32().Draw(t, "counts of")
		for i := rapid.IntRange(0, 3).Draw(t, "boot times"); i > 0; i-- {
			b.BootTimes = append(b.BootTimes, BootTimes{
				Type: rapid.String().Draw(t, "type"), Boots: []clock.Micros{clock.Micros(rapid.Int64().Draw(t, "boot"))},
			})
		}
		b.Revision = rapid.Uint64().Draw(t, "revision")
		for i := rapid.IntRange(0, 3).Draw(t, "withdrawals"); i > 0; i-- {
			b.Withdrawals = append(b.Withdrawals, Withdrawal{
				Job: rapid.String().Draw(t, "withdrawn job"), Revision: rapid.Uint64().Draw(t, "withdrawn at revision"),
				At: clock.Micros(rapid.Int64().Draw(t, "withdrawn at")),
			})
		}
		b.StandbyVersion = rapid.Uint8().Draw(t, "standby version")
		if rapid.Bool().Draw(t, "has message") {
			b.Message = messages().Draw(t, "message")
		}
		if rapid.Bool().Draw(t, "has position") {
			b.Position = &standby.Position{
				Version: rapid.Uint8().Draw(t, "version"),
				Life:    rapid.Uint64().Draw(t, "replica's life"), Token: rapid.Uint64().Draw(t, "replica's token"),
				IsComplete: rapid.Bool().Draw(t, "complete"), Sequence: rapid.Uint64().Draw(t, "sequence"),
				Building: rapid.Uint64().Draw(t, "building"), Parts: rapid.IntRange(0, standby.MaxParts).Draw(t, "parts"),
			}
		}
		return b
	})
}

func placements() *rapid.Generator[standby.Placement] {
	return rapid.Custom(func(t *rapid.T) standby.Placement {
		return standby.Placement{
			Task: rapid.String().Draw(t, "task"), Attempt: rapid.Uint64().Draw(t, "attempt"),
			Machine: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "machine"),
		}
	})
}

func messages() *rapid.Generator[*standby.Message] {
	return rapid.Custom(func(t *rapid.T) *standby.Message {
		m := &standby.Message{Token: rapid.Uint64().Draw(t, "token"), After: rapid.Uint64().Draw(t, "after")}
		for _, p := range rapid.SliceOfN(placements(), 0, 3).Draw(t, "decisions") {
			kind := rapid.SampledFrom([]standby.Kind{standby.Started, standby.Over}).Draw(t, "kind")
			m.Decisions = append(m.Decisions, standby.Decision{Kind: kind, Placement: p})
		}
		if rapid.Bool().Draw(t, "has part") {
			m.Part = &standby.Part{Sequence: rapid.Uint64().Draw(t, "part's sequence"), Number: 1, Of: 2, Digest: rapid.Uint64().Draw(t, "digest")}
			m.Part.Placements = append(m.Part.Placements, rapid.SliceOfN(placements(), 0, 3).Draw(t, "placements")...)
		}
		if rapid.Bool().Draw(t, "has check") {
			m.Check = &standby.Check{Sequence: rapid.Uint64().Draw(t, "checked"), Digest: rapid.Uint64().Draw(t, "check")}
		}
		return m
	})
}

// The largest messages of a stream fit into a frame, whatever jobs and machines are called.
func TestLargestStreamMessage(t *testing.T) {
	longest := standby.Placement{Task: strings.Repeat("t", 140), Attempt: 1 << 60, Machine: strings.Repeat("m", 64)}
	var decisions, part standby.Message
	part.Part = &standby.Part{Of: 1}
	for i := range standby.MaxDecisions {
		p := longest
		p.Machine += strconv.Itoa(i) // strings that are alike are written once
		decisions.Decisions = append(decisions.Decisions, standby.Decision{Kind: standby.Started, Placement: p})
		part.Part.Placements = append(part.Part.Placements, p)
	}
	for name, m := range map[string]*standby.Message{"decisions": &decisions, "part": &part} {
		if frame := Encode(&Beat{Member: "n1", Message: m}); len(frame) > MaxFrame {
			t.Errorf("%s: %d bytes", name, len(frame))
		}
	}
}

// A message over its bounds is refused as malformed.
func TestStreamMessageOverItsBounds(t *testing.T) {
	m := &standby.Message{Token: 1, Decisions: make([]standby.Decision, standby.MaxDecisions+1)}
	var frames Frames
	if err := frames.Feed(Encode(&Beat{Member: "n1", Message: m}), func(*Beat) { t.Error("taken") }); err == nil {
		t.Error("not refused")
	}
}

// Beats come out as they went in, however the stream is cut.
func TestStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(beats(), 1, 4).Draw(t, "beats")
		var stream []byte
		for i := range in {
			stream = append(stream, Encode(&in[i])...)
		}
		var f Frames
		var out []Beat
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "piece")
			if err := f.Feed(stream[:n], func(b *Beat) { out = append(out, *b) }); err != nil {
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
		b := beats().Draw(t, "beat")
		frame := append([]byte(nil), Encode(&b)...)
		for i := rapid.IntRange(1, 6).Draw(t, "changes"); i > 0; i-- {
			frame[rapid.IntRange(0, len(frame)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		var f Frames
		if err := f.Feed(frame, func(*Beat) {}); err == nil && len(f.buf) > MaxFrame+4 {
			t.Fatalf("%d bytes are kept", len(f.buf))
		}
		if b, err := Decode(rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "bytes")); err == nil && b.Member == "" {
			t.Fatal("a beat of nobody")
		}
	})
}

// Names as long as users like don't make a frame that receivers refuse; what matters
// goes all the same.
func TestLargeBeatsStayWithinAFrame(t *testing.T) {
	long := strings.Repeat("x", 2000)
	b := &Beat{Member: "a", Leader: "a", Token: 7}
	for range MaxHoldings {
		h := Holding{Machine: "i-1", Session: 1}
		for range MaxImages {
			h.Images = append(h.Images, long)
		}
		b.Holdings = append(b.Holdings, h)
	}
	for range MaxCounts {
		b.Counts = append(b.Counts, Count{Job: "req-000001", Done: 1})
	}
	b.Withdrawals = []Withdrawal{{Job: "req-000002", Revision: 3}}
	for _, withLongJobs := range []bool{false, true} {
		if withLongJobs {
			for i := range b.Counts {
				b.Counts[i].Job = long
			}
		}
		var got *Beat
		var frames Frames
		if err := frames.Feed(Encode(b), func(b *Beat) { got = b }); err != nil || got == nil {
			t.Fatalf("refused: %v", err)
		}
		if got.Token != 7 || len(got.Withdrawals) != 1 || len(got.Holdings) != 0 {
			t.Errorf("received %+v", got)
		}
		if (len(got.Counts) == MaxCounts) == withLongJobs {
			t.Errorf("%d counts", len(got.Counts))
		}
	}
}
