package standby

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// catchUp exchanges messages until a replica has every decision of the leader.
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
	t.Fatal("the replica still lacks decisions of the leader after 9 exchanges of messages")
}

// Five leaders fail one after another, each before its in-sync record is written. As none of them has
// sent a start, the replica of the leader before them stays trusted. It does not if one of the five
// is not record-first, since that one may have sent starts without a record.
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
			t.Errorf("all terms record-first: %v, replica trusted: %v; want the same, and only the running task in a trusted table", isRecordFirst, ok)
		}
		record = InSyncRecord{Token: 15, Members: record.Members}
		replica.PruneEarlierReplicas(record.Token)
		if table, ok := replica.TrustedTable(record, history, "b"); !ok || table.Len() != 0 || len(replica.earlier) != 0 {
			t.Errorf("after the last leader's record: replica trusted: %v, want true with an empty table; earlier replicas kept: %d, want 0", ok, len(replica.earlier))
		}
	}
}

// A leader's first record waits for the members of the previous record to come into sync, up to
// firstRecordTimeout. If it named no members and this leader failed soon, the next leader would have
// no trusted replica.
func TestFirstRecordWaitsForMembersOfPreviousRecord(t *testing.T) {
	replica := NewReplica(7)
	publisher := NewPublisher(11, []string{"b", "c"})
	publisher.AppendDecision(Decision{Started, UnconfirmedPlacement("req-000001")})
	previousRecord := InSyncRecord{Token: 10, Members: []Member{{"b", 7}}}
	set := NewInSyncSet(publisher, previousRecord, 1, []string{"b", "c"}, 0)
	if record, _, ok := set.BeginWrite(firstRecordTimeout - 1); ok {
		t.Fatalf("BeginWrite before firstRecordTimeout, with the previous member not in sync: got %+v, want no write", record)
	}
	setAfterTimeout := NewInSyncSet(publisher, previousRecord, 1, []string{"b", "c"}, 0)
	if record, _, ok := setAfterTimeout.BeginWrite(firstRecordTimeout); !ok || len(record.Members) != 0 {
		t.Fatalf("BeginWrite at firstRecordTimeout: got %+v, %v, want a record without members", record, ok)
	}
	catchUp(t, publisher, "b", replica)
	if record, _, ok := set.BeginWrite(clock.Millisecond); !ok || len(record.Members) != 1 {
		t.Fatalf("BeginWrite with member b in sync: got %+v, %v, want a record with one member", record, ok)
	}
}

// A message with a placement that no leader can have sent is dropped as a whole, and counted.
func TestInvalidPlacementsAreRejected(t *testing.T) {
	for name, placement := range map[string]Placement{
		"unconfirmed entry without an id":            {},
		"unconfirmed entry with an attempt":          {Task: "req-000001", Attempt: 3},
		"unconfirmed entry with a malformed job id":  {Task: "job 1"},
		"unconfirmed entry with a malformed task id": {Task: "req-000001/x"},
		"placement on a machine without a task":      {Machine: "m", Attempt: 1},
	} {
		replica := NewReplica(1)
		replica.ApplyMessage(&Message{Token: 3, Part: &SnapshotPart{PartCount: 1, Placements: []Placement{UnconfirmedPlacement(wire.TaskID("req-000001", 0)), placement}}})
		replica.ApplyMessage(&Message{Token: 3, Decisions: []Decision{{Started, placement}}})
		if replica.isComplete || replica.dropped.Malformed != 2 || replica.table.Len() != 0 {
			t.Errorf("%s: complete: %v, dropped: %+v; want an incomplete, empty replica and 2 malformed messages", name, replica.isComplete, replica.dropped)
		}
	}
}
