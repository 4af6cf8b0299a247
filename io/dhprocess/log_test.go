package dhprocess

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodhitch/io/dhlogs"
)

// lineBuffer collects log lines. It may be read while a process writes.
type lineBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *lineBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// TestPanicLooksLikeABrokenConnection has a handler panic. The caller's connection breaks;
// one line in JSON must name the cause, with the stack.
func TestPanicLooksLikeABrokenConnection(t *testing.T) {
	output := &lineBuffer{}
	logs, err := dhlogs.New(dhlogs.Options{Level: "error", Output: output})
	if err != nil {
		t.Fatal(err)
	}
	c := newCluster(t, 1)
	o := c.options("z00-000", "z00", "entry")
	o.Logs = logs
	address := freeAddress(t)
	o.ExtraListeners = func(*Process) []ExtraListener {
		return []ExtraListener{{Name: "panics", Address: address, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic("a fault in a handler")
		})}}
	}
	c.start(o)
	if r, err := http.Get("http://" + address); err == nil {
		r.Body.Close()
		t.Fatalf("got status %d, want a broken connection", r.StatusCode)
	}
	var line struct {
		Level string `json:"level"`
		Kind  string `json:"kind"`
		Text  string `json:"msg"`
		Stack string `json:"stack"`
	}
	for deadline := time.Now().Add(10 * time.Second); line.Text == "" && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if text := output.String(); strings.HasSuffix(text, "\n") {
			if err := json.Unmarshal([]byte(text), &line); err != nil {
				t.Fatalf("%v; want one line in JSON, got %s", err, text)
			}
		}
	}
	if line.Level != "error" || line.Kind != "panic" || !strings.Contains(line.Text, "a fault in a handler") || !strings.Contains(line.Stack, "log_test.go") {
		t.Errorf("got %+v, want a line on the panic with its stack", line)
	}
}
