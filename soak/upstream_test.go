package dhsoak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Header fields by which a caller tells the upstream what to do.
const (
	headerID     = "Soak-Id"
	headerToken  = "Soak-Token"
	headerWork   = "Soak-Work-Ms"
	headerAnswer = "Soak-Answer-Bytes"
)

// streamChunks is the number of parts of a streamed answer.
const streamChunks = 8

// execution is one run of a request at an upstream.
type execution struct {
	upstream           string
	startedAt, endedAt time.Time // endedAt is zero while it runs
	isComplete         bool      // the answer was written
}

// executions records all runs by the ID and by the token of the request. Resends of a
// purchase have their own IDs and share a token.
type executions struct {
	mutex   sync.Mutex
	byID    map[string][]*execution
	byToken map[string][]*execution
	running int
	faults  []string
}

func newExecutions() *executions {
	return &executions{byID: map[string][]*execution{}, byToken: map[string][]*execution{}}
}

func (x *executions) start(id, token, upstream string) *execution {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	e := &execution{upstream: upstream, startedAt: time.Now()}
	x.byID[id] = append(x.byID[id], e)
	x.byToken[token] = append(x.byToken[token], e)
	x.running++
	return e
}

func (x *executions) end(e *execution, isComplete bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	e.endedAt, e.isComplete = time.Now(), isComplete
	x.running--
}

func (x *executions) countRunning() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.running
}

func (x *executions) addFault(format string, args ...any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.faults = append(x.faults, fmt.Sprintf(format, args...))
}

// content returns a body of a given size that only the request with the token has.
func content(token string, size int) []byte {
	unit := token + " "
	return []byte(strings.Repeat(unit, size/len(unit)+1)[:size])
}

// serve returns the handler of an upstream.
func (x *executions) serve(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, token := r.Header.Get(headerID), r.Header.Get(headerToken)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // an incomplete request doesn't run
		}
		if !bytes.Equal(body, content(token, len(body))) {
			x.addFault("%s got the body of another request for %s", name, id)
		}
		e := x.start(id, token, name)
		x.end(e, x.answer(w, r, token))
	}
}

// answer works and answers. It reports whether the request wasn't cancelled.
func (x *executions) answer(w http.ResponseWriter, r *http.Request, token string) bool {
	work, _ := strconv.Atoi(r.Header.Get(headerWork))
	size, _ := strconv.Atoi(r.Header.Get(headerAnswer))
	chunks := 1
	if size > streamedBytes {
		chunks = streamChunks
	}
	answer := content(token, size)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for i := range chunks {
		timer.Reset(time.Duration(work) * time.Millisecond / time.Duration(chunks))
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
		if _, err := w.Write(answer[i*size/chunks : (i+1)*size/chunks]); err != nil {
			return false
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
	return true
}
