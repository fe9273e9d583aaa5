// Package http1 owns HTTP/1.1 framing in both directions: an incremental,
// bounded parser of requests and responses, and the writers of both. It knows
// nothing of sockets, so that it can be fed any split of any bytes.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Limits bound what a parser holds.
type Limits struct {
	Line int // request line, status line, header line, chunk size line
	Head int // all of the head
	Body int
}

// DefaultLimits suit requests of users and workers.
var DefaultLimits = Limits{Line: 8 << 10, Head: 16 << 10, Body: 64 << 10}

// Error is a framing fault; Status is the answer that it deserves.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

func fault(status int, reason string) *Error { return &Error{Status: status, Reason: reason} }

// Message is a request or a response. Its strings and body are its own.
type Message struct {
	Method string // requests
	Target string // requests
	Status int    // responses
	Body   []byte
	// Close tells that the sender will not use the connection again.
	Close bool
	// RetryAfter is the header of that name in seconds, 0 if absent.
	RetryAfter int
	// ExpectContinue tells that the sender waits for a 100 before its body.
	ExpectContinue bool
}

type phase uint8

const (
	phaseHead phase = iota
	phaseFixed
	phaseChunkSize
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	phaseUntilClose
	phaseBroken
)

// Parser takes bytes as they come and yields whole messages.
type Parser struct {
	limits   Limits
	response bool

	buf     []byte
	off     int // start of what is not yet consumed
	scan    int // where the search for the end of a line goes on
	head    int // bytes of the head seen so far, line ends included
	phase   phase
	first   bool // the start line has been read
	msg     *Message
	need    int // bytes left of the body or chunk
	length  int // Content-Length, -1 if none
	chunked bool
	http10  bool
	err     *Error
	wantsGo bool
}

// NewRequestParser parses what clients send.
func NewRequestParser(l Limits) *Parser { return &Parser{limits: l, length: -1} }

// NewResponseParser parses what servers send.
func NewResponseParser(l Limits) *Parser { return &Parser{limits: l, length: -1, response: true} }

// Feed adds bytes that arrived.
func (p *Parser) Feed(b []byte) {
	if p.phase == phaseBroken {
		return
	}
	if p.off > 0 && p.off == len(p.buf) {
		p.buf = p.buf[:0]
		p.scan -= p.off
		p.off = 0
	}
	p.buf = append(p.buf, b...)
}

// Idle tells that no message is half read.
func (p *Parser) Idle() bool {
	return p.phase == phaseHead && !p.first && p.off == len(p.buf)
}

// WantsContinue tells, once, that the message being read waits for a 100.
func (p *Parser) WantsContinue() bool {
	w := p.wantsGo
	p.wantsGo = false
	return w
}

// Next returns the next whole message, nil if more bytes are needed, or the
// fault that ends the connection.
func (p *Parser) Next() (*Message, error) {
	for {
		done, err := p.step()
		if err != nil {
			p.phase = phaseBroken
			p.err = err
			p.buf = nil
			p.off, p.scan = 0, 0
		}
		if p.phase == phaseBroken {
			return nil, p.err
		}
		if done == stepMore {
			p.compact()
			return nil, nil
		}
		if done == stepMessage {
			return p.take(), nil
		}
	}
}

// End tells that the peer has closed. A response that runs until the close is
// whole then; anything else half read is a fault.
func (p *Parser) End() (*Message, error) {
	if p.phase == phaseUntilClose {
		m := p.take()
		m.Close = true
		return m, nil
	}
	if p.phase == phaseBroken {
		return nil, p.err
	}
	if p.Idle() {
		return nil, nil
	}
	return nil, fault(400, "connection closed within a message")
}

func (p *Parser) take() *Message {
	m := p.msg
	p.msg = nil
	p.phase = phaseHead
	p.first = false
	p.head = 0
	p.length = -1
	p.chunked = false
	p.compact()
	return m
}

// compact gives back the room of consumed bytes, and large buffers altogether.
func (p *Parser) compact() {
	if p.off == 0 {
		return
	}
	rest := len(p.buf) - p.off
	if rest == 0 && cap(p.buf) > 8<<10 {
		p.buf = nil
	} else {
		copy(p.buf, p.buf[p.off:])
		p.buf = p.buf[:rest]
	}
	p.scan = max(0, p.scan-p.off)
	p.off = 0
}

type stepResult uint8

const (
	stepAgain stepResult = iota
	stepMore
	stepMessage
)

// line cuts the next line that ends in CRLF, nil if it is not whole yet.
func (p *Parser) line() ([]byte, bool, *Error) {
	if p.scan < p.off {
		p.scan = p.off
	}
	i := bytes.IndexByte(p.buf[p.scan:], '\n')
	if i < 0 {
		p.scan = len(p.buf)
		if len(p.buf)-p.off > p.limits.Line {
			return nil, false, fault(431, "line too long")
		}
		return nil, false, nil
	}
	end := p.scan + i
	l := p.buf[p.off:end]
	if len(l) > p.limits.Line {
		return nil, false, fault(431, "line too long")
	}
	if len(l) == 0 || l[len(l)-1] != '\r' {
		return nil, false, fault(400, "line does not end in CRLF")
	}
	p.off = end + 1
	p.scan = p.off
	return l[:len(l)-1], true, nil
}

func (p *Parser) step() (stepResult, *Error) {
	switch p.phase {
	case phaseHead:
		return p.stepHead()
	case phaseFixed:
		n := min(p.need, len(p.buf)-p.off)
		p.msg.Body = append(p.msg.Body, p.buf[p.off:p.off+n]...)
		p.off += n
		p.need -= n
		if p.need > 0 {
			return stepMore, nil
		}
		return stepMessage, nil
	case phaseChunkSize:
		l, ok, err := p.line()
		if err != nil || !ok {
			return stepMore, err
		}
		if i := bytes.IndexByte(l, ';'); i >= 0 {
			l = l[:i]
		}
		l = bytes.TrimRight(l, " \t")
		if len(l) == 0 || len(l) > 8 {
			return stepMore, fault(400, "bad chunk size")
		}
		n, perr := strconv.ParseUint(string(l), 16, 32)
		if perr != nil || l[0] == '+' {
			return stepMore, fault(400, "bad chunk size")
		}
		if n == 0 {
			p.phase = phaseTrailer
			return stepAgain, nil
		}
		if int(n) > p.limits.Body-len(p.msg.Body) {
			return stepMore, fault(413, "body too large")
		}
		p.need = int(n)
		p.phase = phaseChunkData
		return stepAgain, nil
	case phaseChunkData:
		n := min(p.need, len(p.buf)-p.off)
		p.msg.Body = append(p.msg.Body, p.buf[p.off:p.off+n]...)
		p.off += n
		p.need -= n
		if p.need > 0 {
			return stepMore, nil
		}
		p.phase = phaseChunkEnd
		return stepAgain, nil
	case phaseChunkEnd:
		if len(p.buf)-p.off < 2 {
			return stepMore, nil
		}
		if p.buf[p.off] != '\r' || p.buf[p.off+1] != '\n' {
			return stepMore, fault(400, "chunk does not end in CRLF")
		}
		p.off += 2
		p.phase = phaseChunkSize
		return stepAgain, nil
	case phaseTrailer:
		l, ok, err := p.line()
		if err != nil || !ok {
			return stepMore, err
		}
		p.head += len(l) + 2
		if p.head > p.limits.Head {
			return stepMore, fault(431, "trailer too large")
		}
		if len(l) == 0 {
			return stepMessage, nil
		}
		return stepAgain, nil
	case phaseUntilClose:
		if len(p.msg.Body)+len(p.buf)-p.off > p.limits.Body {
			return stepMore, fault(413, "body too large")
		}
		p.msg.Body = append(p.msg.Body, p.buf[p.off:]...)
		p.off = len(p.buf)
		return stepMore, nil
	}
	return stepMore, p.err
}

func (p *Parser) stepHead() (stepResult, *Error) {
	l, ok, err := p.line()
	if err != nil {
		return stepMore, err
	}
	if !ok {
		if p.head+len(p.buf)-p.off > p.limits.Head {
			return stepMore, fault(431, "head too large")
		}
		return stepMore, nil
	}
	p.head += len(l) + 2
	if p.head > p.limits.Head {
		return stepMore, fault(431, "head too large")
	}
	if !p.first {
		if len(l) == 0 {
			return stepAgain, nil // empty lines before a start line are allowed
		}
		p.msg = &Message{}
		p.first = true
		if p.response {
			return stepAgain, p.statusLine(l)
		}
		return stepAgain, p.requestLine(l)
	}
	if len(l) > 0 {
		return stepAgain, p.header(l)
	}
	return p.endOfHead()
}

func (p *Parser) endOfHead() (stepResult, *Error) {
	m := p.msg
	if p.chunked && p.length >= 0 {
		return stepMore, fault(400, "both Content-Length and Transfer-Encoding")
	}
	if p.response && m.Status < 200 {
		p.take() // an interim response says nothing to us
		return stepAgain, nil
	}
	if m.ExpectContinue {
		p.wantsGo = true
	}
	switch {
	case p.response && (m.Status == 204 || m.Status == 304):
		return stepMessage, nil
	case p.chunked:
		p.phase = phaseChunkSize
		return stepAgain, nil
	case p.length > p.limits.Body:
		return stepMore, fault(413, "body too large")
	case p.length > 0:
		p.need = p.length
		p.phase = phaseFixed
		return stepAgain, nil
	case p.response && p.length < 0:
		p.phase = phaseUntilClose
		return stepAgain, nil
	}
	return stepMessage, nil
}

func (p *Parser) version(v []byte) *Error {
	switch string(v) {
	case "HTTP/1.1":
		p.http10 = false
	case "HTTP/1.0":
		p.http10 = true
		p.msg.Close = true
	default:
		return fault(400, "unknown protocol version")
	}
	return nil
}

func (p *Parser) requestLine(l []byte) *Error {
	a := bytes.IndexByte(l, ' ')
	b := bytes.LastIndexByte(l, ' ')
	if a <= 0 || b <= a+1 || bytes.IndexByte(l[a+1:b], ' ') >= 0 {
		return fault(400, "bad request line")
	}
	for _, c := range l[:a] {
		if !tokenByte(c) {
			return fault(400, "bad method")
		}
	}
	for _, c := range l[a+1 : b] {
		if c <= ' ' || c >= 0x7f {
			return fault(400, "bad request target")
		}
	}
	p.msg.Method = string(l[:a])
	p.msg.Target = string(l[a+1 : b])
	return p.version(l[b+1:])
}

func (p *Parser) statusLine(l []byte) *Error {
	if len(l) < 12 || l[8] != ' ' {
		return fault(400, "bad status line")
	}
	if err := p.version(l[:8]); err != nil {
		return err
	}
	n, err := strconv.ParseUint(string(l[9:12]), 10, 16)
	if err != nil || n < 100 || n > 599 || len(l) > 12 && l[12] != ' ' {
		return fault(400, "bad status line")
	}
	p.msg.Status = int(n)
	return nil
}

func tokenByte(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func (p *Parser) header(l []byte) *Error {
	i := bytes.IndexByte(l, ':')
	if i <= 0 {
		return fault(400, "bad header line")
	}
	name := l[:i]
	for _, c := range name {
		if !tokenByte(c) {
			return fault(400, "bad header name")
		}
	}
	value := bytes.Trim(l[i+1:], " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return fault(400, "bad header value")
		}
	}
	m := p.msg
	switch {
	case equalFold(name, "content-length"):
		n, ok := decimal(value)
		if !ok {
			return fault(400, "bad Content-Length")
		}
		if p.length >= 0 && p.length != n {
			return fault(400, "conflicting Content-Length")
		}
		p.length = n
	case equalFold(name, "transfer-encoding"):
		if p.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return fault(400, "unsupported Transfer-Encoding")
		}
		p.chunked = true
	case equalFold(name, "connection"):
		for _, opt := range bytes.Split(value, []byte{','}) {
			opt = bytes.TrimSpace(opt)
			if bytes.EqualFold(opt, []byte("close")) {
				m.Close = true
			} else if p.http10 && bytes.EqualFold(opt, []byte("keep-alive")) {
				m.Close = false
			}
		}
	case equalFold(name, "retry-after"):
		if n, ok := decimal(value); ok {
			m.RetryAfter = n
		}
	case equalFold(name, "expect"):
		if !p.response && bytes.EqualFold(value, []byte("100-continue")) {
			m.ExpectContinue = true
		}
	}
	return nil
}

func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// decimal reads digits alone, within 2^31.
func decimal(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 10 {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, n < 1<<31
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
	421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse writes a response with a JSON body.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[status]...)
	dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	if closing {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// AppendRequest writes a request; a nil body writes none.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if body != nil {
		dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// Held is how many bytes wait to be parsed.
func (p *Parser) Held() int { return len(p.buf) - p.off }
