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

// With one zone there are grants even where leases are too short to outlast a zone's partition: in
// a store outage the leader whose lock cannot be renewed answers the workers, without commands, and
// redirects them in turn, as long as its grant lasts, and no longer.
func TestDelegateRenewsLeasesDuringStoreOutage(t *testing.T) {
	newController := func(zones ...string) *Controller {
		cfg := &config.Platform{Member: "a", Location: zones[0], Peers: []config.Peer{
			{Member: "b", Location: zones[0], Address: "127.0.0.1:1"}, {Member: "c", Location: zones[0], Address: "127.0.0.1:1"},
		}}
		cfg.External.StoreAddress, cfg.External.CloudAddress = "127.0.0.1:1", "127.0.0.1:1"
		deployment := &cfg.Deployment
		deployment.Zones = zones
		deployment.Workers = config.WorkerTimings{HeartbeatIntervalSeconds: 1.5, LeaseSeconds: 10, GangStartTimeoutSeconds: 45, GangPeerTimeoutSeconds: 6, CancelTimeoutSeconds: 35}
		deployment.Store = config.StoreLimits{RPS: 100, WriteRPS: 20, MaxValueKB: 4, MaxTransactionOps: 8}
		deployment.ProcessLimits = config.ProcessLimits{Cores: 1, MemoryMB: 100, MaxSockets: 900}
		return New(cfg, config.DefaultTuning(), slog.New(slog.DiscardHandler), client.DialTCP)
	}
	if controller := newController("x", "y"); controller.settings.Delegation.GrantTTL != 0 {
		t.Fatal("grants where a zone's partition would put off the proof that a lease is over")
	}
	controller := newController("x")
	leaseDuration, cancelTimeout := 10*clock.Second, 35*clock.Second
	if controller.settings.Delegation.GrantTTL < leaseDuration || controller.settings.Delegation.CancellationGrace+controller.settings.Delegation.GrantTTL+leaseDuration >= cancelTimeout {
		t.Fatalf("a grant lasts %d us", controller.settings.Delegation.GrantTTL)
	}
	controller.view.IsLoaded = true
	term := controller.newTerm(9, clock.Now())
	controller.term = term // it does not hold the lock: nothing was ever renewed
	if controller.isEntitled() {
		t.Fatal("entitled without a lock")
	}
	now := 100 * clock.Second
	heartbeat := &wire.Heartbeat{MachineID: "i-1", Zone: "x", FencingToken: 9}
	if repliesToOneOfTwoHeartbeats(controller, heartbeat, now) {
		t.Fatal("answers as delegate though it never knew of all cancellations")
	}
	makeEntitled(t, controller, 9)
	term.AcknowledgeTimestamps(now, func() {})
	batch, _ := controller.view.ClaimSyncs()
	batch.Complete(nil)
	controller.elector.StepDown(clock.Now(), clock.Second)
	if controller.isEntitled() || term.CancellationsKnownAt() != now {
		t.Fatalf("entitled %v, knows all cancellations before %d, not %d", controller.isEntitled(), term.CancellationsKnownAt(), now)
	}
	grantEnd := now + controller.settings.Delegation.GrantTTL
	var lastReplyAt, longestGap clock.Micros
	// The worker sends a heartbeat, is redirected, and comes back after it has tried the others.
	for heartbeatAt := now; heartbeatAt < grantEnd+leaseDuration; {
		if controller.replyAsDelegate(heartbeat, &server.Reply{}, heartbeatAt) {
			if heartbeatAt >= grantEnd {
				t.Fatalf("answers as delegate %d us after its grant has ended", heartbeatAt-grantEnd)
			}
			if lastReplyAt != 0 {
				longestGap = max(longestGap, heartbeatAt-lastReplyAt)
			}
			lastReplyAt = heartbeatAt
			heartbeatAt += 3 * clock.Second / 2
			continue
		}
		if heartbeatAt < grantEnd && heartbeatAt == now {
			t.Fatal("a worker that comes from elsewhere is not answered")
		}
		heartbeatAt += 5 * clock.Second / 2
	}
	if longestGap >= leaseDuration/2 || lastReplyAt < grantEnd-leaseDuration/2 {
		t.Fatalf("answers lie up to %d us apart, the last %d us before the end", longestGap, grantEnd-lastReplyAt)
	}
	controller.delegation.delegate.RecordLeaderHeartbeat(now, 10, controller.delegation.delegate.Timestamp(now)) // a newer leader is there
	if repliesToOneOfTwoHeartbeats(controller, heartbeat, now) {
		t.Fatal("answers as delegate while a newer leader sends heartbeats")
	}
}
