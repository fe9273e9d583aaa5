package e2e

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// leaderPauses is how many leaders TestPausedLeaders pauses.
var leaderPauses = flag.Int("leader-pauses", 6, "how many leaders TestLeadersPause pauses")

// signal sends the controller's process a signal.
func (member *memberProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := member.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// The leader stops in the middle of its work, for longer than its lock lasts, and goes on
// when another one leads with the copy of its account: with starts half sent, answers of
// followers and of workers that have come meanwhile, and requests of users. Nothing is
// started twice or forgotten.
func TestPausedLeaders(t *testing.T) {
	deployment := deploy(t, leaseTTL)
	deployment.enableStandby(t)
	deployment.startAll(t, buildProgram(t, ""))
	submit, waitForState := deployment.submitFunc(t), deployment.waitForStateFunc(t)
	waitFor(t, "both others stand by", deployment.isStandbyInSync)
	var ids []string
	for i := range *leaderPauses {
		leader := deployment.waitForLeader(t)
		for range 4 {
			id := fmt.Sprintf("req-%06d", len(ids))
			ids = append(ids, id)
			submit(leader, id, wire.KindArray, 8)
		}
		// At another point of the plans and messages that follow each time.
		time.Sleep(time.Duration(i) * 7 * time.Millisecond)
		leader.signal(t, syscall.SIGSTOP)
		waitFor(t, "another leads", func() bool { return deployment.leaderExcept(leader) != nil })
		time.Sleep(time.Second)
		leader.signal(t, syscall.SIGCONT)
		waitFor(t, "both others stand by", deployment.isStandbyInSync)
	}
	for _, id := range ids {
		waitForState(deployment.members["n0"], id, wire.JobDone)
	}
	deployment.checkRules(t, 8*len(ids))
}
