// Package cloud owns the dealings with the cloud's API: what is on offer,
// hires under unique names, lists and deletions, within this process's share
// of the cloud's rate. Its calls block; callers run them on goroutines.
package cloud

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Errors that callers tell apart.
var (
	// ErrNoCapacity: nothing was rented; the pool is empty.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrUnavailable: the cloud's interface is down or throttled; nothing was done.
	ErrUnavailable = errors.New("cloud: not served")
	// ErrInvalidRequest: the request itself was refused.
	ErrInvalidRequest = errors.New("cloud: bad request")
)

// Client talks to the cloud.
type Client struct {
	host              *client.Host
	bucket            *client.TokenBucket
	requestsPerSecond float64
}

const (
	requestTimeout  = 8 * clock.Second
	maxResponseBody = 1 << 20
)

// New makes a client for the cloud at addr, which allows rps requests a second.
func New(dial client.Dialer, address string, requestsPerSecond float64) *Client {
	return &Client{host: client.NewHost(dial, address, 4, maxResponseBody), bucket: client.NewTokenBucket(requestsPerSecond/4, 2), requestsPerSecond: requestsPerSecond}
}

// SetRateShare sets which part of the cloud's rate this process may use.
func (c *Client) SetRateShare(share float64) {
	rate := c.requestsPerSecond * share
	c.bucket.SetRate(rate, max(2*rate, 1))
}

func (c *Client) call(method, target string, body []byte, sendDeadline func() clock.Micros) ([]byte, error) {
	c.bucket.Wait(1)
	response, err := c.host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: requestTimeout, SendDeadline: sendDeadline})
	if err != nil {
		return nil, err
	}
	switch response.Status {
	case 200:
		return response.Body, nil
	case 429:
		c.bucket.Drain()
		return nil, ErrUnavailable
	case 503:
		var errorBody wire.ErrorResponse
		if err := errorBody.UnmarshalJSON(response.Body); err == nil && errorBody.Error == "no capacity" {
			return nil, ErrNoCapacity
		}
		return nil, ErrUnavailable
	case 400:
		return nil, ErrInvalidRequest
	}
	return nil, fmt.Errorf("cloud: status %d", response.Status)
}

// MachineTypes asks what is on offer.
func (c *Client) MachineTypes() ([]wire.MachineType, error) {
	responseBody, err := c.call("GET", "/flavors", nil, nil)
	if err != nil {
		return nil, err
	}
	var machineTypes wire.MachineTypeList
	if err := machineTypes.UnmarshalJSON(responseBody); err != nil {
		return nil, err
	}
	for _, machineType := range machineTypes.Types {
		if machineType.Name == "" || !(machineType.CPUs > 0) || !(machineType.MemoryGB > 0) || machineType.GPUs < 0 || machineType.OnDemandPrice < 0 || machineType.SpotPrice < 0 {
			return nil, fmt.Errorf("cloud: machine type %q makes no sense", machineType.Name)
		}
	}
	return machineTypes.Types, nil
}

// ScaleOut rents machines; until tells the last instant at which it may be sent.
func (c *Client) ScaleOut(request wire.ScaleOutRequest, sendDeadline func() clock.Micros) ([]string, error) {
	body, err := request.MarshalJSON()
	if err != nil {
		return nil, err
	}
	responseBody, err := c.call("POST", "/hosts", body, sendDeadline)
	if err != nil {
		return nil, err
	}
	var machines wire.MachineIDs
	if err := machines.UnmarshalJSON(responseBody); err != nil {
		return nil, err
	}
	return machines.IDs, nil
}

// DeleteMachines returns machines. Once it returns nil they are gone.
func (c *Client) DeleteMachines(names []string, sendDeadline func() clock.Micros) error {
	body, err := wire.MachineIDs{IDs: names}.MarshalJSON()
	if err != nil {
		return err
	}
	_, err = c.call("POST", "/hosts/delete", body, sendDeadline)
	return err
}

// ListMachines reads the whole list of machines, page by page.
func (c *Client) ListMachines() ([]wire.ListedMachine, error) {
	var machines []wire.ListedMachine
	lastID := ""
	for {
		target := "/hosts?limit=" + strconv.Itoa(wire.MaxMachinesPerPage)
		if lastID != "" {
			target += "&since=" + url.QueryEscape(lastID)
		}
		responseBody, err := c.call("GET", target, nil, nil)
		if err != nil {
			return nil, err
		}
		var page wire.MachineList
		if err := page.UnmarshalJSON(responseBody); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.HasMore || len(page.Machines) == 0 {
			return machines, nil
		}
		lastID = page.Machines[len(page.Machines)-1].ID
	}
}
