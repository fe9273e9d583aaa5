package election

import "firwood.dev/firwood/internal/clock"

type fakeLease struct{ expiresAt clock.Micros }

// fakeStore simulates the key-value store with its leases and the lock key, as PROTOCOL describes them.
type fakeStore struct {
	now              clock.Micros
	leases           map[uint64]*fakeLease
	lastLeaseID      uint64
	revision         uint64
	lock             Lock
	isDown           bool
	isUnreachableFor map[int]bool
}

func (store *fakeStore) expireLeases() {
	for id, lease := range store.leases {
		if store.now >= lease.expiresAt {
			delete(store.leases, id)
			if store.lock.Exists && store.lock.LeaseID == id {
				store.revision++
				store.lock = Lock{}
			}
		}
	}
}

func (store *fakeStore) grantLease() uint64 {
	store.lastLeaseID++
	store.leases[store.lastLeaseID] = &fakeLease{store.now + testTTL}
	return store.lastLeaseID
}

func (store *fakeStore) acquireLock(member string, leaseID uint64) (AcquireResult, uint64) {
	if store.lock.Exists || store.leases[leaseID] == nil {
		return AcquireFailed, 0
	}
	store.revision++
	store.lock = Lock{Exists: true, Holder: member, LeaseID: leaseID, Version: store.revision}
	return AcquireSucceeded, store.revision
}

func (store *fakeStore) renewLease(leaseID uint64) RenewResult {
	lease := store.leases[leaseID]
	if lease == nil {
		return RenewLeaseExpired
	}
	lease.expiresAt = store.now + testTTL
	return RenewSucceeded
}

func (store *fakeStore) revokeLease(leaseID uint64) {
	if lease := store.leases[leaseID]; lease != nil {
		lease.expiresAt = store.now
		store.expireLeases()
	}
}

// endOutage makes the store available. All leases run for a full TTL after an outage.
func (store *fakeStore) endOutage() {
	if !store.isDown {
		return
	}
	store.isDown = false
	for _, lease := range store.leases {
		lease.expiresAt = store.now + testTTL
	}
}

// extendLeasesInOutage keeps leases from expiring while the store is down.
func (store *fakeStore) extendLeasesInOutage() {
	if !store.isDown {
		return
	}
	for _, lease := range store.leases {
		lease.expiresAt = max(lease.expiresAt, store.now+clock.Second)
	}
}
