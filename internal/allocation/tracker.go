package allocation

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Config holds what a Tracker needs to know about its leader and the cluster.
type Config struct {
	FencingToken uint64               // the token of the leader's lock
	LeaseTTL     clock.Micros         // TTL of the workers' leases (PROTOCOL, lease_s)
	Quotas       map[string]TeamQuota // by team
	// CancelFenceWindow is for how long after a job's cancellation a start that may still arrive may be
	// fenced by sending a start and a stop in one message. See appendStartFence.
	CancelFenceWindow clock.Micros
	// Replicator, if not nil, records each placement, so that standbys can follow the allocation table.
	Replicator Replicator
	// MayHaveStarted, if not nil, reports whether an earlier leader may have started a task. If it is nil,
	// any task of a job with recorded starts may have been started.
	MayHaveStarted func(task string) bool
	// MayBeActive, if not nil, reports whether a job that the tracker does not have may be active anyway,
	// because not all of its dependencies are known yet.
	MayBeActive func(jobID string) bool
}

// ExitEvent describes how a placement ended.
type ExitEvent struct {
	Placement *Placement
	// Cause is one of the Exit... causes of package wire, or CauseVanished.
	Cause string
}

// CauseVanished is the cause for a placement that is proved to be no longer on its machine
// (invariant 1), without a report of its exit. It was on the machine, or may have been.
const CauseVanished = "vanished"

// Tracker is the allocation table of one leadership term. Each failover builds a new Tracker from the
// key-value store, a standby's table and the workers' heartbeats.
type Tracker struct {
	cfg      Config
	Jobs     map[string]*Job
	Machines map[string]*Machine
	recoveryState
	tokenState
	delegationState
	teamUsage
	dispatchQueues
	attemptState
	cancelledTasks
	heartbeatCount uint64     // number of accepted heartbeats; placements record it when they are listed
	sortedMachines []*Machine // nil until it is rebuilt after machines were added or removed

	// Exited collects how placements ended. The caller takes the events and sets Exited to nil.
	Exited []ExitEvent
	// Started collects the placements whose tasks were listed as having their image for the first time.
	// The caller takes them and sets Started to nil.
	Started []*Placement
}

// recoveryState holds how much this leader knows about what earlier leaders started (invariant 4).
type recoveryState struct {
	unreconciledCount int  // number of machines that are not Reconciled
	isRecovered       bool // FinishRecovery was called
}

// attemptState holds what NextAttempt derives attempt numbers from.
type attemptState struct {
	attemptToken   uint64 // the token that attemptCounter belongs to
	attemptCounter uint64 // number of attempts issued under attemptToken
}

// tokenState holds the fencing tokens of this leader.
type tokenState struct {
	// currentToken is the token that messages carry. issuedToken is the highest token that a worker may
	// have seen; delegates learn it before it is used. Both are the token of the lock at first.
	currentToken, issuedToken uint64
	// needsHigherToken is set if an exited attempt can't be reaped before the token rises (invariant 2),
	// or if the token has few attempt numbers left (invariant 3).
	needsHigherToken bool
}

// delegationState holds until when other controllers may have renewed workers' leases. See
// SetDelegatedUntil.
type delegationState struct {
	delegatedUntil clock.Micros
	// delegatedUntilByZone replaces delegatedUntil for the zones that it contains.
	delegatedUntilByZone map[string]clock.Micros
}

// teamUsage holds sums of resource requests by team: of placements, and of unconfirmed tasks that have
// no placement.
type teamUsage struct {
	placedUsage      map[string]*Resources
	unconfirmedUsage map[string]*Resources
}

// dispatchQueues holds the machines to which a command request may be due.
type dispatchQueues struct {
	startsPaused        bool       // see SetStartsPaused
	dispatchQueue       []*Machine // see ProcessDispatchQueue
	awaitingReplication []*Machine // machines whose starts wait for standbys, see mayDispatch
}

// New returns an empty Tracker. The caller adds the machines and jobs that existed at the failover
// and then calls FinishRecovery.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg, Jobs: map[string]*Job{}, Machines: map[string]*Machine{},
		tokenState: tokenState{currentToken: cfg.FencingToken, issuedToken: cfg.FencingToken},
		teamUsage:  teamUsage{placedUsage: map[string]*Resources{}, unconfirmedUsage: map[string]*Resources{}},
	}
}

// FinishRecovery ends the recovery from the key-value store. Machines and jobs that are added later are
// new, so earlier leaders have started nothing on the machines and no task of the jobs.
func (tracker *Tracker) FinishRecovery() {
	tracker.isRecovered = true
	tracker.confirmTasksIfReconciled()
}

// IsReconciled reports whether every machine that an earlier leader may have used is reconciled, so that
// no task is unconfirmed.
func (tracker *Tracker) IsReconciled() bool {
	return tracker.isRecovered && tracker.unreconciledCount == 0
}

// SortedMachines returns the machines sorted by name, and sets the SortIndex of each. The list is cached
// and is rebuilt after machines are added or removed. Callers must not change it.
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

// addUsage adds a request to a team's sum.
func addUsage(usageByTeam map[string]*Resources, team string, request Resources) {
	usage := usageByTeam[team]
	if usage == nil {
		usage = &Resources{}
		usageByTeam[team] = usage
	}
	*usage = usage.Add(request)
}

// TeamUsage returns what a team's placements and unconfirmed tasks use, or may use.
func (tracker *Tracker) TeamUsage(team string) Resources {
	var total Resources
	if placed := tracker.placedUsage[team]; placed != nil {
		total = *placed
	}
	if unconfirmed := tracker.unconfirmedUsage[team]; unconfirmed != nil {
		total = total.Add(*unconfirmed)
	}
	return total
}
