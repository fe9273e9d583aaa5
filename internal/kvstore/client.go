// Package kvstore is the client of the key-value store (PROTOCOL, "Controller nodes -> state service"): linearizable
// reads and watches, batched (group-commit) writes, and leases. It stays within this
// process's share of the store's request and write rates and decides nothing else.
// Writes are completed on goroutines of this package.
package kvstore

import (
	"sync"
	"sync/atomic"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
)

// Limits are the store's limits, as the platform's settings give them.
type Limits struct {
	// RPS is requests a second, WriteRPS changes (puts and deletes) a second, for all
	// controllers together.
	RPS, WriteRPS float64
	// MaxTransactionOps is how many changes one transaction may have.
	MaxTransactionOps int
}

// Client sends requests to the key-value store. Its methods may be called by any goroutine.
type Client struct {
	host          *client.Host
	limits        Limits
	lockKey       string // the leader lock, which fenced writes are bound to
	requestBudget *client.TokenBucket
	writeBudget   *client.TokenBucket

	// mu guards the queue of writes, down to isRequiredTurn.
	mu                 sync.Mutex
	pending            []*Write
	activeSenders      int  // goroutines in runSender, at most maxSenders
	isRecheckScheduled bool // recheckPending will run for deferred background writes
	// isRequiredTurn: the last transaction began with an interactive write, so a promoted
	// required write goes first in the next one.
	isRequiredTurn bool

	// lastSuccessAt and lastFailureAt are instants of the monotonic clock. Every goroutine
	// that sends a request writes them.
	lastSuccessAt, lastFailureAt atomic.Int64
	// changesWritten counts the changes committed; the senders write it.
	changesWritten atomic.Int64
	// MalformedResponses counts responses and records that could not be decoded. This
	// package's goroutines write it, and the controller for records.
	MalformedResponses atomic.Int64
}

// Statuses of the store's responses.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusConflict           = 409 // a condition of a transaction failed
	statusGone               = 410 // a watch begins at a compacted revision
	statusTooLarge           = 413 // given by package http1 to a response that is too large
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

const (
	maxConnections = 6
	maxSenders     = 3
	requestTimeout = 3 * clock.Second
	// maxResponseBytes bounds a response; the store itself sets no limit.
	maxResponseBytes = 4 << 20
	// minQueueCapacity is the smallest capacity of the queue, in writes; it grows to
	// queueCapacitySeconds of the write rate.
	minQueueCapacity     = 2048
	queueCapacitySeconds = 4
	// initialRateShare is this process's share of both rates until SetRateShare is called.
	initialRateShare = 0.25
	// queuedRequestShare is the part of this process's request rate that requests wait for;
	// the rest is for lease requests, which don't wait.
	queuedRequestShare = 0.95
	// minRequestBurst and minWriteBurst let a small share still send a few at once.
	minRequestBurst = 2
	minWriteBurst   = 4
)

// New makes a client of the store at an address. lockKey is the key whose version is the
// fencing token of writes.
func New(dial client.Dialer, address string, limits Limits, lockKey string) *Client {
	requestRate, writeRate := limits.RPS*initialRateShare, limits.WriteRPS*initialRateShare
	return &Client{
		host: client.NewHost(dial, address, maxConnections, maxResponseBytes), limits: limits, lockKey: lockKey,
		requestBudget: client.NewTokenBucket(requestRate, requestRate), writeBudget: client.NewTokenBucket(writeRate, writeRate),
	}
}

// SetRateShare sets which part, from 0 to 1, of the store's rates this process may use.
func (store *Client) SetRateShare(share float64) {
	rate := share * store.limits.RPS * queuedRequestShare
	store.requestBudget.SetRate(rate, max(rate, minRequestBurst))
	store.SetWriteRateShare(share)
}

// ChangesWritten is how many changes of this process have been committed.
func (store *Client) ChangesWritten() int64 { return store.changesWritten.Load() }

// SetWriteRateShare sets which part, from 0 to 1, of the write rate alone this process may use.
func (store *Client) SetWriteRateShare(share float64) {
	rate := max(share*store.limits.WriteRPS, 1)
	store.writeBudget.SetRate(rate, max(rate, float64(min(store.limits.MaxTransactionOps, minWriteBurst))))
}

// LastSuccessAt is when the last response other than 429 or 503 came; one with another
// error status counts too, since it shows that the store can be reached.
func (store *Client) LastSuccessAt() clock.Micros { return clock.Micros(store.lastSuccessAt.Load()) }

// LastFailureAt is when a request last had no response, or a 503.
func (store *Client) LastFailureAt() clock.Micros { return clock.Micros(store.lastFailureAt.Load()) }

// sendRequest sends one request and notes what the response tells of the store's state.
// A 429 means that this process has used more than its share: its budgets are drained.
func (store *Client) sendRequest(method, target string, body []byte, timeout clock.Micros) (int, []byte, error) {
	response, err := store.host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: timeout})
	if err != nil {
		store.lastFailureAt.Store(int64(clock.Now()))
		return 0, nil, err
	}
	switch response.Status {
	case statusServiceUnavailable:
		store.lastFailureAt.Store(int64(clock.Now()))
	case statusTooManyRequests:
		store.requestBudget.Drain()
		store.writeBudget.Drain()
	default:
		store.lastSuccessAt.Store(int64(clock.Now()))
	}
	return response.Status, response.Body, nil
}

// IsFailing reports that no request has succeeded for a second and that the latest failed.
func (store *Client) IsFailing(now clock.Micros) bool {
	return store.LastFailureAt() > store.LastSuccessAt() && now-store.LastSuccessAt() > clock.Second
}
