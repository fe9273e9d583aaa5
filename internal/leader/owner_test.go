package leader

import (
	"log/slog"
	"testing"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/connlimit"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// testOwner stands in for the controller that a term belongs to. It implements Host with the values that
// a test sets, and storeview.Observer as the controller of a leader does. Posted commands run only when the
// test runs them.
type testOwner struct {
	*Environment
	term     *Term // the term that gets the view's changes, or nil
	commands *commandqueue.Queue

	hasReportedHigherToken bool

	isEntitled    bool
	entitledUntil clock.Micros

	heartbeats   map[string]*ReceivedHeartbeat
	contacts     map[string]WorkerContact
	machineTypes []wire.MachineType

	isWatching  bool
	nextWatchAt clock.Micros
}

// newTestTerm returns the term of a leader with token 9. The view records these machines as requested 300 s
// ago. Nothing answers the requests that the term sends.
func newTestTerm(t testing.TB, machines ...string) *Term {
	t.Helper()
	cfg := &config.Platform{Member: "a", Location: "x", Peers: []config.Peer{{Member: "b", Location: "y", Address: "127.0.0.1:1"}}}
	cfg.External.StoreAddress, cfg.External.CloudAddress = "127.0.0.1:1", "127.0.0.1:1"
	deployment := &cfg.Deployment
	deployment.Zones = []string{"x", "y"}
	deployment.Teams = []config.Team{{Name: "t"}}
	deployment.Workers = config.WorkerTimings{HeartbeatIntervalSeconds: 2, LeaseSeconds: 24, GangStartTimeoutSeconds: 30, GangPeerTimeoutSeconds: 5, CancelTimeoutSeconds: 60}
	deployment.Store = config.StoreLimits{RPS: 100, WriteRPS: 100, MaxValueKB: 16, MaxTransactionOps: 16}
	deployment.Cloud = config.Cloud{RPS: 10, ListLagSeconds: 1}
	deployment.ProcessLimits = config.ProcessLimits{Cores: 1, MemoryMB: 100, MaxSockets: 1000}
	owner := newTestOwner(cfg)
	owner.machineTypes = []wire.MachineType{{Name: "big", CPUs: 16, MemoryGB: 64, OnDemandPrice: 1, BootSeconds: 15, Zones: deployment.Zones}}
	owner.View.ScaleOuts["h"] = &storeview.ScaleOut{ScaleOut: records.ScaleOut{Type: "big", Zone: "x", Count: len(machines), RequestedAt: int64(clock.WallTime() - 300*clock.Second), IsResolved: true, Machines: machines}}
	return owner.newTerm(9, clock.Now())
}

func newTestOwner(cfg *config.Platform) *testOwner {
	tuning := config.DefaultTuning()
	settings := NewSettings(cfg, &tuning)
	delegate := delegation.NewDelegate(settings.Delegation, uint64(clock.WallTime()), clock.Now())
	owner := &testOwner{
		Environment: &Environment{
			Config: cfg, Tuning: &tuning, Log: slog.New(slog.DiscardHandler), Settings: settings,
			Cloud:          cloud.New(client.DialTCP, cfg.External.CloudAddress, cfg.Deployment.Cloud.RPS),
			WorkerRequests: WorkerRequests{Pool: client.NewPool(client.DialTCP, connlimit.New(cfg.ConnectionLimit())), MaxInFlight: max(cfg.ConnectionLimit()/24, 4)},
			Graph:          dag.New(), Hints: hints.New(),
			Delegate: delegate, Replica: standby.NewReplica(delegate.Timestamp(clock.Now()).Incarnation), Failover: &FailoverTimes{}, Metrics: metrics.New(),
		},
		commands:   commandqueue.New(cfg.Deployment.ProcessLimits.MaxSockets, len(cfg.Peers)),
		heartbeats: map[string]*ReceivedHeartbeat{}, contacts: map[string]WorkerContact{},
	}
	limits := cfg.Deployment.Store
	owner.Store = kvstore.New(client.DialTCP, cfg.External.StoreAddress, kvstore.Limits{RPS: limits.RPS, WriteRPS: limits.WriteRPS, MaxTransactionOps: limits.MaxTransactionOps}, records.LockKey)
	owner.View = storeview.New(owner)
	return owner
}

// newTerm begins a term. The term gets the view's changes once the test sets owner.term to it.
func (owner *testOwner) newTerm(token uint64, readAt clock.Micros) *Term {
	return New(owner.Environment, owner, token, readAt)
}

// ownerOf returns the owner of a term.
func ownerOf(term *Term) *testOwner { return term.host.(*testOwner) }

// runUntil runs the commands that are posted to the owner until isDone returns true.
func runUntil(t *testing.T, owner *testOwner, isDone func() bool) {
	t.Helper()
	for i := 0; i < 20000; i++ {
		for _, command := range owner.commands.TakeBatch() {
			command()
		}
		owner.watch()
		owner.View.ExpireSyncs(clock.Now())
		if isDone() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition is still false after 20000 rounds of 1 ms, want true")
}

// watchInterval is the time between two reads of the store's changes.
const watchInterval = 25 * clock.Millisecond

// watch reads the changes since the view's revision, one request at a time.
func (owner *testOwner) watch() {
	now := clock.Now()
	if !owner.View.IsLoaded || owner.isWatching || now < owner.nextWatchAt {
		return
	}
	owner.isWatching, owner.nextWatchAt = true, now+watchInterval
	batch, _ := owner.View.ClaimSyncs()
	from := owner.View.Revision
	go func() {
		events, err := owner.Store.Watch(records.WatchedPrefix, from, 0)
		owner.PostResult(func() {
			owner.isWatching = false
			if err == nil {
				owner.View.Apply(events)
			}
			batch.Complete(err)
		})
	}()
}

func (owner *testOwner) endTerm() {
	if owner.term != nil {
		owner.term.Close()
		owner.term = nil
	}
}

func (owner *testOwner) PostResult(command func())   { owner.commands.Post(commandqueue.Result, command) }
func (owner *testOwner) IsEntitled() bool            { return owner.isEntitled }
func (owner *testOwner) EntitledUntil() clock.Micros { return owner.entitledUntil }
func (owner *testOwner) HandleFenced(uint64)         { owner.endTerm() }
func (owner *testOwner) HandleHigherToken(uint64) {
	owner.hasReportedHigherToken = true
	owner.endTerm()
}
func (owner *testOwner) HandOver(_, _ clock.Micros) { owner.endTerm() }

func (owner *testOwner) Heartbeats() map[string]*ReceivedHeartbeat   { return owner.heartbeats }
func (owner *testOwner) Timestamps() map[string]delegation.Timestamp { return nil }
func (owner *testOwner) WorkerContacts() map[string]WorkerContact    { return owner.contacts }
func (owner *testOwner) SendHeartbeatNow()                           {}
func (owner *testOwner) SendStreamMessage(string, *peer.Heartbeat)   {}

func (owner *testOwner) MachineTypes() []wire.MachineType { return owner.machineTypes }
func (owner *testOwner) LookUpIfEvicted(string)           {}
func (owner *testOwner) AdjustRateShare(clock.Micros)     {}
func (owner *testOwner) LogDropped(string, ...any)        {}
func (owner *testOwner) ProblemOf(string, *storeview.Job, int64) (problem jobreport.Problem, isProblem bool) {
	return jobreport.Problem{}, false
}

// JobChanged implements storeview.Observer. It updates the dependency graph first, then the term.
func (owner *testOwner) JobChanged(id string, job *storeview.Job) {
	job.IsCancelledByDependency = job.State == "" && owner.Graph.IsCancelled(id)
	switch {
	case job.State == wire.JobDone:
		owner.applyGraphChange(owner.Graph.RecordCompletion(id, clock.Micros(job.EndedAt)))
	case job.State == wire.JobCancelled:
		owner.applyGraphChange(owner.Graph.RecordCancellation(id))
	case job.Spec != nil:
		if dependencies, isComplete := owner.View.DependenciesOf(id, job); isComplete {
			owner.applyGraphChange(owner.Graph.AddJob(dag.Job{ID: id, DependsOn: dependencies, SubmittedAt: clock.Micros(job.SubmittedAt), Urgency: UrgencyOf(job)}))
		}
	}
	if owner.term != nil {
		owner.term.ApplyJobRecord(id, job)
	}
}

func (owner *testOwner) applyGraphChange(change dag.Effects) {
	for _, id := range change.Cancelled {
		if record := owner.View.Jobs[id]; record != nil && record.State == "" {
			record.IsCancelledByDependency = true
			if owner.term != nil {
				owner.term.AddImpliedCancellations(id)
			}
		}
	}
	for _, id := range change.Released {
		if record := owner.View.Jobs[id]; owner.term != nil && record != nil && !record.HasEnded() {
			owner.term.ApplyJobRecord(id, record)
		}
	}
	for _, id := range change.MoreUrgent {
		if owner.term != nil {
			owner.term.UpdateUrgency(id)
		}
	}
}

func (owner *testOwner) ConstraintsChanged(constraints delegation.Constraints, version uint64) {
	if owner.term != nil {
		owner.term.ObserveConstraints(constraints, version)
	}
}

func (owner *testOwner) StandbyChanged(record standby.InSyncRecord, version uint64) {
	if owner.term != nil {
		owner.term.ObserveStandbyRecord(record, version)
	}
}

func (owner *testOwner) WorkerContactRead(member string, record records.WorkerContact) {
	age := max(clock.WallTime()-clock.Micros(record.ReportedAt)-MaxClockSkew(owner.Config), 0)
	owner.contacts[member] = WorkerContact{Workers: record.Workers, ReportedAt: clock.Now() - age}
}

func (owner *testOwner) TermObserved(uint64)                 {}
func (owner *testOwner) MachineTypesRead([]wire.MachineType) {}
func (owner *testOwner) ArchiveMarkerRead()                  {}
func (owner *testOwner) RecordRejected(string, error)        {}
