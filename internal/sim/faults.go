package sim

import (
	"slices"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// cut begins or ends a cut of a name.
func (c *Cluster) cut(on bool, name string, cut fake.Between) {
	if on {
		c.Network.Cut(name, cut)
	} else {
		c.Network.Heal(name)
	}
}

// CutFromState begins or ends a cut between a controller and the state service.
func (c *Cluster) CutFromState(name string, on bool) {
	c.cut(on, "state of "+name, fake.Hosts(name, fake.StateHost))
}

// CutFromPeers begins or ends a cut between a controller and all others.
func (c *Cluster) CutFromPeers(name string, on bool) {
	c.cut(on, "peers of "+name, func(a, b string) bool {
		return a != b && (a == name || b == name) && c.isController(a) && c.isController(b)
	})
}

// CutFromWorkers begins or ends a cut between a controller and all machines.
func (c *Cluster) CutFromWorkers(name string, on bool) {
	c.cut(on, "workers of "+name, func(a, b string) bool {
		return a == name && c.Cloud.ZoneOf(b) != "" || b == name && c.Cloud.ZoneOf(a) != ""
	})
}

// CutZone begins or ends a cut between a zone's hosts and everything outside of it.
func (c *Cluster) CutZone(zone string, on bool) {
	c.cut(on, "zone "+zone, func(a, b string) bool {
		return (c.zoneOf(a) == zone) != (c.zoneOf(b) == zone)
	})
}

func (c *Cluster) isController(host string) bool {
	for _, n := range c.nodes {
		if n.name == host {
			return true
		}
	}
	return false
}

// zoneOf is the zone of a controller or machine; the region's services have none.
func (c *Cluster) zoneOf(host string) string {
	for _, n := range c.nodes {
		if n.name == host {
			return n.cfg.Location
		}
	}
	return c.Cloud.ZoneOf(host)
}

// DeliverCopies hands copies of reports to every controller; what they answer
// reaches nobody.
func (c *Cluster) DeliverCopies(reports [][]byte) {
	for _, n := range c.nodes {
		app := c.life(n)
		if app == nil {
			continue
		}
		for _, body := range reports {
			report := &wire.Heartbeat{}
			if err := report.UnmarshalJSON(body); err != nil {
				c.t.Fatal(err)
			}
			app.HandleHeartbeat(report, server.NewReply(func(int, []byte, int) {}))
		}
	}
}

// Restart ends a controller's life and begins another one a while later.
func (c *Cluster) Restart(name string, after time.Duration) {
	c.Crash(name)
	time.Sleep(after)
	c.Start(name)
}

// after is the controller that a worker tries after another.
func (c *Cluster) after(name string) string {
	nodes := c.Nodes()
	return nodes[(slices.Index(nodes, name)+1)%len(nodes)]
}
