package http1

import (
	"bytes"
	"strconv"
)

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
