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

// signal sends a signal to the controller's process.
func (member *memberProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := member.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// The test guards against a leader that is paused in the middle of its work and, once resumed, still acts
// although another controller leads. Each leader's process is stopped for longer than its leader lease, and
// resumed when another controller has become leader with its replica. The paused leader may have sent only
// some of its starts, and replies of followers and workers and requests of users may have arrived during
// the pause. No task may run twice, and every job must be done.
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
		// Each pause begins 7 ms later after the submissions than the one before it, and so at another point
		// of the planning and the messages that follow the submissions.
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
