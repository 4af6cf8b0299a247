// Package dhlogs writes logs as JSON lines, with a level for each layer.
package dhlogs

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat writes times in milliseconds, so that lines of several processes
// can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Options are how logs are written.
type Options struct {
	// Level is the level of layers without one of their own.
	Level string
	// Layers gives single layers another level.
	Layers map[string]string
	// Output is where lines go.
	Output io.Writer
	// Process names the process on every line.
	Process string
}

// Logs hands out a logger a layer.
type Logs struct {
	options      Options
	defaultLevel logrus.Level
	layerLevels  map[string]logrus.Level
}

// New returns logs, or an error that names the bad level.
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

// Logger returns the logger of a layer.
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
