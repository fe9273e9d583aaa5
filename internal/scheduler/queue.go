package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// entry is a waiting job in the order of the plan.
type entry struct {
	job   *allocation.Job
	owed  bool
	aged  bool // waits long, and nothing of it has started
	tight bool // can still be in time, if it starts soon
	ahead bool // its tasks are not known to be gone yet
	need  int
	run   float64
	rest  float64 // seconds of work that wait: what the job still asks for
	// pressed: at its present width it will not be in time, but could be.
	pressed bool
	// short: more than what will be free one boot time on is wanted for it.
	short bool
	// claims: room is kept for it, and nothing else is done for it.
	claims bool
	late   int   // by how much its time is over, see lateness
	tasks  []int // waiting tasks that may be placed now
	left   int   // of those, not placed by this plan
	limit  int   // of those, allowed by the team's limit
}

// covers tells whether a guarantee speaks of a need at all, and whether the need
// is within it. A guarantee of 0 is none: it neither covers nor bounds what is used
// of that resource, or jobs that take processors beside their cards would never be
// owed anything by a guarantee in cards alone.
func covers(g allocation.TeamQuota, need allocation.Resources) (speaks, within bool) {
	within = true
	for _, d := range [][2]int64{{g.GuaranteedMilliCPU, need.MilliCPU}, {g.GuaranteedMilliGPU, need.MilliGPU}} {
		if d[0] > 0 && d[1] > 0 {
			speaks = true
			within = within && d[1] <= d[0]
		}
	}
	return speaks, within
}

// owed tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (pl *Planner) owed(l *allocation.Tracker) map[*allocation.Job]bool {
	byTeam := map[string][]*allocation.Job{}
	for _, j := range l.Jobs {
		if g := pl.Teams[j.Spec.Team]; !j.Cancelled && !j.IsComplete() && (g.GuaranteedMilliCPU > 0 || g.GuaranteedMilliGPU > 0) {
			byTeam[j.Spec.Team] = append(byTeam[j.Spec.Team], j)
		}
	}
	out := map[*allocation.Job]bool{}
	for team, jobs := range byTeam {
		slices.SortFunc(jobs, func(a, b *allocation.Job) int {
			return cmp.Or(cmp.Compare(a.ReleasedAt, b.ReleasedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		g := pl.Teams[team]
		var sum allocation.Resources
		for _, j := range jobs {
			sum = sum.Add(j.Request.Times(len(j.Tasks)))
			if _, within := covers(g, sum); !within {
				break
			}
			if speaks, _ := covers(g, j.Request); speaks {
				out[j] = true
			}
		}
	}
	return out
}

// queue lists the waiting jobs in SNF order, inside rank and guarantee.
func (pl *Planner) queue(l *allocation.Tracker, owed map[*allocation.Job]bool, now, wall clock.Micros) []*entry {
	var q []*entry
	for _, j := range l.Jobs {
		if j.Cancelled || j.WaitingCount() == 0 || j.ActiveCount() == 0 && j.WaitingCount() == j.UnconfirmedCount() {
			continue
		}
		e := &entry{job: j, owed: owed[j], need: 1, run: pl.expect(j)}
		if j.IsGang() {
			e.run = max(e.run-j.CheckpointedSeconds, 0)
		}
		atBest := pl.atBest(j, e.run)
		e.tight = pl.tight(j, atBest, wall)
		e.late = pl.lateness(j, atBest, wall)
		// Smallest first alone would have the largest wait as long as small ones
		// come. Once something of it has started it has no claim any more.
		e.aged = pl.P.AgeAfter > 0 && wall-j.ReleasedAt >= pl.P.AgeAfter && j.ActiveCount() == 0 && j.DoneCount() == 0
		if j.IsGang() {
			e.need = pl.Machines(j)
			// A gang starts whole, or waits; one that has not been complete yet gets
			// the tasks that it lacks.
			if j.UnconfirmedCount() > 0 || j.ActiveCount() > 0 && !j.CanReplaceLostTasks() {
				continue
			}
		}
		held := false
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if t.State != allocation.TaskWaiting || t.Unconfirmed || t.Placement != nil {
				continue
			}
			if t.RetryAt > now {
				held = true
				continue
			}
			e.tasks = append(e.tasks, i)
		}
		if len(e.tasks) == 0 || held && j.IsGang() {
			continue
		}
		e.left = len(e.tasks)
		e.rest = e.run
		if !j.IsGang() {
			e.rest *= float64(len(e.tasks))
		}
		e.pressed = pl.pressed(e, wall)
		e.tight = e.tight || e.pressed
		q = append(q, e)
	}
	slices.SortFunc(q, func(a, b *entry) int {
		if c := cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), -cmp.Compare(btoi(a.aged), btoi(b.aged))); c != 0 {
			return c
		}
		if a.aged {
			// When many have waited too long, the smallest of them first would have
			// the largest wait on.
			return cmp.Or(cmp.Compare(a.job.ReleasedAt, b.job.ReleasedAt), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
		}
		return cmp.Or(
			-cmp.Compare(btoi(a.owed), btoi(b.owed)),
			-cmp.Compare(btoi(a.tight), btoi(b.tight)),
			cmp.Compare(a.late, b.late),
			cmp.Compare(a.need, b.need),
			cmp.Compare(a.rest, b.rest),
			cmp.Compare(a.job.ReleasedAt, b.job.ReleasedAt),
			cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	return q
}

// tight tells whether a job's time has come: its run still fits before its due
// time, with little to spare. By need and run time alone, the last tasks of a
// long job wait for every shorter one that comes. A job that is late anyway has
// no such claim.
func (pl *Planner) tight(j *allocation.Job, run float64, wall clock.Micros) bool {
	due := pl.due(j)
	if due == 0 {
		return false
	}
	slack := due - (wall - j.ReleasedAt).Seconds() - run
	return slack >= 0 && slack < max(run/4, tightSlack)
}

// atBest is how long, in seconds, what waits of a job takes at the least: its
// team's limit may not let all tasks run at a time.
func (pl *Planner) atBest(j *allocation.Job, run float64) float64 {
	g := pl.Teams[j.Spec.Team]
	waves := 1.0
	for _, d := range [][2]int64{{g.MaxMilliCPU, j.Request.MilliCPU}, {g.MaxMilliGPU, j.Request.MilliGPU}} {
		if d[0] > 0 && d[1] > 0 {
			waves = max(waves, math.Ceil(float64(j.WaitingCount())/float64(max(d[0]/d[1], 1))))
		}
	}
	return waves * run
}

// due is when a job should be done, in seconds from the moment from which its waits
// count; 0: no such time.
func (pl *Planner) due(j *allocation.Job) float64 {
	const alreadyLate = 0.001 // its time was over before it could start
	switch {
	case j.IsService():
		return 0
	case j.Deadline > 0:
		return max((j.Deadline - j.ReleasedAt).Seconds(), alreadyLate)
	case j.Spec.DeadlineS > 0:
		return j.Spec.DeadlineS
	}
	return pl.Due[j.Spec.Class]
}

// pressed tells whether a job that has started will miss its time with the
// machines it has, though more could still help. For such a one an ordinary
// machine is worth its price when no spot machine is to be had.
func (pl *Planner) pressed(e *entry, wall clock.Micros) bool {
	j := e.job
	due := pl.due(j)
	if due == 0 || e.late > 0 || j.ActiveCount() == 0 {
		return false
	}
	waves := 1 + float64(len(e.tasks))/float64(j.ActiveCount())
	return (wall-j.ReleasedAt).Seconds()+waves*e.run > due
}

// lateness is 0 for a job that can still be in time, 1 for one that can not, and
// 2 for one that is late by half as much again: when not all can be done in
// time, those that can are not held up by those that cannot.
func (pl *Planner) lateness(j *allocation.Job, run float64, wall clock.Micros) int {
	due := pl.due(j)
	if due == 0 {
		return 0
	}
	switch end := (wall - j.ReleasedAt).Seconds() + run; {
	case end <= due:
		return 0
	case end <= 1.5*due:
		return 1
	}
	return 2
}

// tightSlack is the least slack, in seconds, that makes a job go first.
const tightSlack = 20

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
