package dhcommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"dogwoodhitch/io/dhquickstart"
)

func quickstartCommand() *cli.Command {
	return &cli.Command{
		Name:  "quickstart",
		Usage: "run a small but complete system on loopback, with sample objects and upstreams",
		Description: "Needs no files and stores nothing.\n\nExamples:\n   dogwoodhitch quickstart\n" +
			"   dogwoodhitch quickstart --once",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "send a sample load, print a summary, and exit with 0 if every invariant held"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := dhquickstart.Start(ctx, c.Root().ErrWriter)
			if err != nil {
				return err
			}
			defer s.Stop()
			if c.Bool("once") {
				return s.RunSampleLoad(ctx, c.Root().Writer)
			}
			return s.Serve(ctx, c.Root().Writer)
		},
	}
}
