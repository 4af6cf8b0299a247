package dhcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhdisk"
	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhjournal"
	"dogwoodhitch/io/dhlogs"
	"dogwoodhitch/io/dhoperator"
	"dogwoodhitch/io/dhprocess"
	"dogwoodhitch/io/dhsettings"
	"dogwoodhitch/io/dhtls"
)

const settingsUsage = "path of the settings file, JSON with comments"

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: settingsUsage, Required: true}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run an entry instance, which serves callers, upstreams and operators",
		Description: "Example:\n   dogwoodhitch entry --settings examples/entry.jsonc\n\nSIGTERM or SIGINT stops the process gracefully, a second SIGINT at once. SIGHUP changes nothing.",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, dhsettings.RoleEntry)
		},
	}
}

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:        "control",
		Usage:       "run a voter, which stores the configuration and the claims",
		Description: "Example:\n   dogwoodhitch control --settings examples/control.jsonc\n\nA process with an empty data folder joins without a vote; see 'found' and 'voter'.",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, dhsettings.RoleControl)
		},
	}
}

func readSettings(path string) (*dhsettings.Settings, error) {
	s, err := dhsettings.Read(path)
	if err != nil {
		return nil, dherrors.Wrap(dherrors.KindSettings, err)
	}
	return s, nil
}

func serve(ctx context.Context, c *cli.Command, role dhsettings.Role) error {
	signals := dhprocess.ReceiveSignals()
	s, err := readSettings(c.String("settings"))
	if err != nil {
		return err
	}
	if s.Role() != role {
		return dherrors.New(dherrors.KindSettings, fmt.Sprintf("the settings have role %q", s.Role()), "run 'dogwoodhitch "+string(s.Role())+"'")
	}
	output := dhlogs.NewWriter(c.Root().Writer)
	defer output.Close()
	logs, err := dhlogs.New(dhlogs.Options{
		Level: s.LogLevel(), Layers: s.LogLayers(), Output: output, Process: s.Name(),
	})
	if err != nil {
		return dherrors.Wrap(dherrors.KindSettings, err)
	}
	o := dhprocess.FromSettings(s, logs)
	logs.CaptureStandardLog(o.Clock)
	if s.JournalFile() != "" {
		file, err := os.Create(s.JournalFile())
		if err != nil {
			return dherrors.New(dherrors.KindSettings, err.Error(), "change journalFile")
		}
		defer file.Close()
		o.Journal = dhjournal.New(file)
		defer o.Journal.Close()
	}
	if cert, key, ca := s.TLS(); cert != "" {
		if o.TLS, err = dhtls.New(dhtls.Options{CertFile: cert, KeyFile: key, CAFile: ca}); err != nil {
			return dherrors.Wrap(dherrors.KindSettings, err)
		}
	}
	if role == dhsettings.RoleControl {
		if o.DataFolder, err = dhdisk.Open(s.DataFolder(), s.Name()); err != nil {
			return dherrors.Wrap(dherrors.KindDataFolder, err)
		}
	}
	stopLogging := signals.HandleHangups(func() {
		logs.Logger("process").Info("SIGHUP changes nothing; settings take effect at the next start")
	})
	defer stopLogging()
	return dhprocess.New(o).Run(ctx)
}

func foundCommand() *cli.Command {
	return &cli.Command{
		Name:  "found",
		Usage: "initialise the empty data folder of a founding voter of a new group",
		Description: "Run it once for every voter of the settings before the first start of a new group, and never again:\n" +
			"a voter that lost its data folder joins without a vote, and 'voter replace' restores its vote.\n\n" +
			"Example:\n   dogwoodhitch found --settings examples/control.jsonc",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := readSettings(c.String("settings"))
			if err != nil {
				return err
			}
			if s.Role() != dhsettings.RoleControl {
				return dherrors.New(dherrors.KindSettings, "an entry instance has no vote", "use the settings of a control process")
			}
			var founders []dhmessage.Member
			for _, v := range s.Voters() {
				founders = append(founders, dhmessage.NewMember(dhmessage.NewPeer(v.Name(), ""), v.Address(), false))
			}
			if err := dhdisk.Found(s.DataFolder(), s.Name(), founders); err != nil {
				return dherrors.Wrap(dherrors.KindDataFolder, err)
			}
			fmt.Fprintf(c.Root().Writer, "%s founds a group of %d voters\n", s.Name(), len(founders))
			return nil
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings and change sets without a running system",
		ArgsUsage: "FILE...",
		Description: "A file with a role is read as settings, any other as a change set. The objects of a change set are\n" +
			"checked one by one; 'apply --dry-run' checks the references between objects.\n\nExample:\n   dogwoodhitch check examples/entry.jsonc examples/first.json",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return cli.Exit("name at least one file; see --help", ExitUsage)
			}
			for _, path := range c.Args().Slice() {
				if err := checkFile(path); err != nil {
					return err
				}
				fmt.Fprintf(c.Root().Writer, "%s: ok\n", path)
			}
			return nil
		},
	}
}

func checkFile(path string) error {
	raw, err := readFile(path)
	if err != nil {
		return err
	}
	if looksLikeSettings(raw) {
		_, err := readSettings(path)
		return err
	}
	if _, err := dhoperator.ParseChangeSet(raw); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func inspectCommand() *cli.Command {
	return &cli.Command{
		Name:        "inspect",
		Usage:       "show the state stored in a voter's data folder, without changing it",
		ArgsUsage:   "FOLDER",
		Description: "Example:\n   dogwoodhitch inspect /var/lib/dogwoodhitch",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := dhdisk.Inspect(c.Args().First())
			if err != nil {
				return dherrors.Wrap(dherrors.KindDataFolder, err)
			}
			version := uint64(0)
			if s.Snapshot().Catalog() != nil {
				version = s.Snapshot().Catalog().Version()
			}
			return printValue(c, struct {
				Name            string `json:"name"`
				Folder          string `json:"folder"`
				Term            uint64 `json:"term"`
				Vote            string `json:"vote"`
				SnapshotIndex   uint64 `json:"snapshotIndex"`
				SnapshotVersion uint64 `json:"snapshotVersion"`
				Entries         int    `json:"entries"`
				Suspects        int    `json:"suspects"`
				CutBytes        int64  `json:"cutBytes"`
			}{s.ProcessName(), s.FolderID(), s.Term(), s.VotedFor(), s.Snapshot().Index(), version, len(s.Entries()), len(s.Suspects()), s.TornBytes()}, nil)
		},
	}
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:        "replay",
		Usage:       "replay the events of a journal and compare their effects with the recorded ones",
		ArgsUsage:   "FILE",
		Description: "A process records a journal if its settings name a journalFile.\n\nExample:\n   dogwoodhitch replay entry.journal",
		Action: func(_ context.Context, c *cli.Command) error {
			file, err := os.Open(c.Args().First())
			if err != nil {
				return dherrors.New(dherrors.KindMalformed, err.Error(), "name a journal file")
			}
			defer file.Close()
			events, err := dhjournal.Replay(file)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%d events returned the same effects\n", events)
			return nil
		},
	}
}
