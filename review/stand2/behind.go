//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Doses of case 10.
const (
	earlyChanges   = 225 // before any trouble, one each 0.06 s
	darkTime       = 3 * time.Second
	secondKill     = 600 * time.Millisecond // after the first start
	contactTime    = 3 * time.Second        // contact_s
	directorySlack = 3 * time.Second
	watchTime      = 30 * time.Second // after the last start
	askInterval    = 100 * time.Millisecond
)

// playBehind kills a core machine a second time while it catches up, after a front machine was
// taken away, and asks its directory.
func playBehind(rec *record, trouble bool) int {
	c, err := newCluster(rec, 3)
	if err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	defer c.stop()
	c.fronts[1].zone, c.fronts[2].zone = 3, 1 // two in highland, one in cairngorm
	if err := c.startAll(); err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	var mutex sync.Mutex
	version, acknowledged := 0, 0
	put := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		version++
		status, _, _ := c.call(http.MethodPost, "/dogwoodhitch/Config.Put", changedConfig(version, 12+addedRoutes), 4*time.Second)
		if status == http.StatusOK {
			acknowledged++
		}
		return status
	}
	time.Sleep(time.Second)
	if status := put(); status != http.StatusOK {
		rec.printf("can't run: the first config got %d", status)
		return exitCantRun
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	changing := true
	var operator sync.WaitGroup
	operator.Go(func() {
		for n := 1; ; n++ {
			mutex.Lock()
			goesOn := changing
			mutex.Unlock()
			if !goesOn {
				return
			}
			sentAt := time.Now()
			put()
			time.Sleep(stormGap - time.Since(sentAt))
			if n%stormChanges == 0 {
				time.Sleep(stormBreak)
			}
		}
	})
	for {
		mutex.Lock()
		n := version
		mutex.Unlock()
		if n >= earlyChanges {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	away, machine := c.fronts[1], c.cores[3]
	rec.printf("operator: %d configs of %d routes acknowledged", acknowledged, 12+addedRoutes)
	rec.printf("platform: SIGTERM to %s, which is taken away", away.name)
	ended := away.ended
	away.signal(syscall.SIGTERM)
	if trouble {
		rec.printf("platform: %s loses power for %v", machine.name, darkTime)
		machine.kill()
	}
	time.Sleep(darkTime)
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		away.kill()
	}
	endedAt := time.Now()
	rec.printf("platform: %s has ended", away.name)
	if trouble {
		if err := c.start(machine); err != nil {
			return exitCantRun
		}
		rec.printf("platform: %s starts", machine.name)
		time.Sleep(secondKill)
		rec.printf("platform: the process of %s is killed", machine.name)
		machine.kill()
		time.Sleep(restartDelay)
		if err := c.start(machine); err != nil {
			return exitCantRun
		}
		rec.printf("platform: %s starts", machine.name)
	}
	lastStart := time.Now()
	gone := fmt.Sprint(away.ip, ":", c.ports.front)
	watchEnd := lastStart.Add(watchTime)
	reads := map[int]int{}
	var reader sync.WaitGroup
	reader.Go(func() {
		for time.Now().Before(watchEnd) {
			status, _ := c.callAt(machine, http.MethodGet, "/dogwoodhitch/Config.Get", nil)
			reads[status]++
			rec.printf("operator: Config.Get at %s %.1f s after its start: %d", machine.name, time.Since(lastStart).Seconds(), status)
			time.Sleep(time.Second)
		}
	})
	wrong, answers := 0, 0
	for asked := 0; time.Now().Before(watchEnd); asked++ {
		addresses, status := c.askDirectory(machine)
		isInTouch := time.Since(lastStart) > contactTime
		isLongGone := time.Since(endedAt) > contactTime+directorySlack
		isWrong := slices.Contains(addresses, gone) && len(addresses) > 1
		if status == http.StatusOK && isInTouch && isLongGone {
			answers++
			if isWrong {
				wrong++
			}
		}
		if asked%10 == 0 {
			rec.printf("client: the directory of %s, %.1f s after its start: %d %v; %s ended %.1f s ago",
				machine.name, time.Since(lastStart).Seconds(), status, addresses, gone, time.Since(endedAt).Seconds())
		}
		time.Sleep(askInterval)
	}
	reader.Wait()
	mutex.Lock()
	changing = false
	mutex.Unlock()
	operator.Wait()
	rec.printf("operator: %d configs sent, %d acknowledged; Config.Get at %s by status: %v", version, acknowledged, machine.name, reads)
	rec.printf("%d answers of the directory of %s, in touch; %d of them name %s", answers, machine.name, wrong, gone)
	if wrong > 3 {
		return 1
	}
	return 0
}

// askDirectory asks the directory of one machine where to connect.
func (c *cluster) askDirectory(m *machine) ([]string, int) {
	response, err := controlClient.Get(fmt.Sprint("http://", m.ip, ":", c.ports.directory, "/dogwoodhitch/resolve?name=", hostName, "&region=highland&zone=highland-b"))
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if err != nil || json.Unmarshal(raw, &body) != nil {
		return nil, response.StatusCode
	}
	return body.Addresses, response.StatusCode
}
