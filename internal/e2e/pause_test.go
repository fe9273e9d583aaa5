package e2e

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// leaderPauses is how many leaders TestLeadersPause pauses.
var leaderPauses = flag.Int("leader-pauses", 6, "how many leaders TestLeadersPause pauses")

// signal sends the controller's process a signal.
func (n *node) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := n.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// The leader stops in the middle of its work, for longer than its lock lasts, and goes on
// when another one leads with the copy of its account: with starts half sent, answers of
// followers and of workers that have come meanwhile, and requests of users. Nothing is
// started twice or forgotten.
func TestLeadersPause(t *testing.T) {
	d := deploy(t, lease)
	d.standbySettings(t)
	d.startAll(t, build(t, ""))
	submit, is := d.submitter(t), d.waiter(t)
	until(t, "both others stand by", d.inStep)
	var ids []string
	for i := range *leaderPauses {
		leader := d.someLeader(t)
		for range 4 {
			id := fmt.Sprintf("req-%06d", len(ids))
			ids = append(ids, id)
			submit(leader, id, wire.KindArray, 8)
		}
		// At another point of the plans and messages that follow each time.
		time.Sleep(time.Duration(i) * 7 * time.Millisecond)
		leader.signal(t, syscall.SIGSTOP)
		until(t, "another leads", func() bool { return d.leaderBut(leader) != nil })
		time.Sleep(time.Second)
		leader.signal(t, syscall.SIGCONT)
		until(t, "both others stand by", d.inStep)
	}
	for _, id := range ids {
		is(d.nodes["n0"], id, wire.JobDone)
	}
	d.check(t, 8*len(ids))
}
