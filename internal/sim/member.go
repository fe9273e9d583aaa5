package sim

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/controller"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// clusterMember is a controller, identified by its name across restarts.
type clusterMember struct {
	name string
	cfg  *config.Platform
	// instance is the running controller, or nil while the member is crashed. cancelRun and
	// stopServers stop it.
	instance    *controller.Controller
	cancelRun   context.CancelFunc
	stopServers []func()
}

// member returns the controller with a name.
func (cluster *Cluster) member(name string) *clusterMember {
	for _, member := range cluster.members {
		if member.name == name {
			return member
		}
	}
	cluster.t.Fatalf("no member %q", name)
	return nil
}

// Members returns the names of the controllers.
func (cluster *Cluster) Members() []string {
	var names []string
	for _, member := range cluster.members {
		names = append(names, member.name)
	}
	return names
}

// OtherMembers returns the names of all controllers except one.
func (cluster *Cluster) OtherMembers(name string) []string {
	var names []string
	for _, member := range cluster.members {
		if member.name != name {
			names = append(names, member.name)
		}
	}
	return names
}

// runningInstance returns the running controller of a member, or nil while the member is crashed.
func (cluster *Cluster) runningInstance(member *clusterMember) *controller.Controller {
	cluster.instancesMu.Lock()
	defer cluster.instancesMu.Unlock()
	return member.instance
}

// Leader returns the name of the first controller that considers itself the leader, or an empty
// string if there is none.
func (cluster *Cluster) Leader() string {
	for _, member := range cluster.members {
		if instance := cluster.runningInstance(member); instance != nil && instance.IsLeader() {
			return member.name
		}
	}
	return ""
}

// WaitForLeader waits until some controller is the leader, and returns its name.
func (cluster *Cluster) WaitForLeader(timeout time.Duration) (leader string) {
	cluster.t.Helper()
	cluster.WaitFor("some member is leader", timeout, func() bool {
		leader = cluster.Leader()
		return leader != ""
	})
	return leader
}

// WaitForNewLeader waits until a controller other than the previous leader is the leader, and
// returns its name.
func (cluster *Cluster) WaitForNewLeader(previous string, timeout time.Duration) (leader string) {
	cluster.t.Helper()
	cluster.WaitFor("another member than "+previous+" is leader", timeout, func() bool {
		leader = cluster.Leader()
		return leader != "" && leader != previous
	})
	return leader
}

// WaitForLeaderToBe waits until the controller with a name is the leader.
func (cluster *Cluster) WaitForLeaderToBe(name string, timeout time.Duration) {
	cluster.t.Helper()
	cluster.WaitFor(name+" is leader", timeout, func() bool { return cluster.Leader() == name })
}

// Start starts a controller unless it is running.
func (cluster *Cluster) Start(name string) {
	member := cluster.member(name)
	cluster.instancesMu.Lock()
	defer cluster.instancesMu.Unlock()
	if member.instance != nil {
		return
	}
	log := cluster.options.Logger
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	dial := func(address string, timeout time.Duration) (net.Conn, error) {
		return cluster.Network.Dial(name, address, timeout)
	}
	tuning := config.DefaultTuning()
	tuning.Standby.Enabled = cluster.options.Standby.isEnabledFor(name)
	tuning.FinishedJobs = cluster.options.FinishedJobs.CachedCount
	tuning.ArchiveFinishedAfterS = cluster.options.FinishedJobs.archiveDelayFor(name).Seconds()
	member.instance = controller.New(member.cfg, tuning, log.With("member", name), dial)
	ctx, cancel := context.WithCancel(context.Background())
	member.cancelRun = cancel
	go member.instance.Run(ctx)
	member.stopServers = []func(){cluster.serveHTTP(member), cluster.servePeers(member)}
}

// Crash stops a controller abruptly and closes its connections, unless it is already stopped.
func (cluster *Cluster) Crash(name string) {
	member := cluster.member(name)
	cluster.instancesMu.Lock()
	defer cluster.instancesMu.Unlock()
	if member.instance == nil {
		return
	}
	member.cancelRun()
	for _, stop := range member.stopServers {
		stop()
	}
	member.instance = nil
	cluster.Network.CloseConnections(name)
}

// Restart crashes a controller and starts it again after a delay.
func (cluster *Cluster) Restart(name string, delay time.Duration) {
	cluster.Crash(name)
	time.Sleep(delay)
	cluster.Start(name)
}

// serveHTTP receives the workers' heartbeats for a controller until stop is called.
func (cluster *Cluster) serveHTTP(member *clusterMember) (stop func()) {
	listener, err := cluster.Network.ListenAt(member.name, servePort)
	if err != nil {
		cluster.t.Fatal(err)
	}
	instance := member.instance
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		heartbeat := &wire.Heartbeat{}
		body := http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes)
		if err := decodeJSON(body, heartbeat); err != nil {
			w.WriteHeader(400)
			return
		}
		response := awaitResponse(func(reply *server.Reply) { instance.HandleHeartbeat(heartbeat, reply) }, 10*time.Second)
		w.WriteHeader(response.Status)
		w.Write(response.Body) //nolint:errcheck // the worker may be gone
	})}
	go httpServer.Serve(listener) //nolint:errcheck // ends with Close
	return func() { httpServer.Close() }
}

// servePeers receives the heartbeats of other controllers for a controller until stop is called.
func (cluster *Cluster) servePeers(member *clusterMember) (stop func()) {
	listener, err := cluster.Network.ListenAt(member.name, peerPort)
	if err != nil {
		cluster.t.Fatal(err)
	}
	instance := member.instance
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go readFrames(conn, instance)
		}
	}()
	return func() { listener.Close() }
}

// readFrames passes a peer's heartbeats to a controller until the connection closes or a frame is
// malformed.
func readFrames(conn net.Conn, instance *controller.Controller) {
	defer conn.Close()
	var frames peer.FrameReader
	buffer := make([]byte, 32<<10)
	for {
		size, err := conn.Read(buffer)
		if err != nil || frames.Feed(buffer[:size], instance.HandlePeerHeartbeat) != nil {
			return
		}
	}
}
