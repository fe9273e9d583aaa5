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

	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/wire"
)

// leaderKills is how many leaders TestKilledLeaders kills.
var leaderKills = flag.Int("leader-kills", 20, "how many leaders TestLeadersAreKilled kills")

// maxFailoverTime is how long a take-over may take.
const maxFailoverTime = 10 * time.Second

// enableStandby has every controller keep copies, and hold the lock for so long.
func (deployment *testDeployment) enableStandby(t *testing.T) {
	t.Helper()
	path := filepath.Join(deployment.dir, "standby.yaml")
	text := "leader_ttl_s: 1.5\nstandby:\n  enabled: true\n  trace: " + filepath.Join(deployment.dir, "trace.json") + "\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, member := range deployment.members {
		member.settingsFile = path
	}
}

// status is what a controller says of who stands by.
func (member *memberProcess) status() (s jobreport.StandbyStatus) {
	if message := sendRequest(member, "GET", "/ops/v1/standby", nil); message.Status != 200 || json.Unmarshal(message.Body, &s) != nil {
		return jobreport.StandbyStatus{}
	}
	return s
}

// leader is the controller that leads, by its own word; nil if there is none.
func (deployment *testDeployment) leader() *memberProcess { return deployment.leaderExcept(nil) }

// waitForLeader waits until some controller leads.
func (deployment *testDeployment) waitForLeader(t *testing.T) (leader *memberProcess) {
	t.Helper()
	waitFor(t, "some controller leads", func() bool {
		leader = deployment.leader()
		return leader != nil
	})
	return leader
}

// leaderExcept is the same of all controllers but one, which would not answer.
func (deployment *testDeployment) leaderExcept(stopped *memberProcess) *memberProcess {
	for _, name := range deployment.names {
		if deployment.members[name] == stopped {
			continue
		}
		if status := deployment.members[name].status(); status.Member != "" && len(status.Followers) > 0 {
			return deployment.members[name]
		}
	}
	return nil
}

// isStandbyInSync tells whether the leader has both others in step.
func (deployment *testDeployment) isStandbyInSync() bool {
	leader := deployment.leader()
	return leader != nil && !slices.ContainsFunc(leader.status().Followers, func(f jobreport.FollowerStatus) bool { return !f.IsInSync })
}

// The leader is killed again and again under load, without a warning: nothing is started
// twice or forgotten, and each time another starts work within ten seconds.
func TestKilledLeaders(t *testing.T) {
	deployment := deploy(t, leaseTTL)
	deployment.enableStandby(t)
	deployment.startAll(t, buildProgram(t, ""))
	submit, waitForState := deployment.submitFunc(t), deployment.waitForStateFunc(t)
	waitFor(t, "both others stand by", deployment.isStandbyInSync)
	lastJobNumber := 0
	next := func() string { lastJobNumber++; return fmt.Sprintf("req-%06d", lastJobNumber) }
	var done []string
	var durations []time.Duration
	replicaUses := 0
	for range *leaderKills {
		leader := deployment.waitForLeader(t)
		others := slices.DeleteFunc(slices.Clone(deployment.names), func(name string) bool { return name == leader.name })
		first, second, cancelledID := next(), next(), next()
		submit(deployment.members[others[0]], first, wire.KindArray, 6)
		submit(deployment.members[others[1]], second, wire.KindArray, 2, first)
		submit(leader, cancelledID, wire.KindService, 2)
		done = append(done, first, second)
		killed := time.Now()
		leader.kill(t)
		cancelled := make(chan struct{})
		go func() {
			defer close(cancelled)
			deployment.cancel(t, deployment.members[others[1]], cancelledID)
		}()
		before := deployment.cloud.StartCount()
		after := next()
		submit(deployment.members[others[0]], after, wire.KindArray, 2)
		done = append(done, after)
		waitFor(t, "a task starts", func() bool { return deployment.cloud.StartCount() > before })
		durations = append(durations, time.Since(killed).Round(10*time.Millisecond))
		<-cancelled
		leader.start(t, leader.cmd.Path)
		if now := deployment.leader(); now != nil {
			if status := now.status(); status.Failover != nil && status.Failover.IsReplicaUsed {
				replicaUses++
			}
		}
		waitFor(t, "both others stand by", deployment.isStandbyInSync)
	}
	for _, id := range done {
		waitForState(deployment.members["n0"], id, wire.JobDone)
	}
	slices.Sort(durations)
	t.Logf("%d of %d take-overs used a replica; from the kill to the next start %v", replicaUses, *leaderKills, durations)
	if durations[len(durations)-1] > maxFailoverTime {
		t.Errorf("a take-over took %v", durations[len(durations)-1])
	}
	if replicaUses < *leaderKills/2 {
		t.Errorf("%d of %d take-overs used a replica", replicaUses, *leaderKills)
	}
	deployment.checkRules(t, *leaderKills*10)
}
