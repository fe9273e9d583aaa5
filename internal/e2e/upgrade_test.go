package e2e

import (
	"flag"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// earlierRevision is the revision of the version that the tests upgrade from and roll back to.
var earlierRevision = flag.String("earlier-version", "", "a revision in the repository's history that TestUpgradeAndRollback and TestStandbyAcrossVersions upgrade from and roll back to; the present sources if empty")

// earlierHasStandby is set if the earlier version accepts the standby settings.
var earlierHasStandby = flag.Bool("earlier-has-standby", true, "the earlier version knows the settings of the standby")

// buildVersions builds the program from the present sources and from earlierRevision. Both results are the
// same program if earlierRevision is empty.
func buildVersions(t *testing.T) (current, earlier string) {
	t.Helper()
	current = buildProgram(t, "")
	if *earlierRevision == "" {
		return current, current
	}
	return current, buildProgram(t, *earlierRevision)
}

// The test guards against faults of the standby when controllers of two versions work together. Controllers
// are killed in turn, two within seconds of each other, and restarted as the other version or the same one.
// Every controller whose version has the standby keeps a replica. No rule of the protocol may be violated,
// and every accepted job must be done.
func TestStandbyAcrossVersions(t *testing.T) {
	deployment := newTestDeployment(t)
	deployment.enableStandby()
	currentProgram, earlierProgram := buildVersions(t)
	settings := deployment.members["n0"].settingsFile
	restart := func(name, program string) {
		deployment.members[name].settingsFile = settings
		if program == earlierProgram && !*earlierHasStandby {
			deployment.members[name].settingsFile = ""
		}
		deployment.restart(name, program)
	}
	deployment.startAll(currentProgram)
	const rounds = 6
	var ids []string
	for round := range rounds {
		for i, program := range []string{earlierProgram, currentProgram} {
			id := jobID(2*round + i)
			ids = append(ids, id)
			deployment.submit(deployment.memberAt(round+2), id, wire.KindArray, 8)
			time.Sleep(time.Duration(round) * 200 * time.Millisecond)
			restart(deployment.memberAt(round+i).name, program)
		}
		deployment.waitForState(deployment.memberAt(round), ids[len(ids)-1], wire.JobDone)
	}
	for _, id := range ids {
		deployment.waitForState(deployment.members["n1"], id, wire.JobDone)
	}
	deployment.checkRules(rounds * 16)
}

// memberAt returns the controller at an index, modulo the number of controllers.
func (deployment *testDeployment) memberAt(index int) *memberProcess {
	return deployment.members[deployment.names[index%len(deployment.names)]]
}

// upgradeWorkload is the workload of TestUpgradeAndRollback: the jobs that must become done, and those that
// must keep running.
type upgradeWorkload struct {
	*testDeployment
	expectedDone, expectedRunning []string
}

// submitMixedJobs submits an array and two services. When the second service runs, it cancels this service
// through the other controller.
func (work *upgradeWorkload) submitMixedJobs(submitter, other *memberProcess) {
	work.t.Helper()
	array, service, cancelled := work.nextJobID(), work.nextJobID(), work.nextJobID()
	work.submit(submitter, array, wire.KindArray, 5)
	work.submit(other, service, wire.KindService, 2)
	work.submit(submitter, cancelled, wire.KindService, 2)
	work.waitForState(other, cancelled, wire.JobRunning)
	work.cancel(other, cancelled)
	work.expectedDone, work.expectedRunning = append(work.expectedDone, array), append(work.expectedRunning, service)
}

// submitDependentArrays submits an array to n0, an array that depends on it to n1, and an array that depends
// on both to n2.
func (work *upgradeWorkload) submitDependentArrays() {
	work.t.Helper()
	first, second, last := work.nextJobID(), work.nextJobID(), work.nextJobID()
	work.submit(work.members["n0"], first, wire.KindArray, 4)
	work.submit(work.members["n1"], second, wire.KindArray, 4, first)
	work.submit(work.members["n2"], last, wire.KindArray, 2, first, second)
	work.expectedDone = append(work.expectedDone, first, second, last)
}

// waitForAll waits until every controller shows all arrays as done and all remaining services as running.
func (work *upgradeWorkload) waitForAll() {
	work.t.Helper()
	for _, name := range work.names {
		for _, id := range work.expectedDone {
			work.waitForState(work.members[name], id, wire.JobDone)
		}
		for _, id := range work.expectedRunning {
			work.waitForState(work.members[name], id, wire.JobRunning)
		}
	}
}

// The test guards against lost jobs and duplicate execution while controllers of two versions work together.
// It upgrades the controllers while jobs run and are cancelled, with a crash and a store outage during the
// upgrade. Then it submits dependent jobs, and when these are done it begins a rollback, stops half-way and
// undoes it. No rule of the protocol may be violated, and every accepted job must be done or, if it is a
// service that is not cancelled, run.
func TestUpgradeAndRollback(t *testing.T) {
	deployment := newTestDeployment(t)
	currentProgram, earlierProgram := buildVersions(t)
	deployment.startAll(earlierProgram)
	work := &upgradeWorkload{testDeployment: deployment}
	n0, n1, n2 := deployment.members["n0"], deployment.members["n1"], deployment.members["n2"]

	work.submitMixedJobs(n0, n1)
	deployment.restart("n0", currentProgram)
	work.submitMixedJobs(n1, n0)
	deployment.store.SetDown(true)
	deployment.restart("n1", currentProgram)
	time.Sleep(time.Second)
	deployment.store.SetDown(false)
	deployment.restart("n2", earlierProgram) // a crash of n2 before its upgrade
	work.submitMixedJobs(n2, n1)
	deployment.restart("n2", currentProgram)
	work.waitForAll()

	work.submitDependentArrays()
	work.waitForAll()

	deployment.restart("n1", earlierProgram)
	work.submitMixedJobs(n1, n0)
	deployment.restart("n0", earlierProgram)
	work.submitMixedJobs(n2, n0) // n0 and n1 are rolled back, n2 is not
	deployment.restart("n1", currentProgram)
	deployment.restart("n0", currentProgram)
	work.submitMixedJobs(n0, n2)
	work.waitForAll()
	deployment.checkRules(40)
}
