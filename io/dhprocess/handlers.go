package dhprocess

import (
	"net/http"
	"sync"
	"time"

	"dogwoodhitch/io/dhnet"
)

// handlerTimeout bounds the wait for handlers whose connections were cut.
const handlerTimeout = 200 * time.Millisecond

// handlers counts the running handlers of a process's HTTP servers. A server that closes
// doesn't wait for handlers whose connections it cuts.
type handlers struct {
	mutex     sync.Mutex
	running   int
	isStopped bool
	idle      chan struct{} // closed once the last handler has returned after stop
}

func newHandlers() *handlers { return &handlers{idle: make(chan struct{})} }

// wrap returns a handler that is counted while it runs. After stop it breaks the connection.
func (h *handlers) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.begin() {
			panic(http.ErrAbortHandler)
		}
		defer h.end()
		next.ServeHTTP(w, r)
	})
}

// dropAbandoned returns a handler that breaks the connection of a caller that has left before
// its request was read, as when this process was paused meanwhile. The caller may have sent
// its order to another process since, and further ones after it.
func dropAbandoned(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dhnet.HasCallerLeft(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handlers) begin() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.isStopped {
		return false
	}
	h.running++
	return true
}

func (h *handlers) end() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.running--
	if h.isStopped && h.running == 0 {
		close(h.idle)
	}
}

// stop lets no more handlers start and waits for the running ones. It returns the number of
// those that still run after the timeout.
func (h *handlers) stop(timeout time.Duration) int {
	if !h.close() {
		return 0
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-h.idle:
		return 0
	case <-timer.C:
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.running
}

// close lets no more handlers start and reports whether some still run.
func (h *handlers) close() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isStopped = true
	return h.running > 0
}
