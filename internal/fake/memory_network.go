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

// MemoryNetwork is a network in memory, for tests in simulated time: hosts by name, and links
// that can be partitioned. A partition delays data until it heals, and delivers it then even if
// the sender has given up meanwhile; it drops nothing.
type MemoryNetwork struct {
	mu           sync.Mutex
	latency      time.Duration            // of each piece of data
	extraLatency map[string]time.Duration // added to it, to and from a host
	listeners    map[string]*memoryListener
	connections  map[string]map[net.Conn]bool // open ones, by host
	partitions   map[string]LinkMatcher       // by name
	lastPort     int
}

// LinkMatcher reports whether the link between two hosts is meant. It must not depend on their order.
type LinkMatcher func(a, b string) bool

// LinkBetween matches the link of a pair of hosts, in both directions.
func LinkBetween(a, b string) LinkMatcher {
	return func(source, destination string) bool {
		return source == a && destination == b || source == b && destination == a
	}
}

// NewMemoryNetwork makes a network without hosts.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{
		latency: time.Millisecond, extraLatency: map[string]time.Duration{},
		listeners: map[string]*memoryListener{}, connections: map[string]map[net.Conn]bool{}, partitions: map[string]LinkMatcher{},
	}
}

// Partition begins a partition of a name, in place of any other of that name.
func (network *MemoryNetwork) Partition(name string, links LinkMatcher) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.partitions[name] = links
}

// Heal ends the partition of a name.
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

// SetExtraLatency has each piece of data to and from a host take that much longer.
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

// memoryAddr is a net.Addr of the form "host:port".
type memoryAddr string

// Network is the name of the network.
func (memoryAddr) Network() string { return "memory" }

// String is the address, "host:port".
func (addr memoryAddr) String() string { return string(addr) }

// memoryListener is a net.Listener of a host.
type memoryListener struct {
	network  *MemoryNetwork
	host     string
	addr     memoryAddr
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

// Listen opens a listener of a host at a new address.
func (network *MemoryNetwork) Listen(host string) (net.Listener, error) {
	network.mu.Lock()
	network.lastPort++
	port := network.lastPort
	network.mu.Unlock()
	return network.ListenAt(host, port)
}

// ListenAt opens a listener of a host at a port, in place of any that is there.
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

// CloseConnections closes every connection of a host, as the end of its process would.
func (network *MemoryNetwork) CloseConnections(host string) {
	network.mu.Lock()
	connections := network.connections[host]
	delete(network.connections, host)
	network.mu.Unlock()
	for connection := range connections {
		connection.Close()
	}
}

// trackConnection records an open connection of a host.
func (network *MemoryNetwork) trackConnection(host string, connection net.Conn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.connections[host] == nil {
		network.connections[host] = map[net.Conn]bool{}
	}
	network.connections[host][connection] = true
}

// untrackConnection records that a connection of a host has closed.
func (network *MemoryNetwork) untrackConnection(host string, connection net.Conn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(network.connections[host], connection)
}

// Accept waits for the next connection; it returns net.ErrClosed after Close.
func (listener *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.incoming:
		return connection, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; another one at the same address stays.
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

// Addr is the address that hosts dial.
func (listener *memoryListener) Addr() net.Addr { return listener.addr }

var errConnectionRefused = errors.New("fake: connection refused")

// partitionPollInterval is how often data and dials that a partition delays look whether it has
// healed.
const partitionPollInterval = 20 * time.Millisecond

// Dial connects a host to an address. In a partition it hangs until that heals, or the timeout.
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

// forward carries data one way until either end closes.
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

// memoryConn is the accepting side of a connection; its remote address names the host that dialled.
type memoryConn struct {
	net.Conn
	remote memoryAddr
}

// RemoteAddr is the address of the host that dialled.
func (conn *memoryConn) RemoteAddr() net.Addr { return conn.remote }

// HostOf is the host of a remote address, "host:port"; empty if it is not one.
func HostOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	return host
}
