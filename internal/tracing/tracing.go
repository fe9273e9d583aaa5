// Package tracing writes spans of failovers with OpenTelemetry, one JSON object each, to a file
// or standard error; docs/standby-operations.md describes them. Invariant: controllers that
// observe the same failover give it the same trace id, so that their files can be read together.
// A process writes at most maxTraceBytes; later spans are dropped silently.
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

// StandardErrorDestination is the destination that means standard error, not a file.
const StandardErrorDestination = "stderr"

// maxTraceBytes bounds what one process writes.
const maxTraceBytes = 4 << 20

// Span is one phase of a failover.
type Span struct {
	// Name says which phase it is.
	Name string
	// StartedAt and EndedAt are instants of the steady clock.
	StartedAt clock.Micros
	EndedAt   clock.Micros
	// Attributes are added to the span; the token is added to all.
	Attributes map[string]string
}

// Tracer writes spans. A nil Tracer discards them.
type Tracer struct {
	tracer           trace.Tracer
	closeDestination func() error
}

// New makes a tracer that writes to a destination (a path, or StandardErrorDestination) on behalf
// of a member.
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

// Close closes the destination. Spans are written synchronously, so none is lost.
func (tracer *Tracer) Close() error {
	if tracer == nil {
		return nil
	}
	return tracer.closeDestination()
}

// RecordFailover writes the spans of the failover that ended with a leader of this token.
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

// failoverContext derives trace and parent ids from the token, so that they are the same at every
// controller.
func failoverContext(token uint64) trace.SpanContext {
	var traceID trace.TraceID
	var spanID trace.SpanID
	copy(traceID[:], "firwood")
	binary.BigEndian.PutUint64(traceID[8:], token)
	binary.BigEndian.PutUint64(spanID[:], token)
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: traceID, SpanID: spanID, TraceFlags: trace.FlagsSampled, Remote: true})
}

// wallTime converts an instant of the steady clock to the time of day, by the present difference of
// the two clocks.
func wallTime(instant clock.Micros) time.Time {
	wallMicros := clock.WallTime() - (clock.Now() - instant)
	return time.UnixMicro(int64(wallMicros))
}

// boundedWriter drops the first write that exceeds its bound and all later ones, so that a process
// that is elected again and again can't fill the disk. Write reports them as written.
type boundedWriter struct {
	mu             sync.Mutex // guards remainingBytes and the order of writes
	destination    io.Writer
	remainingBytes int // 0 from the first drop on
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
