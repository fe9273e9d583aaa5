package kvstore

import (
	"errors"
	"strconv"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

var errGrantWithoutLease = errors.New("the response to a lease request has no lease ID")

// GrantLease creates a lease and returns its id. Lease requests count against the request rate but
// don't wait for it, so that a busy leader does not lose its lock. GrantLease does not wait for a
// response for longer than ttl, since the lease could have expired by then.
func (store *Client) GrantLease(ttl clock.Micros) (uint64, error) {
	store.requestBudget.Reserve(1)
	body, err := wire.LeaseRequest{TTLMillis: int64(ttl / clock.Millisecond)}.MarshalJSON()
	if err != nil {
		return 0, err
	}
	status, responseBody, err := store.sendRequest("POST", "/grants", body, min(ttl, requestTimeout))
	if err != nil {
		return 0, err
	}
	if status != statusOK {
		return 0, &StatusError{status}
	}
	var grant wire.LeaseGrant
	if err := grant.UnmarshalJSON(responseBody); err != nil {
		return 0, store.countMalformed(err)
	}
	if grant.LeaseID == 0 {
		return 0, store.countMalformed(errGrantWithoutLease)
	}
	return grant.LeaseID, nil
}

// RenewLease restarts a lease's TTL. It returns ErrNotFound if the lease has ended.
func (store *Client) RenewLease(lease uint64, timeout clock.Micros) error {
	store.requestBudget.Reserve(1)
	return store.sendLeaseRequest("POST", "/grants/"+strconv.FormatUint(lease, 10)+"/renew", timeout)
}

// RevokeLease ends a lease at once, which deletes the keys attached to it.
func (store *Client) RevokeLease(lease uint64) error {
	store.requestBudget.Reserve(1)
	return store.sendLeaseRequest("DELETE", "/grants/"+strconv.FormatUint(lease, 10), requestTimeout)
}

// sendLeaseRequest sends a request whose response has no relevant content but its status.
func (store *Client) sendLeaseRequest(method, target string, timeout clock.Micros) error {
	var body []byte
	if method == "POST" {
		body = []byte("{}")
	}
	status, _, err := store.sendRequest(method, target, body, timeout)
	switch {
	case err != nil:
		return err
	case status == statusNotFound:
		return ErrNotFound
	case status/100 != 2:
		return &StatusError{status}
	}
	return nil
}
