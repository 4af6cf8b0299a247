//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitCantRun)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCantRun)
	}
	rec := &record{file: f, start: time.Now()}
	cases := map[string]func(*record, bool) int{"6": playMemory, "8": playDevices, "9": playEncodedPath, "10": playBehind}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitCantRun)
	}
	code := play(rec, os.Getenv("TROUBLE") != "0")
	rec.printf("exit code %d", code)
	f.Close()
	os.Exit(code)
}

// startSmall starts a deployment with servers of one service, and waits until it serves.
func startSmall(rec *record, fronts, servers, slots int, place func(*cluster), routes []route, work func(*http.Request, []byte) (time.Duration, []byte)) (*cluster, []*server, error) {
	c, err := newCluster(rec, fronts)
	if err != nil {
		return nil, nil, err
	}
	place(c)
	if err := c.startAll(); err != nil {
		return c, nil, err
	}
	status, body, _ := c.call(http.MethodPost, "/dogwoodhitch/Config.Put", config(1, []string{"gate-check"}, routes), 15*time.Second)
	rec.printf("operator: config 1: %d %s", status, short(body))
	if status != http.StatusOK {
		return c, nil, fmt.Errorf("the first config wasn't acknowledged")
	}
	var list []*server
	for i := range servers {
		s, err := c.newServer(fmt.Sprint("i-", i+1), "gate-check", i%len(zones), "", slots)
		if err != nil {
			return c, list, err
		}
		s.work = work
		s.run()
		list = append(list, s)
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		return c, list, err
	}
	time.Sleep(3 * time.Second)
	return c, list, nil
}
