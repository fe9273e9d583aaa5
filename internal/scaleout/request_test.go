package scaleout

import (
	"slices"
	"testing"

	"firwood.dev/firwood/internal/records"
)

var testRecord = records.ScaleOut{Type: "big", Zone: "x", Count: 2, RequestedAt: 1}

// write begins a write that must be due, and checks what it is conditional on.
func write(t *testing.T, request *Request, wantVersion uint64) Write {
	t.Helper()
	write, ok := request.BeginWrite()
	if !ok {
		t.Fatalf("%s: no write begins", request.State())
	}
	if write.Condition.Key != records.ScaleOutKey(request.Name()) || write.Condition.Version != wantVersion {
		t.Fatalf("the write is conditional on %+v, want version %d", write.Condition, wantVersion)
	}
	return write
}

// confirm reports the write under way as durable, and checks what is due then.
func confirmWrite(t *testing.T, request *Request, revision uint64, wantStep Step, wantState State) {
	t.Helper()
	if step := request.ConfirmWrite(revision); step != wantStep || request.State() != wantState {
		t.Fatalf("after revision %d: %s, then %s; want %s, then %s", revision, request.State(), step, wantState, wantStep)
	}
}

func storedRecord(t *testing.T, write Write) records.ScaleOut {
	t.Helper()
	var record records.ScaleOut
	if err := record.UnmarshalJSON(write.Change.Value); err != nil {
		t.Fatal(err)
	}
	return record
}

func TestGrantedRequestLivesUntilItsLastMachineIsDeleted(t *testing.T) {
	request := New("a-9-1", testRecord, 7)
	if record := storedRecord(t, write(t, request, 0)); record.IsResolved || record.Count != 2 {
		t.Fatalf("the first record is %+v", record)
	}
	confirmWrite(t, request, 10, StepSend, Requesting)
	if request.IsAnswered() {
		t.Fatal("answered before the cloud's answer")
	}
	request.RecordGrant([]string{"i-1", "i-2"})
	if !request.IsAnswered() {
		t.Fatal("not answered after the cloud's answer")
	}
	if record := storedRecord(t, write(t, request, 10)); !record.IsResolved || !slices.Equal(record.Machines, []string{"i-1", "i-2"}) {
		t.Fatalf("the record of the answer is %+v", record)
	}
	confirmWrite(t, request, 11, StepAdmitMachines, Resolved)
	request.RemoveMachine("i-1")
	if record := storedRecord(t, write(t, request, 11)); !slices.Equal(record.Machines, []string{"i-2"}) {
		t.Fatalf("the smaller record is %+v", record)
	}
	confirmWrite(t, request, 12, StepNone, Resolved)
	request.RemoveMachine("i-2")
	if last := write(t, request, 12); last.Change.DeleteKey != records.ScaleOutKey("a-9-1") || last.Change.PutKey != "" {
		t.Fatalf("the last write is %+v", last)
	}
	if request.IsOver() {
		t.Fatal("over before its record is deleted")
	}
	confirmWrite(t, request, 13, StepNone, Resolved)
	if !request.IsOver() || request.Version() != 0 {
		t.Fatalf("after the delete: over %v, version %d", request.IsOver(), request.Version())
	}
}

func TestRefusedRequestIsDeleted(t *testing.T) {
	request := New("a-9-1", testRecord, 7)
	write(t, request, 0)
	confirmWrite(t, request, 10, StepSend, Requesting)
	request.RecordRefusal()
	if last := write(t, request, 10); last.Change.DeleteKey == "" {
		t.Fatalf("the write is %+v, want a delete", last)
	}
	confirmWrite(t, request, 11, StepNone, Resolved)
	if !request.IsOver() {
		t.Fatal("not over")
	}
}

// A change while a write is under way is written after it, and nothing else is due before.
func TestChangeDuringWriteIsWrittenAgain(t *testing.T) {
	request := New("a-9-1", testRecord, 7)
	write(t, request, 0)
	confirmWrite(t, request, 10, StepSend, Requesting)
	request.RecordGrant([]string{"i-1", "i-2"})
	write(t, request, 10)
	request.RemoveMachine("i-1")
	if _, ok := request.BeginWrite(); ok {
		t.Fatal("two writes at a time")
	}
	confirmWrite(t, request, 11, StepWriteAgain, Granted)
	if record := storedRecord(t, write(t, request, 11)); !slices.Equal(record.Machines, []string{"i-2"}) {
		t.Fatalf("written again is %+v", record)
	}
	confirmWrite(t, request, 12, StepAdmitMachines, Resolved)
}

// After a write whose outcome is not known the next one is conditional on what was read back.
func TestUncertainWriteIsRetriedFromVersionRead(t *testing.T) {
	for _, version := range []uint64{0, 10} { // not executed, executed
		request := New("a-9-1", testRecord, 7)
		write(t, request, 0)
		request.RetryFrom(version)
		if request.State() != Recording {
			t.Fatalf("%s before the record is known to be durable", request.State())
		}
		write(t, request, version)
		confirmWrite(t, request, 11, StepSend, Requesting)
	}
}

func TestRestoredRequestContinuesFromRecord(t *testing.T) {
	resolved := testRecord
	resolved.IsResolved, resolved.Machines = true, []string{"i-1"}
	for _, test := range []struct {
		record records.ScaleOut
		state  State
	}{{testRecord, Requesting}, {resolved, Resolved}} {
		request := Restore("a-9-1", test.record, 10, 7)
		if request.State() != test.state || request.Version() != 10 || request.RequestedAt() != 7 {
			t.Errorf("restored is %s, version %d, of %d; want %s", request.State(), request.Version(), request.RequestedAt(), test.state)
		}
		if sent := request.CloudRequest(); sent.RequestID != "a-9-1" || sent.MachineType != "big" || sent.Zone != "x" || sent.Spot || sent.Count != 2 {
			t.Errorf("sent is %+v", sent)
		}
	}
}

func TestShrinkIsScheduledOnce(t *testing.T) {
	request := Restore("a-9-1", testRecord, 10, 7)
	if !request.ScheduleShrink() || request.ScheduleShrink() {
		t.Fatal("not scheduled exactly once")
	}
	request.BeginShrink()
	if !request.ScheduleShrink() {
		t.Fatal("not scheduled again after it began")
	}
}

func TestNamesOfStatesAndSteps(t *testing.T) {
	for state, want := range map[State]string{Recording: "recording", Requesting: "requesting", Granted: "granted", Refused: "refused", Resolved: "resolved", 9: "State(9)"} {
		if got := state.String(); got != want {
			t.Errorf("state %d is %q, want %q", state, got, want)
		}
	}
	for step, want := range map[Step]string{StepNone: "none", StepWriteAgain: "write again", StepSend: "send", StepAdmitMachines: "admit machines", 9: "Step(9)"} {
		if got := step.String(); got != want {
			t.Errorf("step %d is %q, want %q", step, got, want)
		}
	}
}
