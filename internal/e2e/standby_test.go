package e2e

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"firwood.dev/firwood/internal/jobreport"
)

// enableStandby configures every controller to keep a replica of the leader's allocation table, and sets
// the TTL of the leader lease to 1.5 s.
func (deployment *testDeployment) enableStandby() {
	t := deployment.t
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

// standbyStatus returns the controller's standby report, or the zero value if the controller sends none.
func (member *memberProcess) standbyStatus() (s jobreport.StandbyStatus) {
	if message := member.sendRequest("GET", "/ops/v1/standby", nil); message.Status != 200 || json.Unmarshal(message.Body, &s) != nil {
		return jobreport.StandbyStatus{}
	}
	return s
}

// leader returns a controller that reports itself as leader, or nil if there is none.
func (deployment *testDeployment) leader() *memberProcess { return deployment.leaderExcept(nil) }

// waitForLeader waits until some controller is leader and returns it.
func (deployment *testDeployment) waitForLeader() (leader *memberProcess) {
	deployment.t.Helper()
	waitFor(deployment.t, "some controller is leader", func() bool {
		leader = deployment.leader()
		return leader != nil
	})
	return leader
}

// leaderExcept returns a controller that reports itself as leader, or nil if there is none. It does not ask
// the stopped controller. Only a leader's standby report lists followers.
func (deployment *testDeployment) leaderExcept(stopped *memberProcess) *memberProcess {
	for _, name := range deployment.names {
		if deployment.members[name] == stopped {
			continue
		}
		if status := deployment.members[name].standbyStatus(); status.Member != "" && len(status.Followers) > 0 {
			return deployment.members[name]
		}
	}
	return nil
}

// isStandbyInSync reports whether both followers of the leader are in sync.
func (deployment *testDeployment) isStandbyInSync() bool {
	leader := deployment.leader()
	return leader != nil && !slices.ContainsFunc(leader.standbyStatus().Followers, func(follower jobreport.FollowerStatus) bool { return !follower.IsInSync })
}
