package server

import (
	"net/http"
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/wire"
)

// exchange is one request that is being passed to the App, with its Reply.
type exchange struct {
	connection *conn
	body       []byte
	jobID      string // the job's ID if the route's path has jobPlaceholder
	reply      *Reply
}

// route maps a method and a path to a handler.
type route struct {
	method, path string // the path may contain jobPlaceholder once
	role         clientRole
	handle       func(server *Server, exchange exchange)
}

// jobPlaceholder stands for a job's ID in a path.
const jobPlaceholder = "{job}"

// heartbeatPath is the path of workers' heartbeats.
const heartbeatPath = "/checkin"

// maxHeartbeatBytes bounds the body of a heartbeat. Other requests may have wire.MaxBodyBytes. A heartbeat above that
// limit is answered all the same, since the worker would lose its lease, and with it all its tasks.
const maxHeartbeatBytes = 4 * wire.MaxBodyBytes

// requestLimits are the limits of requests.
var requestLimits = func() http1.Limits {
	limits := http1.DefaultLimits
	limits.RequestBody = func(target string) int {
		if path, _, _ := strings.Cut(target, "?"); path == heartbeatPath {
			return maxHeartbeatBytes
		}
		return limits.Body
	}
	return limits
}()

// routes are tried in order, and the first with a matching path applies. The route that cancels a job
// therefore comes before the one that shows it.
var routes = []route{
	{http.MethodPost, heartbeatPath, roleWorker, (*Server).handleHeartbeat},
	{http.MethodGet, "/up", roleUser, (*Server).handleHealth},
	{http.MethodPost, "/api/jobs", roleUser, (*Server).submitJob},
	{http.MethodPost, "/api/jobs/" + jobPlaceholder + "/withdraw", roleUser, func(server *Server, exchange exchange) {
		server.app.CancelJob(exchange.jobID, exchange.reply)
	}},
	{http.MethodGet, "/api/jobs/" + jobPlaceholder, roleUser, func(server *Server, exchange exchange) {
		server.app.ShowJob(exchange.jobID, exchange.reply)
	}},
	{http.MethodGet, "/ops/v1/report", roleUser, func(server *Server, exchange exchange) {
		server.app.SendJobReport(exchange.reply)
	}},
	{http.MethodGet, "/ops/v1/standby", roleUser, func(server *Server, exchange exchange) {
		server.app.SendStandbyStatus(exchange.reply)
	}},
	{http.MethodGet, "/metrics", roleUser, func(server *Server, exchange exchange) {
		server.app.SendMetrics(exchange.reply)
	}},
}

// hasJobID reports whether the route's path contains a job's ID.
func (r *route) hasJobID() bool { return strings.Contains(r.path, jobPlaceholder) }

// match reports whether the route applies to a path, and returns the job's ID, which may be invalid.
func (r *route) match(path string) (jobID string, matches bool) {
	prefix, suffix, hasPlaceholder := strings.Cut(r.path, jobPlaceholder)
	if !hasPlaceholder {
		return "", path == r.path
	}
	rest, hasPrefix := strings.CutPrefix(path, prefix)
	jobID, hasSuffix := strings.CutSuffix(rest, suffix)
	return jobID, hasPrefix && hasSuffix
}

// routeRequest passes a request to the handler for its path. The path alone decides the role of the
// connection, whatever the method and the body are. The method is checked before the job's ID, so a wrong
// method gets 405 even if the ID is invalid.
func (server *Server) routeRequest(connection *conn, request *http1.Message) {
	path, _, _ := strings.Cut(request.Target, "?")
	for i := range routes {
		route := &routes[i]
		jobID, matches := route.match(path)
		if !matches {
			continue
		}
		connection.role = route.role
		switch {
		case request.Method != route.method:
			connection.replyNow(http.StatusMethodNotAllowed, ErrorBody("method not allowed"))
		case route.hasJobID() && !wire.IsValidJobID(jobID):
			connection.replyNow(http.StatusNotFound, ErrorBody("no such job"))
		default:
			reply := &Reply{conn: connection, ReceivedAt: clock.Now()}
			route.handle(server, exchange{connection: connection, body: request.Body, jobID: jobID, reply: reply})
		}
		return
	}
	connection.role = roleUser
	connection.replyNow(http.StatusNotFound, ErrorBody("no such path"))
}

func (server *Server) handleHeartbeat(exchange exchange) {
	heartbeat := &wire.Heartbeat{}
	if err := heartbeat.UnmarshalJSON(exchange.body); err != nil || heartbeat.MachineID == "" {
		exchange.connection.replyNow(http.StatusBadRequest, ErrorBody("malformed report"))
		return
	}
	if len(exchange.body) > wire.MaxBodyBytes {
		server.app.RecordOversizedHeartbeat(heartbeat.MachineID, len(exchange.body))
	}
	server.app.HandleHeartbeat(heartbeat, exchange.reply)
}

func (server *Server) handleHealth(exchange exchange) {
	if server.app.IsHealthy() {
		exchange.connection.replyNow(http.StatusOK, []byte(`{"up":true}`))
	} else {
		exchange.connection.replyNow(http.StatusServiceUnavailable, []byte(`{"up":false}`))
	}
}

func (server *Server) submitJob(exchange exchange) {
	job, err := wire.DecodeJob(exchange.body)
	if err != nil {
		exchange.connection.replyNow(http.StatusBadRequest, ErrorBody(err.Error()))
		return
	}
	server.app.SubmitJob(job, exchange.reply)
}
