package dhmetrics

import (
	"fmt"
	"reflect"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodhitch/core/dhclock"
)

// LongestWait keeps the longest wait since the last reading and what waited.
type LongestWait struct {
	mutex sync.Mutex
	wait  dhclock.Millis
	kind  reflect.Type
}

// Record records a wait of a value, such as a message.
func (l *LongestWait) Record(value any, wait dhclock.Millis) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.kind == nil || wait > l.wait {
		l.wait, l.kind = wait, reflect.TypeOf(value)
	}
}

// Take returns the longest wait since the last call and the type name of the value that waited; 0
// and "" if there was none.
func (l *LongestWait) Take() (wait dhclock.Millis, kind string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wait, kind = l.wait, typeName(l.kind)
	l.wait, l.kind = 0, nil
	return wait, kind
}

func typeName(t reflect.Type) string {
	switch {
	case t == nil:
		return ""
	case t.Kind() == reflect.Pointer:
		return t.Elem().Name()
	default:
		return t.Name()
	}
}

// ProcessorTime returns the processor time that this process has used.
func ProcessorTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("read the processor time of this process: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
