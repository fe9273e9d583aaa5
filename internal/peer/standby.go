package peer

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"firwood.dev/firwood/internal/peer/fb"
	"firwood.dev/firwood/internal/standby"
)

// StandbyVersion is that of the standby messages which this version takes.
const StandbyVersion = standby.Version

// IsStandby tells whether the frame is one of a stream of decisions, or an answer to one,
// and says nothing else.
func (b *Beat) IsStandby() bool { return b.Message != nil || b.Position != nil }

// encodeStandby writes what the frame holds of a stream; 0 stands for what it lacks.
func encodeStandby(fbb *flatbuffers.Builder, b *Beat) (message, position flatbuffers.UOffsetT) {
	if b.Message != nil {
		message = encodeMessage(fbb, b.Message)
	}
	if b.Position != nil {
		position = encodePosition(fbb, b.Position)
	}
	return message, position
}

func encodeMessage(fbb *flatbuffers.Builder, m *standby.Message) flatbuffers.UOffsetT {
	decisions := make([]flatbuffers.UOffsetT, len(m.Decisions))
	for i, d := range m.Decisions {
		decisions[i] = encodePlacement(fbb, d.Kind, d.Placement)
	}
	var placements []flatbuffers.UOffsetT
	if m.Part != nil {
		for _, p := range m.Part.Placements {
			placements = append(placements, encodePlacement(fbb, 0, p))
		}
	}
	decisionVector, placementVector := vector(fbb, decisions), vector(fbb, placements)
	fb.StandbyMessageStart(fbb)
	fb.StandbyMessageAddToken(fbb, m.Token)
	fb.StandbyMessageAddAfter(fbb, m.After)
	fb.StandbyMessageAddDecisions(fbb, decisionVector)
	if p := m.Part; p != nil {
		fb.StandbyMessageAddHasPart(fbb, true)
		fb.StandbyMessageAddPartSequence(fbb, p.Sequence)
		fb.StandbyMessageAddPartNumber(fbb, uint32(p.Number))
		fb.StandbyMessageAddPartOf(fbb, uint32(p.Of))
		fb.StandbyMessageAddPlacements(fbb, placementVector)
		fb.StandbyMessageAddPartDigest(fbb, p.Digest)
	}
	if c := m.Check; c != nil {
		fb.StandbyMessageAddHasCheck(fbb, true)
		fb.StandbyMessageAddCheckSequence(fbb, c.Sequence)
		fb.StandbyMessageAddCheckDigest(fbb, c.Digest)
	}
	return fb.StandbyMessageEnd(fbb)
}

func encodePlacement(fbb *flatbuffers.Builder, kind standby.Kind, p standby.Placement) flatbuffers.UOffsetT {
	task, machine := fbb.CreateString(p.Task), fbb.CreateSharedString(p.Machine)
	fb.StandbyPlacementStart(fbb)
	fb.StandbyPlacementAddKind(fbb, byte(kind))
	fb.StandbyPlacementAddTask(fbb, task)
	fb.StandbyPlacementAddAttempt(fbb, p.Attempt)
	fb.StandbyPlacementAddMachine(fbb, machine)
	return fb.StandbyPlacementEnd(fbb)
}

func encodePosition(fbb *flatbuffers.Builder, p *standby.Position) flatbuffers.UOffsetT {
	fb.StandbyPositionStart(fbb)
	fb.StandbyPositionAddLife(fbb, p.Life)
	fb.StandbyPositionAddToken(fbb, p.Token)
	fb.StandbyPositionAddIsComplete(fbb, p.IsComplete)
	fb.StandbyPositionAddSequence(fbb, p.Sequence)
	fb.StandbyPositionAddBuilding(fbb, p.Building)
	fb.StandbyPositionAddParts(fbb, uint32(p.Parts))
	fb.StandbyPositionAddVersion(fbb, p.Version)
	return fb.StandbyPositionEnd(fbb)
}

// decodeStandby reads what the frame holds of a stream into a beat.
func decodeStandby(r *fb.Beat, b *Beat) error {
	if m := r.StandbyMessage(nil); m != nil {
		message, err := decodeMessage(m)
		if err != nil {
			return err
		}
		b.Message = message
	}
	if p := r.StandbyPosition(nil); p != nil {
		b.Position = &standby.Position{
			Life: p.Life(), Token: p.Token(), IsComplete: p.IsComplete(), Sequence: p.Sequence(),
			Building: p.Building(), Parts: int(p.Parts()), Version: p.Version(),
		}
	}
	return nil
}

func decodeMessage(r *fb.StandbyMessage) (*standby.Message, error) {
	if r.DecisionsLength() > standby.MaxDecisions || r.PlacementsLength() > standby.MaxPlacements {
		return nil, errMalformed
	}
	m := &standby.Message{Token: r.Token(), After: r.After()}
	var p fb.StandbyPlacement
	for i := range r.DecisionsLength() {
		if !r.Decisions(&p, i) {
			return nil, errMalformed
		}
		m.Decisions = append(m.Decisions, standby.Decision{Kind: standby.Kind(p.Kind()), Placement: decodePlacement(&p)})
	}
	if r.HasPart() {
		m.Part = &standby.Part{Sequence: r.PartSequence(), Number: int(r.PartNumber()), Of: int(r.PartOf()), Digest: r.PartDigest()}
		for i := range r.PlacementsLength() {
			if !r.Placements(&p, i) {
				return nil, errMalformed
			}
			m.Part.Placements = append(m.Part.Placements, decodePlacement(&p))
		}
	}
	if r.HasCheck() {
		m.Check = &standby.Check{Sequence: r.CheckSequence(), Digest: r.CheckDigest()}
	}
	return m, nil
}

func decodePlacement(r *fb.StandbyPlacement) standby.Placement {
	return standby.Placement{Task: string(r.Task()), Attempt: r.Attempt(), Machine: string(r.Machine())}
}
