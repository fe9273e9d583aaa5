package kvstore

import (
	"errors"
	"net/url"
	"strconv"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/wire"
)

// maxPageKeys is the number of keys that LoadPrefix asks for in one request.
const maxPageKeys = 1000

// LoadPrefix reads all keys with a prefix and passes them to visit page by page, since all of them
// may not fit into memory. Later pages may be of later revisions. LoadPrefix returns the revision of
// the first page: a watch from that revision shows every change that a page lacks.
func (store *Client) LoadPrefix(prefix string, visit func(items []wire.KeyValue)) (uint64, error) {
	var revision uint64
	after := ""
	for {
		page, err := store.ReadPage(prefix, after, maxPageKeys)
		if err != nil {
			return 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		visit(page.KeyValues)
		if !page.HasMore {
			return revision, nil
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
	}
}

// ReadPage reads up to limit keys with a prefix. If after is not empty, only keys after it are read.
func (store *Client) ReadPage(prefix, after string, limit int) (*wire.KeyPage, error) {
	target := "/kv?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		target += "&since=" + url.QueryEscape(after)
	}
	store.requestBudget.Wait(1)
	status, body, err := store.sendRequest("GET", target, nil, requestTimeout)
	if err != nil {
		return nil, err
	}
	if status != statusOK {
		return nil, &StatusError{status}
	}
	page := &wire.KeyPage{}
	if err := page.UnmarshalJSON(body); err != nil {
		return nil, store.countMalformed(err)
	}
	page.HasMore = page.HasMore && len(page.KeyValues) > 0
	return page, nil
}

// Watch waits up to timeout for changes of keys with a prefix after revision since. With timeout 0 it
// returns at once, and the response proves which revision is the latest.
func (store *Client) Watch(prefix string, since uint64, timeout clock.Micros) (*wire.WatchResponse, error) {
	store.requestBudget.Wait(1)
	target := "/watch?under=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(since, 10) +
		"&blockMs=" + strconv.FormatInt(int64(timeout/clock.Millisecond), 10)
	status, body, err := store.sendRequest("GET", target, nil, timeout+requestTimeout)
	if isTooLarge(err) {
		// The same watch would be too large each time. Pages of keys are bounded, so loading all
		// keys again works.
		return nil, ErrCompacted
	}
	if err != nil {
		return nil, err
	}
	switch status {
	case statusOK:
	case statusGone:
		return nil, ErrCompacted
	default:
		return nil, &StatusError{status}
	}
	response := &wire.WatchResponse{}
	if err := response.UnmarshalJSON(body); err != nil {
		return nil, store.countMalformed(err)
	}
	return response, nil
}

// isTooLarge reports whether err means that a response exceeded maxResponseBytes.
func isTooLarge(err error) bool {
	var malformed *http1.Error
	return errors.As(err, &malformed) && malformed.Status == statusTooLarge
}

// Get reads one key. It returns ErrNotFound if the key does not exist.
func (store *Client) Get(key string) (*wire.KeyValue, error) {
	store.requestBudget.Wait(1)
	status, body, err := store.sendRequest("GET", "/kv/"+key, nil, requestTimeout)
	if err != nil {
		return nil, err
	}
	if status == statusNotFound {
		return nil, ErrNotFound
	}
	if status != statusOK {
		return nil, &StatusError{status}
	}
	item := &wire.KeyValue{}
	if err := item.UnmarshalJSON(body); err != nil {
		return nil, store.countMalformed(err)
	}
	return item, nil
}

var errConflictWithoutKeys = errors.New("a 409 response to a transaction lists no failed keys")

// FindExisting finds out which keys exist with one compare-only transaction, instead of one request
// per key. An empty result means that none of the keys exists. Otherwise the result lists keys that
// exist; the keys that it does not list may exist or not. FindExisting accepts at most
// conditionsPerOp * Limits.MaxTransactionOps keys.
func (store *Client) FindExisting(keys []string) ([]string, error) {
	transaction := wire.Transaction{}
	for _, key := range keys {
		transaction.Conditions = append(transaction.Conditions, wire.Condition{Key: key})
	}
	body, err := transaction.MarshalJSON()
	if err != nil {
		return nil, err
	}
	store.requestBudget.Wait(1)
	status, responseBody, err := store.sendRequest("POST", "/txn", body, requestTimeout)
	if err != nil {
		return nil, err
	}
	var result wire.TransactionResult
	switch status {
	case statusOK:
		return nil, nil
	case statusConflict:
		if err := result.UnmarshalJSON(responseBody); err != nil {
			return nil, store.countMalformed(err)
		}
		if len(result.FailedKeys) == 0 {
			return nil, store.countMalformed(errConflictWithoutKeys)
		}
		return result.FailedKeys, nil
	}
	return nil, &StatusError{status}
}
