package http1

import (
	"strconv"
)

// reasonPhrases are those of the statuses in use; for another status the phrase is empty.
var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
	421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// ContentTypeJSON is the media type of a response that names none.
const ContentTypeJSON = "application/json"

// Response is a response to be sent.
type Response struct {
	Status      int
	ContentType string // "" is ContentTypeJSON
	Body        []byte
	RetryAfter  int  // seconds, 0 for none
	Close       bool // the connection is closed after it
}

// AppendResponse appends a response to dst.
func AppendResponse(dst []byte, response *Response) []byte {
	contentType := response.ContentType
	if contentType == "" {
		contentType = ContentTypeJSON
	}
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(response.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrases[response.Status]...)
	dst = append(dst, "\r\nContent-Type: "...)
	dst = append(dst, contentType...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(response.Body)), 10)
	if response.RetryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(response.RetryAfter), 10)
	}
	if response.Close {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, response.Body...)
}

// AppendRequest appends a request to dst, with a JSON body unless it is nil.
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
