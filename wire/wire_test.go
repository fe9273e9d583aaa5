package wire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/seed"
)

const example = `{"nameId":"req-000412","lot":"train","crew":"vision","shape":"ensemble","rank":"urgent","pieces":16,
 "cores":8.0,"gpus":1.0,"ramGb":64.0,"bundle":"img-07","pullGb":6.2,"rigs":["g8"],"yard":null,"oneZone":true,
 "spread":false,"loaners":true,"guessS":240.0,"markS":30.0,"stashS":4.0,"dueS":900.0,"later":{"x":[1]}}`

func TestMain(m *testing.M) { seed.Main(m) }

func jobs() *rapid.Generator[Job] {
	return rapid.Custom(func(t *rapid.T) Job {
		name := rapid.StringMatching(`[a-z][a-z0-9-]{0,12}`)
		amount := rapid.Float64Range(0, 1e6)
		j := Job{
			ID: rapid.StringMatching(`req-[0-9]{6}`).Draw(t, "id"), Class: name.Draw(t, "class"), Team: name.Draw(t, "team"),
			Kind:     rapid.SampledFrom([]string{KindArray, KindGang, KindService}).Draw(t, "kind"),
			Priority: rapid.SampledFrom([]string{PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow}).Draw(t, "priority"),
			Tasks:    rapid.IntRange(1, MaxTasks).Draw(t, "tasks"),
			CPUs:     amount.Draw(t, "cpus"), GPUs: amount.Draw(t, "gpus"), MemoryGB: amount.Draw(t, "memory"),
			Image: name.Draw(t, "image"), ImageGB: amount.Draw(t, "imageGB"),
			OneZone: rapid.Bool().Draw(t, "one"), Spread: rapid.Bool().Draw(t, "spread"), Spot: rapid.Bool().Draw(t, "spot"),
			EstimateS: amount.Draw(t, "estimate"), CheckpointS: amount.Draw(t, "checkpoint"), SaveS: amount.Draw(t, "save"),
		}
		if rapid.Bool().Draw(t, "hasTypes") {
			j.Types = rapid.SliceOfN(name, 1, 3).Draw(t, "types")
		}
		if rapid.Bool().Draw(t, "hasZone") {
			j.Zone = name.Draw(t, "zone")
		}
		if rapid.Bool().Draw(t, "hasDeadline") {
			j.DeadlineS = rapid.Float64Range(1, 1e6).Draw(t, "deadline")
		}
		return j
	})
}

func TestJobRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := jobs().Draw(t, "job")
		b, err := j.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeJob(b)
		if err != nil {
			t.Fatalf("%s: %v", b, err)
		}
		if !reflect.DeepEqual(*got, j) {
			t.Fatalf("got %+v, want %+v", *got, j)
		}
	})
}

// Any one field taken away, or made senseless, makes the submission malformed.
func TestJobFieldsAreChecked(t *testing.T) {
	if _, err := DecodeJob([]byte(example)); err != nil {
		t.Fatal(err)
	}
	var whole map[string]any
	if err := json.Unmarshal([]byte(example), &whole); err != nil {
		t.Fatal(err)
	}
	optional := map[string]bool{"rigs": true, "yard": true, "dueS": true, "later": true}
	decode := func(m map[string]any) error {
		b, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		_, err = DecodeJob(b)
		return err
	}
	for field := range whole {
		m := map[string]any{}
		for k, v := range whole {
			if k != field {
				m[k] = v
			}
		}
		if err := decode(m); (err == nil) != optional[field] {
			t.Errorf("without %s: %v", field, err)
		}
		if field == "later" {
			continue
		}
		m[field] = map[string]any{"no": "sense"}
		if decode(m) == nil {
			t.Errorf("%s may be an object", field)
		}
	}
	for field, bad := range map[string][]any{
		"pieces": {0, -1, MaxTasks + 1, 1.5, "3", json.Number("18446744073709551616")},
		"cores":  {-0.5, "4", json.Number("1e400")},
		"nameId": {"", "req-", "req-12a456", "job-000001", 7},
		"shape":  {"gang"}, "rank": {"highest"}, "rigs": {[]string{}, []string{""}, "g8"}, "oneZone": {1},
		"guessS": {-1}, "dueS": {-3},
	} {
		for _, v := range bad {
			m := map[string]any{}
			for k, w := range whole {
				m[k] = w
			}
			m[field] = v
			if decode(m) == nil {
				t.Errorf("%s may be %v", field, v)
			}
		}
	}
	for _, b := range []string{"", "null", "[]", "7", `"x"`, "{", example + "x", strings.Replace(example, "8.0", "NaN", 1)} {
		if _, err := DecodeJob([]byte(b)); err == nil {
			t.Errorf("%.20q is taken for a job", b)
		}
	}
}

// Whatever bytes come, decoding ends with a value or an error.
func TestGarbageIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(example)
		n := rapid.IntRange(1, 8).Draw(t, "changes")
		for i := 0; i < n; i++ {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if j, err := DecodeJob(b); err == nil && (!ValidJobID(j.ID) || j.Tasks < 1 || j.Tasks > MaxTasks || j.CPUs < 0) {
			t.Fatalf("%s gives %+v", b, j)
		}
		var r Report
		var e Events
		_ = r.UnmarshalJSON(b) // must return, whatever it says
		_ = e.UnmarshalJSON(b)
	})
}

func TestTaskIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := fmt.Sprintf("req-%06d", rapid.IntRange(0, 999999).Draw(t, "id"))
		i := rapid.IntRange(0, MaxTasks-1).Draw(t, "task")
		job, k, ok := ParseTaskID(TaskID(id, i))
		if !ok || job != id || k != i {
			t.Fatalf("%s: %s %d %v", TaskID(id, i), job, k, ok)
		}
	})
	for _, s := range []string{"", "req-000001", "req-000001/", "req-000001/-1", "req-000001/01", "req-000001/100000", "x/1", "req-000001/1/2"} {
		if _, _, ok := ParseTaskID(s); ok {
			t.Errorf("%q is taken for a task", s)
		}
	}
}

func TestReportAsThePlatformWritesIt(t *testing.T) {
	const text = `{"box":"i-000231","endpoint":"10.1.0.232:9000","rig":"g8","yard":"a","loaners":true,"shift":1,"tick":88,
	 "baton":41,"recallS":null,"pieces":[{"piece":"req-000412/3","try":2,"stage":"running"},
	 {"piece":"req-000398/0","try":1,"stage":"exited","cause":"done"}],"new":1}`
	var r Report
	if err := r.UnmarshalJSON([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if r.Machine != "i-000231" || r.Seq != 88 || r.Token != 41 || r.NoticeS != nil || len(r.Tasks) != 2 || r.Tasks[1].Why != WhyDone {
		t.Fatalf("%+v", r)
	}
	if !r.Newer(1, 87) || r.Newer(1, 88) || r.Newer(2, 1) || !r.Newer(0, 99) {
		t.Fatal("order of reports")
	}
	zero := 0.0
	b, err := Reply{Token: 41, Commands: []Command{{Op: OpStop, Task: "req-000377/1", Attempt: 1, GraceS: &zero}}}.MarshalJSON()
	if err != nil || string(b) != `{"baton":41,"orders":[{"verb":"halt","piece":"req-000377/1","try":1,"windS":0}]}` {
		t.Fatalf("%s %v", b, err)
	}
}
