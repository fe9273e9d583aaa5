package http1

import (
	"bytes"
	"net/http"
	"strconv"
)

// maxChunkSizeDigits is the largest number of hexadecimal digits in a chunk size, which must fit into 32 bits.
const maxChunkSizeDigits = 8

// readBody moves buffered bytes of the body or chunk to the message, and reports whether the body or chunk
// is complete.
func (parser *Parser) readBody() bool {
	size := min(parser.remaining, parser.Buffered())
	parser.message.Body = append(parser.message.Body, parser.buffer[parser.consumed:parser.consumed+size]...)
	parser.consumed += size
	parser.remaining -= size
	return parser.remaining == 0
}

// readFixedBody reads a body whose length the head has given.
func (parser *Parser) readFixedBody() (stepResult, *Error) {
	if !parser.readBody() {
		return stepNeedsInput, nil
	}
	return stepHasMessage, nil
}

// readChunkSize reads the line before a chunk. A size of 0 ends the body.
func (parser *Parser) readChunkSize() (stepResult, *Error) {
	line, ok, err := parser.readLine()
	if err != nil || !ok {
		return stepNeedsInput, err
	}
	size, ok := parseChunkSize(line)
	if !ok {
		return stepNeedsInput, newError(http.StatusBadRequest, "bad chunk size")
	}
	if size == 0 {
		parser.phase = phaseTrailer
		return stepContinues, nil
	}
	if size > parser.bodyLimit()-len(parser.message.Body) {
		return stepNeedsInput, errBodyTooLarge
	}
	parser.remaining = size
	parser.phase = phaseChunkData
	return stepContinues, nil
}

// parseChunkSize parses a line of hexadecimal digits, which may be followed by a semicolon and extensions.
func parseChunkSize(line []byte) (int, bool) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits || digits[0] == '+' {
		return 0, false
	}
	size, err := strconv.ParseUint(string(digits), 16, 32)
	return int(size), err == nil
}

// readChunkData reads the bytes of a chunk.
func (parser *Parser) readChunkData() (stepResult, *Error) {
	if !parser.readBody() {
		return stepNeedsInput, nil
	}
	parser.phase = phaseChunkEnd
	return stepContinues, nil
}

// readChunkEnd reads the CRLF after the bytes of a chunk.
func (parser *Parser) readChunkEnd() (stepResult, *Error) {
	if parser.Buffered() < len(lineEnd) {
		return stepNeedsInput, nil
	}
	if !bytes.HasPrefix(parser.buffer[parser.consumed:], lineEnd) {
		return stepNeedsInput, newError(http.StatusBadRequest, "chunk does not end in CRLF")
	}
	parser.consumed += len(lineEnd)
	parser.phase = phaseChunkSize
	return stepContinues, nil
}

// skipTrailer skips the header lines after the last chunk, up to and including the empty line. The lines
// count towards the limit of the head.
func (parser *Parser) skipTrailer() (stepResult, *Error) {
	line, ok, err := parser.readLine()
	if err != nil || !ok {
		return stepNeedsInput, err
	}
	parser.headBytes += len(line) + len(lineEnd)
	if parser.headBytes > parser.limits.Head {
		return stepNeedsInput, newError(http.StatusRequestHeaderFieldsTooLarge, "trailer too large")
	}
	if len(line) == 0 {
		return stepHasMessage, nil
	}
	return stepContinues, nil
}

// readUntilClose reads the body of a response without a length. The body ends at HandleEOF.
func (parser *Parser) readUntilClose() (stepResult, *Error) {
	if len(parser.message.Body)+parser.Buffered() > parser.limits.Body {
		return stepNeedsInput, errBodyTooLarge
	}
	parser.message.Body = append(parser.message.Body, parser.buffer[parser.consumed:]...)
	parser.consumed = len(parser.buffer)
	return stepNeedsInput, nil
}
