// Package kvstore is the client of the key-value store (PROTOCOL, "Controller nodes -> state
// service"): linearizable reads and watches, batched (group-commit) writes, and leases. It keeps
// within this process's share of the store's request and write rates; what is read and written
// is decided by its callers. Reads and lease requests block the caller. Results of writes are
// passed to Write.Done on goroutines of this package.
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
	activeSenders      int  // goroutines in runSender, at most maxSenders; they end when nothing may be sent
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
	maxIdleConnections = 6
	maxSenders         = 3
	requestTimeout     = 3 * clock.Second
	// maxResponseBytes bounds a response; the store itself sets no limit.
	maxResponseBytes = 4 << 20
	// The queue holds as many writes as the store's whole write rate takes in
	// queueCapacitySeconds, and at least minQueueCapacity; Commit refuses further ones.
	minQueueCapacity     = 2048
	queueCapacitySeconds = 4
	// initialRateShare is this process's share of both rates until SetRateShare is called.
	initialRateShare = 0.25
	// throttledRequestShare is the part of this process's request rate that requests wait for;
	// the rest is for lease requests, which don't wait.
	throttledRequestShare = 0.95
	// minRequestBurst and minWriteBurst let a process with a small share still send a few
	// requests or changes at once; the latter is less if MaxTransactionOps is.
	minRequestBurst = 2
	minWriteBurst   = 4
)

// New makes a client of the store at an address. lockKey is the key of the leader lock: a write
// with a fencing token is made only if that is the lock key's version.
func New(dial client.Dialer, address string, limits Limits, lockKey string) *Client {
	requestRate, writeRate := limits.RPS*initialRateShare, limits.WriteRPS*initialRateShare
	return &Client{
		host: client.NewHost(dial, address, maxIdleConnections, maxResponseBytes), limits: limits, lockKey: lockKey,
		requestBudget: client.NewTokenBucket(requestRate, requestRate), writeBudget: client.NewTokenBucket(writeRate, writeRate),
	}
}

// SetRateShare sets which part, from 0 to 1, of the store's request and write rates this process
// may use. The write rate is at least one change a second.
func (store *Client) SetRateShare(share float64) {
	rate := share * store.limits.RPS * throttledRequestShare
	store.requestBudget.SetRate(rate, max(rate, minRequestBurst))
	store.SetWriteRateShare(share)
}

// ChangesWritten is how many changes of this process have been committed.
func (store *Client) ChangesWritten() int64 { return store.changesWritten.Load() }

// SetWriteRateShare sets which part, from 0 to 1, of the store's write rate this process may use,
// at least one change a second, and leaves the request rate as it is.
func (store *Client) SetWriteRateShare(share float64) {
	rate := max(share*store.limits.WriteRPS, 1)
	store.writeBudget.SetRate(rate, max(rate, float64(min(store.limits.MaxTransactionOps, minWriteBurst))))
}

// LastSuccessAt is when the last response other than 429 or 503 came; one with another
// error status counts too, since it shows that the store can be reached.
func (store *Client) LastSuccessAt() clock.Micros { return clock.Micros(store.lastSuccessAt.Load()) }

// LastFailureAt is when a request last had no response, or a 503.
func (store *Client) LastFailureAt() clock.Micros { return clock.Micros(store.lastFailureAt.Load()) }

// sendRequest sends one request and records whether the store can be reached. A 429 means that
// the store counts more requests or changes than the budgets here assumed, of this process or of
// others: both budgets are drained. It shows neither a success nor a failure of the store.
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

// IsFailing reports that a request has failed since the last success, which is more than a second
// ago.
func (store *Client) IsFailing(now clock.Micros) bool {
	return store.LastFailureAt() > store.LastSuccessAt() && now-store.LastSuccessAt() > clock.Second
}
