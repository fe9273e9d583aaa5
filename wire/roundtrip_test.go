package wire

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// both is what every generated type can do.
type both interface {
	MarshalJSON() ([]byte, error)
	UnmarshalJSON([]byte) error
}

// Every wire type comes back as it went out, with unknown fields beside it, and
// is what the standard library makes of the same bytes.
func TestEveryTypeRoundTrips(t *testing.T) {
	value := rapid.Custom(func(t *rapid.T) json.RawMessage {
		b, err := json.Marshal(rapid.MapOf(rapid.String(), rapid.Int()).Draw(t, "value"))
		if err != nil {
			t.Fatal(err)
		}
		return b
	})
	for name, gen := range map[string]func(*rapid.T) (both, both){
		"Report":    func(t *rapid.T) (both, both) { v := rapid.Make[Report]().Draw(t, "v"); return &v, &Report{} },
		"Reply":     func(t *rapid.T) (both, both) { v := rapid.Make[Reply]().Draw(t, "v"); return &v, &Reply{} },
		"Direct":    func(t *rapid.T) (both, both) { v := rapid.Make[Direct]().Draw(t, "v"); return &v, &Direct{} },
		"Elsewhere": func(t *rapid.T) (both, both) { v := rapid.Make[Elsewhere]().Draw(t, "v"); return &v, &Elsewhere{} },
		"Status":    func(t *rapid.T) (both, both) { v := rapid.Make[JobStatus]().Draw(t, "v"); return &v, &JobStatus{} },
		"Types": func(t *rapid.T) (both, both) {
			v := rapid.Make[MachineTypes]().Draw(t, "v")
			return &v, &MachineTypes{}
		},
		"Hire":     func(t *rapid.T) (both, both) { v := rapid.Make[Hire]().Draw(t, "v"); return &v, &Hire{} },
		"Machines": func(t *rapid.T) (both, both) { v := rapid.Make[Machines]().Draw(t, "v"); return &v, &Machines{} },
		"List":     func(t *rapid.T) (both, both) { v := rapid.Make[MachineList]().Draw(t, "v"); return &v, &MachineList{} },
		"Grant":    func(t *rapid.T) (both, both) { v := rapid.Make[Grant]().Draw(t, "v"); return &v, &Grant{} },
		"Result":   func(t *rapid.T) (both, both) { v := rapid.Make[TxnResult]().Draw(t, "v"); return &v, &TxnResult{} },
		"Txn": func(t *rapid.T) (both, both) {
			v := Txn{If: []Condition{{Key: rapid.String().Draw(t, "key"), Version: rapid.Uint64().Draw(t, "version")}},
				Then: []Change{{Put: "a", Value: []byte(value.Draw(t, "value")), Lease: rapid.Uint64().Draw(t, "lease")}, {Delete: "b"}}}
			return &v, &Txn{}
		},
		"Page": func(t *rapid.T) (both, both) {
			v := Page{Items: []Item{{Key: rapid.String().Draw(t, "key"), Value: []byte(value.Draw(t, "value")), Version: rapid.Uint64().Draw(t, "version")}},
				More: rapid.Bool().Draw(t, "more"), Revision: rapid.Uint64().Draw(t, "revision")}
			return &v, &Page{}
		},
		"Events": func(t *rapid.T) (both, both) {
			v := Events{Revision: rapid.Uint64().Draw(t, "revision"), Events: []Event{
				{Put: rapid.String().Draw(t, "key"), Value: []byte(value.Draw(t, "value")), Version: rapid.Uint64().Draw(t, "version")},
				{Delete: "a", Version: 1}}}
			return &v, &Events{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				in, out := gen(t)
				b, err := in.MarshalJSON()
				if err != nil {
					t.Fatal(err)
				}
				more := append([]byte(`{"new":{"a":[1,null]},`), b[1:]...)
				if len(b) == 2 {
					more = []byte(`{"new":1}`)
				}
				if err := out.UnmarshalJSON(more); err != nil {
					t.Fatalf("%s: %v", more, err)
				}
				again, err := out.MarshalJSON()
				if err != nil || string(again) != string(b) {
					t.Fatalf("%s became %s: %v", b, again, err)
				}
				var x, y any
				if err := json.Unmarshal(b, &x); err != nil {
					t.Fatalf("%s: %v", b, err)
				}
				if err := json.Unmarshal(again, &y); err != nil || !reflect.DeepEqual(x, y) {
					t.Fatalf("%s: %v", again, err)
				}
			})
		})
	}
}
