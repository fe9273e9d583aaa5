package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

// startFakeController starts a server that replies to every request with the given status and body, and
// returns its address and the requests that it has received.
func startFakeController(t *testing.T, status int, body string) (address string, requests *[]string) {
	t.Helper()
	requests = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*requests = append(*requests, r.Method+" "+r.URL.Path) // needs no lock: commands send one request at a time
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body)) // an error shows in the command's output
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

// `firwood job cancel` and its alias `withdraw` must send the same request, print the same output and
// end with the same exit status.
func TestWithdrawIsAliasOfCancel(t *testing.T) {
	for _, testCase := range []struct {
		name     string
		status   int
		body     string
		out      string
		exitCode int
	}{
		{"cancelled", 200, `{"nameId":"req-000001","stage":"aborted"}`, "req-000001 aborted\n", 0},
		{"done already", 200, `{"nameId":"req-000001","stage":"done"}`, "req-000001 done\n", 0},
		{"unknown job", 404, `{"error":"no such job"}`, "firwood: the controller answered 404: no such job\n", exitFailed},
		{"no leader", 503, ``, "firwood: the controller answered 503\n", exitFailed},
	} {
		for _, name := range []string{"cancel", "withdraw"} {
			address, requests := startFakeController(t, testCase.status, testCase.body)
			out, err := executeCommand("job", name, "req-000001", "--node", address)
			var errorOut bytes.Buffer
			exitCode := reportError(err, &errorOut)
			if out += errorOut.String(); out != testCase.out || exitCode != testCase.exitCode {
				t.Errorf("%s, %s: exit status %d, output %q, want those of the test case", name, testCase.name, exitCode, out)
			}
			if want := []string{"POST /api/jobs/req-000001/withdraw"}; !slices.Equal(*requests, want) {
				t.Errorf("%s, %s: sent %q, want one POST to /api/jobs/req-000001/withdraw", name, testCase.name, *requests)
			}
		}
	}
	for _, name := range []string{"cancel", "withdraw"} {
		if _, err := executeCommand("job", name, "nonsense"); err == nil || !strings.Contains(err.Error(), "form of a job id") {
			t.Errorf("%s of a malformed ID: got error %v, want one about the form of a job ID", name, err)
		}
	}
	out, err := executeCommand("job", "withdraw", "--help")
	if err != nil || !strings.Contains(out, "job cancel ID") || !strings.Contains(out, "cancel, withdraw") {
		t.Errorf("help of the alias: error %v, output %s, want the usage of cancel with both names", err, out)
	}
}
