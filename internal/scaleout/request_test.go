package scaleout

import (
	"slices"
	"testing"

	"firwood.dev/firwood/internal/records"
)

var testRecord = records.ScaleOut{Type: "big", Zone: "x", Count: 2, RequestedAt: 1}

// write begins a write, which must be due, and checks the version that the write is conditional on.
func write(t *testing.T, request *Request, wantVersion uint64) Write {
	t.Helper()
	write, ok := request.BeginWrite()
	if !ok {
		t.Fatalf("BeginWrite in state %s: got no write, want one", request.State())
	}
	if write.Condition.Key != records.ScaleOutKey(request.Name()) || write.Condition.Version != wantVersion {
		t.Fatalf("write condition: got %+v, want the request's key with version %d", write.Condition, wantVersion)
	}
	return write
}

// confirmWrite confirms the write in flight, and checks the next step and the state.
func confirmWrite(t *testing.T, request *Request, revision uint64, wantStep Step, wantState State) {
	t.Helper()
	if step := request.ConfirmWrite(revision); step != wantStep || request.State() != wantState {
		t.Fatalf("ConfirmWrite(%d): got state %s, step %s; want %s, %s", revision, request.State(), step, wantState, wantStep)
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
		t.Fatalf("first record: got %+v, want no answer and a count of 2", record)
	}
	confirmWrite(t, request, 10, StepSend, Requesting)
	if request.IsAnswered() {
		t.Fatal("IsAnswered: got true before the cloud's answer")
	}
	request.RecordGrant([]string{"i-1", "i-2"})
	if !request.IsAnswered() {
		t.Fatal("IsAnswered: got false after the cloud's answer")
	}
	if record := storedRecord(t, write(t, request, 10)); !record.IsResolved || !slices.Equal(record.Machines, []string{"i-1", "i-2"}) {
		t.Fatalf("record after the grant: got %+v, want an answer with i-1 and i-2", record)
	}
	confirmWrite(t, request, 11, StepAdmitMachines, Resolved)
	request.RemoveMachine("i-1")
	if record := storedRecord(t, write(t, request, 11)); !slices.Equal(record.Machines, []string{"i-2"}) {
		t.Fatalf("record after the removal of i-1: got %+v, want only i-2", record)
	}
	confirmWrite(t, request, 12, StepNone, Resolved)
	request.RemoveMachine("i-2")
	if last := write(t, request, 12); last.Change.DeleteKey != records.ScaleOutKey("a-9-1") || last.Change.PutKey != "" {
		t.Fatalf("write after the removal of all machines: got %+v, want a delete of the record", last)
	}
	if request.IsOver() {
		t.Fatal("IsOver: got true before the record is deleted")
	}
	confirmWrite(t, request, 13, StepNone, Resolved)
	if !request.IsOver() || request.Version() != 0 {
		t.Fatalf("after the delete: got IsOver %v, version %d; want true, 0", request.IsOver(), request.Version())
	}
}

func TestRefusedRequestIsDeleted(t *testing.T) {
	request := New("a-9-1", testRecord, 7)
	write(t, request, 0)
	confirmWrite(t, request, 10, StepSend, Requesting)
	request.RecordRefusal()
	if last := write(t, request, 10); last.Change.DeleteKey == "" {
		t.Fatalf("write after the refusal: got %+v, want a delete of the record", last)
	}
	confirmWrite(t, request, 11, StepNone, Resolved)
	if !request.IsOver() {
		t.Fatal("IsOver: got false after the record is deleted")
	}
}

// A change during a write is written after that write, and no other step is due before. Otherwise the
// stored record would lack the change.
func TestChangeDuringWriteIsWrittenAgain(t *testing.T) {
	request := New("a-9-1", testRecord, 7)
	write(t, request, 0)
	confirmWrite(t, request, 10, StepSend, Requesting)
	request.RecordGrant([]string{"i-1", "i-2"})
	write(t, request, 10)
	request.RemoveMachine("i-1")
	if _, ok := request.BeginWrite(); ok {
		t.Fatal("BeginWrite: got a second write while one is in flight")
	}
	confirmWrite(t, request, 11, StepWriteAgain, Granted)
	if record := storedRecord(t, write(t, request, 11)); !slices.Equal(record.Machines, []string{"i-2"}) {
		t.Fatalf("record of the second write: got %+v, want only i-2", record)
	}
	confirmWrite(t, request, 12, StepAdmitMachines, Resolved)
}

// After a write with an unknown outcome, the next write is conditional on the version that was read back.
func TestUncertainWriteIsRetriedFromVersionRead(t *testing.T) {
	for _, version := range []uint64{0, 10} { // the write was not executed; it was executed
		request := New("a-9-1", testRecord, 7)
		write(t, request, 0)
		request.RetryFrom(version)
		if request.State() != Recording {
			t.Fatalf("before the record is known to be durable: got state %s, want recording", request.State())
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
			t.Errorf("restored request: got state %s, version %d, requested at %d; want %s, 10, 7", request.State(), request.Version(), request.RequestedAt(), test.state)
		}
		if sent := request.CloudRequest(); sent.RequestID != "a-9-1" || sent.MachineType != "big" || sent.Zone != "x" || sent.Spot || sent.Count != 2 {
			t.Errorf("request to the cloud: got %+v, want a-9-1 for 2 machines of type big in zone x, not spot", sent)
		}
	}
}

func TestShrinkIsScheduledOnce(t *testing.T) {
	request := Restore("a-9-1", testRecord, 10, 7)
	if !request.ScheduleShrink() || request.ScheduleShrink() {
		t.Fatal("ScheduleShrink twice: want true, then false")
	}
	request.BeginShrink()
	if !request.ScheduleShrink() {
		t.Fatal("ScheduleShrink after BeginShrink: got false, want true")
	}
}

func TestNamesOfStatesAndSteps(t *testing.T) {
	for state, want := range map[State]string{Recording: "recording", Requesting: "requesting", Granted: "granted", Refused: "refused", Resolved: "resolved", 9: "State(9)"} {
		if got := state.String(); got != want {
			t.Errorf("State(%d).String(): got %q, want %q", state, got, want)
		}
	}
	for step, want := range map[Step]string{StepNone: "none", StepWriteAgain: "write again", StepSend: "send", StepAdmitMachines: "admit machines", 9: "Step(9)"} {
		if got := step.String(); got != want {
			t.Errorf("Step(%d).String(): got %q, want %q", step, got, want)
		}
	}
}

// Guards against machines that lose their names in the view: the view's record shares its list with the request of a leader that
// restored it, so a removal must not change that list.
func TestRemovalKeepsTheRecordOfTheView(t *testing.T) {
	inView := testRecord
	inView.IsResolved, inView.Machines = true, []string{"i-1", "i-2", "i-3"}
	request := Restore("a-9-1", inView, 10, 7)
	request.RemoveMachine("i-1")
	if !slices.Equal(request.Machines(), []string{"i-2", "i-3"}) {
		t.Errorf("machines of the request: got %v, want i-2 and i-3", request.Machines())
	}
	if !slices.Equal(inView.Machines, []string{"i-1", "i-2", "i-3"}) {
		t.Errorf("machines in the view's record: got %v, want all three as before", inView.Machines)
	}
}
