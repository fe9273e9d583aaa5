// Package kvstore is the client of the key-value store (PROTOCOL, "Controller nodes -> state
// service"): linearizable reads and watches, batched writes (group commit), and leases. It keeps
// within this process's share of the store's request and write rates; its callers decide what to
// read and write. Reads and lease requests block the caller. Results of writes are passed to
// Write.Done on goroutines of this package.
package kvstore

import (
	"sync"
	"sync/atomic"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
)

// Limits are the store's limits, as given in the platform's settings.
type Limits struct {
	// RPS is the limit of requests per second, and WriteRPS the limit of changes (puts and deletes)
	// per second. Both are for all controllers together.
	RPS, WriteRPS float64
	// MaxTransactionOps is the number of changes that one transaction may have.
	MaxTransactionOps int
}

// Client sends requests to the key-value store. Its methods may be called from any goroutine.
type Client struct {
	host          *client.Host
	limits        Limits
	lockKey       string // key of the leader lock; fenced writes are conditional on its version
	requestBudget *client.TokenBucket
	writeBudget   *client.TokenBucket

	// mu guards the fields from pending to isPromotedNext, which form the queue of writes.
	mu                 sync.Mutex
	pending            []*Write
	activeSenders      int  // goroutines in runSender, at most maxSenders; each ends when it may send no write
	isRecheckScheduled bool // whether recheckPending is due to run for deferred background writes
	// isPromotedNext is whether a promoted required write goes first in the next transaction,
	// because the last transaction began with an interactive write.
	isPromotedNext bool

	// lastSuccessAt and lastFailureAt are instants of the monotonic clock. Every goroutine that
	// sends a request writes them.
	lastSuccessAt, lastFailureAt atomic.Int64
	// changesWritten counts the committed changes. The senders write it.
	changesWritten atomic.Int64
	// MalformedResponses counts responses and records that could not be decoded. This package's
	// goroutines count responses, and the controller counts records.
	MalformedResponses atomic.Int64
}

// Statuses of the store's responses.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusConflict           = 409 // a condition of a transaction failed
	statusGone               = 410 // a watch begins at a compacted revision
	statusTooLarge           = 413 // the status that package http1 gives to a response that is too large
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

const (
	maxIdleConnections = 6
	maxSenders         = 3
	requestTimeout     = 3 * clock.Second
	// maxResponseBytes bounds a response; the store itself sets no limit.
	maxResponseBytes = 4 << 20
	// The queue holds as many writes as the store's whole write rate allows changes in
	// queueCapacitySeconds, and at least minQueueCapacity. Commit refuses further writes.
	minQueueCapacity     = 2048
	queueCapacitySeconds = 4
	// initialRateShare is this process's share of both rates until SetRateShare is called.
	initialRateShare = 0.25
	// throttledRequestShare is the part of this process's request rate that throttled requests get.
	// The rest is headroom for lease requests, which do not wait for the rate.
	throttledRequestShare = 0.95
	// minRequestBurst and minWriteBurst let a process with a small share still send a few requests
	// or changes at once. The write burst is smaller if MaxTransactionOps is.
	minRequestBurst = 2
	minWriteBurst   = 4
)

// New returns a client of the store at address. lockKey is the key of the leader lock: a write with a
// fencing token is executed only if the token is the version of that key.
func New(dial client.Dialer, address string, limits Limits, lockKey string) *Client {
	requestRate, writeRate := limits.RPS*initialRateShare, limits.WriteRPS*initialRateShare
	return &Client{
		host: client.NewHost(dial, address, maxIdleConnections, maxResponseBytes), limits: limits, lockKey: lockKey,
		requestBudget: client.NewTokenBucket(requestRate, requestRate), writeBudget: client.NewTokenBucket(writeRate, writeRate),
	}
}

// SetRateShare sets the share, from 0 to 1, of the store's request and write rates that this process
// may use. The write rate is at least one change per second.
func (store *Client) SetRateShare(share float64) {
	rate := share * store.limits.RPS * throttledRequestShare
	store.requestBudget.SetRate(rate, max(rate, minRequestBurst))
	store.SetWriteRateShare(share)
}

// ChangesWritten returns how many changes this process has committed.
func (store *Client) ChangesWritten() int64 { return store.changesWritten.Load() }

// SetWriteRateShare sets the share, from 0 to 1, of the store's write rate that this process may use,
// at least one change per second. It leaves the request rate as it is.
func (store *Client) SetWriteRateShare(share float64) {
	rate := max(share*store.limits.WriteRPS, 1)
	store.writeBudget.SetRate(rate, max(rate, float64(min(store.limits.MaxTransactionOps, minWriteBurst))))
}

// LastSuccessAt returns when the last response with a status other than 429 or 503 arrived. Other
// error statuses count as well, since they show that the store can be reached.
func (store *Client) LastSuccessAt() clock.Micros { return clock.Micros(store.lastSuccessAt.Load()) }

// LastFailureAt returns when a request last got no response or a 503.
func (store *Client) LastFailureAt() clock.Micros { return clock.Micros(store.lastFailureAt.Load()) }

// sendRequest sends one request and records whether the store could be reached. A 429 means that the
// store has counted more requests or changes, by this process or others, than the budgets here
// allowed for, so sendRequest drains both budgets. A 429 counts neither as a success nor as a failure
// of the store.
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

// IsFailing reports whether a request has failed since the last success and that success is more
// than a second ago.
func (store *Client) IsFailing(now clock.Micros) bool {
	return store.LastFailureAt() > store.LastSuccessAt() && now-store.LastSuccessAt() > clock.Second
}
