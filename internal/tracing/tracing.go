// Package tracing writes spans of take-overs with OpenTelemetry, one JSON object each, to a
// file or standard error. Controllers that see the same take-over give it the same trace
// id, so that their files can be read together.
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

// StandardError is the name of the destination that is no file.
const StandardError = "stderr"

// maxBytes bounds what one life of a process writes.
const maxBytes = 4 << 20

// Span is a part of a take-over.
type Span struct {
	Name       string
	Began      clock.Micros // steady clock
	Ended      clock.Micros
	Attributes map[string]string
}

// Tracer writes spans. A nil one writes none.
type Tracer struct {
	tracer trace.Tracer
	close  func() error
}

// New makes a tracer that writes to a destination on behalf of a member.
func New(destination, member string) (*Tracer, error) {
	out, closeFile, err := open(destination)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(&boundedWriter{out: out, left: maxBytes}))
	if err != nil {
		return nil, errors.Join(err, closeFile())
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter), sdktrace.WithSampler(sdktrace.AlwaysSample()))
	return &Tracer{tracer: provider.Tracer(member), close: closeFile}, nil
}

func open(destination string) (io.Writer, func() error, error) {
	if destination == StandardError {
		return os.Stderr, func() error { return nil }, nil
	}
	f, err := os.OpenFile(destination, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, nil, err
	}
	return f, f.Close, nil
}

// Close ends the destination.
func (t *Tracer) Close() error {
	if t == nil {
		return nil
	}
	return t.close()
}

// TakeOver writes the spans of a take-over that ended in a token.
func (t *Tracer) TakeOver(token uint64, spans []Span) {
	if t == nil {
		return
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), takeOverContext(token))
	for _, s := range spans {
		attributes := []attribute.KeyValue{attribute.Int64("token", int64(token))}
		for key, value := range s.Attributes {
			attributes = append(attributes, attribute.String(key, value))
		}
		_, span := t.tracer.Start(ctx, s.Name, trace.WithTimestamp(timeOfDay(s.Began)), trace.WithAttributes(attributes...))
		span.End(trace.WithTimestamp(timeOfDay(s.Ended)))
	}
}

// takeOverContext is the same at every controller: its ids follow from the token.
func takeOverContext(token uint64) trace.SpanContext {
	var traceID trace.TraceID
	var spanID trace.SpanID
	copy(traceID[:], "firwood")
	binary.BigEndian.PutUint64(traceID[8:], token)
	binary.BigEndian.PutUint64(spanID[:], token)
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: traceID, SpanID: spanID, TraceFlags: trace.FlagsSampled, Remote: true})
}

func timeOfDay(at clock.Micros) time.Time {
	wall := clock.Wall() - (clock.Now() - at)
	return time.UnixMicro(int64(wall))
}

// boundedWriter drops what is over its bound: a process that is elected again and again
// must not fill a disk.
type boundedWriter struct {
	mu   sync.Mutex
	out  io.Writer
	left int
}

// Write implements io.Writer.
func (w *boundedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(p) > w.left {
		w.left = 0
		return len(p), nil
	}
	w.left -= len(p)
	return w.out.Write(p)
}
