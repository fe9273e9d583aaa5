// Package http1 owns HTTP/1.1 framing in both directions: an incremental,
// bounded parser of requests and responses, and the writers of both. It knows
// nothing of sockets, so that it can be fed any split of any bytes.
package http1

import (
	"bytes"
	"strconv"
)

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

// Held is how many bytes wait to be parsed.
func (p *Parser) Held() int { return len(p.buf) - p.off }
