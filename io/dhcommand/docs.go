package dhcommand

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

func docsCommand() *cli.Command {
	return &cli.Command{
		Name:        "docs",
		Usage:       "print the reference of all commands as Markdown",
		Description: "Example:\n   dogwoodhitch docs > docs/CLI.md",
		Action: func(_ context.Context, c *cli.Command) error {
			w := c.Root().Writer
			fmt.Fprint(w, "# Command line\n\nPrinted by `dogwoodhitch docs`.\n\n## Exit codes\n\n")
			for _, l := range exitCodeTexts {
				fmt.Fprintln(w, "-", l)
			}
			for _, sub := range c.Root().Commands {
				writeReference(w, sub, "dogwoodhitch")
			}
			return nil
		},
	}
}

// writeReference writes the reference of a command and of its subcommands.
func writeReference(w io.Writer, c *cli.Command, parent string) {
	if c.Name == "help" {
		return
	}
	name := parent + " " + c.Name
	fmt.Fprintf(w, "\n## %s\n\n", name)
	fmt.Fprintf(w, "%s.\n", c.Usage)
	usage := strings.TrimSpace(name + " [flags] " + c.ArgsUsage)
	fmt.Fprintf(w, "\n    %s\n", usage)
	if c.Description != "" {
		fmt.Fprintf(w, "\n```text\n%s\n```\n", strings.TrimSpace(c.Description))
	}
	writeFlags(w, c.Flags)
	for _, sub := range c.Commands {
		writeReference(w, sub, name)
	}
}

func writeFlags(w io.Writer, flags []cli.Flag) {
	var lines []string
	for _, f := range flags {
		documented, ok := f.(cli.DocGenerationFlag)
		if !ok || f.Names()[0] == "help" {
			continue
		}
		line := fmt.Sprintf("- `--%s`: %s", strings.Join(f.Names(), "`, `-"), documented.GetUsage())
		if v := documented.GetDefaultText(); v != "" && documented.TakesValue() {
			line += " (default " + v + ")"
		}
		for _, e := range documented.GetEnvVars() {
			line += ", or $" + e
		}
		lines = append(lines, line)
	}
	if len(lines) > 0 {
		fmt.Fprintf(w, "\n%s\n", strings.Join(lines, "\n"))
	}
}
