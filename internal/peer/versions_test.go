package peer

import (
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
)

// production is what the version in production says in its recorded message.
var production = Beat{
	Member: "n1", Served: true, Leader: "n0", Token: 41, Workers: 7, Counts: []Count{{"req-000001", 3, 4}},
	Life: 9, Stamp: 1234567, EchoLife: 8, EchoStamp: 7654321, QuietFor: 5000000,
	Holdings: []Holding{{"i-000001", 2, []string{"img-1", "img-2"}}}, RunTimes: []RunTimes{{"c", 5, 0.25, 0.5}},
	Revision: 77, Withdrawals: []Withdrawal{{"req-000002", 76, 1700000000000000}},
}

// While versions are replaced, each reads the other's messages. Fields may be
// appended; the recorded bytes of the version in production are read as they were
// meant, and what that version knows is written as it reads it.
func TestProductionMessages(t *testing.T) {
	text, err := os.ReadFile("testdata/beat-production.hex")
	if err != nil {
		t.Fatal(err)
	}
	frame, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	var got []Beat
	var frames Frames
	if err := frames.Feed(frame, func(b *Beat) { got = append(got, *b) }); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0], production) {
		t.Fatalf("the recorded message is read as %+v", got)
	}
	// The table's slots are what the other version goes by.
	if encoded := Encode(&production); string(encoded) != string(frame) {
		t.Fatalf("the same message is written as %x", encoded)
	}
}
