package dhcommand

import (
	"context"
	"fmt"
	"os/user"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhoperator"
	"dogwoodhitch/io/dhproto"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "submit a change set, which is applied atomically",
		ArgsUsage: "FILE",
		Description: "FILE is - for standard input. A change set without an id gets a random one, and one without a base\n" +
			"gets the current version. Set both so that a resend is safe.\n\nExamples:\n" +
			"   dogwoodhitch apply --server 127.0.0.1:7001 --secret-file operators.secret --wait examples/first.json\n" +
			"   dogwoodhitch apply --dry-run - < change.json",
		Flags: clientFlags(
			&cli.BoolFlag{Name: "dry-run", Usage: "only check the change set, and print what would change"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every instance"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cli.Exit("name one file; see --help", ExitUsage)
			}
			raw, err := readFile(c.Args().First())
			if err != nil {
				return err
			}
			return applyChangeSet(ctx, c, raw)
		},
	}
}

func applyChangeSet(ctx context.Context, c *cli.Command, raw []byte) error {
	if _, err := dhoperator.ParseChangeSet(raw); err != nil {
		return err
	}
	m := &dhproto.ChangeSet{}
	if err := protojson.Unmarshal(raw, m); err != nil {
		return dherrors.New(dherrors.KindMalformed, err.Error(), "correct the change set")
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	if err := fillDefaults(ctx, c, m); err != nil {
		return err
	}
	encoded, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	changed, err := cl.SubmitJSON(ctx, encoded, c.Bool("dry-run"), c.Bool("wait"))
	if err != nil {
		return err
	}
	if changed.DryRun && c.String("output") == "table" {
		printChanges(c, m)
	}
	return printValue(c, changed, nil)
}

// fillDefaults sets the ID, author and base of a change set where they are
// missing. The base is the current version.
func fillDefaults(ctx context.Context, c *cli.Command, m *dhproto.ChangeSet) error {
	if m.GetId() == "" {
		m.Id = newChangeID("change")
	}
	if m.GetAuthor() == "" {
		m.Author = author()
	}
	if m.GetBase() != 0 {
		return nil
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	current, err := cl.Objects(ctx, "zone", "", true)
	m.Base = uint32(current.Version)
	return err
}

func author() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "operator"
}

func printChanges(c *cli.Command, m *dhproto.ChangeSet) {
	w := c.Root().Writer
	for _, o := range m.GetPuts() {
		if k := o.GetKey(); k.GetSecret() != "" {
			k.Secret = "(not shown)"
		}
		fmt.Fprintln(w, "put    ", protojson.MarshalOptions{}.Format(o))
	}
	for _, r := range m.GetDeletes() {
		fmt.Fprintf(w, "delete  %s/%s\n", r.GetKind(), r.GetName())
	}
	if n := len(m.GetBlocks()); n > 0 {
		fmt.Fprintf(w, "blocks  %d\n", n)
	}
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "list objects, and the version of the configuration that they reflect",
		ArgsUsage:   "[KIND [NAME]]",
		Description: "Example:\n   dogwoodhitch get route --output json",
		Flags:       clientFlags(&cli.BoolFlag{Name: "current", Usage: "fail unless the configuration is confirmed as current"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			list, err := cl.Objects(ctx, c.Args().Get(0), c.Args().Get(1), c.Bool("current"))
			if err != nil {
				return err
			}
			return printValue(c, list, func(t *table) {
				t.header = []string{fmt.Sprintf("VERSION %d", list.Version)}
				for _, o := range list.Objects {
					t.add(string(o))
				}
			})
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list the most recent accepted change sets",
		Description: "Example:\n   dogwoodhitch history",
		Flags:       clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			list, err := cl.History(ctx)
			if err != nil {
				return err
			}
			return printValue(c, list, func(t *table) {
				t.header = []string{"VERSION", "ID", "AUTHOR", "PUTS", "DELETES", "BLOCKS"}
				for _, a := range list {
					if a.ContentOmitted {
						t.add(a.Version, a.ID, a.Author, "no longer kept", "", "")
						continue
					}
					t.add(a.Version, a.ID, a.Author, a.Puts, a.Deletes, a.Blocks)
				}
			})
		},
	}
}
