package main

import (
	"io"
	"net/http"
	"strings"
)

// reply is what a caller got.
type reply struct {
	status  int
	kind    string
	run     string
	body    string
	replay  bool
	problem error
}

var caller = &http.Client{Timeout: deadline}

// call sends a request as a caller.
func call(e *process, method, path, key, idempotency, body string) reply {
	r, err := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return reply{problem: err}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotency != "" {
		r.Header.Set("Idempotency-Key", idempotency)
	}
	answer, err := caller.Do(r)
	if err != nil {
		return reply{problem: err}
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	return reply{
		status: answer.StatusCode, kind: answer.Header.Get("Dogwoodhitch-Refusal"), run: answer.Header.Get("Dogwoodhitch-Run"),
		body: string(raw), replay: answer.Header.Get("Dogwoodhitch-Replayed") != "", problem: err,
	}
}
