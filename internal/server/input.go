package server

import (
	"errors"
	"net/http"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
)

// maxPipelinedBytes bounds what a client may send while its request is being processed.
const maxPipelinedBytes = 128 << 10

// handleData takes input of a connection, or a wake without input. A reply given synchronously has
// also woken the loop, and evio closes a connection only after writing. Without isClosed that wake
// would process the next of several pipelined requests, overwrite the reply that is being written and
// revert the close.
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

// processFrames takes input of a controller, which gets no replies.
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

// processRequests writes the reply that is due, if there is one, and processes requests until one has to
// wait for its reply.
func (server *Server) processRequests(connection *conn, input []byte) (output []byte, action evio.Action) {
	response := connection.takePendingReply()
	if connection.isClosing && response == nil && !connection.isBusy {
		return nil, evio.Close
	}
	if len(input) > 0 && !connection.feedParser(input) {
		return nil, evio.Close
	}
	if response != nil {
		output = connection.writeReply(output, response)
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
		// A synchronous handler has replied by now.
		if response = connection.takePendingReply(); response != nil {
			output = connection.writeReply(output, response)
			if connection.closeAfterReply {
				return output, evio.Close
			}
		}
	}
	return output, evio.None
}

// feed gives input to the parser; false means that the client sends too much ahead of its replies.
func (connection *conn) feedParser(input []byte) bool {
	if connection.parser.IsIdle() {
		connection.stateChangedAt = clock.Now()
	}
	connection.parser.Feed(input)
	return !connection.isBusy || connection.parser.Buffered() <= maxPipelinedBytes
}

// writeReply appends the reply to the request that is being processed. evio replaces output that it has
// not written yet when a later wake has more to write, and a reply would be lost. Without pipelining, as
// the protocol has it, that cannot happen: the next request comes after this reply. A client that
// pipelines all the same gets one reply and a close.
func (connection *conn) writeReply(output []byte, response *pendingResponse) []byte {
	connection.closeAfterReply = connection.closeAfterReply || connection.parser.Buffered() > 0
	connection.isBusy = false
	response = response.enforceDeadline()
	return http1.AppendResponse(output, &http1.Response{
		Status: response.status, ContentType: response.contentType, Body: response.body, RetryAfter: response.retryAfter, Close: connection.closeAfterReply,
	})
}

// appendParseError appends the response to input that is no request.
func appendParseError(output []byte, err error) []byte {
	status := http.StatusBadRequest
	var httpError *http1.Error
	if errors.As(err, &httpError) {
		status = httpError.Status
	}
	return http1.AppendResponse(output, &http1.Response{Status: status, Body: ErrorBody(err.Error()), Close: true})
}
