package allocation

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Config holds what a Tracker needs to know about its leader and the cluster.
type Config struct {
	FencingToken uint64               // the token of the leader's lock
	LeaseTTL     clock.Micros         // of the workers' leases (PROTOCOL, lease_s)
	Quotas       map[string]TeamQuota // by team
	// CancelFenceWindow is how long after a job's cancellation a start that may still arrive may be
	// fenced by a start and a stop in one message, see appendStartFence.
	CancelFenceWindow clock.Micros
	// Replicator, if not nil, is told of each placement, so that standbys can follow.
	Replicator Replicator
	// MayHaveStarted, if not nil, tells whether an earlier leader may have started a task. If nil,
	// any task of a job with recorded starts may have been started.
	MayHaveStarted func(task string) bool
	// MayBeActive, if not nil, tells whether a job that the tracker lacks may be active all the same:
	// its dependencies aren't all known yet.
	MayBeActive func(jobID string) bool
}

// ExitEvent tells how a placement ended.
type ExitEvent struct {
	Placement *Placement
	// Cause is one of wire's Exit... causes, or CauseVanished.
	Cause string
}

// CauseVanished is the cause of a placement that was on a machine, or may have been, and is proved
// not to be there any more (invariant 1), without a report of its exit.
const CauseVanished = "vanished"

// Tracker is the allocation table of one leadership term. Each failover makes a new one, from the
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
	heartbeatCount uint64     // accepted heartbeats; placements record it when they are listed
	sortedMachines []*Machine // nil after machines were added or removed

	// Exited collects how placements ended. The caller takes the events and sets it to nil.
	Exited []ExitEvent
	// Started collects placements that were first seen with their image. The caller takes them and
	// sets it to nil.
	Started []*Placement
}

// recoveryState is how much this leader knows about what earlier leaders started (invariant 4).
type recoveryState struct {
	unreconciledCount int  // machines that are not Reconciled
	isRecovered       bool // FinishRecovery was called
}

// attemptState is from what NextAttempt makes attempt numbers.
type attemptState struct {
	attemptToken   uint64 // the token that the counter belongs to
	attemptCounter uint64 // attempts under that token
}

// tokenState holds the fencing tokens of this leader.
type tokenState struct {
	// currentToken is sent with messages. issuedToken is the highest that a worker may have seen;
	// delegates learn it before it is used. Both start as the lock's.
	currentToken, issuedToken uint64
	// needsHigherToken: an exit could not be reaped before the token rises (invariant 2), or the
	// token has few attempts left (invariant 3).
	needsHigherToken bool
}

// delegationState is until when other controllers may have renewed workers' leases, see
// SetDelegatedUntil.
type delegationState struct {
	delegatedUntil clock.Micros
	// delegatedUntilByZone takes the place of delegatedUntil in the zones that it lists.
	delegatedUntilByZone map[string]clock.Micros
}

// teamUsage sums up requests by team: of placements, and of unconfirmed tasks without a placement.
type teamUsage struct {
	placedUsage      map[string]*Resources
	unconfirmedUsage map[string]*Resources
}

// dispatchQueues list the machines that a command request may be due to.
type dispatchQueues struct {
	startsPaused        bool       // see SetStartsPaused
	dispatchQueue       []*Machine // see ProcessDispatchQueue
	awaitingReplication []*Machine // their starts wait for standbys, see mayDispatch
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

// FinishRecovery ends the recovery from the key-value store: machines and jobs that are added from
// now on are new, so earlier leaders started nothing on or of them.
func (tracker *Tracker) FinishRecovery() {
	tracker.isRecovered = true
	tracker.confirmTasksIfReconciled()
}

// IsReconciled tells whether every machine that an earlier leader may have used is reconciled, so
// that no task is unconfirmed.
func (tracker *Tracker) IsReconciled() bool {
	return tracker.isRecovered && tracker.unreconciledCount == 0
}

// SortedMachines returns the machines sorted by name, and sets their SortIndex. The list is cached
// and rebuilt after machines are added or removed; callers must not change it.
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
