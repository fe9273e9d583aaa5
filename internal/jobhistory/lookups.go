package jobhistory

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Answer is what the state service has said of a job.
type Answer uint8

const (
	// NoAnswer: nothing; the user is to ask again later.
	NoAnswer Answer = iota
	// Absent: there is no record of it.
	Absent
	// Present: there is one, and it was read.
	Present
)

// question is one that waits for what the state service says of a job.
type question struct {
	job   string
	until clock.Micros
	then  func(Answer)
}

// Lookups are questions for jobs that are not remembered, asked many at a time. Each is
// answered from a request that was sent after it came.
type Lookups struct {
	most, batch int
	waiting     []question
	// again are questions of a batch in which other jobs were present, which proves
	// nothing of theirs; they are asked by themselves.
	again []question
	asked []question
}

// NewLookups lets so many questions wait, and asks for so many jobs at a time.
func NewLookups(most, batch int) *Lookups { return &Lookups{most: most, batch: batch} }

// Ask takes a question, unless too many wait. It is answered by an instant or later, at
// once when that has passed.
func (l *Lookups) Ask(job string, until clock.Micros, then func(Answer)) bool {
	if len(l.waiting)+len(l.again) >= l.most {
		return false
	}
	l.waiting = append(l.waiting, question{job, until, then})
	return true
}

// Next are the jobs to ask for now; none while others are being asked for. Answered has to
// follow.
func (l *Lookups) Next(now clock.Micros) []string {
	if len(l.asked) > 0 {
		return nil
	}
	l.expire(now)
	from := &l.waiting
	if len(l.again) > 0 {
		from = &l.again
	}
	var jobs []string
	rest := (*from)[:0]
	for _, q := range *from {
		isListed := slices.Contains(jobs, q.job)
		if !isListed && len(jobs) == l.batch {
			rest = append(rest, q)
			continue
		}
		if !isListed {
			jobs = append(jobs, q.job)
		}
		l.asked = append(l.asked, q)
	}
	clear((*from)[len(rest):])
	*from = rest
	return jobs
}

// expire answers questions whose time is over.
func (l *Lookups) expire(now clock.Micros) {
	var late []question
	for _, questions := range []*[]question{&l.waiting, &l.again} {
		*questions = slices.DeleteFunc(*questions, func(q question) bool {
			isLate := now >= q.until
			if isLate {
				late = append(late, q)
			}
			return isLate
		})
	}
	for _, q := range late {
		q.then(NoAnswer) // which may ask anew
	}
}

// Answered takes what was said of the jobs that were asked for: those that are present and
// were read, and whether all others are known to be absent. What stays open is asked again,
// or gets no answer if the request failed.
func (l *Lookups) Answered(present []string, areOthersAbsent, hasFailed bool) {
	asked := l.asked
	l.asked = nil
	for _, q := range asked {
		switch {
		case slices.Contains(present, q.job):
			q.then(Present)
		case areOthersAbsent:
			q.then(Absent)
		case hasFailed:
			q.then(NoAnswer)
		default:
			l.again = append(l.again, q)
		}
	}
}
