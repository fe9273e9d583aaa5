package state

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/wire"
)

// Load reads every key below a prefix. The revision is that of the first
// page; what changed since then has to be watched from there.
func (c *Client) Load(prefix string) ([]wire.Item, uint64, error) {
	var items []wire.Item
	var rev uint64
	after := ""
	for page := 0; ; page++ {
		target := "/kv?under=" + url.QueryEscape(prefix) + "&limit=1000"
		if after != "" {
			target += "&since=" + url.QueryEscape(after)
		}
		c.reads.Wait(1)
		status, body, err := c.do("GET", target, nil, requestTimeout)
		if err != nil {
			return nil, 0, err
		}
		if status != 200 {
			return nil, 0, fmt.Errorf("%w: status %d", ErrRefused, status)
		}
		var p wire.Page
		if err := p.UnmarshalJSON(body); err != nil {
			c.Dropped.Add(1)
			return nil, 0, err
		}
		if page == 0 {
			rev = p.Revision
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return items, rev, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// Watch returns every change below the prefix after `since`; block 0 answers
// at once and so proves what the latest revision is.
func (c *Client) Watch(prefix string, since uint64, block clock.Micros) (*wire.Events, error) {
	c.reads.Wait(1)
	target := "/watch?under=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(since, 10) +
		"&blockMs=" + strconv.FormatInt(int64(block/clock.Millisecond), 10)
	status, body, err := c.do("GET", target, nil, block+requestTimeout)
	if isTooLarge(err) {
		// More has changed than is read at once: it never would be, however often it is
		// asked for. Pages of keys are bounded.
		return nil, ErrCompacted
	}
	if err != nil {
		return nil, err
	}
	switch status {
	case 200:
	case 410:
		return nil, ErrCompacted
	default:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	e := &wire.Events{}
	if err := e.UnmarshalJSON(body); err != nil {
		c.Dropped.Add(1)
		return nil, err
	}
	return e, nil
}

// isTooLarge tells that an answer was larger than is taken.
func isTooLarge(err error) bool {
	var malformed *http1.Error
	return errors.As(err, &malformed) && malformed.Status == 413
}

// Get reads one key with its lease.
func (c *Client) Get(key string) (*wire.Item, error) {
	c.reads.Wait(1)
	status, body, err := c.do("GET", "/kv/"+key, nil, requestTimeout)
	if err != nil {
		return nil, err
	}
	if status == 404 {
		return nil, ErrGone
	}
	if status != 200 {
		return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	it := &wire.Item{}
	if err := it.UnmarshalJSON(body); err != nil {
		c.Dropped.Add(1)
		return nil, err
	}
	return it, nil
}
