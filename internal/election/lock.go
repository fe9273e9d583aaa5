package election

// Lock is the lock key as last observed.
type Lock struct {
	// Exists tells whether somebody has the lock; the other fields are zero if not.
	Exists bool
	// Holder is the member that has created the key.
	Holder string
	// LeaseID is the lease that the key is attached to.
	LeaseID uint64
	// Version is the key's version: the fencing token of the holder.
	Version uint64
}

// observedLock is the lock as far as the member knows it.
type observedLock struct {
	Lock
	isKnown bool // the lock has been observed at all
}

// isFree reports whether the lock is known to have no holder.
func (observed observedLock) isFree() bool { return observed.isKnown && !observed.Exists }

// isHeld reports whether the lock is known to have a holder.
func (observed observedLock) isHeld() bool { return observed.isKnown && observed.Exists }
