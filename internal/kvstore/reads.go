package kvstore

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/wire"
)

// mostKeys is how many keys one answer holds at most.
const mostKeys = 1000

// Load reads every key below a prefix, and hands over one page after another: all of them
// may be more than there is memory for. The revision is that of the first
// page; what changed since then has to be watched from there.
func (c *Client) Load(prefix string, each func(items []wire.Item)) (uint64, error) {
	var revision uint64
	after := ""
	for {
		page, err := c.Page(prefix, after, mostKeys)
		if err != nil {
			return 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		each(page.Items)
		if !page.More {
			return revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads so many keys below a prefix at most, after a key if that is not empty.
func (c *Client) Page(prefix, after string, limit int) (*wire.Page, error) {
	target := "/kv?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		target += "&since=" + url.QueryEscape(after)
	}
	c.reads.Wait(1)
	status, body, err := c.do("GET", target, nil, requestTimeout)
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	page := &wire.Page{}
	if err := page.UnmarshalJSON(body); err != nil {
		c.Dropped.Add(1)
		return nil, err
	}
	page.More = page.More && len(page.Items) > 0
	return page, nil
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

// Existing tells which of some keys exist, in one request, many times fewer than reading
// them one by one. None: all of them are known to be absent. Some: of those that are not
// listed nothing is known. No more than four times the limit of changes may be asked for.
func (c *Client) Existing(keys []string) ([]string, error) {
	t := wire.Txn{}
	for _, key := range keys {
		t.If = append(t.If, wire.Condition{Key: key})
	}
	body, err := t.MarshalJSON()
	if err != nil {
		return nil, err
	}
	c.reads.Wait(1)
	status, answer, err := c.do("POST", "/txn", body, requestTimeout)
	if err != nil {
		return nil, err
	}
	var r wire.TxnResult
	switch status {
	case 200:
		return nil, nil
	case 409:
		if err := r.UnmarshalJSON(answer); err != nil || len(r.Failed) == 0 {
			c.Dropped.Add(1)
			return nil, fmt.Errorf("%w: a conflict without keys", ErrRefused)
		}
		return r.Failed, nil
	}
	return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
}
