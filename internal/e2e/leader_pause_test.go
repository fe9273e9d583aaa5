package e2e

import (
	"flag"
	"syscall"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// leaderPauses is how many leaders TestPausedLeaders pauses.
var leaderPauses = flag.Int("leader-pauses", 6, "how many leaders TestPausedLeaders pauses")

// signal sends the controller's process a signal.
func (member *memberProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := member.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// The leader's process is stopped in the middle of its work, for longer than its leader lease, and
// resumed when another member is leader with its replica: with starts half sent, with replies of
// followers and workers and requests of users that arrived meanwhile. No task runs twice, and no job
// is lost.
func TestPausedLeaders(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.enableStandby()
	deployment.startAll(buildProgram(t, ""))
	waitFor(t, "both followers are in sync", deployment.isStandbyInSync)
	var ids []string
	for i := range *leaderPauses {
		leader := deployment.waitForLeader()
		for range 4 {
			id := jobID(len(ids))
			ids = append(ids, id)
			deployment.submit(leader, id, wire.KindArray, 8)
		}
		// Each time at another point of the plans and messages that follow.
		time.Sleep(time.Duration(i) * 7 * time.Millisecond)
		leader.signal(t, syscall.SIGSTOP)
		waitFor(t, "another controller is leader", func() bool { return deployment.leaderExcept(leader) != nil })
		time.Sleep(time.Second)
		leader.signal(t, syscall.SIGCONT)
		waitFor(t, "both followers are in sync", deployment.isStandbyInSync)
	}
	for _, id := range ids {
		deployment.waitForState(deployment.members["n0"], id, wire.JobDone)
	}
	deployment.checkRules(8 * len(ids))
}
