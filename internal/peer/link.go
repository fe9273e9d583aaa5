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

// Link sends frames to one other controller. At most one heartbeat and one standby frame are pending; a
// newer frame replaces a pending one of its kind. The link doesn't resend a frame that is lost: the next
// heartbeat supersedes a lost one, and package standby repeats its messages.
type Link struct {
	dial    Dialer
	address string
	wake    chan struct{} // has one element while frames may be pending
	closed  chan struct{} // closed by Close
	close   sync.Once     // makes repeated calls of Close safe

	mu               sync.Mutex
	pendingHeartbeat []byte
	pendingStandby   []byte
}

// NewLink starts a link and its goroutine. The goroutine runs until Close is called. If it is dialing
// or writing at that time, it ends after that operation.
func NewLink(dial Dialer, address string) *Link {
	link := &Link{dial: dial, address: address, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go link.run()
	return link
}

// Close ends the link. After Close no frames may be sent. Further calls of Close have no effect.
func (link *Link) Close() { link.close.Do(func() { close(link.closed) }) }

// SendHeartbeat makes frame the pending heartbeat, in place of an earlier one that has not been sent.
func (link *Link) SendHeartbeat(frame []byte) { link.replacePending(&link.pendingHeartbeat, frame) }

// SendStandby makes frame the pending standby frame, in place of an earlier one that has not been sent.
func (link *Link) SendStandby(frame []byte) { link.replacePending(&link.pendingStandby, frame) }

// takePending removes and returns the pending frames, the standby frame first.
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

// requestSend wakes the link's goroutine. It does nothing if a wake-up is already waiting for the goroutine.
func (link *Link) requestSend() {
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

// run writes the pending frames. It is the only user of the connection. It dials when there is a frame to
// send but no connection, which is also the case after a failed write. After a failed dial the pending
// frames wait for the redial, unless newer frames replace them.
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
				link.requestSend() // the failed dial consumed the wake-up, but its frames are still pending
				continue
			}
		}
		if err := writeFrames(connection, link.takePending()); err != nil {
			connection.Close()
			connection = nil
		}
	}
}

// waitForRedial waits until the link may dial again. It returns false if the link was closed meanwhile.
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
