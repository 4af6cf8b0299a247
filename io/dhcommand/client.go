package dhcommand

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"dogwoodhitch/io/dhclient"
	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhtls"
)

// clientFlags returns the flags of a command that calls the operators' API,
// and the command's own.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "server", Usage: "address of a process's operators' API, IP:PORT; may be repeated", Required: true,
			Sources: cli.EnvVars("DOGWOODHITCH_SERVER"),
		},
		&cli.StringFlag{
			Name: "secret-file", Usage: "file with the operators' secret", Required: true,
			Sources: cli.EnvVars("DOGWOODHITCH_SECRET_FILE"),
		},
		&cli.StringFlag{
			Name: "ca-file", Usage: "file with CA certificates in PEM; connects over TLS",
			Sources: cli.EnvVars("DOGWOODHITCH_CA_FILE"),
		},
		outputFlag(),
	}, more...)
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "output format, table or json",
		Validator: func(s string) error {
			if s != "table" && s != "json" {
				return fmt.Errorf("output %q: use table or json", s)
			}
			return nil
		},
	}
}

func newClient(c *cli.Command) (*dhclient.Client, error) {
	raw, err := os.ReadFile(c.String("secret-file"))
	if err != nil {
		return nil, dherrors.New(dherrors.KindSettings, err.Error(), "name the file with the operators' secret")
	}
	o := dhclient.Options{Servers: c.StringSlice("server"), Secret: strings.TrimSpace(string(raw))}
	if file := c.String("ca-file"); file != "" {
		trusted, err := dhtls.New(dhtls.Options{CAFile: file})
		if err != nil {
			return nil, dherrors.Wrap(dherrors.KindSettings, err)
		}
		o.TLS = trusted.ClientConfig()
	}
	return dhclient.New(o), nil
}

// table is text output in aligned columns.
type table struct {
	header []string
	rows   [][]any
}

func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

func (t *table) write(w io.Writer) {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, strings.Join(t.header, "\t"))
	for _, r := range t.rows {
		for i, cell := range r {
			if i > 0 {
				fmt.Fprint(out, "\t")
			}
			fmt.Fprint(out, cell)
		}
		fmt.Fprintln(out)
	}
	out.Flush()
}

// printValue writes a value in the format of the output flag: as JSON, or as the
// table that asTable fills, or, if asTable is nil, as one line for each JSON
// member.
func printValue(c *cli.Command, value any, asTable func(t *table)) error {
	w := c.Root().Writer
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		fmt.Fprintln(w, string(raw))
		return nil
	}
	t := &table{}
	if asTable != nil {
		asTable(t)
		t.write(w)
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	return writeMembers(w, d)
}

// writeMembers writes the members of a JSON object, one line each, in the order
// of the object.
func writeMembers(w io.Writer, d *json.Decoder) error {
	if _, err := d.Token(); err != nil {
		return err
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return err
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return err
		}
		fmt.Fprintf(out, "%v\t%s\n", name, strings.Trim(string(value), `"`))
	}
	return out.Flush()
}

// readFile reads JSON with comments and trailing commas from a file, or from
// standard input if path is "-", and returns it as standard JSON.
func readFile(path string) ([]byte, error) {
	var raw []byte
	var err error
	if path == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, dherrors.New(dherrors.KindMalformed, err.Error(), "name a file, or - for standard input")
	}
	standard, err := hujson.Standardize(raw) //nolint:misspell // the library's spelling
	if err != nil {
		return nil, dherrors.New(dherrors.KindMalformed, path+": "+err.Error(), "write JSON; comments and trailing commas are allowed")
	}
	return standard, nil
}

func looksLikeSettings(raw []byte) bool {
	var probe struct {
		Role string `json:"role"`
	}
	return json.Unmarshal(raw, &probe) == nil && probe.Role != ""
}

// newChangeID returns a random ID of a change set.
func newChangeID(prefix string) string {
	var raw [6]byte
	_, _ = rand.Read(raw[:])
	return prefix + "-" + hex.EncodeToString(raw[:])
}
