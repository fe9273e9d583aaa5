package election

// ActionKind is the kind of request that the caller has to send.
type ActionKind uint8

const (
	// GrantLease requests a new lease; HandleGrantResult takes the response.
	GrantLease ActionKind = iota + 1
	// AcquireLock creates the lock key with the lease, if the key is absent; HandleAcquireResult
	// takes the response.
	AcquireLock
	// RenewLease renews the lease; HandleRenewResult takes the response.
	RenewLease
	// RevokeLease ends the lease; no response is needed.
	RevokeLease
	// RefreshLock reads the lock key; ObserveLock takes the result.
	RefreshLock
)

// String returns the name of the kind for logs and test failures.
func (kind ActionKind) String() string {
	switch kind {
	case GrantLease:
		return "grant_lease"
	case AcquireLock:
		return "acquire_lock"
	case RenewLease:
		return "renew_lease"
	case RevokeLease:
		return "revoke_lease"
	case RefreshLock:
		return "refresh_lock"
	}
	return "unknown"
}

// Action is one request that the caller has to send.
type Action struct {
	// Kind is the kind of request.
	Kind ActionKind
	// LeaseID is the lease that the request concerns; it is 0 for GrantLease and RefreshLock.
	LeaseID uint64
}

// AcquireResult is the outcome of an attempt to create the lock.
type AcquireResult uint8

const (
	// AcquireSucceeded means that this member has the lock; the key's version is the fencing token.
	AcquireSucceeded AcquireResult = iota + 1
	// AcquireFailed means that another member has the lock or that the transaction can never be committed.
	AcquireFailed
	// AcquireUnknown means that the transaction may have been committed or may be committed later.
	AcquireUnknown
)

// String returns the name of the result for logs and test failures.
func (result AcquireResult) String() string {
	switch result {
	case AcquireSucceeded:
		return "succeeded"
	case AcquireFailed:
		return "failed"
	}
	return "unknown"
}

// RenewResult is the outcome of a renewal of the lease.
type RenewResult uint8

const (
	// RenewSucceeded means that the lease was renewed.
	RenewSucceeded RenewResult = iota + 1
	// RenewLeaseExpired means that the lease no longer exists, and neither does the lock.
	RenewLeaseExpired
	// RenewUnknown means that the lease may have been renewed.
	RenewUnknown
)

// String returns the name of the result for logs and test failures.
func (result RenewResult) String() string {
	switch result {
	case RenewSucceeded:
		return "succeeded"
	case RenewLeaseExpired:
		return "lease_expired"
	}
	return "unknown"
}
