package controller

import (
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/wire"
)

// entitled tells whether this process may act for the controllers now.
func (c *Core) entitled() bool { return c.el.IsEntitled(clock.Now()) }

// Leads tells whether this process answers workers as leader; it may be called on
// any goroutine.
func (c *Core) Leads() bool { return c.leads.Load() }

// applyShares splits the outside services' rates: the leader gets half, the
// others share the rest.
func (c *Core) applyShares() {
	n := float64(len(c.cfg.Peers))
	switch {
	case n == 0:
		c.store.SetRateShare(1)
		c.cloud.SetRateShare(1)
	case c.el.Phase() == election.Leader:
		c.store.SetRateShare(leaderShare)
		c.shares.share = leaderShare
		c.cloud.SetRateShare(0.8)
	default:
		c.store.SetRateShare((1 - leaderShare) / n)
		c.cloud.SetRateShare(0.2 / n)
	}
}

// act carries out what the election asks for.
func (c *Core) act(actions []election.Action) {
	ttl := c.ttl()
	for _, a := range actions {
		switch a.Kind {
		case election.GrantLease:
			go func() {
				lease, err := c.store.GrantLease(ttl)
				if err != nil {
					c.log.Debug("no lease granted", "error", err)
				}
				c.post(func() { c.act(c.el.HandleGrantResult(clock.Now(), lease)) })
			}()
		case election.AcquireLock:
			c.acquireInTurn(a.LeaseID)
		case election.RenewLease:
			go func() {
				err := c.store.RenewLease(a.LeaseID, ttl/4)
				c.post(func() {
					c.act(c.el.HandleRenewResult(clock.Now(), a.LeaseID, err == nil, err == kvstore.ErrNotFound))
				})
			}()
		case election.RevokeLease:
			go func() {
				if err := c.store.RevokeLease(a.LeaseID); err != nil {
					c.log.Debug("lease not revoked", "lease", a.LeaseID, "error", err)
				} else {
					c.log.Debug("lease revoked", "lease", a.LeaseID)
				}
				// What it held is gone now; nobody else may have noticed.
				c.post(func() { c.view.wantSync(func(error) {}, clock.Now()+10*clock.Second) })
			}()
		case election.RefreshLock:
			c.view.wantSync(func(error) {}, clock.Now()+10*clock.Second)
		}
	}
}

func (c *Core) ttl() clock.Micros { return c.el.TTL() }

func (c *Core) acquire(lease uint64) {
	value, err := lockRecord{Member: c.cfg.Member, Lease: lease, Standby: c.replica != nil}.MarshalJSON()
	if err != nil {
		return
	}
	w := &kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: keyLock}},
		Changes:    []wire.Change{{PutKey: keyLock, Value: value, LeaseID: lease}},
		Deadline:   clock.Now() + c.ttl()/2,
	}
	w.Done = func(o kvstore.Outcome, rev uint64) {
		c.post(func() {
			r := election.AcquireUnknown
			switch o {
			case kvstore.Committed:
				r = election.AcquireSucceeded
			case kvstore.Conflict, kvstore.NotExecuted, kvstore.Fenced:
				r = election.AcquireFailed
			}
			c.act(c.el.HandleAcquireResult(clock.Now(), r, rev))
			c.checkLead()
		})
	}
	if !c.store.Commit(w) {
		c.act(c.el.HandleAcquireResult(clock.Now(), election.AcquireFailed, 0))
	}
}

// checkLead begins the take-over once the lock is ours.
func (c *Core) checkLead() {
	if c.el.Phase() != election.Leader || c.lead != nil || c.rebuilding {
		return
	}
	c.rebuilding = true
	c.takeOverTimes = takeOverTimes{heard: c.leaderHeard, won: clock.Now(), token: c.el.Token()}
	c.applyShares()
	_, _, lease := c.el.State()
	c.log.Info("lock won", "token", c.el.Token(), "lease", lease)
	c.takeOver()
}

// takeOver rebuilds the account from a view that is as new as the token.
func (c *Core) takeOver() {
	token := c.el.Token()
	asked := clock.Now()
	c.view.wantSync(func(err error) {
		switch {
		case c.el.Token() != token:
			c.rebuilding = false
			c.checkLead()
		case err != nil || c.view.rev < token || len(c.types) == 0:
			// Types come from the state service or the cloud; try again soon.
			time.AfterFunc(100*time.Millisecond, func() {
				c.post(func() {
					if c.el.Token() == token && c.rebuilding {
						c.takeOver()
					} else {
						c.rebuilding = false
						c.checkLead()
					}
				})
			})
		default:
			c.rebuilding = false
			c.lead = newLead(c, token, asked)
			c.nextBeat = 0
		}
	}, clock.Now()+2*clock.Second)
}

func (c *Core) stepDown(why string) {
	if c.lead == nil {
		return
	}
	c.log.Info("lead given up", "why", why, "token", c.lead.token)
	c.delegate.EndTerm(c.lead.lg.IssuedToken(), c.lead.knewAt)
	c.lead.close()
	c.lead = nil
	c.rebuilding = false
	c.applyShares()
	c.nextBeat = 0
}

// fenced takes the news that the lock is not ours any more.
func (c *Core) fenced(token uint64) {
	c.act(c.el.HandleFencedWrite(clock.Now(), token))
	if c.el.Phase() != election.Leader {
		c.stepDown("a write was fenced")
	}
}

// Close gives the lead away; a new leader need not wait for the lock to end.
func (c *Core) Close() {
	done := make(chan struct{})
	c.post(func() {
		for _, a := range c.el.StepDown(clock.Now(), 3600*clock.Second) {
			if a.Kind == election.RevokeLease {
				if err := c.store.RevokeLease(a.LeaseID); err != nil {
					c.log.Debug("lease not revoked", "error", err)
				}
			}
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(2 * time.Second):
	}
}
