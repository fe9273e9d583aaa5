package controller

import (
	"errors"
	"log/slog"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// A leader that is cut off from the workers hands over; one whose machines are
// taken in a wave, or that nobody can replace, does not, and one that hears
// nobody deletes nothing.
func TestHearing(t *testing.T) {
	for _, c := range []struct {
		h            hearing
		peers        uint32
		mostly, lost bool
	}{
		{hearing{20, 20}, 0, true, false},
		{hearing{20, 8}, 0, true, false},  // a wave
		{hearing{20, 0}, 12, false, true}, // cut off from all workers
		{hearing{20, 0}, 2, false, false}, // the workers reach nobody else
		{hearing{20, 12}, 8, true, false}, // one zone is cut off
		{hearing{2, 0}, 2, false, false},  // too few to tell
	} {
		if c.h.mostly() != c.mostly || c.h.lost(c.peers) != c.lost {
			t.Errorf("%+v with %d: mostly %v, lost %v", c.h, c.peers, c.h.mostly(), c.h.lost(c.peers))
		}
	}
}

// rebuilt makes a leader of token 9 that has found these machines recorded,
// rented long ago. What it sends goes nowhere.
func rebuilt(t testing.TB, machines ...string) *lead {
	t.Helper()
	cfg := &config.Platform{Member: "a", Location: "x", Peers: []config.Peer{{Member: "b", Location: "y", Address: "127.0.0.1:1"}}}
	cfg.External.StoreAddress, cfg.External.CloudAddress = "127.0.0.1:1", "127.0.0.1:1"
	d := &cfg.Deployment
	d.Zones = []string{"x", "y"}
	d.Teams = []config.Team{{Name: "t"}}
	d.Workers = config.WorkerTimings{HeartbeatIntervalSeconds: 2, LeaseSeconds: 24, GangStartTimeoutSeconds: 30, GangPeerTimeoutSeconds: 5, CancelTimeoutSeconds: 60}
	d.Store = config.StoreLimits{RPS: 100, WriteRPS: 100, MaxValueKB: 16, MaxTransactionOps: 16}
	d.Cloud = config.Cloud{RPS: 10, ListLagSeconds: 1}
	d.ProcessLimits = config.ProcessLimits{Cores: 1, MemoryMB: 100, MaxSockets: 1000}
	c := New(cfg, config.DefaultTuning(), slog.New(slog.DiscardHandler), client.DialTCP)
	c.types = []wire.MachineType{{Name: "big", CPUs: 16, MemoryGB: 64, OnDemandPrice: 1, BootSeconds: 15, Zones: d.Zones}}
	c.view.rentals["h"] = &rentalRecord{Type: "big", Zone: "x", Count: len(machines), At: int64(clock.WallTime() - 300*clock.Second), Resolved: true, Machines: machines}
	return newLead(c, 9, clock.Now())
}

// A new leader has heard none of the machines that an earlier one rented. That
// is no sign that they never came up; the cloud's list saying so is.
func TestUnheardIsNotBooting(t *testing.T) {
	l := rebuilt(t, "i-1", "i-2", "i-3")
	later := l.since + l.c.silentAfter() + 2*clock.Second
	l.watchMachines(later)
	if len(l.deletes) != 0 {
		t.Fatalf("deleted %v, of which nothing is known", l.deletes)
	}
	l.listed(&wire.ListedMachine{ID: "i-1", State: wire.MachineRunning}, later)
	l.listed(&wire.ListedMachine{ID: "i-2", State: wire.MachineBooting}, later)
	l.watchMachines(later)
	if !slices.Equal(l.deletes, []string{"i-2"}) {
		t.Fatalf("deleted %v, only i-2 has never come up", l.deletes)
	}
}

// answersEither tells whether the member answers one of two reports in a row: a
// worker is sent on after each answer, so one report alone would not show it.
func answersEither(c *Core, rep *wire.Heartbeat, now clock.Micros) bool {
	first := c.answerAsDelegate(rep, &server.Reply{}, now)
	second := c.answerAsDelegate(rep, &server.Reply{}, now)
	return first || second
}

// A follower that hears neither leader nor state service keeps a worker's lease
// alive at once, and sends it on after each answer; not at all while the leader is
// heard: a worker that reaches the leader is not held.
func TestDelegateSendsOn(t *testing.T) {
	l := rebuilt(t)
	c := l.c
	c.lead, c.view.loaded = nil, true
	now, back := 100*clock.Second, 5*clock.Second
	rep := &wire.Heartbeat{MachineID: "i-1", FencingToken: 5}
	c.delegate = delegation.NewDelegate(c.times, 1, now-60*clock.Second)
	if answersEither(c, rep, now) {
		t.Fatal("answers as delegate without a right")
	}
	c.delegate.RecordLeaderHeartbeat(now-back, 5, c.delegate.Timestamp(now-back))
	for i, want := range []bool{true, false, true, false} {
		if got := c.answerAsDelegate(rep, &server.Reply{}, now); got != want {
			t.Fatalf("report %d: answered as delegate %v", i, got)
		}
	}
	if c.answerAsDelegate(&wire.Heartbeat{MachineID: "i-1", FencingToken: 6}, &server.Reply{}, now) {
		t.Fatal("answers as delegate against a newer leader")
	}
	c.delegate.RecordLeaderHeartbeat(now, 5, c.delegate.Timestamp(now))
	if answersEither(c, rep, now) {
		t.Fatal("holds a worker while the leader is heard")
	}
}

// What was silent while this process stood still is not taken for silent: nothing
// is deleted, nothing is promised and the lead is not given away for it.
func TestStandstill(t *testing.T) {
	l := rebuilt(t, "i-1", "i-2", "i-3", "i-4")
	l.deadline.Store(1 << 62)
	c := l.c
	c.lead = l
	now := l.since
	for _, m := range l.lg.Machines {
		l.lg.RecordHeartbeat(m, &wire.Heartbeat{MachineID: m.Name, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, FencingToken: 9}, now)
	}
	c.tickedAt = now
	now += 20 * clock.Second // less than a lease
	one := l.lg.Machines["i-1"]
	one.LastHeartbeatAt, l.lg.Machines["i-2"].LastHeartbeatAt = now, now
	c.beats["b"] = &beatSeen{beat: &peer.Heartbeat{Member: "b", IsStoreReachable: true, WorkerCount: 4}, at: now}
	l.woke(now)
	l.watchMachines(now)
	if len(l.deletes) != 0 || len(l.promises.ConstrainedZones()) != 0 || l.closed {
		t.Fatalf("after a standstill: deletes %v, promises about %v, lead given up %v", l.deletes, l.promises.ConstrainedZones(), l.closed)
	}
	if l.pl.ResumedAt != now {
		t.Fatal("the planner takes machines for silent")
	}
	now += l.c.silentAfter() + clock.Second
	one.LastHeartbeatAt, l.lg.Machines["i-2"].LastHeartbeatAt = now, now
	l.watchMachines(now)
	if len(l.deletes) != 2 {
		t.Fatalf("machines that stay silent afterwards: deleted %v", l.deletes)
	}
}

// A machine that answers no probe is deleted while the others of its zone answer,
// and only then: in a cut none does, and a process that was late itself, or had no
// connection free, has learnt nothing.
func TestProbes(t *testing.T) {
	fail := errors.New("no answer")
	for _, c := range []struct {
		name            string
		answer          int // machines that answer, of four
		err             error
		late            clock.Micros
		deleted, unsure bool
	}{
		{"one hangs", 3, fail, 0, true, false},
		{"a cut", 0, fail, 0, false, false},
		{"half are gone", 2, fail, 0, false, false},
		{"none is free", 3, client.ErrPoolExhausted, 0, false, true},
		{"late", 3, fail, 5 * clock.Second, false, true},
	} {
		l := rebuilt(t, "i-1", "i-2", "i-3", "i-4")
		l.deadline.Store(1 << 62)
		names := []string{"i-1", "i-2", "i-3", "i-4"}
		for _, n := range names {
			l.lg.RecordHeartbeat(l.lg.Machines[n], &wire.Heartbeat{MachineID: n, Incarnation: 1, Sequence: 1, FencingToken: 9}, clock.Now())
			l.lg.Machines[n].LastHeartbeatAt -= 20 * clock.Second
		}
		l.awake -= 60 * clock.Second
		l.deafAt["x"] = l.awake // the clock may be younger than a probe
		for round := uint64(0); round < 2; round++ {
			sent := clock.Now() - probeTimeout - c.late
			for i, n := range names {
				m := l.lg.Machines[n]
				if i < c.answer {
					l.asked(m, l.machines[n], sent, &wire.Heartbeat{MachineID: n, Incarnation: 1, Sequence: 2 + round, FencingToken: 9}, nil)
				} else {
					l.asked(m, l.machines[n], sent, nil, c.err)
				}
			}
		}
		if got := len(l.deletes) > 0; got != c.deleted {
			t.Errorf("%s: deleted %v", c.name, l.deletes)
		}
		if c.unsure && l.machines["i-4"].probes.misses != 0 {
			t.Errorf("%s: counted as a miss", c.name)
		}
	}
}

// When a zone that was cut off comes back, machines that are not heard in the same
// second as the first third of it are left their time; those that stay silent go.
func TestAZoneComesBackOneByOne(t *testing.T) {
	names := []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}
	l := rebuilt(t, names...)
	l.deadline.Store(1 << 62)
	now := l.since
	for _, n := range names {
		l.lg.RecordHeartbeat(l.lg.Machines[n], &wire.Heartbeat{MachineID: n, Incarnation: 1, Sequence: 1, FencingToken: 9}, now)
	}
	for end := now + l.c.silentAfter() + 3*clock.Second; now < end; now += clock.Second / 2 {
		l.watchMachines(now)
	}
	hear := func(names ...string) {
		for _, n := range names {
			l.lg.Machines[n].LastHeartbeatAt = now
		}
	}
	hear("i-1", "i-2")
	for _, n := range names[2:] {
		l.machines[n].probes.misses = 5
		l.asked(l.lg.Machines[n], l.machines[n], now-clock.Second, nil, errors.New("no answer"))
	}
	l.watchMachines(now)
	if len(l.deletes) != 0 {
		t.Fatalf("deleted when the zone comes back: %v", l.deletes)
	}
	hear("i-3", "i-4")
	for end := now + l.c.silentAfter() + 3*clock.Second; now < end; now += clock.Second / 2 {
		hear("i-1", "i-2", "i-3", "i-4")
		l.watchMachines(now)
	}
	slices.Sort(l.deletes)
	if !slices.Equal(l.deletes, []string{"i-5", "i-6"}) {
		t.Fatalf("silent for long after that: deleted %v", l.deletes)
	}
}
