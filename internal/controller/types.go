package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// fetchTypes learns what the cloud has on offer; prices move, so it is asked
// again now and then.
func (c *Core) fetchTypes(now clock.Micros) {
	wait := 2 * clock.Second
	if len(c.types) > 0 {
		if c.lead == nil {
			return
		}
		wait = 60 * clock.Second
	}
	if c.typesBusy || c.typesAt != 0 && now-c.typesAt < wait {
		return
	}
	c.typesBusy, c.typesAt = true, now
	go func() {
		types, err := c.cloud.MachineTypes()
		c.post(func() {
			c.typesBusy = false
			if err != nil {
				c.log.Debug("machine types not learnt", "error", err)
				return
			}
			c.setTypes(types)
			if c.lead != nil {
				c.lead.saveTypes()
			}
		})
	}()
}

func (c *Core) setTypes(types []wire.MachineType) {
	c.types = types
	if c.lead != nil {
		c.lead.pl.SetMachineTypes(types)
	}
}
