package controller

import (
	"log/slog"
	"testing"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// Where all machines and controllers are in one zone, leases that are too short to
// bridge a cut are kept alive in an outage: the leader whose lock cannot be renewed
// answers the workers, without commands, and sends them on in turn, as long as its
// right lasts, and no longer.
func TestShortLeasesOutliveAnOutage(t *testing.T) {
	with := func(zones ...string) *Core {
		cfg := &config.Platform{Member: "a", Location: zones[0], Peers: []config.Peer{
			{Member: "b", Location: zones[0], Address: "127.0.0.1:1"}, {Member: "c", Location: zones[0], Address: "127.0.0.1:1"},
		}}
		cfg.External.StoreAddress, cfg.External.CloudAddress = "127.0.0.1:1", "127.0.0.1:1"
		d := &cfg.Deployment
		d.Zones = zones
		d.Workers = config.WorkerTimings{HeartbeatIntervalSeconds: 1.5, LeaseSeconds: 10, GangStartTimeoutSeconds: 45, GangPeerTimeoutSeconds: 6, CancelTimeoutSeconds: 35}
		d.Store = config.StoreLimits{RPS: 100, WriteRPS: 20, MaxValueKB: 4, MaxTransactionOps: 8}
		d.ProcessLimits = config.ProcessLimits{Cores: 1, MemoryMB: 100, MaxSockets: 900}
		return New(cfg, config.DefaultTuning(), slog.New(slog.DiscardHandler), client.DialTCP)
	}
	if c := with("x", "y"); c.times.GrantTTL != 0 {
		t.Fatal("rights where a cut of a zone would put off the proof that a lease is over")
	}
	c := with("x")
	lease, cancel := 10*clock.Second, 35*clock.Second
	if c.times.GrantTTL < lease || c.times.CancellationGrace+c.times.GrantTTL+lease >= cancel {
		t.Fatalf("a right lasts %d us", c.times.GrantTTL)
	}
	c.view.loaded = true
	l := newLead(c, 9, clock.Now())
	c.lead = l // its lock is not held any more: nothing was ever renewed
	if c.entitled() {
		t.Fatal("entitled without a lock")
	}
	now := 100 * clock.Second
	rep := &wire.Heartbeat{MachineID: "i-1", Zone: "x", FencingToken: 9}
	if answersEither(c, rep, now) {
		t.Fatal("answers as delegate though it never knew of all withdrawals")
	}
	l.knewAt = now
	end := now + c.times.GrantTTL
	var last, longest clock.Micros
	// The worker reports, is sent on, and comes back after a round of the others.
	for at := now; at < end+lease; {
		if c.answerAsDelegate(rep, &server.Reply{}, at) {
			if at >= end {
				t.Fatalf("answers as delegate %d us after its right has ended", at-end)
			}
			if last != 0 {
				longest = max(longest, at-last)
			}
			last = at
			at += 3 * clock.Second / 2
			continue
		}
		if at < end && at == now {
			t.Fatal("a worker that comes from elsewhere is not answered")
		}
		at += 5 * clock.Second / 2
	}
	if longest >= lease/2 || last < end-lease/2 {
		t.Fatalf("answers lie up to %d us apart, the last %d us before the end", longest, end-last)
	}
	c.delegate.RecordLeaderHeartbeat(now, 10, c.delegate.Timestamp(now)) // a newer leader is there
	if answersEither(c, rep, now) {
		t.Fatal("answers as delegate while a newer leader is heard")
	}
}
