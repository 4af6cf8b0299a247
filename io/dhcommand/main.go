// Package dhcommand implements the command line of dogwoodhitch.
package dhcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"dogwoodhitch/io/dherrors"
)

// The exit codes.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitRefused        = 3
	ExitUnreachable    = 4
	ExitOutcomeUnknown = 5
)

// exitCodeTexts describes the exit codes in numerical order.
var exitCodeTexts = []string{
	"0: done",
	"1: failed",
	"2: the command line, a settings file or a change set is wrong",
	"3: the system refused the request; the message names the remedy",
	"4: no process could be reached",
	"5: the outcome is unknown, the request may have been accepted; resend it with the same id",
}

// Main runs the command that args name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	// SIGTERM is received until the process exits: the program that sends it may repeat it,
	// which must not cut the requests that the stop completes. The second SIGINT ends the
	// process at once.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt)
	go func() {
		<-interrupted
		signal.Reset(os.Interrupt)
	}()
	root := New(stdout, stderr)
	started := false
	recordStart(root, &started)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "dogwoodhitch:", err)
	if !started {
		return ExitUsage // the command line itself is wrong
	}
	return exitCode(err)
}

// recordStart wraps the action of a command and of its subcommands to set
// started: an error before that is an error of the command line itself.
func recordStart(c *cli.Command, started *bool) {
	if action := c.Action; action != nil {
		c.Action = func(ctx context.Context, c *cli.Command) error {
			*started = true
			return action(ctx, c)
		}
	}
	for _, sub := range c.Commands {
		recordStart(sub, started)
	}
}

func exitCode(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	switch dherrors.KindOf(err) {
	case dherrors.KindInternal, dherrors.KindDataFolder:
		return ExitFailed
	case dherrors.KindSettings, dherrors.KindMalformed:
		return ExitUsage
	case dherrors.KindUnreachable:
		return ExitUnreachable
	case dherrors.KindOutcomeUnknown:
		return ExitOutcomeUnknown
	default:
		return ExitRefused
	}
}

// New returns the root command with all subcommands.
func New(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "dogwoodhitch",
		Usage:       "steer traffic across regions",
		Description: "Exit codes:\n" + joinLines(exitCodeTexts),
		Writer:      stdout,
		ErrWriter:   stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {
			// Main reports errors.
		},
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			quickstartCommand(), entryCommand(), controlCommand(), foundCommand(), checkCommand(),
			applyCommand(), getCommand(), historyCommand(), diffCommand(), rollbackCommand(), statusCommand(), lookupCommand(), poolsCommand(),
			drainCommand(), burnCommand(), claimCommand(), voterCommand(), inspectCommand(), explainCommand(), replayCommand(), docsCommand(),
		},
	}
}

func joinLines(lines []string) string {
	text := ""
	for _, l := range lines {
		text += l + "\n"
	}
	return text
}
