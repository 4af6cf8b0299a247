package dhcommand

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhoperator"
	"dogwoodhitch/io/dhproto"
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "show the changes since a version, and the change set that reverts them",
		ArgsUsage:   "VERSION",
		Description: "Example:\n   dogwoodhitch diff 41",
		Flags:       clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			d, err := readDiff(ctx, c)
			if err != nil {
				return err
			}
			return printValue(c, d, nil)
		},
	}
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "restore the configuration of an earlier version, as a new change",
		ArgsUsage: "VERSION",
		Description: "Fails with a conflict if another change is accepted meanwhile. Run 'diff' first to see what it changes.\n\n" +
			"Example:\n   dogwoodhitch rollback 41",
		Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			d, err := readDiff(ctx, c)
			if err != nil {
				return err
			}
			m := &dhproto.ChangeSet{}
			if err := protojson.Unmarshal(d.Back, m); err != nil {
				return err
			}
			m.Id = newChangeID("rollback-to-" + strconv.FormatUint(d.From, 10))
			return submit(ctx, c, m)
		},
	}
}

func readDiff(ctx context.Context, c *cli.Command) (dhoperator.Diff, error) {
	version, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil {
		return dhoperator.Diff{}, dherrors.New(dherrors.KindMalformed, "invalid version "+strconv.Quote(c.Args().First()), "use a version of 'history'")
	}
	cl, err := newClient(c)
	if err != nil {
		return dhoperator.Diff{}, err
	}
	return cl.Diff(ctx, version)
}
