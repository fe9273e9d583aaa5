// Package tracing writes spans of failovers with OpenTelemetry, each as one JSON object, to a file or
// standard error. docs/standby-operations.md describes the spans. Controllers that observe the same
// failover give its spans the same trace ID, so that their files can be merged. A process writes at most
// maxTraceBytes; later spans are dropped silently.
package tracing

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"firwood.dev/firwood/internal/clock"
)

// StandardErrorDestination is the destination that stands for standard error instead of a file.
const StandardErrorDestination = "stderr"

// maxTraceBytes bounds the number of bytes that one process writes.
const maxTraceBytes = 4 << 20

// Span is one phase of a failover.
type Span struct {
	// Name is the name of the phase.
	Name string
	// StartedAt and EndedAt are instants of the monotonic clock.
	StartedAt clock.Micros
	EndedAt   clock.Micros
	// Attributes are the span's attributes besides the token, which every span has.
	Attributes map[string]string
}

// Tracer writes spans. A nil Tracer discards them.
type Tracer struct {
	tracer           trace.Tracer
	closeDestination func() error
}

// New returns a tracer that writes spans to a destination on behalf of a member. The destination is a
// path or StandardErrorDestination.
func New(destination, member string) (*Tracer, error) {
	out, closeOutput, err := openDestination(destination)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(&boundedWriter{destination: out, remainingBytes: maxTraceBytes}))
	if err != nil {
		return nil, errors.Join(err, closeOutput())
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter), sdktrace.WithSampler(sdktrace.AlwaysSample()))
	return &Tracer{tracer: provider.Tracer(member), closeDestination: closeOutput}, nil
}

func openDestination(destination string) (io.Writer, func() error, error) {
	if destination == StandardErrorDestination {
		return os.Stderr, func() error { return nil }, nil
	}
	file, err := os.OpenFile(destination, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, nil, err
	}
	return file, file.Close, nil
}

// Close closes the destination. No span is lost, since spans are written synchronously.
func (tracer *Tracer) Close() error {
	if tracer == nil {
		return nil
	}
	return tracer.closeDestination()
}

// RecordFailover writes the spans of the failover in which a leader with this token was elected.
func (tracer *Tracer) RecordFailover(token uint64, spans []Span) {
	if tracer == nil {
		return
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), failoverContext(token))
	for _, phase := range spans {
		attributes := []attribute.KeyValue{attribute.Int64("token", int64(token))}
		for key, value := range phase.Attributes {
			attributes = append(attributes, attribute.String(key, value))
		}
		_, span := tracer.tracer.Start(ctx, phase.Name, trace.WithTimestamp(wallTime(phase.StartedAt)), trace.WithAttributes(attributes...))
		span.End(trace.WithTimestamp(wallTime(phase.EndedAt)))
	}
}

// failoverContext derives the trace and parent IDs from the token, so that they are the same at every
// controller.
func failoverContext(token uint64) trace.SpanContext {
	var traceID trace.TraceID
	var spanID trace.SpanID
	copy(traceID[:], "firwood")
	binary.BigEndian.PutUint64(traceID[8:], token)
	binary.BigEndian.PutUint64(spanID[:], token)
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: traceID, SpanID: spanID, TraceFlags: trace.FlagsSampled, Remote: true})
}

// wallTime converts an instant on the monotonic clock to wall-clock time, by the current difference of
// the two clocks.
func wallTime(instant clock.Micros) time.Time {
	wallMicros := clock.WallTime() - (clock.Now() - instant)
	return time.UnixMicro(int64(wallMicros))
}

// boundedWriter drops the first write that exceeds its bound and all later writes, so that a process
// that is elected repeatedly can't fill the disk. Write reports a dropped write as written.
type boundedWriter struct {
	mu             sync.Mutex // guards remainingBytes and the order of writes
	destination    io.Writer
	remainingBytes int // 0 after a write has been dropped
}

// Write implements io.Writer.
func (writer *boundedWriter) Write(p []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if len(p) > writer.remainingBytes {
		writer.remainingBytes = 0
		return len(p), nil
	}
	writer.remainingBytes -= len(p)
	return writer.destination.Write(p)
}
