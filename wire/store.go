package wire

import "github.com/mailru/easyjson"

// KeyValue is a key of the key-value store, its value, and the revision of its last change.
// LeaseID is that of the lease it is attached to, 0 if none.
type KeyValue struct {
	Key     string              `json:"path"`
	Value   easyjson.RawMessage `json:"data"`
	Version uint64              `json:"stamp"`
	LeaseID uint64              `json:"tenure,omitempty"`
}

// KeyPage is one page of the keys with a prefix, as of a revision.
type KeyPage struct {
	KeyValues []KeyValue `json:"pairs"`
	HasMore   bool       `json:"hasNext"`
	Revision  uint64     `json:"ledger"`
}

// Condition requires that a key has a version, the revision of its last change; 0: that it does
// not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes one key: either PutKey or DeleteKey is set. A put without LeaseID
// detaches the key from its lease.
type Change struct {
	PutKey    string              `json:"set,omitempty"`
	DeleteKey string              `json:"drop,omitempty"`
	Value     easyjson.RawMessage `json:"data,omitempty"`
	LeaseID   uint64              `json:"tenure,omitempty"`
}

// Transaction makes all changes if all conditions hold, and none otherwise (PROTOCOL,
// POST /txn). Without changes it only compares.
type Transaction struct {
	Conditions []Condition `json:"if,omitempty"`
	Changes    []Change    `json:"apply,omitempty"`
}

// TransactionResult is the response to a transaction. FailedKeys are the keys whose
// conditions did not hold; it is empty if the changes were made.
type TransactionResult struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"`
}

// LeaseRequest asks for a lease, of 100 ms to 600 s (PROTOCOL, POST /grants).
type LeaseRequest struct {
	TTLMillis int64 `json:"ttlMs"`
}

// LeaseGrant is the response to a LeaseRequest.
type LeaseGrant struct {
	LeaseID uint64 `json:"tenure"`
}

// WatchEvent is one change in the response to a watch, a put or a deletion.
type WatchEvent struct {
	PutKey    string              `json:"set,omitempty"`
	DeleteKey string              `json:"drop,omitempty"`
	Value     easyjson.RawMessage `json:"data,omitempty"`
	Version   uint64              `json:"stamp"`
}

// WatchResponse is the response to a watch: all changes after the revision that was asked for, up to
// Revision (PROTOCOL, GET /watch).
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}
