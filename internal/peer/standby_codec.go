package peer

import (
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"

	"firwood.dev/firwood/internal/peer/fb"
	"firwood.dev/firwood/internal/standby"
)

// StandbyProtocolVersion is the version of the standby messages that this build reads.
const StandbyProtocolVersion = standby.ProtocolVersion

// IsStandbyFrame reports whether the frame is a standby message or position rather than a heartbeat.
func (heartbeat *Heartbeat) IsStandbyFrame() bool {
	return heartbeat.StandbyMessage != nil || heartbeat.StandbyPosition != nil
}

// encodeStandbyFrame writes the standby message and the standby position. It returns offset 0 for either
// if the heartbeat lacks it.
func encodeStandbyFrame(builder *flatbuffers.Builder, heartbeat *Heartbeat) (message, position flatbuffers.UOffsetT) {
	if heartbeat.StandbyMessage != nil {
		message = encodeStandbyMessage(builder, heartbeat.StandbyMessage)
	}
	if heartbeat.StandbyPosition != nil {
		position = encodeStandbyPosition(builder, heartbeat.StandbyPosition)
	}
	return message, position
}

func encodeStandbyMessage(builder *flatbuffers.Builder, message *standby.Message) flatbuffers.UOffsetT {
	decisions := make([]flatbuffers.UOffsetT, len(message.Decisions))
	for i, decision := range message.Decisions {
		decisions[i] = encodePlacement(builder, decision.Kind, decision.Placement)
	}
	var placements []flatbuffers.UOffsetT
	if message.Part != nil {
		for _, placement := range message.Part.Placements {
			placements = append(placements, encodePlacement(builder, 0, placement))
		}
	}
	decisionVector, placementVector := encodeOffsets(builder, decisions), encodeOffsets(builder, placements)
	fb.StandbyMessageStart(builder)
	fb.StandbyMessageAddToken(builder, message.Token)
	fb.StandbyMessageAddAfterSequence(builder, message.AfterSequence)
	fb.StandbyMessageAddDecisions(builder, decisionVector)
	if part := message.Part; part != nil {
		fb.StandbyMessageAddHasPart(builder, true)
		fb.StandbyMessageAddPartSequence(builder, part.Sequence)
		fb.StandbyMessageAddPartIndex(builder, uint32(part.Index))
		fb.StandbyMessageAddPartCount(builder, uint32(part.PartCount))
		fb.StandbyMessageAddPlacements(builder, placementVector)
		fb.StandbyMessageAddPartDigest(builder, part.Digest)
	}
	if check := message.Check; check != nil {
		fb.StandbyMessageAddHasCheck(builder, true)
		fb.StandbyMessageAddCheckSequence(builder, check.Sequence)
		fb.StandbyMessageAddCheckDigest(builder, check.Digest)
	}
	return fb.StandbyMessageEnd(builder)
}

func encodePlacement(builder *flatbuffers.Builder, kind standby.DecisionKind, placement standby.Placement) flatbuffers.UOffsetT {
	task, machine := builder.CreateString(placement.Task), builder.CreateSharedString(placement.Machine)
	fb.StandbyPlacementStart(builder)
	fb.StandbyPlacementAddKind(builder, byte(kind))
	fb.StandbyPlacementAddTask(builder, task)
	fb.StandbyPlacementAddAttempt(builder, placement.Attempt)
	fb.StandbyPlacementAddMachine(builder, machine)
	return fb.StandbyPlacementEnd(builder)
}

func encodeStandbyPosition(builder *flatbuffers.Builder, position *standby.Position) flatbuffers.UOffsetT {
	fb.StandbyPositionStart(builder)
	fb.StandbyPositionAddIncarnation(builder, position.Incarnation)
	fb.StandbyPositionAddToken(builder, position.Token)
	fb.StandbyPositionAddIsComplete(builder, position.IsComplete)
	fb.StandbyPositionAddSequence(builder, position.Sequence)
	fb.StandbyPositionAddSnapshotSequence(builder, position.SnapshotSequence)
	fb.StandbyPositionAddSnapshotParts(builder, uint32(position.SnapshotParts))
	fb.StandbyPositionAddProtocolVersion(builder, position.ProtocolVersion)
	return fb.StandbyPositionEnd(builder)
}

// decodeStandbyFrame reads the standby message and the standby position, if the frame has them.
func decodeStandbyFrame(table *fb.Heartbeat, heartbeat *Heartbeat) error {
	if messageTable := table.StandbyMessage(nil); messageTable != nil {
		message, err := decodeStandbyMessage(messageTable)
		if err != nil {
			return err
		}
		heartbeat.StandbyMessage = message
	}
	if positionTable := table.StandbyPosition(nil); positionTable != nil {
		heartbeat.StandbyPosition = &standby.Position{
			Incarnation: positionTable.Incarnation(), Token: positionTable.Token(), IsComplete: positionTable.IsComplete(), Sequence: positionTable.Sequence(),
			SnapshotSequence: positionTable.SnapshotSequence(), SnapshotParts: int(positionTable.SnapshotParts()), ProtocolVersion: positionTable.ProtocolVersion(),
		}
	}
	return nil
}

func decodeStandbyMessage(table *fb.StandbyMessage) (*standby.Message, error) {
	if table.PlacementsLength() > standby.MaxPartPlacements {
		return nil, fmt.Errorf("%w: %d placements in a part of a snapshot, which exceeds the bound", ErrMalformed, table.PlacementsLength())
	}
	message := &standby.Message{Token: table.Token(), AfterSequence: table.AfterSequence()}
	var entry fb.StandbyPlacement
	var err error
	message.Decisions, err = decodeTables(table.DecisionsLength(), standby.MaxDecisions, func(i int) (standby.Decision, bool) {
		ok := table.Decisions(&entry, i)
		return standby.Decision{Kind: standby.DecisionKind(entry.Kind()), Placement: decodePlacement(&entry)}, ok
	})
	if err != nil {
		return nil, err
	}
	if table.HasPart() {
		message.Part = &standby.SnapshotPart{Sequence: table.PartSequence(), Index: int(table.PartIndex()), PartCount: int(table.PartCount()), Digest: table.PartDigest()}
		message.Part.Placements, err = decodeTables(table.PlacementsLength(), standby.MaxPartPlacements, func(i int) (standby.Placement, bool) {
			ok := table.Placements(&entry, i)
			return decodePlacement(&entry), ok
		})
		if err != nil {
			return nil, err
		}
	}
	if table.HasCheck() {
		message.Check = &standby.DigestCheck{Sequence: table.CheckSequence(), Digest: table.CheckDigest()}
	}
	return message, nil
}

func decodePlacement(table *fb.StandbyPlacement) standby.Placement {
	return standby.Placement{Task: string(table.Task()), Attempt: table.Attempt(), Machine: string(table.Machine())}
}
