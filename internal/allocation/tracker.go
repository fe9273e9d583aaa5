package allocation

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/clock"
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
	cfg      Config
	Jobs     map[string]*Job
	Machines map[string]*Machine
	recoveryState
	tokenState
	delegationState
	teamUsage
	dispatchQueues
	attemptCounter uint64
	heartbeatCount uint64 // counts those taken, to mark what each listed
	sortedMachines []*Machine

	// Exited collects how placements ended, until it is taken.
	Exited []ExitEvent
	// Started collects placements first seen running, until it is taken.
	Started []*Placement
}

// recoveryState is how far this leader knows what earlier ones started.
type recoveryState struct {
	unreconciledCount int // machines not accounted for
	isRecovered       bool
}

// tokenState is what messages are fenced with.
type tokenState struct {
	// currentToken is what messages carry, issued the highest that may be seen: it is told
	// to those who are delegates before it is used. Both begin as the lock's.
	currentToken, issuedToken uint64
	needsHigherToken          bool // an attempt was not forgotten for want of a higher token
}

// delegationState is until when others may have answered workers.
type delegationState struct {
	delegatedUntil clock.Micros // others may have answered workers until then
	// delegatedUntilByZone is the same for zones of which more is known.
	delegatedUntilByZone map[string]clock.Micros
}

// teamUsage sums up requests by team: of placements, and of tasks in doubt without one.
type teamUsage struct {
	placedUsage      map[string]*Resources
	unconfirmedUsage map[string]*Resources
}

// dispatchQueues list the machines that commands may have to be sent to.
type dispatchQueues struct {
	startsPaused        bool       // see SetStartsPaused
	dispatchQueue       []*Machine // machines that something may have to be sent to
	awaitingReplication []*Machine // machines whose starts wait for followers
}

// New makes an empty ledger; Settle opens it once the machines and jobs that
// existed at the take-over are in it.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg, Jobs: map[string]*Job{}, Machines: map[string]*Machine{},
		tokenState: tokenState{currentToken: cfg.FencingToken, issuedToken: cfg.FencingToken},
		teamUsage:  teamUsage{placedUsage: map[string]*Resources{}, unconfirmedUsage: map[string]*Resources{}},
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

// addUsage adds to a team's sum.
func addUsage(usageByTeam map[string]*Resources, team string, request Resources) {
	usage := usageByTeam[team]
	if usage == nil {
		usage = &Resources{}
		usageByTeam[team] = usage
	}
	*usage = usage.Add(request)
}

// TeamUsage is what a team's tasks take, or may take.
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
