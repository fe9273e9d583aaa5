package main

import (
	"fmt"
	"net/netip"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
)

// sendRequest makes one request of a controller.
func sendRequest(address, method, target string, body []byte) (*http1.Message, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("%q is not IP:port", address)
	}
	host := client.NewHost(client.DialTCP, address, 0, 4<<20)
	defer host.Close()
	return host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: 10 * clock.Second})
}
