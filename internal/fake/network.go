package fake

import (
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"time"
)

// Network opens the listeners and connections of the fakes: over loopback (Loopback) or in memory
// (MemoryNetwork).
type Network interface {
	// Listen opens a listener on a host.
	Listen(host string) (net.Listener, error)
	// Dial opens a connection from a host to an address.
	Dial(host, address string, timeout time.Duration) (net.Conn, error)
}

// Loopback is a Network on the loopback interface of this machine. It does not distinguish hosts.
type Loopback struct{}

// Listen opens a listener on a free port.
func (Loopback) Listen(string) (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// Dial connects over TCP.
func (Loopback) Dial(_, address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, timeout)
}

// Serve runs an HTTP server on a host until the returned function is called. It returns the server's
// address, host:port.
func Serve(network Network, host string, handler http.Handler) (address string, stop func()) {
	listener, err := network.Listen(host)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: bufferResponse(handler)}
	go server.Serve(listener) //nolint:errcheck // ends with Close
	return listener.Addr().String(), func() { server.Close() }
}

// bufferResponse returns a handler that writes the response of the given handler only after that handler
// has returned. Handlers hold locks while they run, and a write to a partitioned peer blocks.
func bufferResponse(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		w.Write(recorder.Body.Bytes()) //nolint:errcheck // the peer may be gone
	})
}
