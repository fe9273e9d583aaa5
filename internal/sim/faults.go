package sim

import (
	"slices"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// PartitionFromStore partitions a controller from the store, until ReconnectToStore is called.
func (cluster *Cluster) PartitionFromStore(name string) {
	cluster.Network.Partition("store of "+name, fake.LinkBetween(name, fake.StoreHost))
}

// ReconnectToStore ends the partition that PartitionFromStore began.
func (cluster *Cluster) ReconnectToStore(name string) { cluster.Network.Heal("store of " + name) }

// PartitionFromPeers partitions a controller from all others, until ReconnectToPeers is called.
func (cluster *Cluster) PartitionFromPeers(name string) {
	cluster.Network.Partition("peers of "+name, func(a, b string) bool {
		return a != b && (a == name || b == name) && cluster.isController(a) && cluster.isController(b)
	})
}

// ReconnectToPeers ends the partition that PartitionFromPeers began.
func (cluster *Cluster) ReconnectToPeers(name string) { cluster.Network.Heal("peers of " + name) }

// PartitionFromWorkers partitions a controller from all machines, until ReconnectToWorkers is called.
func (cluster *Cluster) PartitionFromWorkers(name string) {
	cluster.Network.Partition("workers of "+name, func(a, b string) bool {
		return a == name && cluster.isMachine(b) || b == name && cluster.isMachine(a)
	})
}

// ReconnectToWorkers ends the partition that PartitionFromWorkers began.
func (cluster *Cluster) ReconnectToWorkers(name string) { cluster.Network.Heal("workers of " + name) }

// PartitionZone partitions the controllers and machines of a zone from all other hosts, until
// ReconnectZone is called.
func (cluster *Cluster) PartitionZone(zone string) {
	cluster.Network.Partition("zone "+zone, func(a, b string) bool {
		return (cluster.zoneOf(a) == zone) != (cluster.zoneOf(b) == zone)
	})
}

// ReconnectZone ends the partition that PartitionZone began.
func (cluster *Cluster) ReconnectZone(zone string) { cluster.Network.Heal("zone " + zone) }

// SetFaultOnAllMachines sets the fault of every machine that exists now.
func (cluster *Cluster) SetFaultOnAllMachines(fault fake.MachineFault) {
	for _, machine := range cluster.Cloud.MachineNames() {
		cluster.Cloud.SetFault(machine, fault)
	}
}

// isMachine reports whether a host is a machine, or was one that is deleted now.
func (cluster *Cluster) isMachine(host string) bool { return cluster.Cloud.ZoneOf(host) != "" }

func (cluster *Cluster) isController(host string) bool {
	for _, member := range cluster.members {
		if member.name == host {
			return true
		}
	}
	return false
}

// zoneOf returns the zone of a controller or machine. The store and the cloud have none.
func (cluster *Cluster) zoneOf(host string) string {
	for _, member := range cluster.members {
		if member.name == host {
			return member.cfg.Location
		}
	}
	return cluster.Cloud.ZoneOf(host)
}

// ReplayHeartbeats delivers copies of workers' heartbeats to every running controller. The replies
// are discarded.
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

// nextMember returns the controller that follows name in the order in which workers try controllers.
func (cluster *Cluster) nextMember(name string) string {
	members := cluster.Members()
	return members[(slices.Index(members, name)+1)%len(members)]
}
