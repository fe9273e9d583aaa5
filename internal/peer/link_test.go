package peer

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pipeDialer is a Dialer that connects to an in-memory pipe. Its first attempts can be made to fail.
type pipeDialer struct {
	failures int      // number of further attempts that fail
	remote   net.Conn // remote end of the latest connection
}

var errDial = errors.New("refused")

func (dialer *pipeDialer) dial(string, time.Duration) (net.Conn, error) {
	if dialer.failures > 0 {
		dialer.failures--
		return nil, errDial
	}
	local, remote := net.Pipe()
	dialer.remote = remote
	return local, nil
}

// A frame that is pending when a dial fails is sent after the redial, without another call of SendHeartbeat.
// The failed dial consumes the wake-up for the frame, so the link has to wake itself again.
func TestFrameIsSentAfterAFailedDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &pipeDialer{failures: 1}
		link := NewLink(dialer.dial, "other")
		defer link.Close()
		const frame = "heartbeat"
		link.SendHeartbeat([]byte(frame))
		time.Sleep(redialBackoff.Duration()) // on the simulated clock of synctest
		synctest.Wait()
		if dialer.remote == nil {
			t.Fatal("the link has not dialed again after the backoff, although a frame is pending")
		}
		defer dialer.remote.Close()
		received := make([]byte, len(frame))
		if _, err := dialer.remote.Read(received); err != nil || string(received) != frame {
			t.Errorf("got frame %q, error %v, want the pending heartbeat", received, err)
		}
	})
}

// Close ends the wait before a redial at once, and a closed link doesn't dial again.
func TestCloseEndsTheWaitBeforeARedial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &pipeDialer{failures: 1}
		link := &Link{dial: dialer.dial, address: "other", wake: make(chan struct{}, 1), closed: make(chan struct{})}
		runEnded := make(chan struct{})
		go func() {
			link.run()
			close(runEnded)
		}()
		link.SendHeartbeat([]byte("heartbeat"))
		synctest.Wait()
		if dialer.failures != 0 {
			t.Fatal("the link has not dialed after SendHeartbeat")
		}
		closedAt := time.Now()
		link.Close()
		<-runEnded
		if delay := time.Since(closedAt); delay != 0 {
			t.Errorf("run ended %v after Close, want it to end at once", delay)
		}
		if dialer.remote != nil {
			t.Error("the link has dialed again after Close")
		}
	})
}

func TestSecondCloseHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := NewLink((&pipeDialer{}).dial, "other")
		link.Close()
		link.Close()
	})
}
