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

// In a store outage the leader cannot renew its lock. It then replies to workers as delegate: without
// commands, redirecting each worker after every reply, until its grant ends and no longer. If all workers are
// in one zone, there are grants even with leases that are too short for delegation in a partition between
// zones.
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
		t.Fatal("GrantTTL is above 0 with two zones, want 0: a redirected worker may be back too late in a partition between zones")
	}
	controller := newController("x")
	leaseDuration, cancelTimeout := 10*clock.Second, 35*clock.Second
	if controller.settings.Delegation.GrantTTL < leaseDuration || controller.settings.Delegation.CancellationGrace+controller.settings.Delegation.GrantTTL+leaseDuration >= cancelTimeout {
		t.Fatalf("GrantTTL = %d us, want at least a lease, and less than the cancellation timeout when added to CancellationGrace and a lease", controller.settings.Delegation.GrantTTL)
	}
	controller.view.IsLoaded = true
	term := controller.newTerm(9, clock.Now())
	controller.term = term // without the lock, since no lease was ever renewed
	if controller.isEntitled() {
		t.Fatal("the controller is entitled to act as leader without the lock")
	}
	now := 100 * clock.Second
	heartbeat := &wire.Heartbeat{MachineID: "i-1", Zone: "x", FencingToken: 9}
	if repliesToOneOfTwoHeartbeats(controller, heartbeat, now) {
		t.Fatal("the member replies as delegate, but has never known all cancellations")
	}
	makeEntitled(t, controller, 9)
	term.AcknowledgeTimestamps(now, func() {})
	batch, _ := controller.view.ClaimSyncs()
	batch.Complete(nil)
	controller.elector.StepDown(clock.Now(), clock.Second)
	if controller.isEntitled() || term.CancellationsKnownAt() != now {
		t.Fatalf("isEntitled = %v, want false; CancellationsKnownAt = %d, want %d", controller.isEntitled(), term.CancellationsKnownAt(), now)
	}
	grantEnd := now + controller.settings.Delegation.GrantTTL
	var lastReplyAt, longestGap clock.Micros
	// The worker sends a heartbeat, is redirected, and comes back after it has tried the other members.
	for heartbeatAt := now; heartbeatAt < grantEnd+leaseDuration; {
		if controller.replyAsDelegate(heartbeat, &server.Reply{}, heartbeatAt) {
			if heartbeatAt >= grantEnd {
				t.Fatalf("the member replies as delegate %d us after the end of its grant", heartbeatAt-grantEnd)
			}
			if lastReplyAt != 0 {
				longestGap = max(longestGap, heartbeatAt-lastReplyAt)
			}
			lastReplyAt = heartbeatAt
			heartbeatAt += 3 * clock.Second / 2
			continue
		}
		if heartbeatAt < grantEnd && heartbeatAt == now {
			t.Fatal("the member does not reply to the first heartbeat of a worker that comes from another member")
		}
		heartbeatAt += 5 * clock.Second / 2
	}
	if longestGap >= leaseDuration/2 || lastReplyAt < grantEnd-leaseDuration/2 {
		t.Fatalf("replies are up to %d us apart and the last is %d us before the grant's end, want less than half a lease", longestGap, grantEnd-lastReplyAt)
	}
	// A newer leader sends a heartbeat.
	controller.delegation.delegate.RecordLeaderHeartbeat(now, 10, controller.delegation.delegate.Timestamp(now))
	if repliesToOneOfTwoHeartbeats(controller, heartbeat, now) {
		t.Fatal("the member replies as delegate while a newer leader sends heartbeats")
	}
}
