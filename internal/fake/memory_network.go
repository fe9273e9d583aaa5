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

// MemoryNetwork is a network in memory, for tests in simulated time: hosts by name, links
// that can be cut. A cut holds what was sent and delivers it once it is over, even
// if the sender has given up meanwhile.
type MemoryNetwork struct {
	mu           sync.Mutex
	latency      time.Duration            // of each piece of data
	extraLatency map[string]time.Duration // more than that, to and from a host
	listeners    map[string]*memoryListener
	connections  map[string]map[net.Conn]bool // open ones, by host
	partitions   map[string]LinkMatcher       // by name
	lastPort     int
}

// LinkMatcher tells whether something holds between two hosts, in either order.
type LinkMatcher func(a, b string) bool

// LinkBetween is a pair of hosts.
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

// Partition begins a cut under a name, in place of any other of that name.
func (network *MemoryNetwork) Partition(name string, links LinkMatcher) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.partitions[name] = links
}

// Heal ends the cut of a name.
func (network *MemoryNetwork) Heal(name string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(network.partitions, name)
}

// HealAll ends every cut.
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

// memoryAddr is an address; its text is "host:port".
type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

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

// CloseConnections closes every connection of a host, as its end would.
func (network *MemoryNetwork) CloseConnections(host string) {
	network.mu.Lock()
	connections := network.connections[host]
	delete(network.connections, host)
	network.mu.Unlock()
	for connection := range connections {
		connection.Close()
	}
}

// trackConnection notes an open connection of a host.
func (network *MemoryNetwork) trackConnection(host string, connection net.Conn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.connections[host] == nil {
		network.connections[host] = map[net.Conn]bool{}
	}
	network.connections[host][connection] = true
}

// untrackConnection notes that a connection of a host is not open any more.
func (network *MemoryNetwork) untrackConnection(host string, connection net.Conn) {
	network.mu.Lock()
	defer network.mu.Unlock()
	delete(network.connections[host], connection)
}

func (listener *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.incoming:
		return connection, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

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

func (listener *memoryListener) Addr() net.Addr { return listener.addr }

var errConnectionRefused = errors.New("standin: connection refused")

// partitionPollInterval is how often what a cut holds back looks whether it is over.
const partitionPollInterval = 20 * time.Millisecond

// Dial connects a host to an address. In a cut it hangs until its time is over.
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

// memoryConn tells the accepting side who has dialled.
type memoryConn struct {
	net.Conn
	remote memoryAddr
}

func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

// HostOf is the host behind the remote address of a connection in memory.
func HostOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	return host
}
