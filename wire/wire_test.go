package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/seed"
)

const exampleJobJSON = `{"nameId":"req-000412","lot":"train","crew":"vision","shape":"ensemble","rank":"urgent","pieces":16,
 "cores":8.0,"gpus":1.0,"ramGb":64.0,"bundle":"img-07","pullGb":6.2,"rigs":["g8"],"yard":null,"oneZone":true,
 "spread":false,"loaners":true,"guessS":240.0,"markS":30.0,"stashS":4.0,"dueS":900.0,"later":{"x":[1]}}`

func TestMain(m *testing.M) { seed.Main(m) }

func jobGenerator() *rapid.Generator[Job] {
	return rapid.Custom(func(t *rapid.T) Job {
		name := rapid.StringMatching(`[a-z][a-z0-9-]{0,12}`)
		amount := rapid.Float64Range(0, 1e6)
		job := Job{
			ID: rapid.StringMatching(`req-[0-9]{6}`).Draw(t, "id"), Class: name.Draw(t, "class"), Team: name.Draw(t, "team"),
			Kind:      rapid.SampledFrom([]string{KindArray, KindGang, KindService}).Draw(t, "kind"),
			Priority:  rapid.SampledFrom([]string{PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow}).Draw(t, "priority"),
			TaskCount: rapid.IntRange(1, MaxTasks).Draw(t, "tasks"),
			CPUs:      amount.Draw(t, "cpus"), GPUs: amount.Draw(t, "gpus"), MemoryGB: amount.Draw(t, "memory"),
			Image: name.Draw(t, "image"), ImageSizeGB: amount.Draw(t, "imageGB"),
			SingleZone: rapid.Bool().Draw(t, "one"), SpreadZones: rapid.Bool().Draw(t, "spread"), AllowsSpot: rapid.Bool().Draw(t, "spot"),
			EstimatedRunSeconds: amount.Draw(t, "estimate"), CheckpointIntervalSeconds: amount.Draw(t, "checkpoint"), CheckpointSaveSeconds: amount.Draw(t, "save"),
		}
		if rapid.Bool().Draw(t, "hasTypes") {
			job.MachineTypes = rapid.SliceOfN(name, 1, 3).Draw(t, "types")
		}
		if rapid.Bool().Draw(t, "hasZone") {
			job.Zone = name.Draw(t, "zone")
		}
		if rapid.Bool().Draw(t, "hasDeadline") {
			job.DeadlineSeconds = rapid.Float64Range(1, 1e6).Draw(t, "deadline")
		}
		return job
	})
}

func TestJobRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := jobGenerator().Draw(t, "job")
		encoded, err := job.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeJob(encoded)
		if err != nil {
			t.Fatalf("decode %s: %v", encoded, err)
		}
		if !reflect.DeepEqual(*got, job) {
			t.Fatalf("got %+v, want %+v", *got, job)
		}
	})
}

// DecodeJob rejects a submission that lacks a required field or has an invalid value in any field, and a
// body that is not a JSON object. It accepts a submission without an optional field.
func TestDecodeJobValidatesFields(t *testing.T) {
	if _, err := DecodeJob([]byte(exampleJobJSON)); err != nil {
		t.Fatal(err)
	}
	var complete map[string]any
	if err := json.Unmarshal([]byte(exampleJobJSON), &complete); err != nil {
		t.Fatal(err)
	}
	optional := map[string]bool{"rigs": true, "yard": true, "dueS": true, "later": true}
	decode := func(fields map[string]any) error {
		b, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		_, err = DecodeJob(b)
		return err
	}
	for field := range complete {
		fields := map[string]any{}
		for k, v := range complete {
			if k != field {
				fields[k] = v
			}
		}
		if err := decode(fields); (err == nil) != optional[field] {
			t.Errorf("submission without %s: got error %v, want one exactly if the field is required", field, err)
		}
		if field == "later" {
			continue
		}
		fields[field] = map[string]any{"no": "sense"}
		if decode(fields) == nil {
			t.Errorf("submission with an object as %s: got no error, want one", field)
		}
	}
	for field, invalid := range map[string][]any{
		"pieces": {0, -1, MaxTasks + 1, 1.5, "3", json.Number("18446744073709551616")},
		"cores":  {-0.5, "4", json.Number("1e400")},
		"nameId": {"", "req-", "req-12a456", "job-000001", 7},
		"shape":  {"gang"}, "rank": {"highest"}, "rigs": {[]string{}, []string{""}, "g8"}, "oneZone": {1},
		"guessS": {-1}, "dueS": {-3},
	} {
		for _, v := range invalid {
			fields := map[string]any{}
			for k, original := range complete {
				fields[k] = original
			}
			fields[field] = v
			if decode(fields) == nil {
				t.Errorf("submission with %s set to %v: got no error, want one", field, v)
			}
		}
	}
	for _, b := range []string{"", "null", "[]", "7", `"x"`, "{", exampleJobJSON + "x", strings.Replace(exampleJobJSON, "8.0", "NaN", 1)} {
		if _, err := DecodeJob([]byte(b)); err == nil {
			t.Errorf("body %.20q: got a job, want an error", b)
		}
	}
}

// The decoders return a value or an error for any input, and DecodeJob never returns a job that is out of
// bounds. The input is a submission with some of its bytes replaced.
func TestDecodersReturnOnAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := []byte(exampleJobJSON)
		changes := rapid.IntRange(1, 8).Draw(t, "changes")
		for i := 0; i < changes; i++ {
			input[rapid.IntRange(0, len(input)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if job, err := DecodeJob(input); err == nil && (!IsValidJobID(job.ID) || job.TaskCount < 1 || job.TaskCount > MaxTasks || job.CPUs < 0) {
			t.Fatalf("%s: got the invalid job %+v, want an error", input, job)
		}
		var heartbeat Heartbeat
		var watchResponse WatchResponse
		// The other decoders only have to return, with or without an error.
		_ = heartbeat.UnmarshalJSON(input)
		_ = watchResponse.UnmarshalJSON(input)
	})
}

func TestParseTaskIDInvertsTaskID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := fmt.Sprintf("req-%06d", rapid.IntRange(0, 999999).Draw(t, "id"))
		index := rapid.IntRange(0, MaxTasks-1).Draw(t, "task")
		job, parsedIndex, ok := ParseTaskID(TaskID(id, index))
		if !ok || job != id || parsedIndex != index {
			t.Fatalf("ParseTaskID(%q): got %s, %d, %v, want the job and the index in that ID", TaskID(id, index), job, parsedIndex, ok)
		}
	})
	for _, s := range []string{"", "req-000001", "req-000001/", "req-000001/-1", "req-000001/01", "req-000001/100000", "x/1", "req-000001/1/2"} {
		if _, _, ok := ParseTaskID(s); ok {
			t.Errorf("ParseTaskID(%q): got ok, want it to be rejected", s)
		}
	}
}

func TestHeartbeatProtocolExample(t *testing.T) {
	const text = `{"box":"i-000231","endpoint":"10.1.0.232:9000","rig":"g8","yard":"a","loaners":true,"shift":1,"tick":88,
	 "baton":41,"recallS":null,"pieces":[{"piece":"req-000412/3","try":2,"stage":"running"},
	 {"piece":"req-000398/0","try":1,"stage":"exited","cause":"done"}],"new":1}`
	var heartbeat Heartbeat
	if err := heartbeat.UnmarshalJSON([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if heartbeat.MachineID != "i-000231" || heartbeat.Sequence != 88 || heartbeat.FencingToken != 41 || heartbeat.ReclaimInSeconds != nil || len(heartbeat.Tasks) != 2 || heartbeat.Tasks[1].ExitCause != ExitDone {
		t.Fatalf("got %+v, want the values of the protocol's example", heartbeat)
	}
	if !heartbeat.IsNewerThan(1, 87) || heartbeat.IsNewerThan(1, 88) || heartbeat.IsNewerThan(2, 1) || !heartbeat.IsNewerThan(0, 99) {
		t.Fatal("IsNewerThan does not order heartbeats by incarnation and then by sequence number")
	}
	zero := 0.0
	b, err := HeartbeatResponse{FencingToken: 41, Commands: []Command{{Action: ActionStop, TaskID: "req-000377/1", Attempt: 1, GracePeriodSeconds: &zero}}}.MarshalJSON()
	if err != nil || string(b) != `{"baton":41,"orders":[{"verb":"halt","piece":"req-000377/1","try":1,"windS":0}]}` {
		t.Fatalf("encode the response with a stop command: got %s, error %v, want the protocol's example", b, err)
	}
}

// The error for an invalid submission has the protocol's name of the first invalid field.
func TestDecodeJobErrorNamesFirstInvalidField(t *testing.T) {
	for _, testCase := range []struct{ from, to, field, text string }{
		{`"lot":"train",`, ``, "lot", "lot is missing"},
		{`"crew":"vision"`, `"crew":""`, "crew", "crew is empty or too long"},
		{`"cores":8.0`, `"cores":1e10`, "cores", "cores is not a valid amount"},
		{`"pieces":16`, `"pieces":0`, "pieces", "pieces is not between 1 and 100000"},
		{`"oneZone":true,`, ``, "oneZone", "oneZone is missing"},
		{`req-000412`, `412`, "nameId", "nameId has not the form of a job id"},
		{`"ensemble"`, `"gang"`, "shape", "shape is unknown"},
		{`"urgent"`, `"high"`, "rank", "rank is unknown"},
		{`["g8"]`, `[]`, "rigs", "rigs is empty"},
		{`["g8"]`, `["g8",""]`, "rigs", "rigs holds an empty name"},
		{`"yard":null`, `"yard":""`, "yard", "yard is empty"},
		{`"dueS":900.0`, `"dueS":-1`, "dueS", "dueS is not a valid amount"},
		{`"dueS":900.0`, `"awaits":["x"]`, "awaits", "awaits holds what has not the form of a job id"},
	} {
		body := strings.Replace(exampleJobJSON, testCase.from, testCase.to, 1)
		if body == exampleJobJSON {
			t.Fatalf("%s is not in exampleJobJSON", testCase.from)
		}
		_, err := DecodeJob([]byte(body))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != testCase.field || err.Error() != testCase.text {
			t.Errorf("submission with %q: got error %v, want %q", testCase.to, err, testCase.text)
		}
	}
}

// submission must have the same fields as Job under the same JSON names: DecodeJob loses a field that it
// lacks.
func TestSubmissionMirrorsJob(t *testing.T) {
	jsonNames := func(structType reflect.Type) map[string]string {
		names := map[string]string{}
		for i := range structType.NumField() {
			name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
			names[structType.Field(i).Name] = name
		}
		return names
	}
	if got, want := jsonNames(reflect.TypeFor[submission]()), jsonNames(reflect.TypeFor[Job]()); !reflect.DeepEqual(got, want) {
		t.Errorf("got fields %v in submission, want the fields %v of Job", got, want)
	}
}
