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

// While versions are replaced, each reads the other's frames. Fields may only be appended: the
// recorded frame of the version in production is decoded to its content, and that content is
// encoded to the same bytes.
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
		t.Fatalf("the recorded frame is decoded as %+v", got)
	}
	// Equal bytes prove that all fields still have their slots.
	if encoded := Encode(&productionHeartbeat); string(encoded) != string(frame) {
		t.Fatalf("the same content is encoded as %x", encoded)
	}
}
