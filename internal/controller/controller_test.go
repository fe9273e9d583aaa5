package controller

import (
	"log/slog"
	"testing"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// newTestController returns a controller whose view records the given machines, requested 300 s ago. It has
// no term, and no server answers its requests.
func newTestController(t testing.TB, machines ...string) *Controller {
	t.Helper()
	cfg := &config.Platform{Member: "a", Location: "x", Peers: []config.Peer{{Member: "b", Location: "y", Address: "127.0.0.1:1"}}}
	cfg.External.StoreAddress, cfg.External.CloudAddress = "127.0.0.1:1", "127.0.0.1:1"
	deployment := &cfg.Deployment
	deployment.Zones = []string{"x", "y"}
	deployment.Teams = []config.Team{{Name: "t"}}
	deployment.Workers = config.WorkerTimings{HeartbeatIntervalSeconds: 2, LeaseSeconds: 24, GangStartTimeoutSeconds: 30, GangPeerTimeoutSeconds: 5, CancelTimeoutSeconds: 60}
	deployment.Store = config.StoreLimits{RPS: 100, WriteRPS: 100, MaxValueKB: 16, MaxTransactionOps: 16}
	deployment.Cloud = config.Cloud{RPS: 10, ListLagSeconds: 1}
	deployment.ProcessLimits = config.ProcessLimits{Cores: 1, MemoryMB: 100, MaxSockets: 1000}
	controller := New(cfg, config.DefaultTuning(), slog.New(slog.DiscardHandler), client.DialTCP)
	controller.machineTypes.list = []wire.MachineType{{Name: "big", CPUs: 16, MemoryGB: 64, OnDemandPrice: 1, BootSeconds: 15, Zones: deployment.Zones}}
	controller.view.ScaleOuts["h"] = &storeview.ScaleOut{ScaleOut: records.ScaleOut{Type: "big", Zone: "x", Count: len(machines), RequestedAt: int64(clock.WallTime() - 300*clock.Second), IsResolved: true, Machines: machines}}
	return controller
}

// makeEntitled makes a controller win the lock with a token.
func makeEntitled(t testing.TB, controller *Controller, token uint64) {
	t.Helper()
	now := clock.Now()
	controller.elector.ObserveLock(now, election.Lock{})
	controller.elector.Tick(now)
	controller.elector.HandleGrantResult(now, 5)
	controller.elector.HandleAcquireResult(now, election.AcquireSucceeded, token)
	if !controller.isEntitled() {
		t.Fatal("the controller won the lock, but is not entitled to act as leader")
	}
}
