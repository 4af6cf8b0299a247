// Package dhlogs writes logs as JSON lines, with a log level for each layer.
package dhlogs

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat has milliseconds, so that lines of several processes can be sorted
// by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Options configure logs.
type Options struct {
	// Level is the log level of layers that aren't in Layers.
	Level string
	// Layers maps the names of individual layers to their log levels.
	Layers map[string]string
	// Output is the destination of the lines.
	Output io.Writer
	// Process is the name of the process, a field of every line.
	Process string
}

// Logs creates the loggers of a process, one for each layer.
type Logs struct {
	options      Options
	defaultLevel logrus.Level
	layerLevels  map[string]logrus.Level
}

// New returns logs, or an error that names the invalid log level.
func New(o Options) (*Logs, error) {
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: use error, warning, info, debug or trace", o.Level)
	}
	l := &Logs{options: o, defaultLevel: level, layerLevels: map[string]logrus.Level{}}
	for name, text := range o.Layers {
		if l.layerLevels[name], err = logrus.ParseLevel(text); err != nil {
			return nil, fmt.Errorf("log level %q of layer %s: use error, warning, info, debug or trace", text, name)
		}
	}
	return l, nil
}

// Logger returns a new logger for a layer, with the layer's log level.
func (l *Logs) Logger(name string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(l.options.Output)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	logger.SetLevel(l.defaultLevel)
	if level, found := l.layerLevels[name]; found {
		logger.SetLevel(level)
	}
	return logger.WithFields(logrus.Fields{"layer": name, "process": l.options.Process})
}
