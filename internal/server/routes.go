package server

import (
	"strings"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/wire"
)

func (s *Server) serve(k *conn, in []byte) ([]byte, evio.Action) {
	if k.frames != nil {
		k.since = clock.Now()
		if k.drop {
			return nil, evio.Close
		}
		if err := k.frames.Feed(in, s.app.Beat); err != nil {
			s.log.Debug("peer link dropped", "error", err)
			return nil, evio.Close
		}
		return nil, evio.None
	}
	var out []byte
	k.mu.Lock()
	a, drop := k.ready, k.drop
	k.ready = nil
	k.mu.Unlock()
	if drop && a == nil && !k.busy {
		return nil, evio.Close
	}
	if len(in) > 0 {
		if k.parser.Idle() {
			k.since = clock.Now()
		}
		k.parser.Feed(in)
		if k.busy && k.parser.Held() > maxWaiting {
			return nil, evio.Close
		}
	}
	if a != nil {
		out = s.write(out, k, a)
		k.busy = false
		k.since = clock.Now()
		if k.last {
			return out, evio.Close
		}
	}
	for !k.busy {
		m, err := k.parser.Next()
		if err != nil {
			status := 400
			if he, ok := err.(*http1.Error); ok {
				status = he.Status
			}
			return http1.AppendResponse(out, status, errorBody(err.Error()), 0, true), evio.Close
		}
		if k.parser.WantsContinue() {
			out = append(out, "HTTP/1.1 100 Continue\r\n\r\n"...)
		}
		if m == nil {
			break
		}
		k.busy, k.last = true, m.Close
		s.route(k, m)
		// A route that answered at once has done so by now.
		k.mu.Lock()
		a = k.ready
		k.ready = nil
		k.mu.Unlock()
		if a != nil {
			out = s.write(out, k, a)
			k.busy = false
			if k.last {
				return out, evio.Close
			}
		}
	}
	return out, evio.None
}

// answerNow is an answer given on the event loop itself: no wake is needed.
func (k *conn) answerNow(status int, body []byte) {
	k.mu.Lock()
	k.ready = &answer{status: status, body: body}
	k.mu.Unlock()
}

func (s *Server) route(k *conn, m *http1.Message) {
	path, _, _ := strings.Cut(m.Target, "?")
	k.kind = user
	r := &Reply{c: k, At: clock.Now()}
	need := func(method string) bool {
		if m.Method != method {
			k.answerNow(405, errorBody("method not allowed"))
			return false
		}
		return true
	}
	switch {
	case path == "/checkin":
		k.kind = worker
		if !need("POST") {
			return
		}
		rep := &wire.Report{}
		if err := rep.UnmarshalJSON(m.Body); err != nil || rep.Machine == "" {
			k.answerNow(400, errorBody("malformed report"))
			return
		}
		s.app.Checkin(rep, r)
	case path == "/up":
		if !need("GET") {
			return
		}
		if s.app.Up() {
			k.answerNow(200, []byte(`{"up":true}`))
		} else {
			k.answerNow(503, []byte(`{"up":false}`))
		}
	case path == "/api/jobs":
		if !need("POST") {
			return
		}
		j, err := wire.DecodeJob(m.Body)
		if err != nil {
			k.answerNow(400, errorBody(err.Error()))
			return
		}
		s.app.Submit(j, r)
	case strings.HasPrefix(path, "/api/jobs/"):
		id := path[len("/api/jobs/"):]
		if rest, ok := strings.CutSuffix(id, "/withdraw"); ok {
			if !need("POST") {
				return
			}
			if !wire.ValidJobID(rest) {
				k.answerNow(404, errorBody("no such job"))
				return
			}
			s.app.Withdraw(rest, r)
			return
		}
		if !need("GET") {
			return
		}
		if !wire.ValidJobID(id) {
			k.answerNow(404, errorBody("no such job"))
			return
		}
		s.app.Show(id, r)
	case path == "/ops/v1/report":
		if need("GET") {
			s.app.Morning(r)
		}
	case path == "/ops/v1/standby":
		if need("GET") {
			s.app.Standby(r)
		}
	default:
		k.answerNow(404, errorBody("no such path"))
	}
}
