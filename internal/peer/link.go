package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// FrameReader cuts a stream into frames.
type FrameReader struct{ buffer []byte }

// Feed adds bytes and calls each for every whole frame.
func (reader *FrameReader) Feed(data []byte, handle func(*Heartbeat)) error {
	reader.buffer = append(reader.buffer, data...)
	for len(reader.buffer) >= 4 {
		size := int(binary.LittleEndian.Uint32(reader.buffer))
		if size < 8 || size > MaxFrame {
			return errMalformed
		}
		if len(reader.buffer) < 4+size {
			return nil
		}
		heartbeat, err := Decode(reader.buffer[4 : 4+size])
		if err != nil {
			return err
		}
		handle(heartbeat)
		reader.buffer = append(reader.buffer[:0], reader.buffer[4+size:]...)
	}
	return nil
}

// Link sends beats to one other controller. Only the newest waits: a beat that
// was overtaken says nothing that the newer one does not. The same holds of messages of a
// stream: one at a time is under way, and what it lacks is sent again.
type Link struct {
	dial             Dialer
	address          string
	mu               sync.Mutex
	pendingHeartbeat []byte
	pendingStandby   []byte
	wake             chan struct{}
	done             chan struct{}
}

// Dialer opens a connection to an address.
type Dialer = func(address string, timeout time.Duration) (net.Conn, error)

// NewLink starts a link.
func NewLink(dial Dialer, address string) *Link {
	link := &Link{dial: dial, address: address, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go link.run()
	return link
}

// Close ends the link; nothing may be sent after that.
func (link *Link) Close() { close(link.done) }

// SendHeartbeat replaces the beat that waits to be sent.
func (link *Link) SendHeartbeat(frame []byte) { link.replacePending(&link.pendingHeartbeat, frame) }

// SendStandby replaces the message of a stream that waits to be sent.
func (link *Link) SendStandby(frame []byte) { link.replacePending(&link.pendingStandby, frame) }

// takePending takes what waits: what a stream tells comes first.
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
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

const (
	dialTimeout   = 2 * clock.Second
	writeTimeout  = 3 * clock.Second
	redialBackoff = 1 * clock.Second
)

func (link *Link) run() {
	var connection net.Conn
	defer func() {
		if connection != nil {
			connection.Close()
		}
	}()
	for {
		select {
		case <-link.done:
			return
		case <-link.wake:
		}
		if connection == nil {
			var err error
			if connection, err = link.dial(link.address, dialTimeout.Duration()); err != nil {
				connection = nil
				time.Sleep(redialBackoff.Duration())
				continue
			}
		}
		if !writeFrames(connection, link.takePending()) {
			connection.Close()
			connection = nil
		}
	}
}

func writeFrames(connection net.Conn, frames [][]byte) bool {
	for _, frame := range frames {
		if err := connection.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
			return false
		}
		if _, err := connection.Write(frame); err != nil {
			return false
		}
	}
	return true
}
