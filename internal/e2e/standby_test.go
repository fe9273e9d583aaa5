package e2e

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/controller"
	"firwood.dev/firwood/wire"
)

// leaderKills is how many leaders TestLeadersAreKilled kills.
var leaderKills = flag.Int("leader-kills", 20, "how many leaders TestLeadersAreKilled kills")

// takeOverBound is how long a take-over may take.
const takeOverBound = 10 * time.Second

// standbySettings has every controller keep copies, and hold the lock for so long.
func (d *deployment) standbySettings(t *testing.T) {
	t.Helper()
	path := filepath.Join(d.dir, "standby.yaml")
	text := "leader_ttl_s: 1.5\nstandby:\n  enabled: true\n  trace: " + filepath.Join(d.dir, "trace.json") + "\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, n := range d.nodes {
		n.settings = path
	}
}

// status is what a controller says of who stands by.
func (n *node) status() (s controller.StandbyStatus) {
	if m := ask(n, "GET", "/ops/v1/standby", nil); m.Status != 200 || json.Unmarshal(m.Body, &s) != nil {
		return controller.StandbyStatus{}
	}
	return s
}

// leader is the controller that leads, by its own word; nil if there is none.
func (d *deployment) leader() *node { return d.leaderBut(nil) }

// someLeader waits until some controller leads.
func (d *deployment) someLeader(t *testing.T) (leader *node) {
	t.Helper()
	until(t, "some controller leads", func() bool {
		leader = d.leader()
		return leader != nil
	})
	return leader
}

// leaderBut is the same of all controllers but one, which would not answer.
func (d *deployment) leaderBut(stopped *node) *node {
	for _, name := range d.names {
		if d.nodes[name] == stopped {
			continue
		}
		if s := d.nodes[name].status(); s.Member != "" && len(s.Followers) > 0 {
			return d.nodes[name]
		}
	}
	return nil
}

// inStep tells whether the leader has both others in step.
func (d *deployment) inStep() bool {
	leader := d.leader()
	return leader != nil && !slices.ContainsFunc(leader.status().Followers, func(f controller.FollowerStatus) bool { return !f.IsInSync })
}

// The leader is killed again and again under load, without a warning: nothing is started
// twice or forgotten, and each time another starts work within ten seconds.
func TestLeadersAreKilled(t *testing.T) {
	d := deploy(t, lease)
	d.standbySettings(t)
	d.startAll(t, build(t, ""))
	submit, is := d.submitter(t), d.waiter(t)
	until(t, "both others stand by", d.inStep)
	number := 0
	next := func() string { number++; return fmt.Sprintf("req-%06d", number) }
	var done []string
	var took []time.Duration
	used := 0
	for range *leaderKills {
		leader := d.someLeader(t)
		others := slices.DeleteFunc(slices.Clone(d.names), func(name string) bool { return name == leader.name })
		first, second, called := next(), next(), next()
		submit(d.nodes[others[0]], first, wire.KindArray, 6)
		submit(d.nodes[others[1]], second, wire.KindArray, 2, first)
		submit(leader, called, wire.KindService, 2)
		done = append(done, first, second)
		killed := time.Now()
		leader.kill(t)
		cancelled := make(chan struct{})
		go func() {
			defer close(cancelled)
			d.cancel(t, d.nodes[others[1]], called)
		}()
		_, before := d.cloud.Broken()
		after := next()
		submit(d.nodes[others[0]], after, wire.KindArray, 2)
		done = append(done, after)
		until(t, "a task starts", func() bool { _, starts := d.cloud.Broken(); return starts > before })
		took = append(took, time.Since(killed).Round(10*time.Millisecond))
		<-cancelled
		leader.start(t, leader.cmd.Path)
		if now := d.leader(); now != nil {
			if s := now.status(); s.Failover != nil && s.Failover.IsReplicaUsed {
				used++
			}
		}
		until(t, "both others stand by", d.inStep)
	}
	for _, id := range done {
		is(d.nodes["n0"], id, wire.JobDone)
	}
	slices.Sort(took)
	t.Logf("%d of %d take-overs used a replica; from the kill to the next start %v", used, *leaderKills, took)
	if took[len(took)-1] > takeOverBound {
		t.Errorf("a take-over took %v", took[len(took)-1])
	}
	if used < *leaderKills/2 {
		t.Errorf("%d of %d take-overs used a replica", used, *leaderKills)
	}
	d.check(t, *leaderKills*10)
}
