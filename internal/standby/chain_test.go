package standby

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// follow has a replica take all that a leader has to tell.
func follow(t *testing.T, p *Publisher, name string, r *Replica) {
	t.Helper()
	for now := clock.Second; now < 10*clock.Second; now += clock.Second {
		if p.Has(Member{name, r.life}, p.sequence) {
			return
		}
		if message, ok := p.Next(name, now); ok {
			p.Answered(name, r.Take(message))
		}
	}
	t.Fatal("the replica does not come up to date")
}

// Five leaders end one after another, each before its record is written: none of them has
// sent anything, so the replica of the one before them is as good as ever. With one that
// is not bound among them it is not.
func TestLeadersThatEndBeforeTheirRecord(t *testing.T) {
	const running = "req-000001/3"
	for _, isBound := range []bool{true, false} {
		replica, leads := NewReplica(7), &Leads{}
		record := Record{Token: 10, Members: []Member{{"b", 7}}}
		for i := range uint64(6) {
			token := 10 + i
			leads.Seen(token, isBound || i != 3)
			p := NewPublisher(token, nil, []string{"b"})
			if i == 0 {
				p.Decide(Decision{Started, Placement{running, 1, "m"}})
			}
			follow(t, p, "b", replica)
			replica.RecordSeen(record.Token)
		}
		account, ok := replica.Trusted(record, leads, "b")
		if ok != isBound || ok && (!account.MayRun(running) || account.MayRun("req-000001/4")) {
			t.Errorf("all bound: %v, trusted: %v", isBound, ok)
		}
		record = Record{Token: 15, Members: record.Members}
		replica.RecordSeen(record.Token)
		if account, ok := replica.Trusted(record, leads, "b"); !ok || account.Len() != 0 || len(replica.earlier) != 0 {
			t.Errorf("the last leader's replica is trusted: %v, %d earlier ones are kept", ok, len(replica.earlier))
		}
	}
}

// A leader's first record waits for the members that the last one names, but not for long:
// with one that names nobody in force, its own end would be followed the slow way.
func TestTheFirstRecordWaits(t *testing.T) {
	replica := NewReplica(7)
	p := NewPublisher(11, nil, []string{"b", "c"})
	p.Decide(Decision{Started, Doubt("req-000001")})
	found := Record{Token: 10, Members: []Member{{"b", 7}}}
	m := NewMembership(p, found, 1, []string{"b", "c"}, 0)
	if record, _, ok := m.Change(firstRecordWait - 1); ok {
		t.Fatalf("%+v is written before the member is in step", record)
	}
	late := NewMembership(p, found, 1, []string{"b", "c"}, 0)
	if record, _, ok := late.Change(firstRecordWait); !ok || len(record.Members) != 0 {
		t.Fatalf("%+v, %v after the wait", record, ok)
	}
	follow(t, p, "b", replica)
	if record, _, ok := m.Change(clock.Millisecond); !ok || len(record.Members) != 1 {
		t.Fatalf("%+v, %v with the member in step", record, ok)
	}
}

// What no leader can have told of is dropped whole, and counted.
func TestImpossibleDoubts(t *testing.T) {
	for name, p := range map[string]Placement{
		"of no task":      {},
		"with an attempt": {Task: "req-000001", Attempt: 3},
		"of no job":       {Task: "job 1"},
		"of no number":    {Task: "req-000001/x"},
		"no task":         {Machine: "m", Attempt: 1},
	} {
		r := NewReplica(1)
		r.Take(&Message{Token: 3, Part: &Part{Of: 1, Placements: []Placement{Doubt(wire.TaskID("req-000001", 0)), p}}})
		r.Take(&Message{Token: 3, Decisions: []Decision{{Started, p}}})
		if r.isComplete || r.counts.Malformed != 2 || r.account.Len() != 0 {
			t.Errorf("%s: complete %v, %+v", name, r.isComplete, r.counts)
		}
	}
}
