package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// feedInPieces feeds data to a parser in pieces of the given sizes and returns the parsed messages.
func feedInPieces(parser *Parser, data []byte, pieceSize func() int) (messages []*Message, err error) {
	for len(data) > 0 {
		n := min(max(pieceSize(), 1), len(data))
		parser.Feed(data[:n])
		data = data[n:]
		for {
			message, err := parser.Next()
			if err != nil {
				return messages, err
			}
			if message == nil {
				break
			}
			messages = append(messages, message)
		}
	}
	return messages, nil
}

// drawMessage draws a message and returns its encoding and the summary that summarize should return.
func drawMessage(t *rapid.T, isResponse bool) (encoded []byte, summary string) {
	body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
	var head string
	if isResponse {
		status := rapid.SampledFrom([]int{200, 409, 503}).Draw(t, "status")
		head = fmt.Sprintf("HTTP/1.1 %d Whatever\r\n", status)
		summary = fmt.Sprint(status, body)
	} else {
		target := rapid.StringMatching(`/[a-z0-9/?=&-]{0,40}`).Draw(t, "target")
		head = "POST " + target + " HTTP/1.1\r\n"
		summary = fmt.Sprint(target, body)
	}
	if !rapid.Bool().Draw(t, "chunked") {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\nX-Other: y\r\n\r\n%s", head, len(body), body), summary
	}
	encoded = append(encoded, head+"transfer-encoding: Chunked\r\n\r\n"...)
	for rest := body; len(rest) > 0; {
		size := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
		encoded = fmt.Appendf(encoded, "%x;ext=1\r\n%s\r\n", size, rest[:size])
		rest = rest[size:]
	}
	return append(encoded, "0\r\nTrailer: x\r\n\r\n"...), summary
}

// summarize returns a summary of the parts of a message that drawMessage chooses.
func summarize(message *Message, isResponse bool) string {
	body := append([]byte{}, message.Body...)
	if isResponse {
		return fmt.Sprint(message.Status, body)
	}
	return fmt.Sprint(message.Target, body)
}

// The parsed messages must not depend on how the bytes are split into pieces, in either direction.
func TestSplitInputGivesSameMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		isResponse := rapid.Bool().Draw(t, "response")
		var stream []byte
		var want []string
		count := rapid.IntRange(1, 4).Draw(t, "messages")
		for range count {
			encoded, summary := drawMessage(t, isResponse)
			stream = append(stream, encoded...)
			want = append(want, summary)
		}
		parser := NewRequestParser(DefaultLimits)
		if isResponse {
			parser = NewResponseParser(DefaultLimits)
		}
		got, err := feedInPieces(parser, stream, func() int { return rapid.IntRange(1, 120).Draw(t, "piece") })
		if err != nil {
			t.Fatalf("parse %q: %v", stream, err)
		}
		if len(got) != len(want) {
			t.Fatalf("got %d messages, want %d", len(got), len(want))
		}
		for i, message := range got {
			if summary := summarize(message, isResponse); summary != want[i] {
				t.Fatalf("message %d: got %s, want %s", i, summary, want[i])
			}
		}
		if !parser.IsIdle() {
			t.Fatal("the parser is not idle after the last message: bytes are left over")
		}
	})
}

// On arbitrary input the parser's memory must stay bounded, and the parser must not panic.
func TestBufferIsBoundedOnGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Line: 64, Head: 256, Body: 128}
		parser := NewRequestParser(limits)
		if rapid.Bool().Draw(t, "response") {
			parser = NewResponseParser(limits)
		}
		fragments := rapid.SampledFrom([]string{"GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "\r\n", "Content-Length: 5\r\n", "a:b\r\n", "Transfer-Encoding: chunked\r\n", "5\r\n", "0\r\n", "hello", "\n", "\x00\xff", "x"})
		for i := 0; i < 60; i++ {
			parser.Feed([]byte(fragments.Draw(t, "fragment")))
			for {
				message, err := parser.Next()
				if err != nil || message == nil {
					break
				}
				if len(message.Body) > limits.Body {
					t.Fatalf("got a body of %d bytes, want at most 128", len(message.Body))
				}
			}
			if parser.Buffered() > limits.Line+limits.Head+limits.Body+64 {
				t.Fatalf("got %d buffered bytes, want at most 512", parser.Buffered())
			}
		}
	})
}

// Malformed and oversized messages must be rejected with the matching status.
func TestMalformedMessagesAreRejected(t *testing.T) {
	long := strings.Repeat("a", 9<<10)
	for _, test := range []struct {
		input  string
		status int
	}{
		{"GET /\r\n\r\n", 400},
		{"GET  / HTTP/1.1\r\n\r\n", 400},
		{"GET / HTTP/2.0\r\n\r\n", 400},
		{"G{T / HTTP/1.1\r\n\r\n", 400},
		{"GET / HTTP/1.1\n\n", 400},
		{"GET /" + long + " HTTP/1.1\r\n\r\n", 431},
		{"GET / HTTP/1.1\r\nA: " + long, 431},
		{"GET / HTTP/1.1\r\n" + strings.Repeat("A: "+long[:1000]+"\r\n", 20), 431},
		{"GET / HTTP/1.1\r\nA b: c\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\n A: c\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", 413},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400},
	} {
		parser := NewRequestParser(DefaultLimits)
		parser.Feed([]byte(test.input))
		message, err := parser.Next()
		var httpError *Error
		if !errors.As(err, &httpError) || httpError.Status != test.status {
			t.Errorf("parse %.60q: got message %v, error %v, want status %d", test.input, message, err, test.status)
		}
		// After an error the parser must not parse anything more.
		parser.Feed([]byte("GET / HTTP/1.1\r\n\r\n"))
		if message, _ := parser.Next(); message != nil {
			t.Errorf("parse %.60q: got a message after the error, want none", test.input)
		}
	}
}

// The parser must read what AppendResponse and AppendRequest write.
func TestWritersAndParserAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "body")
		retryAfter := rapid.IntRange(0, 30).Draw(t, "retry")
		closeAfter := rapid.Bool().Draw(t, "close")
		parser := NewResponseParser(DefaultLimits)
		parser.Feed(AppendResponse(nil, &Response{Status: 503, Body: body, RetryAfter: retryAfter, Close: closeAfter}))
		message, err := parser.Next()
		if err != nil || message == nil || message.Status != 503 || !bytes.Equal(message.Body, body) || message.RetryAfter != retryAfter || message.Close != closeAfter {
			t.Fatalf("parse a written response: got %+v, error %v, want the values written", message, err)
		}
		requestParser := NewRequestParser(DefaultLimits)
		requestParser.Feed(AppendRequest(nil, "POST", "/txn", "127.0.0.1:1", body))
		message, err = requestParser.Next()
		if err != nil || message == nil || message.Method != "POST" || message.Target != "/txn" || !bytes.Equal(message.Body, body) {
			t.Fatalf("parse a written request: got %+v, error %v, want the values written", message, err)
		}
	})
}

// The close of the connection must end a response without a length, but no other message.
func TestCloseEndsOnlyResponseWithoutLength(t *testing.T) {
	parser := NewResponseParser(DefaultLimits)
	parser.Feed([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nabc"))
	if message, err := parser.Next(); message != nil || err != nil {
		t.Fatal(message, err)
	}
	message, err := parser.HandleEOF()
	if err != nil || message == nil || string(message.Body) != "abc" || !message.Close {
		t.Fatalf("after the close: got %+v, error %v, want body abc with Close set", message, err)
	}
	truncated := NewResponseParser(DefaultLimits)
	truncated.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"))
	if message, err := truncated.Next(); message != nil || err != nil {
		t.Fatal(message, err)
	}
	if _, err := truncated.HandleEOF(); err == nil {
		t.Fatal("truncated response after the close: got no error, want one")
	}
}
