// Package http1 implements HTTP/1.1 framing in both directions: an incremental parser of requests and
// responses that uses bounded memory, and functions that write requests and responses. It does no I/O, so
// that tests can feed it arbitrary bytes, split at any point.
package http1

import (
	"bytes"
	"fmt"
	"net/http"
)

// phase is the part of a message that the parser reads next.
type phase uint8

const (
	phaseHead       phase = iota // start line and headers
	phaseFixedBody               // a body of Content-Length bytes
	phaseChunkSize               // the line before a chunk
	phaseChunkData               // the bytes of a chunk
	phaseChunkEnd                // the CRLF after a chunk
	phaseTrailer                 // header lines after the last chunk
	phaseUntilClose              // the body of a response that the peer's close ends
	phaseFailed                  // an error was found; nothing more is parsed
)

// String returns the name of the phase, for test failures.
func (p phase) String() string {
	names := [...]string{"head", "fixed body", "chunk size", "chunk data", "chunk end", "trailer", "until close", "failed"}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("phase %d", uint8(p))
}

// headState is what the parser has learned from the head of the current message.
type headState struct {
	headBytes     int  // bytes of head and trailer seen so far, line ends included
	hasStartLine  bool // the start line has been read
	contentLength int  // -1 if there is no Content-Length
	isChunked     bool // Transfer-Encoding is chunked
}

// newHeadState returns the state before the first byte of a message.
func newHeadState() headState { return headState{contentLength: -1} }

// Parser is an incremental parser of requests or of responses.
type Parser struct {
	limits     Limits
	isResponse bool

	buffer     []byte
	consumed   int // offset of the first byte that has not been consumed
	scanOffset int // offset at which the search for the end of the current line continues

	phase     phase
	headState          // reset for each message
	isHTTP10  bool     // whether the version is HTTP/1.0; set by each start line
	message   *Message // the message that is being read; nil before its start line
	remaining int      // number of bytes of the body or chunk that have not been read
	err       *Error   // the error that Next returns; set in phaseFailed

	// isContinuePending is true if the sender of a message whose head is complete waits for a 100
	// Continue. It stays set until TakeContinueRequest is called, even if the message ends before that.
	isContinuePending bool
}

// NewRequestParser returns a parser of requests.
func NewRequestParser(limits Limits) *Parser {
	return &Parser{limits: limits, headState: newHeadState()}
}

// NewResponseParser returns a parser of responses.
func NewResponseParser(limits Limits) *Parser {
	return &Parser{limits: limits, headState: newHeadState(), isResponse: true}
}

// Feed appends received bytes to the buffer.
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

// IsIdle reports whether the parser is between two messages: no byte of the next one has been received.
func (parser *Parser) IsIdle() bool {
	return parser.phase == phaseHead && !parser.hasStartLine && parser.consumed == len(parser.buffer)
}

// TakeContinueRequest reports whether the sender of a message waits for a 100 Continue. It returns true
// only once for each such message.
func (parser *Parser) TakeContinueRequest() bool {
	isPending := parser.isContinuePending
	parser.isContinuePending = false
	return isPending
}

// Next returns the next whole message, or nil without an error if the parser needs more bytes. An error
// is an *Error. After it nothing more is parsed, and every later call returns the same error.
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

// HandleEOF is called when the peer has closed the connection. It returns the response that the close
// completes, or nil without an error if no message had begun. Any other incomplete message is an error.
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
	return nil, newError(http.StatusBadRequest, "connection closed within a message")
}

// takeMessage returns the complete message and resets the parser for the next one.
func (parser *Parser) takeMessage() *Message {
	message := parser.message
	parser.message = nil
	parser.phase = phaseHead
	parser.headState = newHeadState()
	parser.compact()
	return message
}

// compact drops the consumed bytes. If nothing is left in the buffer, it frees a buffer larger than
// maxIdleBuffer.
func (parser *Parser) compact() {
	if parser.consumed == 0 {
		return
	}
	remaining := parser.Buffered()
	if remaining == 0 && cap(parser.buffer) > maxIdleBuffer {
		parser.buffer = nil
	} else {
		copy(parser.buffer, parser.buffer[parser.consumed:])
		parser.buffer = parser.buffer[:remaining]
	}
	parser.scanOffset = max(0, parser.scanOffset-parser.consumed)
	parser.consumed = 0
}

// lineEnd ends the lines of the head, of chunk sizes and of the trailer, and follows the data of each chunk.
var lineEnd = []byte("\r\n")

// maxIdleBuffer is the size in bytes of the largest buffer that an idle parser keeps.
const maxIdleBuffer = 8 << 10

// stepResult is the result of one step of the parser.
type stepResult uint8

const (
	stepContinues  stepResult = iota // the parser can take another step
	stepNeedsInput                   // the buffer does not hold a whole line or body yet
	stepHasMessage                   // parser.message is complete
)

// String returns the name of the result, for test failures.
func (result stepResult) String() string {
	switch result {
	case stepContinues:
		return "continues"
	case stepNeedsInput:
		return "needs input"
	case stepHasMessage:
		return "has message"
	}
	return fmt.Sprintf("step result %d", uint8(result))
}

// readLine consumes the next line and returns it without its CRLF. It returns false if the line is not
// complete yet.
func (parser *Parser) readLine() ([]byte, bool, *Error) {
	if parser.scanOffset < parser.consumed {
		parser.scanOffset = parser.consumed
	}
	newline := bytes.IndexByte(parser.buffer[parser.scanOffset:], '\n')
	if newline < 0 {
		parser.scanOffset = len(parser.buffer)
		if parser.Buffered() > parser.limits.Line {
			return nil, false, errLineTooLong
		}
		return nil, false, nil
	}
	end := parser.scanOffset + newline
	line := parser.buffer[parser.consumed:end]
	if len(line) > parser.limits.Line {
		return nil, false, errLineTooLong
	}
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return nil, false, newError(http.StatusBadRequest, "line does not end in CRLF")
	}
	parser.consumed = end + 1
	parser.scanOffset = parser.consumed
	return line[:len(line)-1], true, nil
}

// advance takes one step of the current phase.
func (parser *Parser) advance() (stepResult, *Error) {
	switch parser.phase {
	case phaseHead:
		return parser.parseHead()
	case phaseFixedBody:
		return parser.readFixedBody()
	case phaseChunkSize:
		return parser.readChunkSize()
	case phaseChunkData:
		return parser.readChunkData()
	case phaseChunkEnd:
		return parser.readChunkEnd()
	case phaseTrailer:
		return parser.skipTrailer()
	case phaseUntilClose:
		return parser.readUntilClose()
	}
	return stepNeedsInput, parser.err
}

// Buffered returns the number of bytes that have been fed but not parsed yet.
func (parser *Parser) Buffered() int { return len(parser.buffer) - parser.consumed }
