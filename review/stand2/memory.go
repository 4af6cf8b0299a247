//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Doses of case 6.
const (
	addedRoutes     = 400 // big_config of cairnpass-lifts.toml
	stormChanges    = 25  // config_storm of the same file: 1.5 s, one each 0.06 s
	stormGap        = 60 * time.Millisecond
	stormBreak      = 300 * time.Millisecond // between two storms
	storms          = 32
	restartDelay    = 300 * time.Millisecond
	memoryInterval  = 10 * time.Millisecond
	endsOfAMachine  = 3
	memoryCaseLimit = 100 * time.Second
)

// anonymousMemory returns the resident memory of a process without pages of files, in bytes.
func (m *machine) anonymousMemory() int64 {
	m.mutex.Lock()
	pid := m.cmd.Process.Pid
	m.mutex.Unlock()
	raw, err := os.ReadFile(fmt.Sprint("/proc/", pid, "/status"))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return n << 10
		}
	}
	return 0
}

// watcher is the platform's part of case 6: it kills a process that uses more memory than its
// machine has, and starts a process again that has ended.
type watcher struct {
	cluster *cluster
	mutex   sync.Mutex
	ends    map[string]int
	peak    map[string]int64
	done    chan struct{}
}

func (w *watcher) watch(m *machine) {
	for {
		select {
		case <-w.done:
			return
		case <-m.ended:
			w.mutex.Lock()
			w.ends[m.name]++
			n := w.ends[m.name]
			w.mutex.Unlock()
			w.cluster.rec.printf("platform: the process of %s has ended, %d. time", m.name, n)
			time.Sleep(restartDelay)
			if err := w.cluster.start(m); err != nil {
				w.cluster.rec.printf("platform: can't start %s: %v", m.name, err)
				return
			}
		case <-time.After(memoryInterval):
			used := m.anonymousMemory()
			w.mutex.Lock()
			w.peak[m.name] = max(w.peak[m.name], used)
			w.mutex.Unlock()
			if used > int64(m.memoryMB)<<20 {
				w.cluster.rec.printf("platform: %s uses %d MB of %d MB and is killed", m.name, used>>20, m.memoryMB)
				m.kill()
			}
		}
	}
}

// changedConfig returns a configuration in which the time-outs of all routes differ from those of
// the version before.
func changedConfig(version, routes int) []byte {
	var list []route
	for i := range routes {
		list = append(list, route{
			Name: fmt.Sprint("r-", i+1), PathPrefix: fmt.Sprintf("/lepu%d/", i+1), Kind: "safe", Timeout: 2.5 + float64(version%10)/10, Objective: 0.6,
			Service: "gate-check", MaxAttempts: 2, HomeRegions: []string{},
		})
	}
	return config(version, []string{"gate-check"}, list)
}

// playMemory has the operator change a configuration several hundred times.
func playMemory(rec *record, trouble bool) int {
	c, err := newCluster(rec, 2)
	if err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	routes := 12
	put := func(version int, patience time.Duration) int {
		status, _, _ := c.call(http.MethodPost, "/dogwoodhitch/Config.Put", changedConfig(version, routes), patience)
		return status
	}
	if status := put(1, 15*time.Second); status != http.StatusOK {
		rec.printf("can't run: the first config got %d", status)
		return exitCantRun
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		rec.printf("can't run: %v", err)
		return exitCantRun
	}
	if trouble {
		routes += addedRoutes
	}
	w := &watcher{cluster: c, ends: map[string]int{}, peak: map[string]int64{}, done: make(chan struct{})}
	var watching sync.WaitGroup
	for _, m := range c.machines() {
		watching.Go(func() { w.watch(m) })
	}
	version, acknowledged := 1, 0
	for storm := 0; storm < storms && !w.isBroken() && time.Since(rec.start) < memoryCaseLimit; storm++ {
		for range stormChanges {
			version++
			sentAt := time.Now()
			if status := put(version, 4*time.Second); status == http.StatusOK {
				acknowledged++
			} else {
				rec.printf("operator: config %d has no acknowledgement: %d", version, status)
			}
			time.Sleep(stormGap - time.Since(sentAt))
			if time.Since(rec.start) > memoryCaseLimit || w.isBroken() {
				break
			}
		}
		w.mutex.Lock()
		rec.printf("operator: %d configs of %d routes sent, %d acknowledged; peak memory in MB: %v", version, routes, acknowledged, inMB(w.peak))
		w.mutex.Unlock()
		time.Sleep(stormBreak)
	}
	for trouble && !w.isBroken() && time.Since(rec.start) < memoryCaseLimit {
		time.Sleep(100 * time.Millisecond)
	}
	broken := w.isBroken()
	if broken {
		rec.printf("operator: reads the config back for 8 s more")
		status, body, m := c.call(http.MethodGet, "/dogwoodhitch/Config.Get", nil, 8*time.Second)
		rec.printf("operator: the last read, at %s: %d, %d bytes", m.name, status, len(body))
	}
	close(w.done)
	watching.Wait()
	rec.printf("processes that ended by themselves: %v; peak memory in MB: %v", w.ends, inMB(w.peak))
	if broken {
		rec.printf("rule broken: the processes of half of the core have ended by themselves %d times", endsOfAMachine)
		return 1
	}
	return 0
}

func inMB(bytes map[string]int64) map[string]int64 {
	list := map[string]int64{}
	for name, n := range bytes {
		list[name] = n >> 20
	}
	return list
}

// isBroken reports whether on half of the core machines processes have ended three times.
func (w *watcher) isBroken() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machines := 0
	for _, m := range w.cluster.cores {
		if w.ends[m.name] >= endsOfAMachine {
			machines++
		}
	}
	return machines*2 >= len(w.cluster.cores)
}
