package dhcommand

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dhclient"
	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhproto"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "move look-ups away from a region, a zone or an instance in steps",
		Description: "Examples:\n   dogwoodhitch drain start zone a1 --ramp 10m\n   dogwoodhitch drain pause zone a1 --moved 40\n" +
			"   dogwoodhitch drain show\n   dogwoodhitch drain undo zone a1",
		Commands: []*cli.Command{
			drainEditCommand("start", "begin or resume a drain", func(c *cli.Command, d *dhproto.Drain) {
				d.RampMs = int32(c.Duration("ramp") / time.Millisecond)
				d.MovedPercent = int32(c.Int("moved"))
			}, &cli.DurationFlag{Name: "ramp", Value: 10 * time.Minute, Usage: "time over which all look-ups move"},
				&cli.IntFlag{Name: "moved", Usage: "share of look-ups that has moved already, in percent"}),
			drainEditCommand("pause", "hold a drain at a share of look-ups", func(c *cli.Command, d *dhproto.Drain) {
				d.Paused = true
				d.MovedPercent = int32(c.Int("moved"))
			}, &cli.IntFlag{Name: "moved", Required: true, Usage: "share of look-ups at which to hold the drain, in percent"}),
			drainUndoCommand(), drainShowCommand(),
		},
	}
}

func drainArgs(c *cli.Command) (kind, target, name string, err error) {
	kind, target = c.Args().Get(0), c.Args().Get(1)
	known := slices.Contains([]dhcatalog.Kind{dhcatalog.KindRegion, dhcatalog.KindZone, dhcatalog.KindInstance}, dhcatalog.Kind(kind))
	if !known || target == "" {
		return "", "", "", cli.Exit("name what to drain: region NAME, zone NAME or instance NAME", ExitUsage)
	}
	return kind, target, "drain-" + kind + "-" + target, nil
}

func drainEditCommand(name, usage string, edit func(c *cli.Command, d *dhproto.Drain), flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "region|zone|instance NAME", Flags: clientFlags(flags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			kind, target, name, err := drainArgs(c)
			if err != nil {
				return err
			}
			d := &dhproto.Drain{Name: name, TargetKind: kind, Target: target}
			if err := copyExistingRamp(ctx, c, d); err != nil {
				return err
			}
			edit(c, d)
			return submit(ctx, c, &dhproto.ChangeSet{Puts: []*dhproto.Object{{Object: &dhproto.Object_Drain{Drain: d}}}})
		},
	}
}

// copyExistingRamp sets the ramp of a drain to that of the configured drain of
// the same name, if there is one.
func copyExistingRamp(ctx context.Context, c *cli.Command, d *dhproto.Drain) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	list, err := cl.Objects(ctx, string(dhcatalog.KindDrain), d.GetName(), true)
	if dherrors.KindOf(err) == dherrors.KindNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	existing := &dhproto.Object{}
	if err := protojson.Unmarshal(list.Objects[0], existing); err != nil {
		return err
	}
	d.RampMs = existing.GetDrain().GetRampMs()
	return nil
}

func drainUndoCommand() *cli.Command {
	return &cli.Command{
		Name: "undo", Usage: "end a drain, so that look-ups return to its target", ArgsUsage: "region|zone|instance NAME", Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			_, _, name, err := drainArgs(c)
			if err != nil {
				return err
			}
			return submit(ctx, c, &dhproto.ChangeSet{Deletes: []*dhproto.Ref{{Kind: string(dhcatalog.KindDrain), Name: name}}})
		},
	}
}

// submit proposes a change set against the current version, waits until it is
// in force, and prints the new version.
func submit(ctx context.Context, c *cli.Command, m *dhproto.ChangeSet) error {
	var cl *dhclient.Client
	var err error
	if cl, err = newClient(c); err != nil {
		return err
	}
	if err := fillDefaults(ctx, c, m); err != nil {
		return err
	}
	changed, err := cl.SubmitChangeSet(ctx, m, true)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "version %d, in force everywhere: %t\n", changed.Version, changed.InForce)
	return nil
}

// drainShowCommand returns the command that lists the drains with their
// progress and remaining time.
func drainShowCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "show the progress and the remaining time of each drain", Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			s, err := cl.Status(ctx)
			if err != nil {
				return err
			}
			return printValue(c, s.Drains, func(t *table) {
				t.header = []string{"DRAIN", "TARGET", "MOVED", "DONE IN"}
				for _, d := range s.Drains {
					done := (time.Duration(d.RemainingMs) * time.Millisecond).String()
					if d.Paused {
						done = "paused"
					}
					t.add(d.Name, d.Target, fmt.Sprintf("%d%%", d.MovedPercent), done)
				}
			})
		},
	}
}
