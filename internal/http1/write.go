package http1

import (
	"strconv"
)

// reasonPhrases maps the statuses in use to their reason phrases. Other statuses get an empty phrase.
var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
	421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// ContentTypeJSON is the media type of a response that doesn't specify one.
const ContentTypeJSON = "application/json"

// Response is a response to be sent.
type Response struct {
	Status      int
	ContentType string // "" means ContentTypeJSON
	Body        []byte
	RetryAfter  int  // Retry-After header in seconds; 0 for no header
	Close       bool // whether the connection is closed after the response
}

// AppendResponse appends an encoded response to dst.
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

// AppendRequest appends an encoded request to dst. The request has a JSON body unless body is nil.
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
