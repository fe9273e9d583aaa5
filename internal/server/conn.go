package server

import (
	"fmt"
	"sync"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/peer"
)

// conn is one connection. Its fields belong to the event loop, except pendingReply, which the mutex
// guards. Exactly one of parser and frameReader is set.
type conn struct {
	evioConn    evio.Conn
	parser      *http1.Parser     // set for a connection to the serve address
	frameReader *peer.FrameReader // set for a connection to the peer address
	role        clientRole

	stateChangedAt  clock.Micros // start of the idle time, or of the request that is being received
	isBusy          bool         // a request is being processed
	closeAfterReply bool         // the connection is closed after the reply to the current request
	isClosing       bool         // the server has decided to close the connection at its next wake or input
	isClosed        bool         // handleData has returned evio.Close; evio closes the connection after writing

	mu           sync.Mutex
	pendingReply *unsentReply // set by any goroutine, taken by the event loop
}

// takePendingReply removes and returns the reply that waits to be written, or returns nil.
func (connection *conn) takePendingReply() *unsentReply {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	pending := connection.pendingReply
	connection.pendingReply = nil
	return pending
}

func (connection *conn) setPendingReply(pending *unsentReply) {
	connection.mu.Lock()
	defer connection.mu.Unlock()
	connection.pendingReply = pending
}

// replyNow sets the reply from the event loop itself, where no wake is needed.
func (connection *conn) replyNow(status int, body []byte) {
	connection.setPendingReply(&unsentReply{status: status, body: body})
}

// isReceiving reports whether a part of a request has been received.
func (connection *conn) isReceiving() bool {
	return connection.parser != nil && !connection.parser.IsIdle()
}

// clientRole is the kind of client at the other end of a connection. The roles are in the order in which
// connections are evicted at the limit: unidentified clients first, then users. The connections of
// workers and controllers are never evicted.
type clientRole uint8

const (
	roleUnidentified clientRole = iota // the client has not sent a request yet
	roleUser
	roleWorker
	roleController
)

// String returns the name of the role.
func (role clientRole) String() string {
	switch role {
	case roleUnidentified:
		return "unidentified"
	case roleUser:
		return "user"
	case roleWorker:
		return "worker"
	case roleController:
		return "controller"
	}
	return fmt.Sprintf("role %d", uint8(role))
}

func (role clientRole) isEvictable() bool { return role < roleWorker }
