package server

import (
	"strings"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/wire"
)

func (server *Server) processInput(connection *conn, input []byte) ([]byte, evio.Action) {
	if connection.frames != nil {
		connection.stateChangedAt = clock.Now()
		if connection.closeRequested {
			return nil, evio.Close
		}
		if err := connection.frames.Feed(input, server.app.HandlePeerHeartbeat); err != nil {
			server.log.Debug("peer link dropped", "error", err)
			return nil, evio.Close
		}
		return nil, evio.None
	}
	var output []byte
	connection.mu.Lock()
	response, mustClose := connection.pendingReply, connection.closeRequested
	connection.pendingReply = nil
	connection.mu.Unlock()
	if mustClose && response == nil && !connection.isBusy {
		return nil, evio.Close
	}
	if len(input) > 0 {
		if connection.parser.IsIdle() {
			connection.stateChangedAt = clock.Now()
		}
		connection.parser.Feed(input)
		if connection.isBusy && connection.parser.Buffered() > maxPipelinedBytes {
			return nil, evio.Close
		}
	}
	if response != nil {
		output = server.appendReply(output, connection, response)
		connection.isBusy = false
		connection.stateChangedAt = clock.Now()
		if connection.closeAfterReply {
			return output, evio.Close
		}
	}
	for !connection.isBusy {
		request, err := connection.parser.Next()
		if err != nil {
			status := 400
			if httpError, ok := err.(*http1.Error); ok {
				status = httpError.Status
			}
			return http1.AppendResponse(output, status, encodeError(err.Error()), 0, true), evio.Close
		}
		if connection.parser.TakeContinueRequest() {
			output = append(output, "HTTP/1.1 100 Continue\r\n\r\n"...)
		}
		if request == nil {
			break
		}
		connection.isBusy, connection.closeAfterReply = true, request.Close
		server.route(connection, request)
		// A route that answered at once has done so by now.
		connection.mu.Lock()
		response = connection.pendingReply
		connection.pendingReply = nil
		connection.mu.Unlock()
		if response != nil {
			output = server.appendReply(output, connection, response)
			connection.isBusy = false
			if connection.closeAfterReply {
				return output, evio.Close
			}
		}
	}
	return output, evio.None
}

// replyNow is an answer given on the event loop itself: no wake is needed.
func (connection *conn) replyNow(status int, body []byte) {
	connection.mu.Lock()
	connection.pendingReply = &storedResponse{status: status, body: body}
	connection.mu.Unlock()
}

func (server *Server) route(connection *conn, request *http1.Message) {
	path, _, _ := strings.Cut(request.Target, "?")
	connection.role = roleUser
	reply := &Reply{conn: connection, ReceivedAt: clock.Now()}
	requireMethod := func(method string) bool {
		if request.Method != method {
			connection.replyNow(405, encodeError("method not allowed"))
			return false
		}
		return true
	}
	switch {
	case path == "/checkin":
		connection.role = roleWorker
		if !requireMethod("POST") {
			return
		}
		heartbeat := &wire.Heartbeat{}
		if err := heartbeat.UnmarshalJSON(request.Body); err != nil || heartbeat.MachineID == "" {
			connection.replyNow(400, encodeError("malformed report"))
			return
		}
		server.app.HandleHeartbeat(heartbeat, reply)
	case path == "/up":
		if !requireMethod("GET") {
			return
		}
		if server.app.IsHealthy() {
			connection.replyNow(200, []byte(`{"up":true}`))
		} else {
			connection.replyNow(503, []byte(`{"up":false}`))
		}
	case path == "/api/jobs":
		if !requireMethod("POST") {
			return
		}
		job, err := wire.DecodeJob(request.Body)
		if err != nil {
			connection.replyNow(400, encodeError(err.Error()))
			return
		}
		server.app.SubmitJob(job, reply)
	case strings.HasPrefix(path, "/api/jobs/"):
		jobID := path[len("/api/jobs/"):]
		if cancelledID, ok := strings.CutSuffix(jobID, "/withdraw"); ok {
			if !requireMethod("POST") {
				return
			}
			if !wire.IsValidJobID(cancelledID) {
				connection.replyNow(404, encodeError("no such job"))
				return
			}
			server.app.CancelJob(cancelledID, reply)
			return
		}
		if !requireMethod("GET") {
			return
		}
		if !wire.IsValidJobID(jobID) {
			connection.replyNow(404, encodeError("no such job"))
			return
		}
		server.app.ShowJob(jobID, reply)
	case path == "/ops/v1/report":
		if requireMethod("GET") {
			server.app.SendJobReport(reply)
		}
	case path == "/ops/v1/standby":
		if requireMethod("GET") {
			server.app.SendStandbyStatus(reply)
		}
	default:
		connection.replyNow(404, encodeError("no such path"))
	}
}
