package e2e

import (
	"flag"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// leaderKills is how many leaders TestKilledLeaders kills.
var leaderKills = flag.Int("leader-kills", 20, "how many leaders TestKilledLeaders kills")

// maxFailoverTime is the longest permitted time from the kill of a leader to the next start of a task.
const maxFailoverTime = 10 * time.Second

// The test guards against duplicate execution, lost jobs and slow failovers when leaders crash under load.
// It kills one leader after another. No task may run twice, every job must be done, and after each kill a
// task must start within maxFailoverTime. At least half of the failovers must use a replica.
func TestKilledLeaders(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.enableStandby()
	deployment.startAll(buildProgram(t, ""))
	waitFor(t, "both followers are in sync", deployment.isStandbyInSync)
	var done []string
	var durations []time.Duration
	replicaUses := 0
	for range *leaderKills {
		ids, duration := deployment.killLeaderUnderLoad()
		done = append(done, ids...)
		durations = append(durations, duration.Round(10*time.Millisecond))
		if leader := deployment.leader(); leader != nil {
			if status := leader.standbyStatus(); status.Failover != nil && status.Failover.IsReplicaUsed {
				replicaUses++
			}
		}
		waitFor(t, "both followers are in sync", deployment.isStandbyInSync)
	}
	for _, id := range done {
		deployment.waitForState(deployment.members["n0"], id, wire.JobDone)
	}
	slices.Sort(durations)
	t.Logf("%d of %d failovers used a replica; times from the kill to the next task start: %v", replicaUses, *leaderKills, durations)
	if durations[len(durations)-1] > maxFailoverTime {
		t.Errorf("longest time from a kill to the next task start: got %v, want at most %v", durations[len(durations)-1], maxFailoverTime)
	}
	if replicaUses < *leaderKills/2 {
		t.Errorf("got %d of %d failovers that used a replica, want at least half", replicaUses, *leaderKills)
	}
	deployment.checkRules(*leaderKills * 10)
}

// killLeaderUnderLoad submits jobs, kills the leader, cancels one of the jobs and submits another job while
// there is no leader. When a task has started and the cancellation is confirmed, it starts the killed
// controller again. It returns the jobs that must become done, and the time from the kill to the next start
// of a task.
func (deployment *testDeployment) killLeaderUnderLoad() (ids []string, duration time.Duration) {
	t := deployment.t
	t.Helper()
	leader := deployment.waitForLeader()
	others := deployment.otherNames(leader.name)
	first, second, cancelled := deployment.nextJobID(), deployment.nextJobID(), deployment.nextJobID()
	deployment.submit(deployment.members[others[0]], first, wire.KindArray, 6)
	deployment.submit(deployment.members[others[1]], second, wire.KindArray, 2, first)
	deployment.submit(leader, cancelled, wire.KindService, 2)
	killedAt := time.Now()
	leader.kill(t)
	cancellationDone := make(chan struct{})
	go func() {
		defer close(cancellationDone)
		deployment.cancel(deployment.members[others[1]], cancelled)
	}()
	startsBefore := deployment.cloud.StartCount()
	submittedAfterKill := deployment.nextJobID()
	deployment.submit(deployment.members[others[0]], submittedAfterKill, wire.KindArray, 2)
	waitFor(t, "a task starts", func() bool { return deployment.cloud.StartCount() > startsBefore })
	duration = time.Since(killedAt)
	<-cancellationDone
	leader.start(t, leader.cmd.Path)
	return []string{first, second, submittedAfterKill}, duration
}
