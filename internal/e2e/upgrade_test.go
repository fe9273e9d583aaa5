package e2e

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// earlierRevision is the version that is upgraded from and gone back to.
var earlierRevision = flag.String("earlier-version", "", "a revision in the repository's history to upgrade from and go back to; the present sources if empty")

// earlierHasStandby tells whether the earlier version knows the settings of the standby.
var earlierHasStandby = flag.Bool("earlier-has-standby", true, "the earlier version knows the settings of the standby")

// Controllers are killed in turn, two within seconds, and come back as another version or
// as the same one, with replicas on wherever a version has them. No rule is broken, and
// everything accepted is served.
func TestStandbyAcrossVersions(t *testing.T) {
	deployment := deploy(t, leaseTTL)
	deployment.enableStandby(t)
	currentProgram := buildProgram(t, "")
	earlierProgram := currentProgram
	if *earlierRevision != "" {
		earlierProgram = buildProgram(t, *earlierRevision)
	}
	settings := deployment.members["n0"].settingsFile
	restart := func(name, program string) {
		deployment.members[name].settingsFile = settings
		if program == earlierProgram && !*earlierHasStandby {
			deployment.members[name].settingsFile = ""
		}
		deployment.restart(t, name, program)
	}
	deployment.startAll(t, currentProgram)
	submit, waitForState := deployment.submitFunc(t), deployment.waitForStateFunc(t)
	const rounds = 6
	var ids []string
	for round := range rounds {
		for i, program := range []string{earlierProgram, currentProgram} {
			name := deployment.names[(round+i)%len(deployment.names)]
			id := fmt.Sprintf("req-%06d", 2*round+i)
			ids = append(ids, id)
			submit(deployment.members[deployment.names[(round+2)%len(deployment.names)]], id, wire.KindArray, 8)
			time.Sleep(time.Duration(round) * 200 * time.Millisecond)
			restart(name, program)
		}
		waitForState(deployment.members[deployment.names[round%len(deployment.names)]], ids[len(ids)-1], wire.JobDone)
	}
	for _, id := range ids {
		waitForState(deployment.members["n1"], id, wire.JobDone)
	}
	deployment.checkRules(t, rounds*16)
}

// An upgrade while jobs run and are cancelled, with a crash and an outage in the middle
// of it; then pipelines, and once these are over a way back that stops part way and is
// taken up again. No rule is broken, and everything accepted is served.
func TestUpgradeAndRollback(t *testing.T) {
	deployment := deploy(t, leaseTTL)
	currentProgram := buildProgram(t, "")
	earlierProgram := currentProgram
	if *earlierRevision != "" {
		earlierProgram = buildProgram(t, *earlierRevision)
	}
	deployment.startAll(t, earlierProgram)
	submit, waitForState := deployment.submitFunc(t), deployment.waitForStateFunc(t)
	lastJobNumber := 0
	next := func() string { lastJobNumber++; return fmt.Sprintf("req-%06d", lastJobNumber) }
	var done, running []string
	// someWork submits at one controller, cancels at another.
	submitMixedWork := func(submitter, other *memberProcess) {
		array, service, cancelledID := next(), next(), next()
		submit(submitter, array, wire.KindArray, 5)
		submit(other, service, wire.KindService, 2)
		submit(submitter, cancelledID, wire.KindService, 2)
		waitForState(other, cancelledID, wire.JobRunning)
		deployment.cancel(t, other, cancelledID)
		done, running = append(done, array), append(running, service)
	}
	waitForAll := func() {
		t.Helper()
		for _, name := range deployment.names {
			for _, id := range done {
				waitForState(deployment.members[name], id, wire.JobDone)
			}
			for _, id := range running {
				waitForState(deployment.members[name], id, wire.JobRunning)
			}
		}
	}
	n0, n1, n2 := deployment.members["n0"], deployment.members["n1"], deployment.members["n2"]
	submitMixedWork(n0, n1)
	deployment.restart(t, "n0", currentProgram)
	submitMixedWork(n1, n0)
	deployment.store.SetDown(true)
	deployment.restart(t, "n1", currentProgram)
	time.Sleep(time.Second)
	deployment.store.SetDown(false)
	deployment.restart(t, "n2", earlierProgram) // it dies before its turn comes, and is back as it was
	submitMixedWork(n2, n1)
	deployment.restart(t, "n2", currentProgram)
	waitForAll()

	first, second, last := next(), next(), next()
	submit(n0, first, wire.KindArray, 4)
	submit(n1, second, wire.KindArray, 4, first)
	submit(n2, last, wire.KindArray, 2, first, second)
	done = append(done, first, second, last)
	waitForAll()

	deployment.restart(t, "n1", earlierProgram)
	submitMixedWork(n1, n0)
	deployment.restart(t, "n0", earlierProgram)
	submitMixedWork(n2, n0) // two are back, one is not
	deployment.restart(t, "n1", currentProgram)
	deployment.restart(t, "n0", currentProgram)
	submitMixedWork(n0, n2)
	waitForAll()
	deployment.checkRules(t, 40)
}
