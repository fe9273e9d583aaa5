package standby

import "firwood.dev/firwood/internal/clock"

// network holds the messages and answers in flight.
type network struct {
	messages []inFlightMessage
	answers  []inFlightAnswer
}

type inFlightMessage struct {
	to      string
	message *Message
}

type inFlightAnswer struct {
	from     string
	to       *Publisher
	position Position
}

// storedRecord is the in-sync record in the key-value store.
type storedRecord struct {
	record        InSyncRecord
	recordVersion uint64
	delayedWrites []recordWrite // writes sent without a response; each may be applied at any time, also repeatedly
}

type recordWrite struct {
	record  InSyncRecord
	token   uint64
	version uint64
}

// deliverRandomMessages delivers or loses one random message and one random answer. Sometimes it
// leaves them in flight, so that they are repeated.
func (sim *simulation) deliverRandomMessages() {
	if n := len(sim.messages); n > 0 {
		i := sim.rng.IntN(n)
		delivery := sim.messages[i]
		isLost, isRepeated := sim.rng.IntN(8) == 0, sim.rng.IntN(5) == 0
		if !isLost && delivery.to != sim.leaderName {
			sim.answers = append(sim.answers, inFlightAnswer{delivery.to, sim.publisher, sim.applyToReplica(delivery)})
		}
		if !isRepeated {
			sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
		}
	}
	if n := len(sim.answers); n > 0 {
		i := sim.rng.IntN(n)
		answer := sim.answers[i]
		if sim.rng.IntN(8) > 0 && sim.leaderName != "" && answer.to == sim.publisher {
			sim.publisher.RecordPosition(answer.from, answer.position)
		}
		if sim.rng.IntN(5) > 0 {
			sim.answers = append(sim.answers[:i], sim.answers[i+1:]...)
		}
	}
}

// applyToReplica has a member apply a message. A member of the first protocol version does not send
// its version. Such a member may be given a message that was sent to an earlier process of a later
// version.
func (sim *simulation) applyToReplica(delivery inFlightMessage) Position {
	position := sim.replicas[delivery.to].ApplyMessage(delivery.message)
	if sim.isFirstVersion[delivery.to] {
		position.ProtocolVersion = 0
	}
	return position
}

// applyWrite applies a write to the store if its conditions hold, and reports whether it did.
func (sim *simulation) applyWrite(write recordWrite) bool {
	if write.token != sim.lockToken || write.version != sim.recordVersion {
		return false
	}
	sim.recordVersion++
	sim.record = write.record
	for _, name := range sim.memberNames {
		sim.replicas[name].PruneEarlierReplicas(sim.record.Token)
	}
	return true
}

// writeRecord has the leader write its record if one is due, with a random outcome.
func (sim *simulation) writeRecord() {
	if sim.isFirstVersion[sim.leaderName] && len(sim.unconfirmedTasks) > 0 {
		// The first version names no members until no task is unconfirmed.
		sim.applyWrite(recordWrite{InSyncRecord{Token: sim.lockToken}, sim.lockToken, sim.recordVersion})
		sim.inSyncSet.ObserveRecord(sim.record, sim.recordVersion)
		return
	}
	record, version, ok := sim.inSyncSet.BeginWrite(sim.now)
	if !ok {
		return
	}
	write := recordWrite{record, sim.publisher.token, version}
	switch sim.rng.IntN(4) {
	case 0: // no response; applied later, if at all
		sim.delayedWrites = append(sim.delayedWrites, write)
		sim.inSyncSet.MarkWriteUnresolved()
	case 1: // applied, but no response
		sim.applyWrite(write)
		sim.inSyncSet.MarkWriteUnresolved()
	default:
		if sim.applyWrite(write) {
			sim.inSyncSet.ConfirmWrite(sim.recordVersion)
		} else {
			sim.inSyncSet.RejectWrite()
		}
	}
}

// publishMessages sends each follower the next message, if one is due.
func (sim *simulation) publishMessages() {
	for name := range sim.publisher.followers {
		if message, ok := sim.publisher.NextMessage(name, sim.now); ok {
			sim.messages = append(sim.messages, inFlightMessage{name, message})
		}
	}
}

// observeRecordOrApplyDelayedWrite has the leader read the record, or has the store apply a delayed
// write, or both.
func (sim *simulation) observeRecordOrApplyDelayedWrite() {
	if sim.hasLeader() && sim.rng.IntN(2) == 0 {
		sim.inSyncSet.ObserveRecord(sim.record, sim.recordVersion)
	}
	if len(sim.delayedWrites) > 0 && sim.rng.IntN(2) == 0 {
		sim.applyWrite(sim.delayedWrites[sim.rng.IntN(len(sim.delayedWrites))])
	}
}

// healNetwork ends the faults and has the leader and the followers exchange messages for 10 s, in
// which all members should come into sync.
func (sim *simulation) healNetwork() {
	if !sim.hasLeader() {
		sim.electLeader("a")
	}
	sim.messages, sim.answers = nil, nil
	sim.reconcileMachines()
	for range 200 {
		sim.now += 50 * clock.Millisecond
		for name := range sim.publisher.followers {
			if message, ok := sim.publisher.NextMessage(name, sim.now); ok {
				sim.publisher.RecordPosition(name, sim.applyToReplica(inFlightMessage{name, message}))
			}
		}
		sim.writeRecordReliably()
		sim.sendStarts()
		sim.checkInvariants()
	}
}

// writeRecordReliably has the leader write its record if one is due, with an immediate response.
func (sim *simulation) writeRecordReliably() {
	record, version, ok := sim.inSyncSet.BeginWrite(sim.now)
	if !ok {
		return
	}
	if sim.applyWrite(recordWrite{record, sim.publisher.token, version}) {
		sim.inSyncSet.ConfirmWrite(sim.recordVersion)
		return
	}
	sim.inSyncSet.RejectWrite()
	sim.inSyncSet.ObserveRecord(sim.record, sim.recordVersion)
}
