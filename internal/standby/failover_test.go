package standby

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// catchUp exchanges messages until a replica has every decision of a leader.
func catchUp(t *testing.T, publisher *Publisher, name string, replica *Replica) {
	t.Helper()
	for now := clock.Second; now < 10*clock.Second; now += clock.Second {
		if publisher.HasDecision(Member{name, replica.incarnation}, publisher.lastSequence) {
			return
		}
		if message, ok := publisher.NextMessage(name, now); ok {
			publisher.RecordPosition(name, replica.ApplyMessage(message))
		}
	}
	t.Fatal("the replica does not come up to date")
}

// Five leaders fail one after another, each before its in-sync record is written: none of them has
// sent a start, so the replica of the leader before them stays trusted. With one among them that is
// not record-first it does not.
func TestReplicaStaysTrustedAcrossRecordFirstTerms(t *testing.T) {
	const runningTask = "req-000001/3"
	for _, isRecordFirst := range []bool{true, false} {
		replica, history := NewReplica(7), &TermHistory{}
		record := InSyncRecord{Token: 10, Members: []Member{{"b", 7}}}
		for i := range uint64(6) {
			token := 10 + i
			history.ObserveTerm(token, isRecordFirst || i != 3)
			publisher := NewPublisher(token, []string{"b"})
			if i == 0 {
				publisher.AppendDecision(Decision{Started, Placement{runningTask, 1, "m"}})
			}
			catchUp(t, publisher, "b", replica)
			replica.PruneEarlierReplicas(record.Token)
		}
		table, ok := replica.TrustedTable(record, history, "b")
		if ok != isRecordFirst || ok && (!table.MayBeRunning(runningTask) || table.MayBeRunning("req-000001/4")) {
			t.Errorf("all record-first: %v, trusted: %v", isRecordFirst, ok)
		}
		record = InSyncRecord{Token: 15, Members: record.Members}
		replica.PruneEarlierReplicas(record.Token)
		if table, ok := replica.TrustedTable(record, history, "b"); !ok || table.Len() != 0 || len(replica.earlier) != 0 {
			t.Errorf("the last leader's replica is trusted: %v, %d earlier ones are kept", ok, len(replica.earlier))
		}
	}
}

// A leader's first record waits for the members of the last one, but not for long: if it named
// nobody and this leader failed soon, the next one would have no trusted replica.
func TestFirstRecordWaitsForMembersOfPreviousRecord(t *testing.T) {
	replica := NewReplica(7)
	publisher := NewPublisher(11, []string{"b", "c"})
	publisher.AppendDecision(Decision{Started, UnconfirmedPlacement("req-000001")})
	previousRecord := InSyncRecord{Token: 10, Members: []Member{{"b", 7}}}
	set := NewInSyncSet(publisher, previousRecord, 1, []string{"b", "c"}, 0)
	if record, _, ok := set.BeginWrite(firstRecordTimeout - 1); ok {
		t.Fatalf("%+v is written before the member is in sync", record)
	}
	setAfterTimeout := NewInSyncSet(publisher, previousRecord, 1, []string{"b", "c"}, 0)
	if record, _, ok := setAfterTimeout.BeginWrite(firstRecordTimeout); !ok || len(record.Members) != 0 {
		t.Fatalf("%+v, %v after the wait", record, ok)
	}
	catchUp(t, publisher, "b", replica)
	if record, _, ok := set.BeginWrite(clock.Millisecond); !ok || len(record.Members) != 1 {
		t.Fatalf("%+v, %v with the member in sync", record, ok)
	}
}

// A message with a placement that no leader can have sent is dropped whole, and counted.
func TestInvalidPlacementsAreRejected(t *testing.T) {
	for name, placement := range map[string]Placement{
		"of no task":      {},
		"with an attempt": {Task: "req-000001", Attempt: 3},
		"of no job":       {Task: "job 1"},
		"of no number":    {Task: "req-000001/x"},
		"no task":         {Machine: "m", Attempt: 1},
	} {
		replica := NewReplica(1)
		replica.ApplyMessage(&Message{Token: 3, Part: &SnapshotPart{PartCount: 1, Placements: []Placement{UnconfirmedPlacement(wire.TaskID("req-000001", 0)), placement}}})
		replica.ApplyMessage(&Message{Token: 3, Decisions: []Decision{{Started, placement}}})
		if replica.isComplete || replica.dropped.Malformed != 2 || replica.table.Len() != 0 {
			t.Errorf("%s: complete %v, %+v", name, replica.isComplete, replica.dropped)
		}
	}
}
