package sim

import (
	"slices"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// setPartition begins or ends a cut of a name.
func (cluster *Cluster) setPartition(active bool, name string, links fake.LinkMatcher) {
	if active {
		cluster.Network.Partition(name, links)
	} else {
		cluster.Network.Heal(name)
	}
}

// PartitionFromStore begins or ends a cut between a controller and the state service.
func (cluster *Cluster) PartitionFromStore(name string, active bool) {
	cluster.setPartition(active, "state of "+name, fake.LinkBetween(name, fake.StoreHost))
}

// PartitionFromPeers begins or ends a cut between a controller and all others.
func (cluster *Cluster) PartitionFromPeers(name string, active bool) {
	cluster.setPartition(active, "peers of "+name, func(a, b string) bool {
		return a != b && (a == name || b == name) && cluster.isController(a) && cluster.isController(b)
	})
}

// PartitionFromWorkers begins or ends a cut between a controller and all machines.
func (cluster *Cluster) PartitionFromWorkers(name string, active bool) {
	cluster.setPartition(active, "workers of "+name, func(a, b string) bool {
		return a == name && cluster.Cloud.ZoneOf(b) != "" || b == name && cluster.Cloud.ZoneOf(a) != ""
	})
}

// PartitionZone begins or ends a cut between a zone's hosts and everything outside of it.
func (cluster *Cluster) PartitionZone(zone string, active bool) {
	cluster.setPartition(active, "zone "+zone, func(a, b string) bool {
		return (cluster.zoneOf(a) == zone) != (cluster.zoneOf(b) == zone)
	})
}

// SetFaultOnAllMachines sets the fault of every machine that there is now.
func (cluster *Cluster) SetFaultOnAllMachines(fault fake.MachineFault) {
	for _, machine := range cluster.Cloud.MachineNames() {
		cluster.Cloud.SetFault(machine, fault)
	}
}

func (cluster *Cluster) isController(host string) bool {
	for _, member := range cluster.members {
		if member.name == host {
			return true
		}
	}
	return false
}

// zoneOf is the zone of a controller or machine; the region's services have none.
func (cluster *Cluster) zoneOf(host string) string {
	for _, member := range cluster.members {
		if member.name == host {
			return member.cfg.Location
		}
	}
	return cluster.Cloud.ZoneOf(host)
}

// ReplayHeartbeats hands copies of reports to every controller; what they answer
// reaches nobody.
func (cluster *Cluster) ReplayHeartbeats(heartbeats [][]byte) {
	for _, member := range cluster.members {
		instance := cluster.runningInstance(member)
		if instance == nil {
			continue
		}
		for _, body := range heartbeats {
			heartbeat := &wire.Heartbeat{}
			if err := heartbeat.UnmarshalJSON(body); err != nil {
				cluster.t.Fatal(err)
			}
			instance.HandleHeartbeat(heartbeat, server.NewReply(func(int, []byte, int) {}))
		}
	}
}

// nextMember is the controller that a worker tries after another.
func (cluster *Cluster) nextMember(name string) string {
	nodes := cluster.Members()
	return nodes[(slices.Index(nodes, name)+1)%len(nodes)]
}
