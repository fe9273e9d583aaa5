package wire

import "github.com/mailru/easyjson"

// KeyValue is a key of the key-value store with its value. Version is the revision of the key's last
// change. LeaseID is the lease that the key is attached to, or 0 if there is none.
type KeyValue struct {
	Key     string              `json:"path"`
	Value   easyjson.RawMessage `json:"data"`
	Version uint64              `json:"stamp"`
	LeaseID uint64              `json:"tenure,omitempty"`
}

// KeyPage is one page of the keys with a given prefix, as of Revision.
type KeyPage struct {
	KeyValues []KeyValue `json:"pairs"`
	HasMore   bool       `json:"hasNext"`
	Revision  uint64     `json:"ledger"`
}

// Condition requires that a key has a version, which is the revision of its last change. Version 0
// requires that the key does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes one key: either PutKey or DeleteKey is set. A put with a LeaseID of 0 detaches
// the key from its lease.
type Change struct {
	PutKey    string              `json:"set,omitempty"`
	DeleteKey string              `json:"drop,omitempty"`
	Value     easyjson.RawMessage `json:"data,omitempty"`
	LeaseID   uint64              `json:"tenure,omitempty"`
}

// Transaction makes all its changes if all its conditions hold, and none otherwise (PROTOCOL,
// POST /txn). A transaction without changes only checks its conditions.
type Transaction struct {
	Conditions []Condition `json:"if,omitempty"`
	Changes    []Change    `json:"apply,omitempty"`
}

// TransactionResult is the response to a transaction. FailedKeys lists the keys whose conditions did
// not hold. It is empty if the changes were made.
type TransactionResult struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"`
}

// LeaseRequest asks for a lease with a time to live of 100 ms to 600 s (PROTOCOL, POST /grants).
type LeaseRequest struct {
	TTLMillis int64 `json:"ttlMs"`
}

// LeaseGrant is the response to a LeaseRequest.
type LeaseGrant struct {
	LeaseID uint64 `json:"tenure"`
}

// WatchEvent is one change in the response to a watch. Either PutKey is set, for a put, or DeleteKey,
// for a deletion.
type WatchEvent struct {
	PutKey    string              `json:"set,omitempty"`
	DeleteKey string              `json:"drop,omitempty"`
	Value     easyjson.RawMessage `json:"data,omitempty"`
	Version   uint64              `json:"stamp"`
}

// WatchResponse is the response to a watch (PROTOCOL, GET /watch). It has all changes after the
// revision that was asked for, up to and including Revision.
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}
