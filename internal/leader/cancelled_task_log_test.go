package leader

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// captureLog redirects a term's log to a buffer.
func captureLog(term *Term) *bytes.Buffer {
	var lines bytes.Buffer
	term.environment.Log = slog.New(slog.NewTextHandler(&lines, nil))
	return &lines
}

// The log shows once in a term each task of a cancelled job that a worker lists, with the channel that
// its stop is sent through. For the response to a probe, there is no channel before the token is confirmed.
func TestListedCancelledTaskIsLoggedOnce(t *testing.T) {
	for _, test := range []struct {
		name, channel string
		isProbe       bool
		workerToken   uint64
	}{
		{"heartbeat", stopInReply, false, 4},
		{"probe, token not confirmed", stopNeedsToken, true, 4},
		{"probe", stopInRequest, true, 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			term := newTermWithCancelledJob(t)
			lines := captureLog(term)
			for sequence := uint64(5); sequence < 8; sequence++ {
				heartbeat := heartbeatWith("i-1", cancelledTask, sequence, test.workerToken)
				if test.isProbe {
					term.handleProbeResponse(term.tracker.Machines["i-1"], term.machines["i-1"], heartbeat, clock.Now())
				} else {
					replyTo(t, term, heartbeat)
				}
			}
			want := fmt.Sprintf(`stop_channel=%q machine=i-1 worker_token=%d token=9 suppressed=0`, test.channel, test.workerToken)
			if text := lines.String(); strings.Count(text, "worker lists a cancelled task") != 1 || !strings.Contains(text, want) {
				t.Fatalf("log doesn't have the line once with %s:\n%s", want, text)
			}
		})
	}
}

// If workers list thousands of tasks of unknown jobs, the number of log lines is bounded, and the next
// line says how many were suppressed.
func TestListedTaskLinesAreBounded(t *testing.T) {
	term := newTermWithCancelledJob(t)
	lines := captureLog(term)
	heartbeat := &wire.Heartbeat{MachineID: "i-1"}
	now := clock.Now()
	for i := range 1000 {
		term.tracker.TasksOfUnknownJobs = append(term.tracker.TasksOfUnknownJobs, wire.TaskID("req-000002", i))
	}
	term.logUnexpectedTasks(term.tracker.Machines["i-1"], heartbeat, true, now)
	if got := strings.Count(lines.String(), "\n"); got != logLimitLines {
		t.Fatalf("logged %d lines, want logLimitLines", got)
	}
	term.tracker.TasksOfUnknownJobs = []string{"req-000002/0"}
	term.logUnexpectedTasks(term.tracker.Machines["i-1"], heartbeat, true, now+logLimitWindow)
	if want := fmt.Sprintf("suppressed=%d", 1000-logLimitLines); !strings.Contains(lines.String(), want) {
		t.Fatalf("log doesn't have %s:\n%s", want, lines)
	}
}

// Pausing starts because the view is too old, and resuming them, is logged once each. A deferred
// heartbeat is logged with the reason.
func TestPausedStartsAndDeferredHeartbeatsAreLogged(t *testing.T) {
	term := newTestTerm(t, "i-1")
	lines := captureLog(term)
	staleAt := term.entitlement.viewAge.LastReadSentAt() + term.environment.Staleness.RenewalWindow + clock.Second
	for range 3 {
		term.pauseStartsIfStale(staleAt)
	}
	term.recordViewRead(clock.Now())
	text := lines.String()
	if strings.Count(text, "starts paused: the view is too old") != 1 || strings.Count(text, "starts resumed") != 1 {
		t.Fatalf("log doesn't have one pause and one resumption of starts:\n%s", text)
	}
	term.deferHeartbeat(deferredHeartbeat{heartbeat: heartbeatWith("i-1", cancelledTask, 5, 4), receivedAt: clock.Now()}, "the view is too old")
	if !strings.Contains(lines.String(), `msg="heartbeat held back" reason="the view is too old" machine=i-1 zone=x`) {
		t.Fatalf("log doesn't have the deferred heartbeat:\n%s", lines)
	}
}
