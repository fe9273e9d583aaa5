package kvstore

import (
	"errors"
	"fmt"
)

// Errors of reads and leases; requests without a response give errors of package client.
var (
	// ErrCompacted means that the changes since the watch's revision can't be read: the store has
	// dropped some of them, or they exceed maxResponseBytes. The caller must load the keys again.
	ErrCompacted = errors.New("kvstore: the revision is too old to watch from")
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.New("kvstore: no such key or lease")
	// ErrRejected means that the store answered with an error status; see StatusError.
	ErrRejected = errors.New("kvstore: request rejected")
	// ErrMalformed means that a response could not be decoded or lacks what it must have.
	ErrMalformed = errors.New("kvstore: malformed response")
)

// StatusError is a response with an unexpected status. It is an ErrRejected.
type StatusError struct{ Status int }

// Error gives the status.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("%v: status %d", ErrRejected, statusError.Status)
}

// Is makes every StatusError an ErrRejected.
func (statusError *StatusError) Is(target error) bool { return target == ErrRejected }

// countMalformed counts a malformed response and gives the error for it.
func (store *Client) countMalformed(reason error) error {
	store.MalformedResponses.Add(1)
	return fmt.Errorf("%w: %w", ErrMalformed, reason)
}
