package wire

import "github.com/mailru/easyjson"

// KeyValue is a key of the state service.
type KeyValue struct {
	Key     string              `json:"path"`
	Value   easyjson.RawMessage `json:"data"`
	Version uint64              `json:"stamp"`
	LeaseID uint64              `json:"tenure,omitempty"`
}

// KeyPage is a range read.
type KeyPage struct {
	KeyValues []KeyValue `json:"pairs"`
	HasMore   bool       `json:"hasNext"`
	Revision  uint64     `json:"ledger"`
}

// Condition asks that a key has a version; 0: that it does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes one key.
type Change struct {
	PutKey    string              `json:"set,omitempty"`
	DeleteKey string              `json:"drop,omitempty"`
	Value     easyjson.RawMessage `json:"data,omitempty"`
	LeaseID   uint64              `json:"tenure,omitempty"`
}

// Transaction is an atomic transaction.
type Transaction struct {
	Conditions []Condition `json:"if,omitempty"`
	Changes    []Change    `json:"apply,omitempty"`
}

// TransactionResult answers a transaction, carried out or not.
type TransactionResult struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttlMs"`
}

// LeaseGrant is a lease.
type LeaseGrant struct {
	LeaseID uint64 `json:"tenure"`
}

// WatchEvent is one change in a watch's answer.
type WatchEvent struct {
	PutKey    string              `json:"set,omitempty"`
	DeleteKey string              `json:"drop,omitempty"`
	Value     easyjson.RawMessage `json:"data,omitempty"`
	Version   uint64              `json:"stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}
