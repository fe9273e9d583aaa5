package http1

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// feed gives b to p in pieces and returns what came out of it.
func feed(p *Parser, b []byte, piece func() int) (out []*Message, err error) {
	for len(b) > 0 {
		n := min(max(piece(), 1), len(b))
		p.Feed(b[:n])
		b = b[n:]
		for {
			m, err := p.Next()
			if err != nil {
				return out, err
			}
			if m == nil {
				break
			}
			out = append(out, m)
		}
	}
	return out, nil
}

// Any split of the bytes gives the same messages, in both directions.
func TestAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.Bool().Draw(t, "response")
		var stream []byte
		var want []string
		n := rapid.IntRange(1, 4).Draw(t, "messages")
		for i := 0; i < n; i++ {
			body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
			var head string
			if response {
				status := rapid.SampledFrom([]int{200, 409, 503}).Draw(t, "status")
				head = fmt.Sprintf("HTTP/1.1 %d Whatever\r\n", status)
				want = append(want, fmt.Sprint(status, body))
			} else {
				target := rapid.StringMatching(`/[a-z0-9/?=&-]{0,40}`).Draw(t, "target")
				head = "POST " + target + " HTTP/1.1\r\n"
				want = append(want, fmt.Sprint(target, body))
			}
			if rapid.Bool().Draw(t, "chunked") {
				stream = append(stream, head+"transfer-encoding: Chunked\r\n\r\n"...)
				for rest := body; len(rest) > 0; {
					k := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
					stream = append(stream, fmt.Sprintf("%x;ext=1\r\n%s\r\n", k, rest[:k])...)
					rest = rest[k:]
				}
				stream = append(stream, "0\r\nTrailer: x\r\n\r\n"...)
			} else {
				stream = append(stream, fmt.Sprintf("%sContent-Length: %d\r\nX-Other: y\r\n\r\n%s", head, len(body), body)...)
			}
		}
		p := NewRequestParser(DefaultLimits)
		if response {
			p = NewResponseParser(DefaultLimits)
		}
		got, err := feed(p, stream, func() int { return rapid.IntRange(1, 120).Draw(t, "piece") })
		if err != nil {
			t.Fatalf("%q: %v", stream, err)
		}
		if len(got) != len(want) {
			t.Fatalf("%d messages, want %d", len(got), len(want))
		}
		for i, m := range got {
			g := fmt.Sprint(m.Target, append([]byte{}, m.Body...))
			if response {
				g = fmt.Sprint(m.Status, append([]byte{}, m.Body...))
			}
			if g != want[i] {
				t.Fatalf("message %d: %s, want %s", i, g, want[i])
			}
		}
		if !p.Idle() {
			t.Fatal("something is left over")
		}
	})
}

// Whatever comes, memory stays bounded and nothing panics.
func TestGarbageIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Line: 64, Head: 256, Body: 128}
		p := NewRequestParser(l)
		if rapid.Bool().Draw(t, "response") {
			p = NewResponseParser(l)
		}
		words := rapid.SampledFrom([]string{"GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "\r\n", "Content-Length: 5\r\n", "a:b\r\n", "Transfer-Encoding: chunked\r\n", "5\r\n", "0\r\n", "hello", "\n", "\x00\xff", "x"})
		for i := 0; i < 60; i++ {
			p.Feed([]byte(words.Draw(t, "word")))
			for {
				m, err := p.Next()
				if err != nil || m == nil {
					break
				}
				if len(m.Body) > l.Body {
					t.Fatalf("a body of %d", len(m.Body))
				}
			}
			if p.Held() > l.Line+l.Head+l.Body+64 {
				t.Fatalf("%d bytes held", p.Held())
			}
		}
	})
}

func TestFaults(t *testing.T) {
	long := strings.Repeat("a", 9<<10)
	for _, c := range []struct {
		in     string
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
		p := NewRequestParser(DefaultLimits)
		p.Feed([]byte(c.in))
		m, err := p.Next()
		he, ok := err.(*Error)
		if !ok || he.Status != c.status {
			t.Errorf("%.60q: %v %v, want %d", c.in, m, err, c.status)
		}
		// A broken stream stays broken.
		p.Feed([]byte("GET / HTTP/1.1\r\n\r\n"))
		if m, _ := p.Next(); m != nil {
			t.Errorf("%.60q: a message after the fault", c.in)
		}
	}
}

func TestWritersAndParserAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "body")
		retry := rapid.IntRange(0, 30).Draw(t, "retry")
		closing := rapid.Bool().Draw(t, "close")
		p := NewResponseParser(DefaultLimits)
		p.Feed(AppendResponse(nil, 503, body, retry, closing))
		m, err := p.Next()
		if err != nil || m == nil || m.Status != 503 || !bytes.Equal(m.Body, body) || m.RetryAfter != retry || m.Close != closing {
			t.Fatalf("%+v %v", m, err)
		}
		q := NewRequestParser(DefaultLimits)
		q.Feed(AppendRequest(nil, "POST", "/txn", "127.0.0.1:1", body))
		m, err = q.Next()
		if err != nil || m == nil || m.Method != "POST" || m.Target != "/txn" || !bytes.Equal(m.Body, body) {
			t.Fatalf("%+v %v", m, err)
		}
	})
}

func TestResponseUntilClose(t *testing.T) {
	p := NewResponseParser(DefaultLimits)
	p.Feed([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nabc"))
	if m, err := p.Next(); m != nil || err != nil {
		t.Fatal(m, err)
	}
	m, err := p.End()
	if err != nil || m == nil || string(m.Body) != "abc" || !m.Close {
		t.Fatalf("%+v %v", m, err)
	}
	q := NewResponseParser(DefaultLimits)
	q.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"))
	if m, err := q.Next(); m != nil || err != nil {
		t.Fatal(m, err)
	}
	if _, err := q.End(); err == nil {
		t.Fatal("half a response is taken for a whole one")
	}
}
