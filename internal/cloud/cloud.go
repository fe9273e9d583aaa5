// Package cloud is the client of the cloud's API (PROTOCOL, "Controller nodes -> cloud"): machine
// types, scale-out requests under unique names, lists and deletions, rate-limited to this
// process's share. Its calls block; callers run them on goroutines of their own.
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
	// ErrNoCapacity reports that the pool has no capacity; nothing was created.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrUnavailable reports that the cloud's API is in an outage or that the rate is exceeded; nothing
	// was done.
	ErrUnavailable = errors.New("cloud: not served")
	// ErrInvalidRequest reports that the cloud rejected the request as malformed.
	ErrInvalidRequest = errors.New("cloud: bad request")
)

// StatusError is a response with a status that the protocol doesn't have.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("cloud: status %d", e.Status) }

const (
	requestTimeout     = 8 * clock.Second
	maxResponseBytes   = 1 << 20 // bytes
	maxIdleConnections = 4       // connections
	// initialRateShare and initialBurst apply until the first SetRateShare.
	initialRateShare = 0.25
	initialBurst     = 2
	// burstSeconds is how many seconds' worth of requests the cloud accepts at once.
	burstSeconds = 2
	// noCapacityErrorText is the error text of a 503 that means ErrNoCapacity.
	noCapacityErrorText = "no capacity"
)

// Client calls the cloud's API.
type Client struct {
	host              *client.Host
	bucket            *client.TokenBucket
	requestsPerSecond float64 // that the cloud allows all controllers together
}

// New returns a client of the cloud at an address, which allows that many requests per second from
// all controllers together.
func New(dial client.Dialer, address string, requestsPerSecond float64) *Client {
	return &Client{
		host:              client.NewHost(dial, address, maxIdleConnections, maxResponseBytes),
		bucket:            client.NewTokenBucket(requestsPerSecond*initialRateShare, initialBurst),
		requestsPerSecond: requestsPerSecond,
	}
}

// SetRateShare sets the share, from 0 to 1, of the cloud's rate that this process may use.
func (c *Client) SetRateShare(share float64) {
	rate := c.requestsPerSecond * share
	c.bucket.SetRate(rate, max(burstSeconds*rate, 1))
}

// call sends a request when the rate allows it, and returns the body of the response.
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

// callAndDecode sends a request and decodes the body of the response.
func (c *Client) callAndDecode(request client.Request, destination interface{ UnmarshalJSON([]byte) error }) error {
	body, err := c.call(request)
	if err != nil {
		return err
	}
	if err := destination.UnmarshalJSON(body); err != nil {
		return fmt.Errorf("cloud: malformed response to %s %s: %w", request.Method, request.Target, err)
	}
	return nil
}

// MachineTypes returns the types of machines on offer, with their current prices.
func (c *Client) MachineTypes() ([]wire.MachineType, error) {
	var list wire.MachineTypeList
	if err := c.callAndDecode(client.Request{Method: http.MethodGet, Target: "/flavors"}, &list); err != nil {
		return nil, err
	}
	for _, machineType := range list.Types {
		if !isPlausible(machineType) {
			return nil, fmt.Errorf("cloud: machine type %q makes no sense", machineType.Name)
		}
	}
	return list.Types, nil
}

// isPlausible rejects types that the scheduler can't calculate with.
func isPlausible(machineType wire.MachineType) bool {
	hasSize := machineType.CPUs > 0 && machineType.MemoryGB > 0 && machineType.GPUs >= 0
	hasPrice := machineType.OnDemandPrice >= 0 && machineType.SpotPrice >= 0
	return machineType.Name != "" && hasSize && hasPrice
}

// ScaleOut requests machines, at most wire.MaxScaleOutCount, and returns the ids of those that were
// created, up to the requested count. The same request may be repeated after an error: its RequestID
// makes the cloud create the machines once. From sendDeadline on, if it is not nil, the request is
// not sent.
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

// DeleteMachines deletes machines, at most wire.MaxMachinesPerDelete; unknown ones are ignored. If it
// returns nil, they and all tasks on them are gone. From sendDeadline on, if it is not nil, the
// request is not sent.
func (c *Client) DeleteMachines(ids []string, sendDeadline func() clock.Micros) error {
	body, err := wire.MachineIDs{IDs: ids}.MarshalJSON()
	if err != nil {
		return err
	}
	_, err = c.call(client.Request{Method: http.MethodPost, Target: "/hosts/delete", Body: body, SendDeadline: sendDeadline})
	return err
}

// ListMachines returns the list of all machines, which it reads page by page. The cloud's lists lag
// behind, and a list may be older than the one before it.
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
