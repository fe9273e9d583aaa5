package kvstore

import (
	"errors"
	"fmt"
)

// Errors of reads and lease requests. A request without a response fails with an error of package client.
var (
	// ErrCompacted means that a watch cannot return the changes since its revision: the store has
	// dropped some of them, or they exceed maxResponseBytes. The caller must load the keys again.
	ErrCompacted = errors.New("kvstore: the changes since the watch's revision are not available")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("kvstore: no such key or lease")
	// ErrRejected means that the store answered with an error status. The error is a *StatusError.
	ErrRejected = errors.New("kvstore: request rejected")
	// ErrMalformed means that a response could not be decoded or lacks a required part.
	ErrMalformed = errors.New("kvstore: malformed response")
)

// StatusError reports a response with an unexpected status. It matches ErrRejected.
type StatusError struct{ Status int }

// Error implements error.
func (statusError *StatusError) Error() string {
	return fmt.Sprintf("%v: status %d", ErrRejected, statusError.Status)
}

// Is makes every StatusError match ErrRejected.
func (statusError *StatusError) Is(target error) bool { return target == ErrRejected }

// countMalformed counts a malformed response and returns an ErrMalformed that wraps reason.
func (store *Client) countMalformed(reason error) error {
	store.MalformedResponses.Add(1)
	return fmt.Errorf("%w: %w", ErrMalformed, reason)
}
