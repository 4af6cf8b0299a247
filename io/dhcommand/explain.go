package dhcommand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"dogwoodhitch/io/dherrors"
)

// maxLogLine is the maximum length of a log line that explain reads, in bytes.
const maxLogLine = 1 << 20

// logLine holds the fields of a log line about a request or one of its attempts.
type logLine struct {
	Time         string `json:"time"`
	Process      string `json:"process"`
	Message      string `json:"msg"`
	Request      string `json:"request"`
	Route        string `json:"route"`
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	Status       int    `json:"status"`
	Refusal      string `json:"refusal"`
	MayHaveRun   bool   `json:"mayHaveRun"`
	WithinRate   bool   `json:"withinRate"`
	Late         bool   `json:"late"`
	Ms           int64  `json:"ms"`
	DeadlineMs   int64  `json:"deadlineMs"`
	Version      uint64 `json:"version"`
	AgeMs        int64  `json:"ageMs"`
	Upstream     string `json:"upstream"`
	End          string `json:"end"`
	Reason       string `json:"reason"`
	Connection   string `json:"connection"`
	Carried      int    `json:"carried"`
	Attempts     []struct {
		To     string `json:"to"`
		SentMs int64  `json:"sentMs"`
		End    string `json:"end"`
		Ms     int64  `json:"ms"`
	} `json:"attempts"`
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "collect the log lines about one request",
		ArgsUsage: "REQUEST-ID FILE...",
		Description: "Reads the logs of any number of processes and prints the lines about a request in order of time, with\n" +
			"the version and age of the configuration in use. Text before the first { of a line is ignored.\n\n" +
			"Example:\n   dogwoodhitch explain 9c41d07be2a35f68 entry-1.log entry-2.log",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return cli.Exit("name a request ID and at least one file; see --help", ExitUsage)
			}
			var lines []logLine
			for _, path := range c.Args().Tail() {
				found, err := linesOfRequest(c.Args().First(), path)
				if err != nil {
					return dherrors.New(dherrors.KindSettings, err.Error(), "name log files of processes")
				}
				lines = append(lines, found...)
			}
			if len(lines) == 0 {
				return dherrors.New(dherrors.KindNotFound, "no log line about request "+c.Args().First(),
					"check the field leftOut of lines of its kind: answered requests are sampled under load")
			}
			printTimeline(c.Root().Writer, lines)
			return nil
		},
	}
}

// linesOfRequest returns the log lines of a file about a request.
func linesOfRequest(request, path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var list []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 || !bytes.Contains(raw, []byte(request)) {
			continue
		}
		var l logLine
		if json.Unmarshal(raw[start:], &l) == nil && l.Request == request {
			list = append(list, l)
		}
	}
	return list, scanner.Err()
}

// printTimeline prints log lines in order of time.
func printTimeline(w io.Writer, lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	for _, l := range lines {
		fmt.Fprintf(w, "%s %s: %s\n", l.Time, l.Process, l.Message)
		if l.Upstream != "" {
			fmt.Fprintf(w, "    at %s: %s after %d ms: %s\n", l.Upstream, l.End, l.Ms, l.Reason)
			if l.Connection != "" {
				fmt.Fprintf(w, "    with status %d on connection %s, which had carried %d requests\n", l.Status, l.Connection, l.Carried)
			}
			continue
		}
		fmt.Fprintf(w, "    route %s, service %s, organisation %s, version %d confirmed %d ms before\n",
			l.Route, l.Service, l.Organisation, l.Version, l.AgeMs)
		for _, a := range l.Attempts {
			fmt.Fprintf(w, "    sent to %s after %d ms: %s after %d ms\n", a.To, a.SentMs, a.End, a.Ms)
		}
		fmt.Fprintf(w, "    %s after %d of %d ms\n", outcomeOf(l), l.Ms, l.DeadlineMs)
	}
}

// outcomeOf describes how a request ended.
func outcomeOf(l logLine) string {
	switch {
	case l.Refusal != "" && l.MayHaveRun:
		return "refused: " + l.Refusal + ", may have run"
	case l.Refusal != "" && l.WithinRate:
		return "refused: " + l.Refusal + ", did not run, within its rate"
	case l.Refusal != "":
		return "refused: " + l.Refusal + ", did not run, beyond its rate"
	case l.Late:
		return fmt.Sprintf("answered late with %d", l.Status)
	default:
		return fmt.Sprintf("answered with %d", l.Status)
	}
}
