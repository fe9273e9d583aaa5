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
	// ErrTrouble: the cloud's interface is down or throttled; nothing was done.
	ErrTrouble = errors.New("cloud: not served")
	// ErrBad: the request itself was refused.
	ErrBad = errors.New("cloud: bad request")
)

// Client talks to the cloud.
type Client struct {
	host   *client.Host
	budget *client.Budget
	rps    float64
}

const (
	timeout   = 8 * clock.Second
	maxAnswer = 1 << 20
)

// New makes a client for the cloud at addr, which allows rps requests a second.
func New(dial client.Dialer, addr string, rps float64) *Client {
	return &Client{host: client.NewHost(dial, addr, 4, maxAnswer), budget: client.NewBudget(rps/4, 2), rps: rps}
}

// SetShare sets which part of the cloud's rate this process may use.
func (c *Client) SetShare(f float64) {
	r := c.rps * f
	c.budget.SetRate(r, max(2*r, 1))
}

func (c *Client) call(method, target string, body []byte, until func() clock.Micros) ([]byte, error) {
	c.budget.Wait(1)
	m, err := c.host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: timeout, Until: until})
	if err != nil {
		return nil, err
	}
	switch m.Status {
	case 200:
		return m.Body, nil
	case 429:
		c.budget.Drain()
		return nil, ErrTrouble
	case 503:
		var e wire.ErrorBody
		if err := e.UnmarshalJSON(m.Body); err == nil && e.Error == "no capacity" {
			return nil, ErrNoCapacity
		}
		return nil, ErrTrouble
	case 400:
		return nil, ErrBad
	}
	return nil, fmt.Errorf("cloud: status %d", m.Status)
}

// Types asks what is on offer.
func (c *Client) Types() ([]wire.MachineType, error) {
	b, err := c.call("GET", "/flavors", nil, nil)
	if err != nil {
		return nil, err
	}
	var t wire.MachineTypes
	if err := t.UnmarshalJSON(b); err != nil {
		return nil, err
	}
	for _, k := range t.Types {
		if k.Name == "" || !(k.CPUs > 0) || !(k.MemoryGB > 0) || k.GPUs < 0 || k.Price < 0 || k.SpotPrice < 0 {
			return nil, fmt.Errorf("cloud: machine type %q makes no sense", k.Name)
		}
	}
	return t.Types, nil
}

// Hire rents machines; until tells the last instant at which it may be sent.
func (c *Client) Hire(h wire.Hire, until func() clock.Micros) ([]string, error) {
	body, err := h.MarshalJSON()
	if err != nil {
		return nil, err
	}
	b, err := c.call("POST", "/hosts", body, until)
	if err != nil {
		return nil, err
	}
	var m wire.Machines
	if err := m.UnmarshalJSON(b); err != nil {
		return nil, err
	}
	return m.Machines, nil
}

// Delete returns machines. Once it returns nil they are gone.
func (c *Client) Delete(names []string, until func() clock.Micros) error {
	body, err := wire.Machines{Machines: names}.MarshalJSON()
	if err != nil {
		return err
	}
	_, err = c.call("POST", "/hosts/delete", body, until)
	return err
}

// List reads the whole list of machines, page by page.
func (c *Client) List() ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		target := "/hosts?limit=" + strconv.Itoa(wire.MaxList)
		if after != "" {
			target += "&since=" + url.QueryEscape(after)
		}
		b, err := c.call("GET", target, nil, nil)
		if err != nil {
			return nil, err
		}
		var l wire.MachineList
		if err := l.UnmarshalJSON(b); err != nil {
			return nil, err
		}
		all = append(all, l.Machines...)
		if !l.More || len(l.Machines) == 0 {
			return all, nil
		}
		after = l.Machines[len(l.Machines)-1].ID
	}
}
