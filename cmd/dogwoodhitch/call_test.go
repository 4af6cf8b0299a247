package main

import (
	"io"
	"net/http"
	"strings"

	"dogwoodhitch/io/dhtestcluster"
)

// reply is the response that a caller received, or an error. The field run is the
// value of the header Dogwoodhitch-Run: not-run or may-have-run.
type reply struct {
	status   int
	refusal  string
	run      string
	body     string
	replayed bool
	err      error
}

var callerClient = &http.Client{Timeout: dhtestcluster.WaitTimeout}

// sendRequest sends a request to an entry instance as a caller does.
func sendRequest(e *dhtestcluster.Process, method, path, key, idempotencyKey, body string) reply {
	r, err := http.NewRequest(method, "http://"+e.Callers()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := callerClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, refusal: response.Header.Get("Dogwoodhitch-Refusal"), run: response.Header.Get("Dogwoodhitch-Run"),
		body: string(raw), replayed: response.Header.Get("Dogwoodhitch-Replayed") != "", err: err,
	}
}
