package main

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/spf13/cobra"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
)

const (
	requestTimeout   = 10 * clock.Second
	maxResponseBytes = 4 << 20
	statusOK         = 200
)

// sendRequest sends one request to a controller or worker. The address has the form IP:port.
func sendRequest(address, method, target string, body []byte) (*http1.Message, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("%q is not IP:port", address)
	}
	host := client.NewHost(client.DialTCP, address, 0, maxResponseBytes)
	defer host.Close()
	return host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: requestTimeout})
}

// getJSON sends a GET request to a controller and decodes the response into value.
func getJSON(address, target string, value any) error {
	response, err := sendRequest(address, "GET", target, nil)
	if err != nil {
		return err
	}
	if response.Status != statusOK {
		return fmt.Errorf("the controller answered %d", response.Status)
	}
	if err := json.Unmarshal(response.Body, value); err != nil {
		return fmt.Errorf("the controller's answer cannot be decoded: %w", err)
	}
	return nil
}

// addNodeFlag adds the flag --node to a command and its subcommands.
func addNodeFlag(command *cobra.Command, node *string) {
	command.PersistentFlags().StringVar(node, "node", "127.0.0.1:8080", "a controller's `IP:PORT`")
}
