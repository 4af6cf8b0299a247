package main

import (
	"io"
	"net/http"
	"strings"
)

// reply is what a caller got.
type reply struct {
	status   int
	refusal  string
	executed string
	body     string
	replayed bool
	err      error
}

var callerClient = &http.Client{Timeout: waitTimeout}

// sendRequest sends a request as a caller.
func sendRequest(e *process, method, path, key, idempotency, body string) reply {
	r, err := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotency != "" {
		r.Header.Set("Idempotency-Key", idempotency)
	}
	answer, err := callerClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	return reply{
		status: answer.StatusCode, refusal: answer.Header.Get("Dogwoodhitch-Refusal"), executed: answer.Header.Get("Dogwoodhitch-Run"),
		body: string(raw), replayed: answer.Header.Get("Dogwoodhitch-Replayed") != "", err: err,
	}
}
