package sim

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// waitForConfirmedTokens waits until the leader has no machine left that it may not command.
func (cluster *Cluster) waitForConfirmedTokens(timeout time.Duration) {
	cluster.t.Helper()
	cluster.WaitFor("all machines have confirmed the token", timeout, func() bool {
		leader := cluster.Leader()
		return leader != "" && hasMetric(cluster.metricsOf(leader), "firwood_machines_unconfirmed 0")
	})
}

// failOverToOther ends the leader for as long as no other member leads: one that is back at once may win
// the lock again.
func (cluster *Cluster) failOverToOther() {
	cluster.t.Helper()
	previous := cluster.Leader()
	cluster.Crash(previous)
	cluster.WaitForNewLeader(previous, 30*time.Second)
	cluster.Start(previous)
}

// Seen: a leader had replied to a machine, and might command it only 8.7 s later, at its next heartbeat.
//
// How: two leaders ended within half a lease. A worker reports a higher token at once only once in that
// time, so after the second failover it waited for its next regular heartbeat.
//
// Cause: a leader left it to the worker to show that it has seen the token.
//
// Proof: after the first failover the machine is confirmed half a second after the reply, after the
// second a heartbeat interval after it.
func TestTokenIsConfirmedSoonAfterSecondFailover(t *testing.T) {
	options := Options{TaskDuration: longTaskDuration, Workers: WorkerTimes{HeartbeatInterval: 12 * time.Second}}
	Run(t, options, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 4, "a"))
		machine := cluster.MachinesRunning(JobID(1))[0]
		for range 2 {
			before := cluster.Cloud.SeenToken(machine)
			cluster.failOverToOther()
			cluster.WaitFor(machine+" has seen the new leader's token", time.Minute, func() bool { return cluster.Cloud.SeenToken(machine) > before })
			cluster.waitForConfirmedTokens(2 * time.Second)
		}
	})
}

// reconciliationRecorder collects how long failovers took until machines could be commanded.
type reconciliationRecorder struct {
	slog.Handler
	mu    sync.Mutex
	times []string // one line for each failover
}

// Enabled implements slog.Handler.
func (recorder *reconciliationRecorder) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (recorder *reconciliationRecorder) Handle(_ context.Context, record slog.Record) error {
	if record.Message != "machines reconciled after failover" {
		return nil
	}
	var line strings.Builder
	record.Attrs(func(attribute slog.Attr) bool {
		fmt.Fprintf(&line, "%s=%v ", attribute.Key, attribute.Value)
		return true
	})
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.times = append(recorder.times, line.String())
	return nil
}

// WithAttrs implements slog.Handler.
func (recorder *reconciliationRecorder) WithAttrs([]slog.Attr) slog.Handler { return recorder }

// A large fleet fails over twice within half a lease: after each failover nearly all machines may be
// commanded within a little more than a heartbeat interval. The log has the times.
func TestLargeFleetIsReconciledAfterEachFailover(t *testing.T) {
	for _, size := range strings.Split(*fleetSizes, ",") {
		machines, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(size, func(t *testing.T) {
			recorder := &reconciliationRecorder{Handler: slog.DiscardHandler}
			options := fleetOptions(machines)
			options.Logger = slog.New(recorder)
			Run(t, options, func(cluster *Cluster) {
				fleet := &largeFleet{Cluster: cluster}
				fleet.submitJobs(machines)
				fleet.waitForAllRunning("after the boot of the fleet", 3*time.Minute)
				for range 2 {
					cluster.failOverToOther()
					startedAt := time.Now()
					cluster.waitForConfirmedTokens(2 * options.Workers.HeartbeatInterval)
					t.Logf("all machines have confirmed the token after %v", time.Since(startedAt).Round(100*time.Millisecond))
				}
				for _, times := range recorder.times {
					t.Log(times)
				}
			})
		})
	}
}
