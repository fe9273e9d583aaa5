package standby

// snapshotAssembly is a snapshot of which the follower has received only some parts so far.
type snapshotAssembly struct {
	sequence      uint64
	digest        uint64
	receivedParts int
	partCount     int
	table         *Table
}

// applyPart takes a part of a snapshot. The last part makes the replica complete.
func (replica *Replica) applyPart(part *SnapshotPart) {
	switch {
	case replica.isComplete && part.Sequence <= replica.lastSequence:
		return // the replica already has this snapshot's decisions
	case part.Sequence < replica.acknowledgedSequence:
		replica.dropped.OutOfOrder++ // see acknowledgedSequence
		return
	}
	if part.Index == 0 {
		replica.startAssembly(part)
	}
	assembly := replica.assembly
	switch {
	case assembly == nil || !assembly.isSnapshotOf(part) || part.Index > assembly.receivedParts:
		replica.dropped.OutOfOrder++
	case part.Index < assembly.receivedParts:
		// The part was received before.
	default:
		assembly.appendPart(part)
		if assembly.receivedParts == assembly.partCount {
			replica.finishAssembly()
		}
	}
}

// startAssembly begins to assemble the snapshot that the part belongs to, unless it has done so already.
func (replica *Replica) startAssembly(part *SnapshotPart) {
	if replica.assembly != nil && replica.assembly.sequence == part.Sequence {
		return
	}
	replica.assembly = &snapshotAssembly{
		sequence: part.Sequence, digest: part.Digest, partCount: part.PartCount, table: NewTable(),
	}
}

// finishAssembly makes the assembled snapshot the replica's table. If its digest differs from the
// leader's, it discards the replica instead.
func (replica *Replica) finishAssembly() {
	assembly := replica.assembly
	replica.assembly = nil
	if assembly.table.Digest() != assembly.digest {
		replica.dropped.DigestMismatch++
		replica.reset()
		return
	}
	replica.table, replica.lastSequence, replica.isComplete = assembly.table, assembly.sequence, true
}

// isSnapshotOf reports whether the part belongs to the snapshot that is being assembled.
func (assembly *snapshotAssembly) isSnapshotOf(part *SnapshotPart) bool {
	return assembly.sequence == part.Sequence && assembly.partCount == part.PartCount
}

// appendPart adds the placements of the next part.
func (assembly *snapshotAssembly) appendPart(part *SnapshotPart) {
	for _, placement := range part.Placements {
		assembly.table.add(placement)
	}
	assembly.receivedParts++
}
