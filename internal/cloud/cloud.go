// Package cloud is the client of the cloud's API (PROTOCOL, "Controller nodes -> cloud"). It gets the
// machine types, requests machines under unique request IDs, lists machines and deletes them. It
// limits its request rate to this process's share. Its calls block, so callers make them on
// goroutines of their own.
package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Errors that callers distinguish.
var (
	// ErrNoCapacity reports that the cloud has no capacity for the requested machines and created none.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrUnavailable reports that the cloud's API has an outage or that its request rate is exceeded.
	// The cloud has not carried out the request.
	ErrUnavailable = errors.New("cloud: unavailable or request rate exceeded")
	// ErrInvalidRequest reports that the cloud rejected the request as malformed.
	ErrInvalidRequest = errors.New("cloud: request rejected as malformed")
)

// StatusError is the error for a response whose status PROTOCOL does not define.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("cloud: unexpected response status %d", e.Status)
}

const (
	requestTimeout     = 8 * clock.Second
	maxResponseBytes   = 1 << 20
	maxIdleConnections = 4
	// initialRateShare is this process's share of the cloud's rate until the first call of SetRateShare.
	initialRateShare = 0.25
	// initialBurst is how many requests may be sent at once until the first call of SetRateShare.
	initialBurst = 2
	// burstSeconds defines the burst that the cloud accepts: as many requests as the full rate allows in
	// this number of seconds.
	burstSeconds = 2
	// noCapacityErrorText is the error text in a 503 response that means ErrNoCapacity. A 503 response
	// with any other text means ErrUnavailable.
	noCapacityErrorText = "no capacity"
)

// Client calls the cloud's API.
type Client struct {
	host   *client.Host
	bucket *client.TokenBucket
	// requestsPerSecond is the rate that the cloud allows all controllers together.
	requestsPerSecond float64
}

// New returns a client of the cloud at an address. requestsPerSecond is the rate that the cloud allows
// all controllers together.
func New(dial client.Dialer, address string, requestsPerSecond float64) *Client {
	return &Client{
		host:              client.NewHost(dial, address, maxIdleConnections, maxResponseBytes),
		bucket:            client.NewTokenBucket(requestsPerSecond*initialRateShare, initialBurst),
		requestsPerSecond: requestsPerSecond,
	}
}

// SetRateShare sets the share, from 0 to 1, of the cloud's request rate that this process may use.
func (c *Client) SetRateShare(share float64) {
	rate := c.requestsPerSecond * share
	c.bucket.SetRate(rate, max(burstSeconds*rate, 1))
}

// call waits until the rate allows a request, sends it, and returns the body of the response.
func (c *Client) call(request client.Request) ([]byte, error) {
	c.bucket.Wait(1)
	request.Timeout = requestTimeout
	response, err := c.host.Do(request)
	if err != nil {
		return nil, err
	}
	switch response.Status {
	case http.StatusOK:
		return response.Body, nil
	case http.StatusTooManyRequests:
		c.bucket.Drain()
		return nil, ErrUnavailable
	case http.StatusServiceUnavailable:
		var errorBody wire.ErrorResponse
		if err := errorBody.UnmarshalJSON(response.Body); err == nil && errorBody.Error == noCapacityErrorText {
			return nil, ErrNoCapacity
		}
		return nil, ErrUnavailable
	case http.StatusBadRequest:
		return nil, ErrInvalidRequest
	}
	return nil, &StatusError{response.Status}
}

// callAndDecode sends a request and decodes the body of the response into destination.
func (c *Client) callAndDecode(request client.Request, destination interface{ UnmarshalJSON([]byte) error }) error {
	body, err := c.call(request)
	if err != nil {
		return err
	}
	if err := destination.UnmarshalJSON(body); err != nil {
		return fmt.Errorf("cloud: decode response to %s %s: %w", request.Method, request.Target, err)
	}
	return nil
}

// MachineTypes returns the machine types that the cloud offers, with their current prices.
func (c *Client) MachineTypes() ([]wire.MachineType, error) {
	var list wire.MachineTypeList
	if err := c.callAndDecode(client.Request{Method: http.MethodGet, Target: "/flavors"}, &list); err != nil {
		return nil, err
	}
	for _, machineType := range list.Types {
		if !isPlausible(machineType) {
			return nil, fmt.Errorf("cloud: machine type %q has no name, an invalid size or a negative price", machineType.Name)
		}
	}
	return list.Types, nil
}

// isPlausible reports whether the scheduler can calculate with a machine type.
func isPlausible(machineType wire.MachineType) bool {
	hasSize := machineType.CPUs > 0 && machineType.MemoryGB > 0 && machineType.GPUs >= 0
	hasPrice := machineType.OnDemandPrice >= 0 && machineType.SpotPrice >= 0
	return machineType.Name != "" && hasSize && hasPrice
}

// ScaleOut requests machines, at most wire.MaxScaleOutCount, and returns the IDs of the machines that the
// cloud created. These may be fewer than requested. After an error the caller may repeat the same
// request: because of its RequestID, the cloud creates the machines only once. If sendDeadline is not
// nil, the request is not sent at or after the instant that sendDeadline returns.
func (c *Client) ScaleOut(request wire.ScaleOutRequest, sendDeadline func() clock.Micros) ([]string, error) {
	body, err := request.MarshalJSON()
	if err != nil {
		return nil, err
	}
	var machines wire.MachineIDs
	err = c.callAndDecode(client.Request{Method: http.MethodPost, Target: "/hosts", Body: body, SendDeadline: sendDeadline}, &machines)
	if err != nil {
		return nil, err
	}
	return machines.IDs, nil
}

// DeleteMachines deletes machines, at most wire.MaxMachinesPerDelete. The cloud ignores unknown IDs. If
// DeleteMachines returns nil, the machines and all tasks on them are gone. If sendDeadline is not nil,
// the request is not sent at or after the instant that sendDeadline returns.
func (c *Client) DeleteMachines(ids []string, sendDeadline func() clock.Micros) error {
	body, err := wire.MachineIDs{IDs: ids}.MarshalJSON()
	if err != nil {
		return err
	}
	_, err = c.call(client.Request{Method: http.MethodPost, Target: "/hosts/delete", Body: body, SendDeadline: sendDeadline})
	return err
}

// ListMachines reads the cloud's list of all machines page by page. The list lags behind the cloud's
// state, and a list may be older than the list read before it.
func (c *Client) ListMachines() ([]wire.ListedMachine, error) {
	var machines []wire.ListedMachine
	lastID := ""
	for {
		target := "/hosts?limit=" + strconv.Itoa(wire.MaxMachinesPerPage)
		if lastID != "" {
			target += "&since=" + url.QueryEscape(lastID)
		}
		var page wire.MachineList
		if err := c.callAndDecode(client.Request{Method: http.MethodGet, Target: target}, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.HasMore || len(page.Machines) == 0 {
			return machines, nil
		}
		lastID = page.Machines[len(page.Machines)-1].ID
	}
}
