package allocation

import "firwood.dev/firwood/wire"

// Decisions are told of each placement that may begin and of each that is provably over,
// so that others can follow the account.
type Decisions interface {
	// Started takes a placement that may begin from now on, and tells the decision's
	// number.
	Started(task string, attempt uint64, machine string) uint64
	// Over takes a placement that is over, and whose result, if it has one, is durable.
	Over(task string, attempt uint64, machine string)
	// Doubted takes a task, or a whole job, of which an earlier leader may have started
	// something somewhere.
	Doubted(id string)
	// DoubtOver takes the end of such a doubt: what it was about is told of as started, is
	// nowhere, or is durably done.
	DoubtOver(id string)
	// MaySend tells whether the start that has a decision's number may be sent.
	MaySend(number uint64) bool
}

// HasDecided tells whether a task has been placed, or is about to be.
func (l *Ledger) HasDecided() bool { return l.counter > 0 }

// mostDoubtsTold is how many doubts of one job are told one by one. More are told as one of
// the whole job, where all that is left of it is in doubt.
const mostDoubtsTold = 16

// decideDoubts tells of what is in doubt of a job that the account begins with.
func (l *Ledger) decideDoubts(j *Job) {
	if l.cfg.Decisions == nil || j.doubts == 0 {
		return
	}
	if j.doubts > mostDoubtsTold && j.doubts == len(j.Tasks)-j.done {
		j.isDoubtWhole = true
		l.cfg.Decisions.Doubted(j.Spec.ID)
		return
	}
	l.decideEachDoubt(j)
}

func (l *Ledger) decideEachDoubt(j *Job) {
	for i := range j.Tasks {
		if j.Tasks[i].Doubt {
			l.cfg.Decisions.Doubted(wire.TaskID(j.Spec.ID, i))
		}
	}
}

// decideCleared tells that a task is in doubt no more. Whatever it was placed on has to be
// told before, and if it is done, its completion has to be durable: else a follower would
// take it, in between, for a task that is nowhere and has yet to run.
func (l *Ledger) decideCleared(j *Job, i int) {
	if l.cfg.Decisions == nil {
		return
	}
	t := &j.Tasks[i]
	switch {
	case j.isDoubtWhole:
		l.narrowDoubt(j, false)
	case t.State == Done && !t.Durable:
		j.untoldCleared = append(j.untoldCleared, i)
	default:
		l.cfg.Decisions.DoubtOver(wire.TaskID(j.Spec.ID, i))
	}
}

// narrowDoubt replaces the doubt of a whole job by those of its last tasks, once they are
// few and all that is done is durable. Of a job that is over nothing is left.
func (l *Ledger) narrowDoubt(j *Job, isOver bool) {
	if !j.isDoubtWhole || !isOver && (j.doubts > mostDoubtsTold || j.durable != j.done) {
		return
	}
	j.isDoubtWhole = false
	l.decideEachDoubt(j)
	l.cfg.Decisions.DoubtOver(j.Spec.ID)
}

func (l *Ledger) decideStarted(p *Placement) {
	if d := l.cfg.Decisions; d != nil {
		p.decision = d.Started(p.id, p.Attempt, p.Machine.Name)
	}
}

// decideOver tells of an end. That of a completed task waits until the completion is
// durable: who follows the account would take the task for one that has yet to run.
func (l *Ledger) decideOver(p *Placement) {
	if l.cfg.Decisions == nil {
		return
	}
	if t := &p.Job.Tasks[p.Index]; t.State == Done && !t.Durable {
		p.Job.untold = append(p.Job.untold, p)
		return
	}
	l.cfg.Decisions.Over(p.id, p.Attempt, p.Machine.Name)
}

// decideDurable tells of the ends that have waited for their completions to be durable;
// of a job that is over, of all.
func (l *Ledger) decideDurable(j *Job, isOver bool) {
	if l.cfg.Decisions == nil {
		return
	}
	l.narrowDoubt(j, isOver)
	l.decideDurableCleared(j, isOver)
	kept := j.untold[:0]
	for _, p := range j.untold {
		if isOver || j.Tasks[p.Index].Durable {
			l.cfg.Decisions.Over(p.id, p.Attempt, p.Machine.Name)
		} else {
			kept = append(kept, p)
		}
	}
	clear(j.untold[len(kept):])
	j.untold = kept
}

func (l *Ledger) decideDurableCleared(j *Job, isOver bool) {
	kept := j.untoldCleared[:0]
	for _, i := range j.untoldCleared {
		if isOver || j.Tasks[i].Durable {
			l.cfg.Decisions.DoubtOver(wire.TaskID(j.Spec.ID, i))
		} else {
			kept = append(kept, i)
		}
	}
	j.untoldCleared = kept
}

// maySend tells whether a start may be sent as far as followers are concerned. One that
// has to wait is looked at again with RetryStarts.
func (l *Ledger) maySend(p *Placement) bool {
	if l.cfg.Decisions == nil || l.cfg.Decisions.MaySend(p.decision) {
		return true
	}
	if m := p.Machine; !m.isWaiting {
		m.isWaiting = true
		l.waiting = append(l.waiting, m)
	}
	return false
}

// RetryStarts has the starts that waited for followers looked at again.
func (l *Ledger) RetryStarts() {
	waiting := l.waiting
	l.waiting = nil
	for _, m := range waiting {
		m.isWaiting = false
		if l.Machines[m.Name] == m {
			l.toSend(m)
		}
	}
}

// mayRun tells whether an earlier leader may have started a task. A gang whose tasks are
// not all known to be nowhere is in doubt as a whole.
func (l *Ledger) mayRun(j *Job, isTask func(i int) bool) func(i int) bool {
	if l.cfg.MayRun == nil {
		return func(int) bool { return true }
	}
	if !j.Gang() {
		return isTask
	}
	any := false
	for i := range j.Tasks {
		any = any || isTask(i)
	}
	return func(int) bool { return any }
}
