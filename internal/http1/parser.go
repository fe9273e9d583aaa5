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
	phaseFixedBody
	phaseChunkSize
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	phaseUntilClose
	phaseFailed
)

// Parser takes bytes as they come and yields whole messages.
type Parser struct {
	limits     Limits
	isResponse bool

	buffer          []byte
	consumed        int // start of what is not yet consumed
	scanOffset      int // where the search for the end of a line goes on
	headBytes       int // bytes of the head seen so far, line ends included
	phase           phase
	hasStartLine    bool // the start line has been read
	message         *Message
	remaining       int // bytes left of the body or chunk
	contentLength   int // Content-Length, -1 if none
	isChunked       bool
	isHTTP10        bool
	err             *Error
	continuePending bool
}

// NewRequestParser parses what clients send.
func NewRequestParser(limits Limits) *Parser { return &Parser{limits: limits, contentLength: -1} }

// NewResponseParser parses what servers send.
func NewResponseParser(limits Limits) *Parser {
	return &Parser{limits: limits, contentLength: -1, isResponse: true}
}

// Feed adds bytes that arrived.
func (parser *Parser) Feed(data []byte) {
	if parser.phase == phaseFailed {
		return
	}
	if parser.consumed > 0 && parser.consumed == len(parser.buffer) {
		parser.buffer = parser.buffer[:0]
		parser.scanOffset -= parser.consumed
		parser.consumed = 0
	}
	parser.buffer = append(parser.buffer, data...)
}

// IsIdle tells that no message is half read.
func (parser *Parser) IsIdle() bool {
	return parser.phase == phaseHead && !parser.hasStartLine && parser.consumed == len(parser.buffer)
}

// TakeContinueRequest tells, once, that the message being read waits for a 100.
func (parser *Parser) TakeContinueRequest() bool {
	isPending := parser.continuePending
	parser.continuePending = false
	return isPending
}

// Next returns the next whole message, nil if more bytes are needed, or the
// fault that ends the connection.
func (parser *Parser) Next() (*Message, error) {
	for {
		result, err := parser.advance()
		if err != nil {
			parser.phase = phaseFailed
			parser.err = err
			parser.buffer = nil
			parser.consumed, parser.scanOffset = 0, 0
		}
		if parser.phase == phaseFailed {
			return nil, parser.err
		}
		if result == stepNeedsInput {
			parser.compact()
			return nil, nil
		}
		if result == stepHasMessage {
			return parser.takeMessage(), nil
		}
	}
}

// HandleEOF tells that the peer has closed. A response that runs until the close is
// whole then; anything else half read is a fault.
func (parser *Parser) HandleEOF() (*Message, error) {
	if parser.phase == phaseUntilClose {
		message := parser.takeMessage()
		message.Close = true
		return message, nil
	}
	if parser.phase == phaseFailed {
		return nil, parser.err
	}
	if parser.IsIdle() {
		return nil, nil
	}
	return nil, newError(400, "connection closed within a message")
}

func (parser *Parser) takeMessage() *Message {
	message := parser.message
	parser.message = nil
	parser.phase = phaseHead
	parser.hasStartLine = false
	parser.headBytes = 0
	parser.contentLength = -1
	parser.isChunked = false
	parser.compact()
	return message
}

// compact gives back the room of consumed bytes, and large buffers altogether.
func (parser *Parser) compact() {
	if parser.consumed == 0 {
		return
	}
	remaining := len(parser.buffer) - parser.consumed
	if remaining == 0 && cap(parser.buffer) > 8<<10 {
		parser.buffer = nil
	} else {
		copy(parser.buffer, parser.buffer[parser.consumed:])
		parser.buffer = parser.buffer[:remaining]
	}
	parser.scanOffset = max(0, parser.scanOffset-parser.consumed)
	parser.consumed = 0
}

type stepResult uint8

const (
	stepContinues stepResult = iota
	stepNeedsInput
	stepHasMessage
)

// readLine cuts the next line that ends in CRLF, nil if it is not whole yet.
func (parser *Parser) readLine() ([]byte, bool, *Error) {
	if parser.scanOffset < parser.consumed {
		parser.scanOffset = parser.consumed
	}
	newline := bytes.IndexByte(parser.buffer[parser.scanOffset:], '\n')
	if newline < 0 {
		parser.scanOffset = len(parser.buffer)
		if len(parser.buffer)-parser.consumed > parser.limits.Line {
			return nil, false, newError(431, "line too long")
		}
		return nil, false, nil
	}
	end := parser.scanOffset + newline
	line := parser.buffer[parser.consumed:end]
	if len(line) > parser.limits.Line {
		return nil, false, newError(431, "line too long")
	}
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return nil, false, newError(400, "line does not end in CRLF")
	}
	parser.consumed = end + 1
	parser.scanOffset = parser.consumed
	return line[:len(line)-1], true, nil
}

func (parser *Parser) advance() (stepResult, *Error) {
	switch parser.phase {
	case phaseHead:
		return parser.parseHead()
	case phaseFixedBody:
		size := min(parser.remaining, len(parser.buffer)-parser.consumed)
		parser.message.Body = append(parser.message.Body, parser.buffer[parser.consumed:parser.consumed+size]...)
		parser.consumed += size
		parser.remaining -= size
		if parser.remaining > 0 {
			return stepNeedsInput, nil
		}
		return stepHasMessage, nil
	case phaseChunkSize:
		line, ok, err := parser.readLine()
		if err != nil || !ok {
			return stepNeedsInput, err
		}
		if semicolon := bytes.IndexByte(line, ';'); semicolon >= 0 {
			line = line[:semicolon]
		}
		line = bytes.TrimRight(line, " \t")
		if len(line) == 0 || len(line) > 8 {
			return stepNeedsInput, newError(400, "bad chunk size")
		}
		size, parseErr := strconv.ParseUint(string(line), 16, 32)
		if parseErr != nil || line[0] == '+' {
			return stepNeedsInput, newError(400, "bad chunk size")
		}
		if size == 0 {
			parser.phase = phaseTrailer
			return stepContinues, nil
		}
		if int(size) > parser.limits.Body-len(parser.message.Body) {
			return stepNeedsInput, newError(413, "body too large")
		}
		parser.remaining = int(size)
		parser.phase = phaseChunkData
		return stepContinues, nil
	case phaseChunkData:
		size := min(parser.remaining, len(parser.buffer)-parser.consumed)
		parser.message.Body = append(parser.message.Body, parser.buffer[parser.consumed:parser.consumed+size]...)
		parser.consumed += size
		parser.remaining -= size
		if parser.remaining > 0 {
			return stepNeedsInput, nil
		}
		parser.phase = phaseChunkEnd
		return stepContinues, nil
	case phaseChunkEnd:
		if len(parser.buffer)-parser.consumed < 2 {
			return stepNeedsInput, nil
		}
		if parser.buffer[parser.consumed] != '\r' || parser.buffer[parser.consumed+1] != '\n' {
			return stepNeedsInput, newError(400, "chunk does not end in CRLF")
		}
		parser.consumed += 2
		parser.phase = phaseChunkSize
		return stepContinues, nil
	case phaseTrailer:
		line, ok, err := parser.readLine()
		if err != nil || !ok {
			return stepNeedsInput, err
		}
		parser.headBytes += len(line) + 2
		if parser.headBytes > parser.limits.Head {
			return stepNeedsInput, newError(431, "trailer too large")
		}
		if len(line) == 0 {
			return stepHasMessage, nil
		}
		return stepContinues, nil
	case phaseUntilClose:
		if len(parser.message.Body)+len(parser.buffer)-parser.consumed > parser.limits.Body {
			return stepNeedsInput, newError(413, "body too large")
		}
		parser.message.Body = append(parser.message.Body, parser.buffer[parser.consumed:]...)
		parser.consumed = len(parser.buffer)
		return stepNeedsInput, nil
	}
	return stepNeedsInput, parser.err
}

// Buffered is how many bytes wait to be parsed.
func (parser *Parser) Buffered() int { return len(parser.buffer) - parser.consumed }
