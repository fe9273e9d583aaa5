package server

import (
	"sync"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/peer"
)

// conn is one connection. Its parser belongs to the event loop; out is shared.
type conn struct {
	evioConn        evio.Conn
	parser          *http1.Parser
	frames          *peer.FrameReader
	stateChangedAt  clock.Micros // when the present state began: idle, or half a request
	role            clientRole
	isBusy          bool // a request is being worked on
	closeAfterReply bool // the peer will close after this answer
	isClosed        bool // to be closed once what was written is out
	isClosing       bool // told to go

	mu             sync.Mutex
	pendingReply   *storedResponse
	closeRequested bool
}

// clientRole is who speaks on a connection, in the order in which they have to go when
// sockets run out; from worker on they do not.
type clientRole uint8

const (
	roleUnidentified clientRole = iota // has not asked anything
	roleUser
	roleWorker
	roleController
)
