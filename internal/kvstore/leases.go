package kvstore

import (
	"fmt"
	"strconv"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Grant takes a lease; renewals and grants do not wait behind other work.
func (c *Client) Grant(ttl clock.Micros) (uint64, error) {
	c.reads.Reserve(1)
	body, err := wire.Grant{TTLMs: int64(ttl / clock.Millisecond)}.MarshalJSON()
	if err != nil {
		return 0, err
	}
	status, answer, err := c.do("POST", "/grants", body, min(ttl, requestTimeout))
	if err != nil {
		return 0, err
	}
	if status != 200 {
		return 0, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	var g wire.Granted
	if err := g.UnmarshalJSON(answer); err != nil || g.Lease == 0 {
		c.Dropped.Add(1)
		return 0, fmt.Errorf("state: grant without a lease: %w", err)
	}
	return g.Lease, nil
}

// Renew renews a lease.
func (c *Client) Renew(lease uint64, timeout clock.Micros) error {
	c.reads.Reserve(1)
	return c.leaseCall("POST", "/grants/"+strconv.FormatUint(lease, 10)+"/renew", timeout)
}

// Revoke ends a lease at once.
func (c *Client) Revoke(lease uint64) error {
	c.reads.Reserve(1)
	return c.leaseCall("DELETE", "/grants/"+strconv.FormatUint(lease, 10), requestTimeout)
}

func (c *Client) leaseCall(method, target string, timeout clock.Micros) error {
	var body []byte
	if method == "POST" {
		body = []byte("{}")
	}
	status, _, err := c.do(method, target, body, timeout)
	switch {
	case err != nil:
		return err
	case status == 404:
		return ErrGone
	case status/100 != 2:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return nil
}
