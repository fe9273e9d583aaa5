package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// Frames cuts a stream into frames.
type Frames struct{ buf []byte }

// Feed adds bytes and calls each for every whole frame.
func (f *Frames) Feed(in []byte, each func(*Beat)) error {
	f.buf = append(f.buf, in...)
	for len(f.buf) >= 4 {
		n := int(binary.LittleEndian.Uint32(f.buf))
		if n < 8 || n > MaxFrame {
			return errMalformed
		}
		if len(f.buf) < 4+n {
			return nil
		}
		b, err := Decode(f.buf[4 : 4+n])
		if err != nil {
			return err
		}
		each(b)
		f.buf = append(f.buf[:0], f.buf[4+n:]...)
	}
	return nil
}

// Link sends beats to one other controller. Only the newest waits: a beat that
// was overtaken says nothing that the newer one does not. The same holds of messages of a
// stream: one at a time is under way, and what it lacks is sent again.
type Link struct {
	dial     Dialer
	addr     string
	mu       sync.Mutex
	beat     []byte
	streamed []byte
	wake     chan struct{}
	done     chan struct{}
}

// Dialer opens a connection to an address.
type Dialer = func(address string, timeout time.Duration) (net.Conn, error)

// NewLink starts a link.
func NewLink(dial Dialer, addr string) *Link {
	l := &Link{dial: dial, addr: addr, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go l.run()
	return l
}

// Close ends the link; nothing may be sent after that.
func (l *Link) Close() { close(l.done) }

// Send replaces the beat that waits to be sent.
func (l *Link) Send(frame []byte) { l.replace(&l.beat, frame) }

// Stream replaces the message of a stream that waits to be sent.
func (l *Link) Stream(frame []byte) { l.replace(&l.streamed, frame) }

// take takes what waits: what a stream tells comes first.
func (l *Link) take() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var frames [][]byte
	for _, waiting := range []*[]byte{&l.streamed, &l.beat} {
		if *waiting != nil {
			frames = append(frames, *waiting)
			*waiting = nil
		}
	}
	return frames
}

func (l *Link) replace(waiting *[]byte, frame []byte) {
	l.mu.Lock()
	*waiting = frame
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

const (
	dialTimeout  = 2 * clock.Second
	writeTimeout = 3 * clock.Second
	redialAfter  = 1 * clock.Second
)

func (l *Link) run() {
	var c net.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		}
		if c == nil {
			var err error
			if c, err = l.dial(l.addr, dialTimeout.Duration()); err != nil {
				c = nil
				time.Sleep(redialAfter.Duration())
				continue
			}
		}
		if !writeAll(c, l.take()) {
			c.Close()
			c = nil
		}
	}
}

func writeAll(c net.Conn, frames [][]byte) bool {
	for _, frame := range frames {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
			return false
		}
		if _, err := c.Write(frame); err != nil {
			return false
		}
	}
	return true
}
