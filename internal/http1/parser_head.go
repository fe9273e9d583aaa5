package http1

import (
	"bytes"
	"strconv"
)

func (parser *Parser) parseHead() (stepResult, *Error) {
	line, ok, err := parser.readLine()
	if err != nil {
		return stepNeedsInput, err
	}
	if !ok {
		if parser.headBytes+len(parser.buffer)-parser.consumed > parser.limits.Head {
			return stepNeedsInput, newError(431, "head too large")
		}
		return stepNeedsInput, nil
	}
	parser.headBytes += len(line) + 2
	if parser.headBytes > parser.limits.Head {
		return stepNeedsInput, newError(431, "head too large")
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

func (parser *Parser) finishHead() (stepResult, *Error) {
	message := parser.message
	if parser.isChunked && parser.contentLength >= 0 {
		return stepNeedsInput, newError(400, "both Content-Length and Transfer-Encoding")
	}
	if parser.isResponse && message.Status < 200 {
		parser.takeMessage() // an interim response says nothing to us
		return stepContinues, nil
	}
	if message.ExpectContinue {
		parser.continuePending = true
	}
	switch {
	case parser.isResponse && (message.Status == 204 || message.Status == 304):
		return stepHasMessage, nil
	case parser.isChunked:
		parser.phase = phaseChunkSize
		return stepContinues, nil
	case parser.contentLength > parser.limits.Body:
		return stepNeedsInput, newError(413, "body too large")
	case parser.contentLength > 0:
		parser.remaining = parser.contentLength
		parser.phase = phaseFixedBody
		return stepContinues, nil
	case parser.isResponse && parser.contentLength < 0:
		parser.phase = phaseUntilClose
		return stepContinues, nil
	}
	return stepHasMessage, nil
}

func (parser *Parser) parseVersion(version []byte) *Error {
	switch string(version) {
	case "HTTP/1.1":
		parser.isHTTP10 = false
	case "HTTP/1.0":
		parser.isHTTP10 = true
		parser.message.Close = true
	default:
		return newError(400, "unknown protocol version")
	}
	return nil
}

func (parser *Parser) parseRequestLine(line []byte) *Error {
	firstSpace := bytes.IndexByte(line, ' ')
	lastSpace := bytes.LastIndexByte(line, ' ')
	if firstSpace <= 0 || lastSpace <= firstSpace+1 || bytes.IndexByte(line[firstSpace+1:lastSpace], ' ') >= 0 {
		return newError(400, "bad request line")
	}
	for _, c := range line[:firstSpace] {
		if !isTokenByte(c) {
			return newError(400, "bad method")
		}
	}
	for _, c := range line[firstSpace+1 : lastSpace] {
		if c <= ' ' || c >= 0x7f {
			return newError(400, "bad request target")
		}
	}
	parser.message.Method = string(line[:firstSpace])
	parser.message.Target = string(line[firstSpace+1 : lastSpace])
	return parser.parseVersion(line[lastSpace+1:])
}

func (parser *Parser) parseStatusLine(line []byte) *Error {
	if len(line) < 12 || line[8] != ' ' {
		return newError(400, "bad status line")
	}
	if err := parser.parseVersion(line[:8]); err != nil {
		return err
	}
	status, err := strconv.ParseUint(string(line[9:12]), 10, 16)
	if err != nil || status < 100 || status > 599 || len(line) > 12 && line[12] != ' ' {
		return newError(400, "bad status line")
	}
	parser.message.Status = int(status)
	return nil
}

func isTokenByte(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func (parser *Parser) parseHeader(line []byte) *Error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return newError(400, "bad header line")
	}
	name := line[:colon]
	for _, c := range name {
		if !isTokenByte(c) {
			return newError(400, "bad header name")
		}
	}
	value := bytes.Trim(line[colon+1:], " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return newError(400, "bad header value")
		}
	}
	message := parser.message
	switch {
	case equalsLowercase(name, "content-length"):
		number, ok := parseDecimal(value)
		if !ok {
			return newError(400, "bad Content-Length")
		}
		if parser.contentLength >= 0 && parser.contentLength != number {
			return newError(400, "conflicting Content-Length")
		}
		parser.contentLength = number
	case equalsLowercase(name, "transfer-encoding"):
		if parser.isChunked || !bytes.EqualFold(value, []byte("chunked")) {
			return newError(400, "unsupported Transfer-Encoding")
		}
		parser.isChunked = true
	case equalsLowercase(name, "connection"):
		for _, option := range bytes.Split(value, []byte{','}) {
			option = bytes.TrimSpace(option)
			if bytes.EqualFold(option, []byte("close")) {
				message.Close = true
			} else if parser.isHTTP10 && bytes.EqualFold(option, []byte("keep-alive")) {
				message.Close = false
			}
		}
	case equalsLowercase(name, "retry-after"):
		if number, ok := parseDecimal(value); ok {
			message.RetryAfter = number
		}
	case equalsLowercase(name, "expect"):
		if !parser.isResponse && bytes.EqualFold(value, []byte("100-continue")) {
			message.ExpectContinue = true
		}
	}
	return nil
}

func equalsLowercase(text []byte, lower string) bool {
	if len(text) != len(lower) {
		return false
	}
	for i, c := range text {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// parseDecimal reads digits alone, within 2^31.
func parseDecimal(digits []byte) (int, bool) {
	if len(digits) == 0 || len(digits) > 10 {
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
