package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request sends one request on a connection of its own. The status is 0 if there was no response in time.
func request(method, address, target string, body any, timeout time.Duration) (status int, answer []byte) {
	status, answer, _ = requestWithHeader(method, address, target, body, timeout)
	return status, answer
}

func requestWithHeader(method, address, target string, body any, timeout time.Duration) (status int, answer []byte, header http.Header) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequest(method, "http://"+address+target, reader)
	if err != nil {
		panic(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, answer, response.Header
}

// repeat sends a user's submission or withdrawal until it gets a final answer, for 60 s at most (PROTOCOL,
// "POST /api/jobs"). Each attempt goes to the next controller. It returns the last status and answer, and the
// number of attempts.
func (r *run) repeat(first int, target string, body any) (status int, answer []byte, attempts int) {
	end := time.Now().Add(60 * time.Second)
	for {
		name := r.deployment.names[(first+attempts)%len(r.deployment.names)]
		attempts++
		var header http.Header
		status, answer, header = requestWithHeader("POST", r.deployment.serve[name], target, body, 5*time.Second)
		if status == 200 || status == 201 || status == 400 || status == 422 {
			return status, answer, attempts
		}
		wait := time.Second
		if header != nil {
			if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && seconds > 1 {
				wait = time.Duration(min(seconds, 30)) * time.Second
			}
		}
		if time.Now().Add(wait).After(end) {
			return status, answer, attempts
		}
		time.Sleep(wait)
	}
}

// submit submits a job as a user does, and records the answer.
func (r *run) submit(first int, job object) (status int) {
	status, answer, attempts := r.repeat(first, "/api/jobs", job)
	r.logf("user: POST /api/jobs %v -> %d %s (attempt %d)", job["nameId"], status, strings.TrimSpace(string(answer)), attempts)
	return status
}

// poll asks for a job's state once at each controller, and records the answers.
func (r *run) poll(id string) (stages []string) {
	for _, name := range r.deployment.names {
		status, answer := request("GET", r.deployment.serve[name], "/api/jobs/"+id, nil, 2*time.Second)
		r.logf("user: GET /api/jobs/%s at %s -> %d %s", id, name, status, strings.TrimSpace(string(answer)))
		var state struct {
			Stage string `json:"stage"`
		}
		if status == 200 && json.Unmarshal(answer, &state) == nil {
			stages = append(stages, state.Stage)
		}
	}
	return stages
}
