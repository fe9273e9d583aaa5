package wire

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// jsonCodec is implemented by every type with generated JSON code.
type jsonCodec interface {
	MarshalJSON() ([]byte, error)
	UnmarshalJSON([]byte) error
}

// A message that is encoded, extended by an unknown field, decoded and encoded again gives the same
// bytes as the first encoding. The standard library accepts these bytes. Job has a round-trip test of
// its own.
func TestMessagesRoundTrip(t *testing.T) {
	valueGenerator := rapid.Custom(func(t *rapid.T) json.RawMessage {
		encoded, err := json.Marshal(rapid.MapOf(rapid.String(), rapid.Int()).Draw(t, "value"))
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	})
	for name, generate := range map[string]func(*rapid.T) (jsonCodec, jsonCodec){
		"Heartbeat": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[Heartbeat]().Draw(t, "v")
			return &v, &Heartbeat{}
		},
		"HeartbeatResponse": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[HeartbeatResponse]().Draw(t, "v")
			return &v, &HeartbeatResponse{}
		},
		"CommandRequest": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[CommandRequest]().Draw(t, "v")
			return &v, &CommandRequest{}
		},
		"Redirect": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[Redirect]().Draw(t, "v")
			return &v, &Redirect{}
		},
		"JobStatus": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[JobStatus]().Draw(t, "v")
			return &v, &JobStatus{}
		},
		"MachineTypeList": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[MachineTypeList]().Draw(t, "v")
			return &v, &MachineTypeList{}
		},
		"ScaleOutRequest": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[ScaleOutRequest]().Draw(t, "v")
			return &v, &ScaleOutRequest{}
		},
		"MachineIDs": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[MachineIDs]().Draw(t, "v")
			return &v, &MachineIDs{}
		},
		"MachineList": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[MachineList]().Draw(t, "v")
			return &v, &MachineList{}
		},
		"LeaseRequest": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[LeaseRequest]().Draw(t, "v")
			return &v, &LeaseRequest{}
		},
		"TransactionResult": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := rapid.Make[TransactionResult]().Draw(t, "v")
			return &v, &TransactionResult{}
		},
		"Transaction": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := Transaction{Conditions: []Condition{{Key: rapid.String().Draw(t, "key"), Version: rapid.Uint64().Draw(t, "version")}},
				Changes: []Change{{PutKey: "a", Value: []byte(valueGenerator.Draw(t, "value")), LeaseID: rapid.Uint64().Draw(t, "lease")}, {DeleteKey: "b"}}}
			return &v, &Transaction{}
		},
		"KeyPage": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := KeyPage{KeyValues: []KeyValue{{Key: rapid.String().Draw(t, "key"), Value: []byte(valueGenerator.Draw(t, "value")), Version: rapid.Uint64().Draw(t, "version")}},
				HasMore: rapid.Bool().Draw(t, "more"), Revision: rapid.Uint64().Draw(t, "revision")}
			return &v, &KeyPage{}
		},
		"WatchResponse": func(t *rapid.T) (jsonCodec, jsonCodec) {
			v := WatchResponse{Revision: rapid.Uint64().Draw(t, "revision"), Events: []WatchEvent{
				{PutKey: rapid.String().Draw(t, "key"), Value: []byte(valueGenerator.Draw(t, "value")), Version: rapid.Uint64().Draw(t, "version")},
				{DeleteKey: "a", Version: 1}}}
			return &v, &WatchResponse{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				in, out := generate(t)
				encoded, err := in.MarshalJSON()
				if err != nil {
					t.Fatal(err)
				}
				extended := append([]byte(`{"new":{"a":[1,null]},`), encoded[1:]...)
				if len(encoded) == 2 {
					extended = []byte(`{"new":1}`)
				}
				if err := out.UnmarshalJSON(extended); err != nil {
					t.Fatalf("decode %s: %v", extended, err)
				}
				reencoded, err := out.MarshalJSON()
				if err != nil || string(reencoded) != string(encoded) {
					t.Fatalf("encode again: got %[2]s, error %[3]v, want %[1]s", encoded, reencoded, err)
				}
				var want, got any
				if err := json.Unmarshal(encoded, &want); err != nil {
					t.Fatalf("decode %s with encoding/json: %v", encoded, err)
				}
				if err := json.Unmarshal(reencoded, &got); err != nil || !reflect.DeepEqual(want, got) {
					t.Fatalf("decode %s with encoding/json: got error %v or other values, want the values of the first encoding", reencoded, err)
				}
			})
		})
	}
}
