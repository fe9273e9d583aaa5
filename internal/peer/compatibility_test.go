package peer

import (
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
)

// productionHeartbeat is the content of the frame that was recorded in production.
var productionHeartbeat = Heartbeat{
	Member: "n1", IsStoreReachable: true, Leader: "n0", Token: 41, WorkerCount: 7,
	Incarnation: 9, Timestamp: 1234567, AckIncarnation: 8, AckTimestamp: 7654321, SilentFor: 5000000,
	LeaderHints: LeaderHints{
		JobProgress:  []JobProgress{{"req-000001", 3, 4}},
		CachedImages: []CachedImages{{"i-000001", 2, []string{"img-1", "img-2"}}}, RunTimes: []RunTimeStatistics{{"c", 5, 0.25, 0.5}},
	},
	StoreRevision: 77, Cancellations: []Cancellation{{"req-000002", 76, 1700000000000000}},
}

// While a new version replaces another one, controllers of each read the frames of the other, so the
// schema may only be extended by appending fields. This test guards against incompatible changes: the
// frame recorded from the version in production must decode to its content, and that content must
// encode to the same bytes.
func TestProductionHeartbeatCompatibility(t *testing.T) {
	text, err := os.ReadFile("testdata/heartbeat-production.hex")
	if err != nil {
		t.Fatal(err)
	}
	frame, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	var got []Heartbeat
	var reader FrameReader
	if err := reader.Feed(frame, func(heartbeat *Heartbeat) { got = append(got, *heartbeat) }); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0], productionHeartbeat) {
		t.Fatalf("decode the recorded frame: got %+v, want one heartbeat equal to productionHeartbeat", got)
	}
	// Equal bytes show that every field is still in its slot of the FlatBuffers table.
	if encoded := Encode(&productionHeartbeat); string(encoded) != string(frame) {
		t.Fatalf("encode productionHeartbeat: got %x, want the recorded frame", encoded)
	}
}
