package election

// Lock is the lock key as last observed.
type Lock struct {
	// Exists is true if any member has the lock; the other fields are zero if none has.
	Exists bool
	// Holder is the member that created the key.
	Holder string
	// LeaseID is the lease that the key is attached to.
	LeaseID uint64
	// Version is the key's version, which is the fencing token of the holder.
	Version uint64
}

// observedLock is the lock as last observed by this member.
type observedLock struct {
	Lock
	isKnown bool // whether the lock has been observed at all
}

// isFree reports whether the lock is known to have no holder.
func (observed observedLock) isFree() bool { return observed.isKnown && !observed.Exists }

// isHeld reports whether the lock is known to have a holder.
func (observed observedLock) isHeld() bool { return observed.isKnown && observed.Exists }
