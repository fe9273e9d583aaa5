package server

import (
	"errors"
	"net/http"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
)

// maxPipelinedBytes bounds how many bytes a client may send while its request is being processed.
const maxPipelinedBytes = 128 << 10

// handleData handles input from a connection, or a wake, which has no input. Once it has returned
// evio.Close, isClosed is set and later calls do nothing: evio closes a connection only after writing, and
// a reply that was sent synchronously has also woken the event loop. Without isClosed, that wake would
// process the next pipelined request, overwrite the reply that is being written and revert the close.
func (server *Server) handleData(evioConn evio.Conn, input []byte) ([]byte, evio.Action) {
	connection, ok := evioConn.Context().(*conn)
	if !ok || connection.isClosed {
		return nil, evio.Close
	}
	process := server.processRequests
	if connection.frameReader != nil {
		process = server.processFrames
	}
	output, action := process(connection, input)
	connection.isClosed = action == evio.Close
	return output, action
}

// processFrames handles input from another controller, which gets no replies.
func (server *Server) processFrames(connection *conn, input []byte) ([]byte, evio.Action) {
	connection.stateChangedAt = clock.Now()
	if connection.isClosing {
		return nil, evio.Close
	}
	if err := connection.frameReader.Feed(input, server.app.HandlePeerHeartbeat); err != nil {
		server.log.Debug("closing peer connection", "error", err, "address", connection.evioConn.RemoteAddr())
		return nil, evio.Close
	}
	return nil, evio.None
}

// processRequests writes the pending reply, if there is one, and then processes requests until one of
// them has to wait for its reply.
func (server *Server) processRequests(connection *conn, input []byte) (output []byte, action evio.Action) {
	pending := connection.takePendingReply()
	if connection.isClosing && pending == nil && !connection.isBusy {
		return nil, evio.Close
	}
	if len(input) > 0 && !connection.feedParser(input) {
		return nil, evio.Close
	}
	if pending != nil {
		output = connection.writeReply(output, pending)
		connection.stateChangedAt = clock.Now()
		if connection.closeAfterReply {
			return output, evio.Close
		}
	}
	for !connection.isBusy {
		request, err := connection.parser.Next()
		if err != nil {
			return appendParseError(output, err), evio.Close
		}
		if connection.parser.TakeContinueRequest() {
			output = append(output, "HTTP/1.1 100 Continue\r\n\r\n"...)
		}
		if request == nil {
			break
		}
		connection.isBusy, connection.closeAfterReply = true, request.Close
		server.routeRequest(connection, request)
		// A synchronous handler has set its reply by now.
		if pending = connection.takePendingReply(); pending != nil {
			output = connection.writeReply(output, pending)
			if connection.closeAfterReply {
				return output, evio.Close
			}
		}
	}
	return output, evio.None
}

// feedParser passes input to the parser. It returns false if the client has sent more than
// maxPipelinedBytes while its request is being processed.
func (connection *conn) feedParser(input []byte) bool {
	if connection.parser.IsIdle() {
		connection.stateChangedAt = clock.Now()
	}
	connection.parser.Feed(input)
	return !connection.isBusy || connection.parser.Buffered() <= maxPipelinedBytes
}

// writeReply appends the reply to the request that is being processed. When a later wake has more to
// write, evio replaces output that it has not written yet, so a reply would be lost. This cannot happen
// without pipelining, which the protocol does not use: the next request arrives only after this reply. A
// client that pipelines nevertheless gets one reply, and its connection is closed.
func (connection *conn) writeReply(output []byte, pending *unsentReply) []byte {
	connection.closeAfterReply = connection.closeAfterReply || connection.parser.Buffered() > 0
	connection.isBusy = false
	pending = pending.enforceDeadline()
	return http1.AppendResponse(output, &http1.Response{
		Status: pending.status, ContentType: pending.contentType, Body: pending.body, RetryAfter: pending.retryAfter, Close: connection.closeAfterReply,
	})
}

// appendParseError appends the reply to input that is not a valid request.
func appendParseError(output []byte, err error) []byte {
	status := http.StatusBadRequest
	var httpError *http1.Error
	if errors.As(err, &httpError) {
		status = httpError.Status
	}
	return http1.AppendResponse(output, &http1.Response{Status: status, Body: ErrorBody(err.Error()), Close: true})
}
