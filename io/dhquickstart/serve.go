package dhquickstart

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// statusInterval is the time between updates of the status line.
const statusInterval = time.Second

// Serve prints how to call the system, and, if w is a terminal, updates a status
// line, until the context is cancelled.
func (s *System) Serve(ctx context.Context, w io.Writer) error {
	s.printHelp(w)
	live := isTerminal(w)
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if live {
				s.printStatus(w)
			}
		}
	}
}

func (s *System) printHelp(w io.Writer) {
	first := s.entries()[0].BoundAddresses()
	key := s.keys["cairnpass"]
	fmt.Fprintf(w, `Two zones with an entry instance each, and one voter; nothing is stored on disk.

Look up the entry instance that a client should use:
  curl 'http://%[1]s/dogwoodhitch/v1/lookup?address=203.0.113.9'
Check a pass at the gate:
  curl -H 'Authorization: Bearer %[2]s' http://%[1]s/gate/pass-1
Buy a pass; sent twice, it runs once:
  curl -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: purchase-1' -d 'week pass' http://%[1]s/purchases/1
An open route needs no key:
  curl http://%[1]s/status/brest
As an operator:
  curl -H 'Authorization: Bearer %[3]s' http://%[4]s/v1/status
  curl -H 'Authorization: Bearer %[3]s' http://%[5]s/v1/burn

Ctrl-C stops it.
`, first.Callers, key, s.secrets.Operators, s.processes[0].BoundAddresses().Operators, first.Operators)
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (s *System) printStatus(w io.Writer) {
	served := int64(0)
	for _, u := range s.fakeUpstreams {
		served += u.Served()
	}
	v := s.entries()[0].View()
	fmt.Fprintf(w, "\rversion %d  in force everywhere %d  leader %s  served %d   ", v.Catalog().Version(), v.InForce(), v.Leader(), served)
}
