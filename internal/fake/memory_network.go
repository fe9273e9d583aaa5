package fake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// MemoryNetwork is a network in memory, for tests in simulated time. Hosts are identified by name, and
// links between them can be partitioned. A partition drops no data: the data waits until the partition
// heals and is then delivered, even if the sender has given up meanwhile.
type MemoryNetwork struct {
	mu           sync.Mutex
	latency      time.Duration                // delay of each chunk of data between any two hosts
	extraLatency map[string]time.Duration     // additional latency of data to and from a host, by host
	listeners    map[string]*memoryListener   // by address
	connections  map[string]map[net.Conn]bool // open connections, by host
	partitions   map[string]LinkMatcher       // by the name of the partition
	lastPort     int
}

// LinkMatcher reports whether a partition includes the link between two hosts. The result must not depend
// on the order of the hosts.
type LinkMatcher func(a, b string) bool

// LinkBetween returns a LinkMatcher for the link between two hosts, in both directions.
func LinkBetween(a, b string) LinkMatcher {
	return func(source, destination string) bool {
		return source == a && destination == b || source == b && destination == a
	}
}

// NewMemoryNetwork returns a network without hosts.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{
		latency: time.Millisecond, extraLatency: map[string]time.Duration{},
		listeners: map[string]*memoryListener{}, connections: map[string]map[net.Conn]bool{}, partitions: map[string]LinkMatcher{},
	}
}

// Partition begins a partition under a name and replaces any other partition of that name.
func (network *MemoryNetwork) Partition(name string, links LinkMatcher) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.partitions[name] = links
}

// Heal ends the partition that was begun under a name.
func (network *MemoryNetwork) Heal(name string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(network.partitions, name)
}

// HealAll ends every partition.
func (network *MemoryNetwork) HealAll() {
	network.mu.Lock()
	defer network.mu.Unlock()
	clear(network.partitions)
}

// SetExtraLatency delays each chunk of data to and from a host by an additional duration.
func (network *MemoryNetwork) SetExtraLatency(host string, extra time.Duration) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.extraLatency[host] = extra
}

func (network *MemoryNetwork) latencyBetween(source, destination string) time.Duration {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.latency + network.extraLatency[source] + network.extraLatency[destination]
}

func (network *MemoryNetwork) isPartitioned(source, destination string) bool {
	network.mu.Lock()
	defer network.mu.Unlock()
	for _, links := range network.partitions {
		if links(source, destination) {
			return true
		}
	}
	return false
}

// memoryAddr is a net.Addr in the form "host:port".
type memoryAddr string

// Network returns the name of the network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address in the form "host:port".
func (addr memoryAddr) String() string { return string(addr) }

// memoryListener is a net.Listener on a host of a MemoryNetwork.
type memoryListener struct {
	network  *MemoryNetwork
	host     string
	addr     memoryAddr
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

// Listen opens a listener on a host, at a port that no other call of Listen returns.
func (network *MemoryNetwork) Listen(host string) (net.Listener, error) {
	network.mu.Lock()
	network.lastPort++
	port := network.lastPort
	network.mu.Unlock()
	return network.ListenAt(host, port)
}

// ListenAt opens a listener on a host at a port and replaces any listener at that address.
func (network *MemoryNetwork) ListenAt(host string, port int) (net.Listener, error) {
	network.mu.Lock()
	defer network.mu.Unlock()
	listener := &memoryListener{
		network: network, host: host, addr: memoryAddr(fmt.Sprintf("%s:%d", host, port)),
		incoming: make(chan net.Conn), done: make(chan struct{}),
	}
	network.listeners[listener.addr.String()] = listener
	return listener, nil
}

// CloseConnections closes every connection of a host, as the exit of the host's process does.
func (network *MemoryNetwork) CloseConnections(host string) {
	network.mu.Lock()
	connections := network.connections[host]
	delete(network.connections, host)
	network.mu.Unlock()
	for connection := range connections {
		connection.Close()
	}
}

// trackConnection adds an open connection to those of a host.
func (network *MemoryNetwork) trackConnection(host string, connection net.Conn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.connections[host] == nil {
		network.connections[host] = map[net.Conn]bool{}
	}
	network.connections[host][connection] = true
}

// untrackConnection removes a closed connection from those of a host.
func (network *MemoryNetwork) untrackConnection(host string, connection net.Conn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(network.connections[host], connection)
}

// Accept waits for the next connection. After Close it returns net.ErrClosed.
func (listener *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.incoming:
		return connection, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. A listener that has replaced it at the same address stays open.
func (listener *memoryListener) Close() error {
	listener.once.Do(func() {
		close(listener.done)
		listener.network.mu.Lock()
		defer listener.network.mu.Unlock()
		if listener.network.listeners[listener.addr.String()] == listener {
			delete(listener.network.listeners, listener.addr.String())
		}
	})
	return nil
}

// Addr returns the address that hosts dial.
func (listener *memoryListener) Addr() net.Addr { return listener.addr }

var errConnectionRefused = errors.New("fake: connection refused")

// partitionPollInterval is how often dials and data that a partition delays check whether the partition
// has healed.
const partitionPollInterval = 20 * time.Millisecond

// Dial connects a host to an address. While the link is partitioned, Dial waits. If the partition has not
// healed within the timeout, Dial returns os.ErrDeadlineExceeded.
func (network *MemoryNetwork) Dial(host, address string, timeout time.Duration) (net.Conn, error) {
	network.mu.Lock()
	listener := network.listeners[address]
	network.mu.Unlock()
	if listener == nil {
		time.Sleep(network.latencyBetween(host, host))
		return nil, errConnectionRefused
	}
	time.Sleep(network.latencyBetween(host, listener.host))
	for waited := time.Duration(0); network.isPartitioned(host, listener.host); waited += partitionPollInterval {
		if waited >= timeout {
			return nil, os.ErrDeadlineExceeded
		}
		time.Sleep(partitionPollInterval)
	}
	clientConn, clientPipe := net.Pipe()
	serverPipe, serverConn := net.Pipe()
	network.trackConnection(host, clientConn)
	network.trackConnection(listener.host, serverConn)
	go func() {
		network.forward(host, listener.host, clientPipe, serverPipe)
		network.untrackConnection(host, clientConn)
	}()
	go func() {
		network.forward(host, listener.host, serverPipe, clientPipe)
		network.untrackConnection(listener.host, serverConn)
	}()
	select {
	case listener.incoming <- &memoryConn{Conn: serverConn, remote: memoryAddr(host + ":0")}:
		return clientConn, nil
	case <-listener.done:
		clientConn.Close()
		serverConn.Close()
		return nil, errConnectionRefused
	}
}

// forward copies data in one direction until either end closes. It delays each chunk by the latency of the
// link, and holds it back while the link is partitioned.
func (network *MemoryNetwork) forward(source, destination string, reader io.ReadCloser, writer io.WriteCloser) {
	defer reader.Close()
	defer writer.Close()
	buffer := make([]byte, 64<<10)
	for {
		size, err := reader.Read(buffer)
		if size > 0 {
			time.Sleep(network.latencyBetween(source, destination))
			for network.isPartitioned(source, destination) {
				time.Sleep(partitionPollInterval)
			}
			if _, writeErr := writer.Write(buffer[:size]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// memoryConn is the accepting side of a connection. Its remote address names the host that dialled.
type memoryConn struct {
	net.Conn
	remote memoryAddr
}

// RemoteAddr returns the address of the host that dialled.
func (conn *memoryConn) RemoteAddr() net.Addr { return conn.remote }

// HostOf returns the host of a remote address in the form "host:port", or "" if the address has another
// form.
func HostOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	return host
}
