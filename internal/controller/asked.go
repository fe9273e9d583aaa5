package controller

import (
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/wire"
)

// Workers that reach this member and not the leader are what has a leader hand over,
// and beats tell it of them. When the way between controllers is shut too, a leader
// that no worker reaches would hold its lock for as long as that lasts, while all
// leases run out: once for 78 s. So members that the leader does not hear tell it by
// way of the state service.

// asked is how many workers asked a member lately, and when it said so.
type asked struct {
	workers uint32
	at      clock.Micros
}

const (
	// askedEvery is how often a member says so, askedFor how long it counts.
	askedEvery = clock.Second
	askedFor   = 5 * clock.Second
	// askedLeast is from how many workers on it is worth a write.
	askedLeast = 3
)

// tellAsked says how many workers ask here, where the leader is not heard.
func (c *Core) tellAsked(now clock.Micros) {
	leader, _ := c.el.LockHolder()
	if c.lead != nil || leader == "" || leader == c.cfg.Member || len(c.workers) < askedLeast || now < c.nextAsked {
		return
	}
	if b := c.beats[leader]; b != nil && now-b.at < silentMember {
		return
	}
	v, err := askedRecord{Workers: uint32(len(c.workers)), At: int64(clock.WallTime())}.MarshalJSON()
	if err != nil {
		return
	}
	c.nextAsked = now + askedEvery
	// A write that is refused or late is made up for by the next.
	c.store.Commit(&kvstore.Write{
		Priority: kvstore.Critical,
		Changes:  []wire.Change{{PutKey: prefixAsked + c.cfg.Member, Value: v}},
		Deadline: now + askedEvery,
		Done:     func(kvstore.Outcome, uint64) {},
	})
}

// seenAsked takes what a member has said. It may be long ago.
func (c *Core) seenAsked(key string, r askedRecord) {
	now := clock.Now()
	age := max(clock.WallTime()-clock.Micros(r.At)-c.clockError(), 0)
	c.asked[strings.TrimPrefix(key, prefixAsked)] = asked{r.Workers, now - age}
}
