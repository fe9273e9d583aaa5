// Package kvstore owns the dealings with the state service: reads and watches
// that prove how fresh they are, group commit of writes, and leases. It keeps
// within this process's share of the service's two rates. It decides nothing;
// results go to the callers' functions, on goroutines of this package.
package kvstore

import (
	"sync"
	"sync/atomic"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
)

// Limits are the service's, as the settings give them.
type Limits struct {
	RPS, WriteRPS     float64
	MaxTransactionOps int
}


// Client talks to the state service.
type Client struct {
	host          *client.Host
	limits        Limits
	lockKey       string
	requestBudget *client.TokenBucket
	writeBudget   *client.TokenBucket

	mu                 sync.Mutex
	pending            []*Write
	activeSenders      int
	isRecheckScheduled bool // a look at the waiting writes is due
	// isRequiredTurn: the last transaction began with a binding write.
	isRequiredTurn bool

	// lastSuccessAt and lastFailureAt are instants of the steady clock.
	lastSuccessAt, lastFailureAt atomic.Int64
	// changesWritten counts the changes that were carried out.
	changesWritten atomic.Int64
	// MalformedResponses counts answers that made no sense.
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
	maxSenders     = 3
	requestTimeout = 3 * clock.Second
	// A read's answer has no size limit of the service's; this is ours.
	maxResponseBytes = 4 << 20
	// minQueueCapacity is how many writes may wait here in any deployment; more than the
	// service takes in queueCapacitySeconds are refused at once.
	minQueueCapacity     = 2048
	queueCapacitySeconds = 4 // seconds
)

// New makes a client; lockKey is the key that fenced writes are bound to.
func New(dial client.Dialer, address string, limits Limits, lockKey string) *Client {
	return &Client{
		host: client.NewHost(dial, address, 6, maxResponseBytes), limits: limits, lockKey: lockKey,
		requestBudget: client.NewTokenBucket(limits.RPS/4, limits.RPS/4), writeBudget: client.NewTokenBucket(limits.WriteRPS/4, limits.WriteRPS/4),
	}
}

// SetRateShare sets which part of the service's rates this process may use.
func (store *Client) SetRateShare(share float64) {
	// A little is left for renewals, which do not wait in the queue.
	rate := share * store.limits.RPS * 0.95
	store.requestBudget.SetRate(rate, max(rate, 2))
	store.SetWriteRateShare(share)
}

// ChangesWritten is how many changes of this process were carried out so far.
func (store *Client) ChangesWritten() int64 { return store.changesWritten.Load() }

// SetWriteRateShare sets which part of the rate of changes this process may use.
func (store *Client) SetWriteRateShare(share float64) {
	rate := max(share*store.limits.WriteRPS, 1)
	store.writeBudget.SetRate(rate, max(rate, float64(min(store.limits.MaxTransactionOps, 4))))
}

// LastSuccessAt is when the service last answered a request as asked.
func (store *Client) LastSuccessAt() clock.Micros { return clock.Micros(store.lastSuccessAt.Load()) }

// LastFailureAt is when the service was last out of reach or refusing.
func (store *Client) LastFailureAt() clock.Micros { return clock.Micros(store.lastFailureAt.Load()) }

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

// IsFailing tells that the service has not answered this process for a while.
func (store *Client) IsFailing(now clock.Micros) bool {
	return store.LastFailureAt() > store.LastSuccessAt() && now-store.LastSuccessAt() > clock.Second
}
