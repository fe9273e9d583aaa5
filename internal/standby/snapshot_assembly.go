package standby

// snapshotAssembly is a snapshot of which some parts are missing.
type snapshotAssembly struct {
	sequence      uint64
	digest        uint64
	receivedParts int
	partCount     int
	table         *Table
}

// applyPart takes the next part of a snapshot; the last one makes the replica complete.
func (replica *Replica) applyPart(part *SnapshotPart) {
	switch {
	case replica.isComplete && part.Sequence <= replica.lastSequence:
		return // a repetition
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
		// a repetition
	default:
		assembly.appendPart(part)
		if assembly.receivedParts == assembly.partCount {
			replica.finishAssembly()
		}
	}
}

// startAssembly begins the assembly of a snapshot with its first part, unless it has begun.
func (replica *Replica) startAssembly(part *SnapshotPart) {
	if replica.assembly != nil && replica.assembly.sequence == part.Sequence {
		return
	}
	replica.assembly = &snapshotAssembly{
		sequence: part.Sequence, digest: part.Digest, partCount: part.PartCount, table: NewTable(),
	}
}

// finishAssembly makes the assembled snapshot the replica's table, if the digest is right.
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

// includes reports whether a part belongs to the snapshot that is being assembled.
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
