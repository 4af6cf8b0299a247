package dhcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/io/dherrors"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show versions, voters and instances, with advice on problems",
		Description: "Name every control process with --server, to get the status that the leader reports.\n\nExample:\n   dogwoodhitch status",
		Flags:       clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			s, err := cl.Status(ctx)
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return printValue(c, s, nil)
			}
			w := c.Root().Writer
			fmt.Fprintf(w, "%s: version %d, in force everywhere %d, confirmed %d ms ago, leader %s, claims %d\n",
				s.Name, s.Version, s.InForce, s.AgeMs, s.Leader, s.ClaimCount)
			voters := &table{header: []string{"VOTER", "ADDRESS", "FOLDER", "LAG", "SILENT", "ADVICE"}}
			for _, v := range s.Voters {
				voters.add(v.Name, v.Address, v.FolderID, v.Lag, time.Duration(v.SinceLastContactMs)*time.Millisecond, v.Advice)
			}
			voters.write(w)
			instances := &table{header: []string{"INSTANCE", "ZONE", "VERSION", "SILENT", "STATE"}}
			for _, i := range s.Instances {
				instances.add(i.Name, i.Zone, i.Version, time.Duration(i.SinceLastContactMs)*time.Millisecond, instanceState(i.HasAcknowledged, i.Leaving))
			}
			instances.write(w)
			return nil
		},
	}
}

func instanceState(acknowledged, leaving bool) string {
	switch {
	case !acknowledged:
		return "no acknowledgement yet: check the process and its zone's links"
	case leaving:
		return "leaving"
	default:
		return "ok"
	}
}

func lookupCommand() *cli.Command {
	return &cli.Command{
		Name:        "lookup",
		Usage:       "look up which entry instances a client should use",
		ArgsUsage:   "[ADDRESS]",
		Description: "ADDRESS is the IP address of the client; the default is the address that the request comes from.\n\nExample:\n   dogwoodhitch lookup --entry 127.0.0.1:8080 203.0.113.9",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "entry", Usage: "address of an entry instance for callers, IP:PORT", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			target := "http://" + c.String("entry") + dhcatalog.ReservedPrefix + "v1/lookup"
			if c.Args().Len() > 0 {
				target += "?address=" + url.QueryEscape(c.Args().First())
			}
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
			if err != nil {
				return dherrors.New(dherrors.KindMalformed, err.Error(), "check --entry")
			}
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				return dherrors.New(dherrors.KindUnreachable, err.Error(), "check --entry")
			}
			defer response.Body.Close()
			_, err = io.Copy(c.Root().Writer, response.Body)
			if err == nil && response.StatusCode != http.StatusOK {
				return cli.Exit("the look-up was refused", ExitRefused)
			}
			return err
		},
	}
}

func poolsCommand() *cli.Command {
	return &cli.Command{
		Name:        "pools",
		Usage:       "show the upstreams of an entry instance, with their load and state",
		Description: "Example:\n   dogwoodhitch pools --server 127.0.0.1:7011",
		Flags:       clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			list, err := cl.Pools(ctx)
			if err != nil {
				return err
			}
			return printValue(c, list, func(t *table) {
				t.header = []string{"SERVICE", "UPSTREAM", "ADDRESS", "RUNNING", "SLOTS", "LATENCY", "STATE", "WAITING"}
				for _, p := range list {
					for _, u := range p.Upstreams {
						t.add(p.Service, u.Name, u.Address, u.Running, u.Slots, fmt.Sprintf("%.1fms", u.LatencyMs), u.State, p.Waiting)
					}
				}
			})
		},
	}
}

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "report how fast service-level objectives use up their error budgets",
		Description: "Name every entry instance with --server: their rows are merged and sorted by descending burn.\n" +
			"A burn of 1 uses up the budget exactly. The alerts 'page' and 'ticket' require a high burn in both a short\nand a long window.\n\n" +
			"Examples:\n   dogwoodhitch burn\n   dogwoodhitch burn --html burn.html",
		Flags: clientFlags(&cli.StringFlag{Name: "html", Usage: "also write a self-contained page to this file"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			rows, err := cl.Burn(ctx)
			if err != nil {
				return err
			}
			if path := c.String("html"); path != "" {
				if err := writeBurnPage(path, rows); err != nil {
					return err
				}
			}
			return printValue(c, rows, func(t *table) {
				t.header = []string{"ALERT", "ROUTE", "ORGANISATION", "OBJECTIVE", "TARGET", "5M", "30M", "1H", "6H", "BAD", "TOTAL"}
				for _, r := range rows {
					t.add(r.Alert, r.Route, r.Organisation, r.Objective, fmt.Sprintf("%.4f%%", 100*r.Target),
						formatBurn(r.Burn5m), formatBurn(r.Burn30m), formatBurn(r.Burn1h), formatBurn(r.Burn6h), r.Bad, r.Total)
				}
			})
		},
	}
}

func formatBurn(v float64) string { return fmt.Sprintf("%.2f", v) }

func claimCommand() *cli.Command {
	return &cli.Command{
		Name:  "claim",
		Usage: "show or settle the claim of a request that must run at most once",
		Description: "KEY is the caller's idempotency key. Settle an unclear claim only after checking the upstream's own records.\n\nExamples:\n" +
			"   dogwoodhitch claim show ORGANISATION KEY\n   dogwoodhitch claim settle --ran ORGANISATION KEY",
		Commands: []*cli.Command{
			{
				Name: "show", Usage: "show a claim", ArgsUsage: "ORGANISATION KEY", Flags: clientFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					cl, err := newClient(c)
					if err != nil {
						return err
					}
					claim, err := cl.Claim(ctx, c.Args().Get(0), c.Args().Get(1))
					if err != nil {
						return err
					}
					return printValue(c, claim, nil)
				},
			},
			{
				Name: "settle", Usage: "record whether a request with an unclear outcome ran", ArgsUsage: "ORGANISATION KEY",
				Flags: clientFlags(
					&cli.BoolFlag{Name: "ran", Usage: "the upstream ran it"},
					&cli.BoolFlag{Name: "not-run", Usage: "the upstream did not run it; a resend may run"},
				),
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Bool("ran") == c.Bool("not-run") {
						return cli.Exit("set either --ran or --not-run", ExitUsage)
					}
					cl, err := newClient(c)
					if err != nil {
						return err
					}
					state, err := cl.ResolveClaim(ctx, c.Args().Get(0), c.Args().Get(1), c.Bool("ran"))
					if err != nil {
						return err
					}
					fmt.Fprintln(c.Root().Writer, state)
					return nil
				},
			},
		},
	}
}

func voterCommand() *cli.Command {
	edit := func(action, usage string) *cli.Command {
		return &cli.Command{
			Name: action, Usage: usage, ArgsUsage: "NAME",
			Flags: clientFlags(
				&cli.StringFlag{Name: "address", Usage: "peer address of the voter, IP:PORT"},
				&cli.StringFlag{Name: "folder", Usage: "ID of its data folder, which the process logs when it starts"},
			),
			Action: func(ctx context.Context, c *cli.Command) error {
				cl, err := newClient(c)
				if err != nil {
					return err
				}
				return cl.EditVoter(ctx, action, c.Args().First(), c.String("address"), c.String("folder"))
			},
		}
	}
	return &cli.Command{
		Name:        "voter",
		Usage:       "change the voters, one at a time",
		Description: "A new voter gets its vote automatically once it has caught up.\n\nExample:\n   dogwoodhitch voter replace c2",
		Commands: []*cli.Command{
			edit("add", "add a voter"),
			edit("remove", "remove a voter"),
			edit("replace", "replace a voter's lost data folder by the empty one that responds under its name"),
		},
	}
}
