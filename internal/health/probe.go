package health

import "firwood.dev/firwood/internal/clock"

const (
	// ProbeInterval is how often a machine with replicas is probed while it sends nothing.
	ProbeInterval = 2 * clock.Second
	// ProbeTimeout bounds a probe; a lost packet is retransmitted within it.
	ProbeTimeout = 1500 * clock.Millisecond
	// probeLateness is how late the controller may take a probe's result for it to count.
	probeLateness = clock.Second / 2
	// missRetryInterval is how soon a machine is probed again after a miss.
	missRetryInterval = clock.Second / 2
	// allowedProbeMisses is how many probes in a row may stay unanswered.
	allowedProbeMisses = 1
)

// Probes is the record of probes of one machine.
type Probes struct {
	IsInFlight      bool
	Misses          int          // in a row
	AnsweredAt      clock.Micros // the last answer
	sentAt          clock.Micros // the last probe
	firstMissSentAt clock.Micros // the first probe of the misses in a row
}

// Begin records that a probe is sent.
func (probes *Probes) Begin(now clock.Micros) { probes.IsInFlight, probes.sentAt = true, now }

// RecordAnswer records the answer to a probe.
func (probes *Probes) RecordAnswer(now clock.Micros) { probes.Misses, probes.AnsweredAt = 0, now }

// RecordMiss records that a probe sent at an instant stayed unanswered. Before
// reachableSince the way to the machine's zone was not open, and a miss means nothing.
func (probes *Probes) RecordMiss(sentAt, reachableSince clock.Micros) {
	if sentAt < reachableSince {
		probes.Misses = 0
		return
	}
	if probes.Misses == 0 {
		probes.firstMissSentAt = sentAt
	}
	probes.Misses++
}

// HasTooManyMisses tells whether the machine may be deleted, if most of its zone answers.
func (probes *Probes) HasTooManyMisses() bool { return probes.Misses > allowedProbeMisses }

// FirstMissSentAt is when the first of the misses in a row was sent.
func (probes *Probes) FirstMissSentAt() clock.Micros { return probes.firstMissSentAt }

// IsResultTooLate tells whether the controller itself took too long to take a probe's result.
func IsResultTooLate(sentAt, now clock.Micros) bool { return now-sentAt > ProbeTimeout+probeLateness }

// NeedsProbe tells whether a machine is probed out of turn: it left a probe unanswered, or
// its heartbeat is overdue, and the last probe is long enough ago.
func (probes *Probes) NeedsProbe(lastHeartbeatAt, resumedAt, now clock.Micros, timing Timing) bool {
	if probes.Misses > 0 {
		return probes.silence(lastHeartbeatAt, now) >= missRetryInterval
	}
	return now-max(lastHeartbeatAt, resumedAt) >= timing.ProbeAfter && probes.IsRoundDue(lastHeartbeatAt, now)
}

// IsRoundDue tells whether a machine with replicas is probed in its turn.
func (probes *Probes) IsRoundDue(lastHeartbeatAt, now clock.Micros) bool {
	return probes.silence(lastHeartbeatAt, now) >= ProbeInterval
}

// silence is how long ago the last heartbeat came or the last probe was sent.
func (probes *Probes) silence(lastHeartbeatAt, now clock.Micros) clock.Micros {
	return now - max(lastHeartbeatAt, probes.sentAt)
}

// ZoneAnswers counts the machines of a zone that have answered, or missed, probes since
// some machine there began to miss them.
type ZoneAnswers struct{ answered, missed int }

// Add counts one machine of the zone. Since is when the first unanswered probe was sent.
func (answers *ZoneAnswers) Add(probes *Probes, lastHeartbeatAt, since clock.Micros) {
	switch {
	case max(probes.AnsweredAt, lastHeartbeatAt) > since+ProbeTimeout/2:
		answers.answered++
	case probes.Misses > 0:
		answers.missed++
	}
}

// IsMostlyAnswering tells whether the way to the zone is open: at least two in three answer.
func (answers ZoneAnswers) IsMostlyAnswering() bool { return answers.answered >= 2*answers.missed }
