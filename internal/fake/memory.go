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

// Memory is a network in memory, for tests in simulated time: hosts by name, links
// that can be cut. A cut holds what was sent and delivers it once it is over, even
// if the sender has given up meanwhile.
type Memory struct {
	mu        sync.Mutex
	latency   time.Duration            // of each piece of data
	slow      map[string]time.Duration // more than that, to and from a host
	listeners map[string]*memoryListener
	conns     map[string]map[net.Conn]bool // open ones, by host
	cuts      map[string]Between           // by name
	next      int
}

// Between tells whether something holds between two hosts, in either order.
type Between func(a, b string) bool

// Hosts is a pair of hosts.
func Hosts(a, b string) Between {
	return func(x, y string) bool { return x == a && y == b || x == b && y == a }
}

// NewMemory makes a network without hosts.
func NewMemory() *Memory {
	return &Memory{
		latency: time.Millisecond, slow: map[string]time.Duration{},
		listeners: map[string]*memoryListener{}, conns: map[string]map[net.Conn]bool{}, cuts: map[string]Between{},
	}
}

// Cut begins a cut under a name, in place of any other of that name.
func (n *Memory) Cut(name string, cut Between) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[name] = cut
}

// Heal ends the cut of a name.
func (n *Memory) Heal(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, name)
}

// HealAll ends every cut.
func (n *Memory) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// SetSlow has each piece of data to and from a host take that much longer.
func (n *Memory) SetSlow(host string, by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[host] = by
}

func (n *Memory) delay(a, b string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency + n.slow[a] + n.slow[b]
}

func (n *Memory) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cut := range n.cuts {
		if cut(a, b) {
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
	network *Memory
	host    string
	addr    memoryAddr
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Listen opens a listener of a host at a new address.
func (n *Memory) Listen(host string) (net.Listener, error) {
	n.mu.Lock()
	n.next++
	port := n.next
	n.mu.Unlock()
	return n.ListenAt(host, port)
}

// ListenAt opens a listener of a host at a port, in place of any that is there.
func (n *Memory) ListenAt(host string, port int) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{
		network: n, host: host, addr: memoryAddr(fmt.Sprintf("%s:%d", host, port)),
		accept: make(chan net.Conn), done: make(chan struct{}),
	}
	n.listeners[l.addr.String()] = l
	return l, nil
}

// Down closes every connection of a host, as its end would.
func (n *Memory) Down(host string) {
	n.mu.Lock()
	conns := n.conns[host]
	delete(n.conns, host)
	n.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}

// open notes an open connection of a host.
func (n *Memory) open(host string, c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[host] == nil {
		n.conns[host] = map[net.Conn]bool{}
	}
	n.conns[host][c] = true
}

// closed notes that a connection of a host is not open any more.
func (n *Memory) closed(host string, c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns[host], c)
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.addr.String()] == l {
			delete(l.network.listeners, l.addr.String())
		}
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l.addr }

var errRefused = errors.New("standin: connection refused")

// cutPoll is how often what a cut holds back looks whether it is over.
const cutPoll = 20 * time.Millisecond

// Dial connects a host to an address. In a cut it hangs until its time is over.
func (n *Memory) Dial(host, address string, timeout time.Duration) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		time.Sleep(n.delay(host, host))
		return nil, errRefused
	}
	time.Sleep(n.delay(host, l.host))
	for waited := time.Duration(0); n.isCut(host, l.host); waited += cutPoll {
		if waited >= timeout {
			return nil, os.ErrDeadlineExceeded
		}
		time.Sleep(cutPoll)
	}
	near, nearEnd := net.Pipe()
	farEnd, far := net.Pipe()
	n.open(host, near)
	n.open(l.host, far)
	go func() {
		n.pump(host, l.host, nearEnd, farEnd)
		n.closed(host, near)
	}()
	go func() {
		n.pump(host, l.host, farEnd, nearEnd)
		n.closed(l.host, far)
	}()
	select {
	case l.accept <- &memoryConn{Conn: far, remote: memoryAddr(host + ":0")}:
		return near, nil
	case <-l.done:
		near.Close()
		far.Close()
		return nil, errRefused
	}
}

// pump carries data one way until either end closes.
func (n *Memory) pump(a, b string, from io.ReadCloser, to io.WriteCloser) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			time.Sleep(n.delay(a, b))
			for n.isCut(a, b) {
				time.Sleep(cutPoll)
			}
			if _, werr := to.Write(buffer[:size]); werr != nil {
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

// CallerOf is the host behind the remote address of a connection in memory.
func CallerOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	return host
}
