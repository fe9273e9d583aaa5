package controller

import (
	"errors"
	"log/slog"
	"strings"
	"testing"

	"firwood.dev/firwood/internal/records"
)

// captureLog makes a controller log to the builder that it returns.
func captureLog(controller *Controller) *strings.Builder {
	var log strings.Builder
	controller.log = slog.New(slog.NewTextHandler(&log, nil))
	return &log
}

// The log lines for each kind of dropped data are rate-limited separately. Only the lines about the store have
// dropped_so_far, the number of malformed responses and records.
func TestDropLogLimitsEachMessageSeparately(t *testing.T) {
	controller := newTestController(t)
	log := captureLog(controller)
	observer, host := viewObserver{controller}, termHost{controller}
	for range 3 {
		observer.RecordRejected(records.JobKey("req-000001"), errors.New("no record"))
		controller.logMalformedResponses()
		host.LogDropped("renewal constraints exceed the store's value limit", "bytes", 9, "limit_bytes", 8)
		controller.logDropped("standby message rejected", "member", "b")
	}
	controller.store.MalformedResponses.Add(1)
	controller.logMalformedResponses()
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	want := []string{
		`msg="malformed record in the store" key=firwood/job/req-000001 error="no record" dropped_so_far=1`,
		`msg="renewal constraints exceed the store's value limit" bytes=9 limit_bytes=8`,
		`msg="standby message rejected" member=b`,
		`msg="malformed or unexpected store responses" dropped_so_far=4`,
	}
	if len(lines) != len(want) {
		t.Fatalf("the log has the wrong number of lines:\n%s", log)
	}
	for i, line := range lines {
		if !strings.HasSuffix(line, want[i]) {
			t.Errorf("log line is %q, want a line that ends in %q", line, want[i])
		}
	}
}
