package tracing

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// Two controllers that observe the same failover must write spans of one trace, with the given start and
// end times. Otherwise their files could not be merged.
func TestControllersShareTraceID(t *testing.T) {
	traceIDs := map[string]bool{}
	for _, member := range []string{"n0", "n1"} {
		path := filepath.Join(t.TempDir(), "trace.json")
		tracer, err := New(path, member)
		if err != nil {
			t.Fatal(err)
		}
		now := clock.Now()
		tracer.RecordFailover(41, []Span{{Name: "lock", StartedAt: now - 2*clock.Second, EndedAt: now}})
		if err := tracer.Close(); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var span struct {
			Name               string
			SpanContext        struct{ TraceID string }
			StartTime, EndTime time.Time
		}
		if err := json.Unmarshal(text, &span); err != nil {
			t.Fatal(err)
		}
		if took := span.EndTime.Sub(span.StartTime); span.Name != "lock" || took < 1900*time.Millisecond || took > 2100*time.Millisecond {
			t.Errorf("span %q lasts %v, want the span \"lock\" of about 2 s", span.Name, took)
		}
		traceIDs[span.SpanContext.TraceID] = true
	}
	if len(traceIDs) != 1 {
		t.Errorf("trace IDs %v, want one that both controllers share", traceIDs)
	}
}

// A write that exceeds the bound, and all later writes, must be dropped but reported as written.
func TestBoundedWriterDropsExcess(t *testing.T) {
	var out bytes.Buffer
	writer := &boundedWriter{destination: &out, remainingBytes: 10}
	for range 3 {
		if n, err := writer.Write([]byte("123456")); n != 6 || err != nil {
			t.Fatal(n, err)
		}
	}
	if out.Len() != 6 {
		t.Errorf("%d bytes written, want 6", out.Len())
	}
}
