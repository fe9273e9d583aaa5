package wire

import "github.com/mailru/easyjson"

// Item is a key of the state service.
type Item struct {
	Key     string              `json:"path"`
	Value   easyjson.RawMessage `json:"data"`
	Version uint64              `json:"stamp"`
	Lease   uint64              `json:"tenure,omitempty"`
}

// Page is a range read.
type Page struct {
	Items    []Item `json:"pairs"`
	More     bool   `json:"hasNext"`
	Revision uint64 `json:"ledger"`
}

// Condition asks that a key has a version; 0: that it does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes one key.
type Change struct {
	Put    string              `json:"set,omitempty"`
	Delete string              `json:"drop,omitempty"`
	Value  easyjson.RawMessage `json:"data,omitempty"`
	Lease  uint64              `json:"tenure,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	If   []Condition `json:"if,omitempty"`
	Then []Change    `json:"apply,omitempty"`
}

// TxnResult answers a transaction, carried out or not.
type TxnResult struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed,omitempty"`
}

// Grant asks for a lease.
type Grant struct {
	TTLMs int64 `json:"ttlMs"`
}

// Granted is a lease.
type Granted struct {
	Lease uint64 `json:"tenure"`
}

// Event is one change in a watch's answer.
type Event struct {
	Put     string              `json:"set,omitempty"`
	Delete  string              `json:"drop,omitempty"`
	Value   easyjson.RawMessage `json:"data,omitempty"`
	Version uint64              `json:"stamp"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"log"`
}
