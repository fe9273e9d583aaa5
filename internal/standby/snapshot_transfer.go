package standby

import "github.com/tidwall/btree"

// snapshotTransfer is a snapshot that is being sent to a follower.
type snapshotTransfer struct {
	sequence      uint64
	digest        uint64
	placements    *btree.BTreeG[Placement]
	partCount     int
	nextPlacement Placement // first placement of the next part
	receivedParts int       // how many parts the follower has
}

// nextPart returns the part of a snapshot that a follower needs next. If the log has moved past
// the snapshot meanwhile, a new one is begun.
func (publisher *Publisher) nextPart(follower *followerState) *SnapshotPart {
	transfer, position := follower.transfer, follower.position
	isUsable := transfer != nil && transfer.sequence >= publisher.sequenceBeforeLog()
	isInProgress := isUsable && position.SnapshotSequence == transfer.sequence
	switch {
	case isInProgress && position.SnapshotParts == transfer.receivedParts+1:
		transfer.advance()
	case isInProgress && position.SnapshotParts == transfer.receivedParts:
		// The last message, or its answer, was lost: send the same part again.
	case isUsable && transfer.receivedParts == 0 && position.SnapshotParts == 0:
		// Nothing of it has arrived yet.
	default:
		transfer = publisher.newTransfer()
		follower.transfer = transfer
	}
	return &SnapshotPart{
		Sequence: transfer.sequence, Index: transfer.receivedParts, PartCount: transfer.partCount,
		Placements: transfer.currentPlacements(), Digest: transfer.digest,
	}
}

// newTransfer begins a snapshot of the table as it is now.
func (publisher *Publisher) newTransfer() *snapshotTransfer {
	placements := publisher.table.copyPlacements()
	return &snapshotTransfer{
		sequence: publisher.lastSequence, digest: publisher.table.Digest(), placements: placements,
		partCount: max((placements.Len()+MaxPartPlacements-1)/MaxPartPlacements, 1),
	}
}

// currentPlacements returns the placements of the part that comes after those the follower has.
func (transfer *snapshotTransfer) currentPlacements() []Placement {
	var placements []Placement
	transfer.placements.Ascend(transfer.nextPlacement, func(placement Placement) bool {
		placements = append(placements, placement)
		return len(placements) < MaxPartPlacements
	})
	return placements
}

// advance goes on to the next part.
func (transfer *snapshotTransfer) advance() {
	visited := 0
	transfer.placements.Ascend(transfer.nextPlacement, func(placement Placement) bool {
		transfer.nextPlacement = placement
		visited++
		return visited <= MaxPartPlacements
	})
	transfer.receivedParts++
}
