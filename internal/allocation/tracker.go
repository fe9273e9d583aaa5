// Package allocation owns the answer to one question: which task may be on which
// machine. It is pure: time and messages come in, facts and commands go out.
//
// The invariants, which the generated histories of the tests hold it to:
//
//  1. A (task, attempt) that was sent to a machine may be there until: a newer
//     report by (session, seq), which the machine made after it could no longer
//     take the command, lacks it or shows it exited; or the session has grown;
//     or the cloud has answered the machine's deletion; or the machine's lease
//     has provably run out.
//  2. A start in a report's answer is dead once the worker sends another
//     report; what it answers to a direct message meanwhile proves nothing of
//     it. A start sent straight to the worker, whose answer is missing,
//     stays possible until the session grows, the machine is gone, or the
//     worker has seen a higher token. An attempt is never forgotten while such
//     a start may be on its way: it would run again.
//     A start that was sent straight and answered may come again, as a copy: its
//     attempt is not forgotten before the worker has seen a higher token than
//     that of the start. For that the token rises now and then.
//  3. Attempts of a task only grow, over all leaders: the token is their upper
//     part.
//  4. What an earlier leader started is in doubt until every machine that may
//     have existed then is accounted for, or until a report made under our token
//     has the task: one from before may be a late copy. Doubt counts as running for
//     tasks, team limits, zones and spread.
//  5. A result is durable before its task is forgotten.
//  6. Type, zone, kind, team limit and the job's other tasks are checked again
//     when a start is put into a message.
package allocation

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Config holds what a ledger has to know of its world.
type Config struct {
	FencingToken uint64
	LeaseTTL     clock.Micros
	Quotas       map[string]TeamQuota
	// CancelFenceWindow bounds how long after a withdrawal a start that can no longer be
	// called back may be met by a start and a stop in one message.
	CancelFenceWindow clock.Micros
	// Replicator, if not nil, follow the account.
	Replicator Replicator
	// MayHaveStarted, if not nil, tells whether an earlier leader may have started a task; else
	// any task of a marked job may run.
	MayHaveStarted func(task string) bool
}

// ExitEvent tells how a placement ended.
type ExitEvent struct {
	Placement *Placement
	// Cause is a cause of the wire, or "vanished".
	Cause string
}

// CauseVanished marks a task that was on a machine, or may have been, and is
// provably no longer there, without a report of its exit.
const CauseVanished = "vanished"

// Tracker is a leader's account. It is made anew at every take-over.
type Tracker struct {
	cfg              Config
	Jobs             map[string]*Job
	Machines         map[string]*Machine
	placedUsage      map[string]*Resources
	unconfirmedUsage map[string]*Resources
	attemptCounter   uint64
	// currentToken is what messages carry, issued the highest that may be seen: it is told
	// to those who are delegates before it is used. Both begin as the lock's.
	currentToken, issuedToken uint64
	startsPaused              bool // see SetStartsPaused
	needsHigherToken          bool // an attempt was not forgotten for want of a higher token
	unreconciledCount         int  // machines not accounted for
	isRecovered               bool
	delegatedUntil            clock.Micros // others may have answered workers until then
	// delegatedUntilByZone is the same for zones of which more is known.
	delegatedUntilByZone map[string]clock.Micros
	heartbeatCount       uint64 // counts those taken, to mark what each listed
	sortedMachines       []*Machine
	dispatchQueue        []*Machine // machines that something may have to be sent to
	awaitingReplication  []*Machine // machines whose starts wait for followers

	// Exited collects how placements ended, until it is taken.
	Exited []ExitEvent
	// Started collects placements first seen running, until it is taken.
	Started []*Placement
}

// New makes an empty ledger; Settle opens it once the machines and jobs that
// existed at the take-over are in it.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg, Jobs: map[string]*Job{}, Machines: map[string]*Machine{},
		placedUsage: map[string]*Resources{}, unconfirmedUsage: map[string]*Resources{}, currentToken: cfg.FencingToken, issuedToken: cfg.FencingToken,
	}
}

// FinishRecovery ends the rebuilding from the state service.
func (tracker *Tracker) FinishRecovery() {
	tracker.isRecovered = true
	tracker.finishReconciliation()
}

// IsReconciled tells that nothing is in doubt any more.
func (tracker *Tracker) IsReconciled() bool {
	return tracker.isRecovered && tracker.unreconciledCount == 0
}

// SortedMachines lists the machines in the order of their names. It is made anew only
// when machines came or went.
func (tracker *Tracker) SortedMachines() []*Machine {
	if tracker.sortedMachines == nil {
		tracker.sortedMachines = make([]*Machine, 0, len(tracker.Machines))
		for _, machine := range tracker.Machines {
			tracker.sortedMachines = append(tracker.sortedMachines, machine)
		}
		slices.SortFunc(tracker.sortedMachines, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
		for i, machine := range tracker.sortedMachines {
			machine.SortIndex = i
		}
	}
	return tracker.sortedMachines
}

func (tracker *Tracker) usageOf(usageByTeam map[string]*Resources, team string) *Resources {
	usage := usageByTeam[team]
	if usage == nil {
		usage = &Resources{}
		usageByTeam[team] = usage
	}
	return usage
}

// TeamUsage is what a team's tasks take, or may take.
func (tracker *Tracker) TeamUsage(team string) Resources {
	return tracker.usageOf(tracker.placedUsage, team).Add(*tracker.usageOf(tracker.unconfirmedUsage, team))
}

// AddJob takes an accepted job. Before Settle, a marked job's tasks are in
// doubt, unless their completion is durable.
func (tracker *Tracker) AddJob(spec *wire.Job, releasedAt, now clock.Micros, startsRecorded bool, isDurable func(int) bool) *Job {
	job := &Job{
		Spec: spec, Request: NewResources(spec.CPUs, spec.GPUs, spec.MemoryGB),
		Priority: wire.PriorityIndex(spec.Priority), ReleasedAt: releasedAt, AddedAt: now, StartsRecorded: startsRecorded,
		Tasks: make([]Task, spec.TaskCount), placementsByZone: map[string]int{},
		isGang: spec.Kind == wire.KindGang, isService: spec.Kind == wire.KindService,
	}
	job.waitingCount = spec.TaskCount
	tracker.Jobs[spec.ID] = job
	mayHaveStarted := tracker.unconfirmedFilter(job, func(i int) bool { return tracker.cfg.MayHaveStarted(wire.TaskID(spec.ID, i)) })
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if isDurable != nil && isDurable(i) {
			task.State, task.CompletionDurable = TaskDone, true
			job.doneCount++
			job.durableCount++
			job.waitingCount--
		} else if startsRecorded && !tracker.isRecovered && mayHaveStarted(i) {
			task.Unconfirmed = true
			job.unconfirmedCount++
		}
	}
	tracker.addUnconfirmedUsage(job, job.unconfirmedCount)
	tracker.publishUnconfirmed(job)
	return job
}

// Cancel takes the durable withdrawal of a job: its tasks are to end.
func (tracker *Tracker) Cancel(job *Job, now clock.Micros) {
	if job.Cancelled {
		return
	}
	job.Cancelled = true
	job.CancelledAt = now
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			tracker.StopPlacement(placement, 0)
		}
	}
}

// IsVacated tells that no task of the job is, or may be, anywhere.
func (tracker *Tracker) IsVacated(job *Job) bool {
	return job.activeCount == 0 && job.unconfirmedCount == 0
}

// RemoveJob forgets a job that is over and gone.
func (tracker *Tracker) RemoveJob(job *Job) {
	if tracker.IsVacated(job) {
		tracker.publishDurableEnds(job, true)
		delete(tracker.Jobs, job.Spec.ID)
	}
}

func (tracker *Tracker) clearUnconfirmed(job *Job, taskIndex int) {
	task := &job.Tasks[taskIndex]
	if !task.Unconfirmed {
		return
	}
	task.Unconfirmed = false
	job.unconfirmedCount--
	if task.Placement == nil {
		tracker.addUnconfirmedUsage(job, -1)
	}
	tracker.publishResolved(job, taskIndex)
}

// addUnconfirmedUsage adds tasks to what a team may use beside its placements. A task that is in
// doubt and has a place all the same takes its share once, wherever it is.
func (tracker *Tracker) addUnconfirmedUsage(job *Job, taskCount int) {
	usage := tracker.usageOf(tracker.unconfirmedUsage, job.Spec.Team)
	*usage = usage.Add(job.Request.Times(taskCount))
}

// recordCompletion takes the completion of a task. A gang completes as one.
func (tracker *Tracker) recordCompletion(job *Job, taskIndex int) {
	if job.IsGang() {
		for index := range job.Tasks {
			tracker.completeTask(job, index)
		}
		return
	}
	tracker.completeTask(job, taskIndex)
}

func (tracker *Tracker) completeTask(job *Job, taskIndex int) {
	task := &job.Tasks[taskIndex]
	if task.State != TaskDone {
		if task.State == TaskWaiting {
			job.waitingCount--
		}
		task.State = TaskDone
		job.doneCount++
	}
	tracker.clearUnconfirmed(job, taskIndex)
}

// MarkDurable takes the news that completions are in the state service.
func (tracker *Tracker) MarkDurable(job *Job, tasks []int) {
	for _, i := range tasks {
		if task := &job.Tasks[i]; task.State == TaskDone && !task.CompletionDurable {
			task.CompletionDurable = true
			job.durableCount++
		}
	}
	tracker.publishDurableEnds(job, false)
}

const (
	// HeartbeatStale: an older message than one already taken.
	HeartbeatStale HeartbeatResult = iota
	// HeartbeatAccepted: the report was taken.
	HeartbeatAccepted
	// HeartbeatFenced: the worker has seen a higher token than ours.
	HeartbeatFenced
)

const (
	// CommandNotSent: it certainly did not and will not arrive.
	CommandNotSent CommandResult = iota
	// CommandExecuted: the worker has carried it out.
	CommandExecuted
	// CommandRejected: the worker has refused it whole.
	CommandRejected
	// CommandOutcomeUnknown: nothing is known, and it may arrive at any time.
	CommandOutcomeUnknown
)
