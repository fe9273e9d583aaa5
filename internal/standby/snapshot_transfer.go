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

// nextPart returns the part of a snapshot that a follower needs next. It begins a new snapshot if
// the log no longer reaches back to the one being sent.
func (publisher *Publisher) nextPart(follower *followerState) *SnapshotPart {
	transfer, position := follower.transfer, follower.position
	isUsable := transfer != nil && transfer.sequence >= publisher.sequenceBeforeLog()
	isInProgress := isUsable && position.SnapshotSequence == transfer.sequence
	switch {
	case isInProgress && position.SnapshotParts == transfer.receivedParts+1:
		transfer.advance()
	case isInProgress && position.SnapshotParts == transfer.receivedParts:
		// The last message or its answer was lost, so the same part is sent again.
	case isUsable && transfer.receivedParts == 0 && position.SnapshotParts == 0:
		// No part of this snapshot has arrived yet, so the first part is sent again.
	default:
		transfer = publisher.newTransfer()
		follower.transfer = transfer
	}
	return &SnapshotPart{
		Sequence: transfer.sequence, Index: transfer.receivedParts, PartCount: transfer.partCount,
		Placements: transfer.currentPlacements(), Digest: transfer.digest,
	}
}

// newTransfer returns a transfer of a snapshot of the present table.
func (publisher *Publisher) newTransfer() *snapshotTransfer {
	placements := publisher.table.copyPlacements()
	return &snapshotTransfer{
		sequence: publisher.lastSequence, digest: publisher.table.Digest(), placements: placements,
		partCount: max((placements.Len()+MaxPartPlacements-1)/MaxPartPlacements, 1),
	}
}

// currentPlacements returns the placements of the first part that the follower does not have.
func (transfer *snapshotTransfer) currentPlacements() []Placement {
	var placements []Placement
	transfer.placements.Ascend(transfer.nextPlacement, func(placement Placement) bool {
		placements = append(placements, placement)
		return len(placements) < MaxPartPlacements
	})
	return placements
}

// advance moves on to the next part.
func (transfer *snapshotTransfer) advance() {
	visited := 0
	transfer.placements.Ascend(transfer.nextPlacement, func(placement Placement) bool {
		transfer.nextPlacement = placement
		visited++
		return visited <= MaxPartPlacements
	})
	transfer.receivedParts++
}
