package http1

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
)

// parseHead parses one line of the head: the start line, a header, or the empty line that ends the head.
func (parser *Parser) parseHead() (stepResult, *Error) {
	line, ok, err := parser.readLine()
	if err != nil {
		return stepNeedsInput, err
	}
	if !ok {
		if parser.headBytes+parser.Buffered() > parser.limits.Head {
			return stepNeedsInput, errHeadTooLarge
		}
		return stepNeedsInput, nil
	}
	parser.headBytes += len(line) + len(lineEnd)
	if parser.headBytes > parser.limits.Head {
		return stepNeedsInput, errHeadTooLarge
	}
	if !parser.hasStartLine {
		if len(line) == 0 {
			return stepContinues, nil // empty lines before a start line are allowed
		}
		parser.message = &Message{}
		parser.hasStartLine = true
		if parser.isResponse {
			return stepContinues, parser.parseStatusLine(line)
		}
		return stepContinues, parser.parseRequestLine(line)
	}
	if len(line) > 0 {
		return stepContinues, parser.parseHeader(line)
	}
	return parser.finishHead()
}

// finishHead decides from the head how the body is delimited (RFC 9112, section 6.3).
func (parser *Parser) finishHead() (stepResult, *Error) {
	message := parser.message
	if parser.isChunked && parser.contentLength >= 0 {
		return stepNeedsInput, newError(http.StatusBadRequest, "both Content-Length and Transfer-Encoding")
	}
	if parser.isResponse && message.Status < http.StatusOK {
		parser.takeMessage() // skips an interim (1xx) response
		return stepContinues, nil
	}
	if message.ExpectContinue {
		parser.isContinuePending = true
	}
	hasNoBody := parser.isResponse && (message.Status == http.StatusNoContent || message.Status == http.StatusNotModified)
	switch {
	case hasNoBody:
		return stepHasMessage, nil
	case parser.isChunked:
		parser.phase = phaseChunkSize
		return stepContinues, nil
	case parser.contentLength > parser.bodyLimit():
		return stepNeedsInput, errBodyTooLarge
	case parser.contentLength > 0:
		parser.remaining = parser.contentLength
		parser.phase = phaseFixedBody
		return stepContinues, nil
	case parser.isResponse && parser.contentLength < 0:
		parser.phase = phaseUntilClose
		return stepContinues, nil
	}
	// With a Content-Length of 0, or for a request without a length, there is no body.
	return stepHasMessage, nil
}

// bodyLimit returns the largest size in bytes of the body of the message that is being read.
func (parser *Parser) bodyLimit() int {
	if parser.isResponse || parser.limits.RequestBody == nil {
		return parser.limits.Body
	}
	return parser.limits.RequestBody(parser.message.Target)
}

// deleteByte is the highest ASCII control character, DEL.
const deleteByte = 0x7f

// parseVersion parses the protocol version. With HTTP/1.0 the connection closes by default.
func (parser *Parser) parseVersion(version []byte) *Error {
	switch string(version) {
	case "HTTP/1.1":
		parser.isHTTP10 = false
	case "HTTP/1.0":
		parser.isHTTP10 = true
		parser.message.Close = true
	default:
		return newError(http.StatusBadRequest, "unknown protocol version")
	}
	return nil
}

func (parser *Parser) parseRequestLine(line []byte) *Error {
	firstSpace := bytes.IndexByte(line, ' ')
	lastSpace := bytes.LastIndexByte(line, ' ')
	if firstSpace <= 0 || lastSpace <= firstSpace+1 || bytes.IndexByte(line[firstSpace+1:lastSpace], ' ') >= 0 {
		return newError(http.StatusBadRequest, "bad request line")
	}
	if !isToken(line[:firstSpace]) {
		return newError(http.StatusBadRequest, "bad method")
	}
	for _, c := range line[firstSpace+1 : lastSpace] {
		if c <= ' ' || c >= deleteByte {
			return newError(http.StatusBadRequest, "bad request target")
		}
	}
	parser.message.Method = string(line[:firstSpace])
	parser.message.Target = string(line[firstSpace+1 : lastSpace])
	return parser.parseVersion(line[lastSpace+1:])
}

func (parser *Parser) parseStatusLine(line []byte) *Error {
	const (
		versionEnd  = len("HTTP/1.1")
		statusStart = versionEnd + 1
		statusEnd   = statusStart + 3
	)
	if len(line) < statusEnd || line[versionEnd] != ' ' {
		return newError(http.StatusBadRequest, "bad status line")
	}
	if err := parser.parseVersion(line[:versionEnd]); err != nil {
		return err
	}
	status, err := strconv.ParseUint(string(line[statusStart:statusEnd]), 10, 16)
	if err != nil || status < 100 || status > 599 || len(line) > statusEnd && line[statusEnd] != ' ' {
		return newError(http.StatusBadRequest, "bad status line")
	}
	parser.message.Status = int(status)
	return nil
}

// isToken reports whether all bytes are allowed in a method or a header name (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	return !slices.ContainsFunc(text, func(c byte) bool { return !isTokenByte(c) })
}

func isTokenByte(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

// parseHeader parses a header line. Headers that don't concern the parser are only checked.
func (parser *Parser) parseHeader(line []byte) *Error {
	name, value, err := splitHeader(line)
	if err != nil {
		return err
	}
	switch {
	case isHeaderName(name, "content-length"):
		return parser.applyContentLength(value)
	case isHeaderName(name, "transfer-encoding"):
		if parser.isChunked || !bytes.EqualFold(value, []byte("chunked")) {
			return newError(http.StatusBadRequest, "unsupported Transfer-Encoding")
		}
		parser.isChunked = true
	case isHeaderName(name, "connection"):
		parser.applyConnectionHeader(value)
	case isHeaderName(name, "retry-after"):
		if seconds, ok := parseDecimal(value); ok {
			parser.message.RetryAfter = seconds
		}
	case isHeaderName(name, "expect"):
		if !parser.isResponse && bytes.EqualFold(value, []byte("100-continue")) {
			parser.message.ExpectContinue = true
		}
	}
	return nil
}

// splitHeader returns the name and the value of a header line, without the whitespace around the value.
func splitHeader(line []byte) (name, value []byte, err *Error) {
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon || len(name) == 0 {
		return nil, nil, newError(http.StatusBadRequest, "bad header line")
	}
	if !isToken(name) {
		return nil, nil, newError(http.StatusBadRequest, "bad header name")
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == deleteByte {
			return nil, nil, newError(http.StatusBadRequest, "bad header value")
		}
	}
	return name, value, nil
}

func (parser *Parser) applyContentLength(value []byte) *Error {
	length, ok := parseDecimal(value)
	if !ok {
		return newError(http.StatusBadRequest, "bad Content-Length")
	}
	if parser.contentLength >= 0 && parser.contentLength != length {
		return newError(http.StatusBadRequest, "conflicting Content-Length")
	}
	parser.contentLength = length
	return nil
}

func (parser *Parser) applyConnectionHeader(value []byte) {
	for _, option := range bytes.Split(value, []byte{','}) {
		option = bytes.TrimSpace(option)
		switch {
		case bytes.EqualFold(option, []byte("close")):
			parser.message.Close = true
		case parser.isHTTP10 && bytes.EqualFold(option, []byte("keep-alive")):
			parser.message.Close = false
		}
	}
}

// isHeaderName reports whether name equals lowerName, ignoring ASCII case. lowerName must be lower case.
func isHeaderName(name []byte, lowerName string) bool {
	if len(name) != len(lowerName) {
		return false
	}
	for i, c := range name {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lowerName[i] {
			return false
		}
	}
	return true
}

// maxDecimalDigits is the number of digits of the largest number that parseDecimal reads.
const maxDecimalDigits = 10

// parseDecimal parses a number below 2^31. The text must have at most maxDecimalDigits digits and nothing
// else: no sign and no spaces.
func parseDecimal(digits []byte) (int, bool) {
	if len(digits) == 0 || len(digits) > maxDecimalDigits {
		return 0, false
	}
	value := 0
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		value = value*10 + int(c-'0')
	}
	return value, value < 1<<31
}
