package peer

import (
	"net"
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
)

const (
	dialTimeout   = 2 * clock.Second
	writeTimeout  = 3 * clock.Second
	redialBackoff = 1 * clock.Second
)

// Dialer opens a connection to an address.
type Dialer = func(address string, timeout time.Duration) (net.Conn, error)

// Link sends frames to one other controller. Only the newest heartbeat and the newest standby
// frame wait to be sent; a newer one replaces an older one. A frame that is lost isn't sent
// again: the next heartbeat supersedes it, and package standby repeats its messages.
type Link struct {
	dial      Dialer
	address   string
	wake      chan struct{} // holds one token while frames may be waiting
	closed    chan struct{}
	closeOnce sync.Once // closes done

	mu               sync.Mutex
	pendingHeartbeat []byte
	pendingStandby   []byte
}

// NewLink starts a link, whose goroutine runs until Close or, if it is dialing or writing then, until
// that has ended.
func NewLink(dial Dialer, address string) *Link {
	link := &Link{dial: dial, address: address, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go link.run()
	return link
}

// Close ends the link. Nothing may be sent after it; closing it again does nothing.
func (link *Link) Close() { link.closeOnce.Do(func() { close(link.closed) }) }

// SendHeartbeat replaces the heartbeat that waits to be sent.
func (link *Link) SendHeartbeat(frame []byte) { link.replacePending(&link.pendingHeartbeat, frame) }

// SendStandby replaces the standby frame that waits to be sent.
func (link *Link) SendStandby(frame []byte) { link.replacePending(&link.pendingStandby, frame) }

// takePending removes and returns the waiting frames, the standby frame first.
func (link *Link) takePending() [][]byte {
	link.mu.Lock()
	defer link.mu.Unlock()
	var frames [][]byte
	for _, pending := range []*[]byte{&link.pendingStandby, &link.pendingHeartbeat} {
		if *pending != nil {
			frames = append(frames, *pending)
			*pending = nil
		}
	}
	return frames
}

func (link *Link) replacePending(pending *[]byte, frame []byte) {
	link.mu.Lock()
	*pending = frame
	link.mu.Unlock()
	link.requestSend()
}

// requestSend wakes the link's goroutine, unless a wake waits for it by then.
func (link *Link) requestSend() {
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

// run owns the connection. It dials when there is something to send, and again after a failed
// write. After a failed dial the frames wait for the redial, or for newer ones that replace them.
func (link *Link) run() {
	var connection net.Conn
	defer func() {
		if connection != nil {
			connection.Close()
		}
	}()
	for {
		select {
		case <-link.closed:
			return
		case <-link.wake:
		}
		if connection == nil {
			var err error
			if connection, err = link.dial(link.address, dialTimeout.Duration()); err != nil {
				connection = nil
				if !link.waitForRedial() {
					return
				}
				link.requestSend() // the failed dial took the wake, and its frames still wait
				continue
			}
		}
		if err := writeFrames(connection, link.takePending()); err != nil {
			connection.Close()
			connection = nil
		}
	}
}

// waitForRedial waits until the link may dial again; false means that it was closed.
func (link *Link) waitForRedial() bool {
	timer := time.NewTimer(redialBackoff.Duration())
	defer timer.Stop()
	select {
	case <-link.closed:
		return false
	case <-timer.C:
		return true
	}
}

func writeFrames(connection net.Conn, frames [][]byte) error {
	for _, frame := range frames {
		if err := connection.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
			return err
		}
		if _, err := connection.Write(frame); err != nil {
			return err
		}
	}
	return nil
}
