package dhlogs

import (
	"log"
	"strings"

	"github.com/sirupsen/logrus"

	"dogwoodhitch/io/dhtime"
)

const (
	// standardLayer is the layer of the lines that net/http writes.
	standardLayer = "http"
	// maxMessageBytes is the length at which a message is cut off. Those on panics have a stack.
	maxMessageBytes = 16 << 10
)

// standardKind is a kind of messages that net/http writes.
type standardKind struct {
	name  string
	text  string // a part of each message of the kind
	level logrus.Level
}

var standardKinds = []standardKind{
	{"panic", "panic serving", logrus.ErrorLevel},
	{"TLS handshake", "TLS handshake error", logrus.WarnLevel},
	{"unsolicited response", "Unsolicited response", logrus.WarnLevel},
	{"superfluous header", "superfluous", logrus.WarnLevel},
	{"other", "", logrus.WarnLevel},
}

// StandardLogger returns a logger of the standard library, for http.Server.ErrorLog.
// Its messages become lines of the layer http, at a limited rate for each kind.
func (l *Logs) StandardLogger(clock dhtime.Clock) *log.Logger {
	return log.New(&standardWriter{limiter: NewLimiter(l.Logger(standardLayer), clock)}, "", 0)
}

// CaptureStandardLog makes lines of the layer http of what is written to the standard
// logger of the process, which http.Transport uses.
func (l *Logs) CaptureStandardLog(clock dhtime.Clock) {
	log.SetFlags(0)
	log.SetOutput(l.StandardLogger(clock).Writer())
}

// standardWriter writes each message of a log.Logger as one line.
type standardWriter struct{ limiter *Limiter }

// Write implements io.Writer. A log.Logger calls it once for each message.
func (w *standardWriter) Write(message []byte) (int, error) {
	text, stack, _ := strings.Cut(strings.TrimSpace(string(message[:min(len(message), maxMessageBytes)])), "\n")
	for _, k := range standardKinds {
		if strings.Contains(text, k.text) {
			w.limiter.WriteAt(k.level, k.name, func() (logrus.Fields, string) {
				if stack == "" {
					return logrus.Fields{}, text
				}
				return logrus.Fields{"stack": stack}, text
			})
			break
		}
	}
	return len(message), nil
}
