package dhsoak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodhitch/io/dhclient"
	"dogwoodhitch/io/dhtestcluster"
)

// failureFolder keeps the logs of failed runs.
const failureFolder = "failures"

// newFailureFolder returns the path of the folder for what a failed test keeps, which doesn't exist
// yet.
func newFailureFolder(t *testing.T) string {
	t.Helper()
	folder, err := filepath.Abs(filepath.Join(failureFolder, filepath.FromSlash(t.Name())))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	return folder
}

// linkDirectors is the number of faults of links at the same time.
const linkDirectors = 2

// callersPerEntry is the number of concurrent callers of an entry instance.
const callersPerEntry = 5

// soak is one run with one seed.
type soak struct {
	t    *testing.T
	seed uint64
	scenario
	cluster    *dhtestcluster.Cluster
	executions *executions
	timeLine   timeLine

	mutex        sync.Mutex
	calls        []*call
	lives        []*life
	disturbances []*period
	stalls       int
	failures     []string
}

func (s *soak) record(q *call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls = append(s.calls, q)
}

func (s *soak) addLife(l *life) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lives = append(s.lives, l)
}

func (s *soak) fail(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func newSoak(t *testing.T, seed uint64, o scenario) *soak {
	s := &soak{t: t, seed: seed, scenario: o, executions: newExecutions()}
	folder := newFailureFolder(t)
	t.Cleanup(func() { s.report(folder) })
	s.cluster = dhtestcluster.New(t, dhtestcluster.Options{
		Voters: o.voters, Zones: []string{"a1", "a1", "b1", "b1"}, LeaveWait: o.leaveWait, Finish: o.finish, LogFolder: folder,
		WithoutJournals: !o.hasJournals, WithoutLinks: !o.hasLinkFaults,
	})
	s.cluster.ApplyChange(onceRoute)
	for _, zone := range []string{"a1", "b1"} {
		var entries []*dhtestcluster.Process
		for _, e := range s.cluster.Entries() {
			if e.Zone() == zone {
				entries = append(entries, e)
			}
		}
		for i := range 2 {
			name := fmt.Sprintf("upstream-%s-%d", zone, i+1)
			s.cluster.StartUpstream(name, s.executions.serve(name), entries...)
		}
	}
	return s
}

// run injects faults for the span of the run, stops all processes, and checks everything.
func (s *soak) run() {
	startedAt := time.Now()
	faults, endFaults := context.WithTimeout(s.t.Context(), *spanFlag)
	defer endFaults()
	traffic, endTraffic := context.WithCancel(s.t.Context())
	defer endTraffic()
	var directors []*director
	var injecting, calling, watching sync.WaitGroup
	for _, p := range s.cluster.Processes() {
		d := &director{soak: s, process: p, actions: s.faults[p.Role()], random: newRandom(s.seed, p.Name())}
		d.follow(startedAt)
		directors = append(directors, d)
	}
	for _, e := range s.cluster.Entries() {
		for i := range callersPerEntry {
			c := &caller{soak: s, name: fmt.Sprintf("%s-%d", e.Name(), i), entry: e}
			c.random = newRandom(s.seed, c.name)
			calling.Go(func() { c.run(traffic) })
		}
	}
	for _, d := range directors {
		injecting.Go(func() { d.run(faults) })
		watching.Go(func() { s.watch(faults, d.process) })
	}
	stalls, endStalls := context.WithCancel(s.t.Context())
	defer endStalls()
	watching.Go(func() { s.watchDisk(stalls) })
	watching.Go(func() { s.watchProcesses(stalls) })
	for n := range linkDirectors {
		d := &linkDirector{soak: s, random: newRandom(s.seed, fmt.Sprint("link ", n))}
		injecting.Go(func() { d.run(faults) })
	}
	o := &operator{soak: s, random: newRandom(s.seed, "operator")}
	injecting.Go(func() { o.run(faults) })
	injecting.Wait()
	s.checkConfiguration(o)
	stopAll(directors, "entry")
	endTraffic()
	calling.Wait()
	stopAll(directors, "control")
	endStalls()
	watching.Wait()
	dhtestcluster.Eventually(s.t, "no request runs", func() bool { return s.executions.countRunning() == 0 })
	s.checkAll()
	for _, f := range s.failures {
		s.t.Error(f)
	}
}

// stopAll stops all processes of a role at the same time.
func stopAll(directors []*director, role string) {
	var stopping sync.WaitGroup
	for _, d := range directors {
		if d.process.Role() == role {
			stopping.Go(d.stop)
		}
	}
	stopping.Wait()
}

// checkConfiguration waits until each process has all accepted versions.
func (s *soak) checkConfiguration(o *operator) {
	s.failures = append(s.failures, o.faults...)
	s.cluster.Leader(s.cluster.Voters()...)
	for _, p := range s.cluster.Processes() {
		var list dhclient.ObjectList
		dhtestcluster.Eventually(s.t, p.Name()+" has every accepted change", func() bool {
			var err error
			list, err = s.cluster.Client(p).Objects(s.t.Context(), "organisation", "", false)
			return err == nil && list.Version >= s.cluster.Version()
		})
		all := fmt.Sprintf("%s", list.Objects)
		for _, name := range o.accepted {
			if !strings.Contains(all, strconv.Quote(name)) {
				s.fail("%s has version %d without the accepted %s", p.Name(), list.Version, name)
			}
		}
	}
}

// report shows the failures, the time line and a summary.
func (s *soak) report(folder string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := map[string]int{}
	for _, q := range s.calls {
		switch {
		case q.err != nil:
			counts["broken"]++
		case q.refusal != "":
			counts[q.refusal+" "+q.run]++
		default:
			counts["answered"]++
		}
	}
	s.t.Logf("seed %d: %d voters, leaveWait %v, finish %v, %d lives, %d unplanned faults, of these %d stalls of the machine, requests %v",
		s.seed, s.voters, s.leaveWait, s.finish, len(s.lives), len(s.disturbances), s.stalls, counts)
	if !s.t.Failed() {
		return
	}
	text := fmt.Sprintf("seed %d, span %v\n%s\n", s.seed, *spanFlag, s.timeLine.String())
	s.t.Logf("time line:\n%s", text)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		s.t.Error(err)
	}
	var calls strings.Builder
	for _, q := range s.calls {
		fmt.Fprintf(&calls, "%v, %s\n", q, describe(s.executions.byID[q.id]))
	}
	for name, content := range map[string]string{"timeline.txt": text + strings.Join(s.failures, "\n") + "\n", "calls.txt": calls.String()} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			s.t.Error(err)
		}
	}
}
