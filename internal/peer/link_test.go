package peer

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pipeDialer is a Dialer whose first attempts fail.
type pipeDialer struct {
	failures int      // how many more attempts fail
	remote   net.Conn // the other end of the last connection
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

// A frame that was waiting when a dial failed is sent after the redial, without another Send.
func TestFrameIsSentAfterAFailedDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &pipeDialer{failures: 1}
		link := NewLink(dialer.dial, "other")
		defer link.Close()
		const frame = "heartbeat"
		link.SendHeartbeat([]byte(frame))
		time.Sleep(redialBackoff.Duration()) // of the bubble's clock
		synctest.Wait()
		if dialer.remote == nil {
			t.Fatal("the link doesn't dial again while a frame waits")
		}
		defer dialer.remote.Close()
		received := make([]byte, len(frame))
		if _, err := dialer.remote.Read(received); err != nil || string(received) != frame {
			t.Errorf("received %q, %v", received, err)
		}
	})
}

// Close ends the pause before a redial.
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
			t.Fatal("the link hasn't dialed")
		}
		closedAt := time.Now()
		link.Close()
		<-runEnded
		if pause := time.Since(closedAt); pause != 0 {
			t.Errorf("the link ends %v after Close", pause)
		}
		if dialer.remote != nil {
			t.Error("a closed link has dialed again")
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
