package health

import "firwood.dev/firwood/internal/clock"

const (
	// ProbeInterval is how often a machine with replicas is probed while it sends no heartbeats.
	ProbeInterval = 2 * clock.Second
	// ProbeTimeout is the timeout of a probe. It allows for one retransmission of a lost packet.
	ProbeTimeout = 1500 * clock.Millisecond
	// maxProbeResultDelay is how long after ProbeTimeout the controller may handle a missing response and
	// still count it as a miss; see IsResultTooLate.
	maxProbeResultDelay = clock.Second / 2
	// missRetryInterval is the time after which a machine that missed a probe is probed again.
	missRetryInterval = clock.Second / 2
	// allowedProbeMisses is how many consecutive probes may stay unanswered.
	allowedProbeMisses = 1
)

// Probes records the probes of one machine.
type Probes struct {
	IsInFlight      bool
	Misses          int          // consecutive unanswered probes
	AnsweredAt      clock.Micros // when the last response came
	sentAt          clock.Micros // when the last probe was sent
	firstMissSentAt clock.Micros // when the first of the consecutive unanswered probes was sent
}

// RecordSent records that a probe is sent.
func (probes *Probes) RecordSent(now clock.Micros) { probes.IsInFlight, probes.sentAt = true, now }

// RecordResponse records that the machine has answered a probe.
func (probes *Probes) RecordResponse(now clock.Micros) { probes.Misses, probes.AnsweredAt = 0, now }

// RecordMiss records that a probe sent at sentAt stayed unanswered. reachableSince is the time since
// which this process has run without a stall and the machine's zone has been mostly reachable. A probe
// that was sent earlier proves nothing about the machine, so it resets the count of misses.
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

// HasTooManyMisses reports whether the machine has missed so many probes that it is to be deleted,
// provided that most of its zone answers; see ZoneAnswers.
func (probes *Probes) HasTooManyMisses() bool { return probes.Misses > allowedProbeMisses }

// FirstMissSentAt returns when the first of the consecutive unanswered probes was sent.
func (probes *Probes) FirstMissSentAt() clock.Micros { return probes.firstMissSentAt }

// IsResultTooLate reports whether the controller handles a probe's result so late, for example after a
// stall, that a missing response says nothing about the machine.
func IsResultTooLate(sentAt, now clock.Micros) bool {
	return now-sentAt > ProbeTimeout+maxProbeResultDelay
}

// NeedsProbe reports whether a machine, with or without replicas, is to be probed out of turn. After a miss,
// a probe is due once missRetryInterval has passed since the last probe or heartbeat. Otherwise it is due if
// the heartbeat is overdue and ProbeInterval has passed since the last probe. resumedAt is the time since
// which this process has been able to receive heartbeats; no heartbeat is overdue until ProbeAfter later.
func (probes *Probes) NeedsProbe(lastHeartbeatAt, resumedAt, now clock.Micros, timing Timing) bool {
	if probes.Misses > 0 {
		return probes.timeSinceLastContact(lastHeartbeatAt, now) >= missRetryInterval
	}
	return now-max(lastHeartbeatAt, resumedAt) >= timing.ProbeAfter && probes.IsRoundProbeDue(lastHeartbeatAt, now)
}

// IsRoundProbeDue reports whether a machine with replicas is due for its regular probe: ProbeInterval has
// passed since its last heartbeat or probe.
func (probes *Probes) IsRoundProbeDue(lastHeartbeatAt, now clock.Micros) bool {
	return probes.timeSinceLastContact(lastHeartbeatAt, now) >= ProbeInterval
}

// timeSinceLastContact returns the time since the last heartbeat or the last probe, whichever was later.
func (probes *Probes) timeSinceLastContact(lastHeartbeatAt, now clock.Micros) clock.Micros {
	return now - max(lastHeartbeatAt, probes.sentAt)
}

// ZoneAnswers counts the machines of a zone that have answered probes or sent heartbeats, and those that
// have missed probes, since a certain machine of the zone began to miss probes.
type ZoneAnswers struct{ answered, missed int }

// Add counts one machine of the zone. firstMissSentAt is when the first unanswered probe was sent to the
// machine that may have to be deleted. A machine counts as answering only if its last response or heartbeat
// came more than half of ProbeTimeout after that.
func (answers *ZoneAnswers) Add(probes *Probes, lastHeartbeatAt, firstMissSentAt clock.Micros) {
	switch {
	case max(probes.AnsweredAt, lastHeartbeatAt) > firstMissSentAt+ProbeTimeout/2:
		answers.answered++
	case probes.Misses > 0:
		answers.missed++
	}
}

// IsMostlyAnswering reports whether the network to the zone works: at least two in three of the counted
// machines have answered. In a network partition no machine answers, and none may be deleted.
func (answers ZoneAnswers) IsMostlyAnswering() bool { return answers.answered >= 2*answers.missed }
