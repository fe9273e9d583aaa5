package server

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against workers that lose their leases, and all their tasks, because their heartbeat is larger than the
// protocol allows: it is answered and recorded. Other requests keep to the limit.
func TestOversizedHeartbeatIsAnsweredAndRecorded(t *testing.T) {
	app := &echoApp{oversizedMachines: make(chan string, 1)}
	address, _ := startServer(t, app, 100)
	post := func(path, body string) int {
		return statusOf(t, address, fmt.Sprintf("POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body))
	}
	heartbeatOf := func(size int) string {
		task := `{"piece":"req-000001/3","try":2,"stage":"running"}`
		return `{"box":"i-000001","pieces":[` + strings.Repeat(task+",", size/len(task)) + task + `]}`
	}
	if status := post("/checkin", heartbeatOf(60<<10)); status != 200 || len(app.oversizedMachines) != 0 {
		t.Errorf("a heartbeat within the limit: got status %d and %d records, want 200 and none", status, len(app.oversizedMachines))
	}
	if status := post("/checkin", heartbeatOf(200<<10)); status != 200 || len(app.oversizedMachines) != 1 {
		t.Errorf("a heartbeat of 200 KiB: got status %d and %d records, want 200 and 1", status, len(app.oversizedMachines))
	}
	if status := post("/checkin", heartbeatOf(300<<10)); status != 413 {
		t.Errorf("a heartbeat of 300 KiB: got status %d, want 413", status)
	}
	if status := post("/api/jobs", heartbeatOf(70<<10)); status != 413 {
		t.Errorf("a submission of 70 KiB: got status %d, want 413", status)
	}
}
