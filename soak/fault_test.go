package dhsoak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodhitch/core/dhview"
	"dogwoodhitch/io/dherrors"
	"dogwoodhitch/io/dhtestcluster"
)

// clockFormat shows times in the time line.
const clockFormat = "15:04:05.000"

// stopSlack is the time beyond leaveWaitMs and finishMs within which a process ends.
const stopSlack = time.Second

// stuckAfter is how long a stop may exceed its bound before the soak kills the process.
const stuckAfter = 5 * time.Second

// timeLine lists the faults.
type timeLine struct {
	mutex sync.Mutex
	lines []string
}

func (l *timeLine) add(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lines = append(l.lines, time.Now().Format(clockFormat)+" "+fmt.Sprintf(format, args...))
}

func (l *timeLine) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Join(l.lines, "\n")
}

// period is a time in which an unplanned fault may affect callers.
type period struct {
	process  string    // "" for a link or the machine
	from, to time.Time // to is zero until it has ended
}

// overlaps reports whether the period has a part of a time between two others.
func (p *period) overlaps(from, to time.Time) bool {
	return p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
}

// life is one run of a process and what the soak did to it.
type life struct {
	*dhtestcluster.Run
	name       string
	startedAt  time.Time
	stoppedAt  time.Time // when it got SIGTERM; zero before
	wasStarted bool      // it had logged that it has started before SIGTERM
	isKilled   bool      // it got SIGKILL, or SIGTERM twice
}

func (l *life) hasLogged(text string) bool { return strings.Contains(l.Log(), `"msg":"`+text+`"`) }

// leftAt returns when the process has logged, to the end of that millisecond, that it is leaving;
// zero if it hasn't. It can take requests until then, because a signal that was sent isn't
// received at once.
func (l *life) leftAt() time.Time {
	for line := range strings.Lines(l.Log()) {
		var entry struct {
			Message string    `json:"msg"`
			Time    time.Time `json:"time"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "leaving" {
			return entry.Time.Add(time.Millisecond)
		}
	}
	return time.Time{}
}

// action is a kind of fault.
type action string

const (
	stopAction   action = "stop"    // SIGTERM
	hangUpAction action = "hang up" // SIGHUP
	killAction   action = "kill"    // SIGKILL
	pauseAction  action = "pause"   // SIGSTOP and SIGCONT
)

// director injects faults into one process, one after the other.
type director struct {
	soak    *soak
	process *dhtestcluster.Process
	actions []action
	random  *rand.Rand
	life    *life
}

// run injects faults until the context ends. Then the process runs.
func (d *director) run(ctx context.Context) {
	for len(d.actions) > 0 {
		sleep(ctx, between(d.random, 100, 1500))
		if ctx.Err() != nil {
			return
		}
		switch d.actions[d.random.IntN(len(d.actions))] {
		case stopAction:
			d.stop()
		case hangUpAction:
			d.hangUp(1 + d.random.IntN(4))
		case killAction:
			d.kill()
		case pauseAction:
			d.pause()
		}
		if d.life.HasEnded() {
			sleep(context.Background(), between(d.random, 0, 600))
			d.start()
		}
	}
}

func (d *director) may(a action) bool { return slices.Contains(d.actions, a) }

// start starts the process, and sometimes stops it before it has started.
func (d *director) start() {
	d.soak.timeLine.add("%s: start", d.process.Name())
	startedAt := time.Now()
	d.soak.cluster.Start(d.process)
	d.follow(startedAt)
	if d.random.IntN(8) == 0 {
		sleep(context.Background(), between(d.random, 0, 100))
		d.stop()
		d.start()
	}
}

// follow records the life that has begun.
func (d *director) follow(startedAt time.Time) {
	d.life = &life{Run: d.process.Run, name: d.process.Name(), startedAt: startedAt}
	d.soak.addLife(d.life)
}

func (d *director) signal(s syscall.Signal) {
	err := d.life.Signal(s)
	d.soak.timeLine.add("%s: %v (error %v)", d.process.Name(), s, err)
}

func (d *director) hangUp(times int) {
	if !d.soak.hangsUpAtStart && !d.life.hasLogged("started") {
		return
	}
	for range times {
		d.signal(syscall.SIGHUP)
		sleep(context.Background(), between(d.random, 0, 50))
	}
}

// stop sends SIGTERM, SIGHUP around it if the scenario has it, and sometimes a second SIGTERM, which
// ends the process at once. It waits until the process has ended.
func (d *director) stop() {
	if d.may(hangUpAction) {
		d.hangUp(d.random.IntN(3))
	}
	d.life.wasStarted = d.life.hasLogged("started")
	d.signal(syscall.SIGTERM)
	d.life.stoppedAt = time.Now()
	bound := d.soak.leaveWait + d.soak.finish + stopSlack
	if d.may(killAction) && d.random.IntN(8) == 0 {
		end := d.soak.disturb(d.process.Name(), time.Now())
		defer end()
		sleep(context.Background(), between(d.random, 0, int(bound.Milliseconds())))
		d.life.isKilled = true
		d.signal(syscall.SIGTERM)
	}
	deadline := time.NewTimer(bound + stuckAfter)
	defer deadline.Stop()
	for {
		var pause <-chan time.Time
		if d.may(hangUpAction) {
			pause = time.After(between(d.random, 0, 500))
		}
		select {
		case <-d.life.Done():
			d.soak.timeLine.add("%s: ended with exit code %d", d.process.Name(), d.life.ExitCode())
			return
		case <-pause:
			d.hangUp(1)
		case <-deadline.C:
			d.soak.timeLine.add("%s: killed, since it doesn't end", d.process.Name())
			d.life.Kill()
			return
		}
	}
}

func (d *director) kill() {
	end := d.soak.disturb(d.process.Name(), time.Now())
	defer end()
	d.life.isKilled = true
	d.signal(syscall.SIGKILL)
	<-d.life.Done()
}

func (d *director) pause() {
	end := d.soak.disturb(d.process.Name(), time.Now())
	defer end()
	d.signal(syscall.SIGSTOP)
	sleep(context.Background(), between(d.random, 50, 2500))
	d.signal(syscall.SIGCONT)
}

// A stall of the machine is a time in which a timer together with a write to the disk, or with a
// process that does nothing, is late by more than a limit.
const (
	stallInterval     = 50 * time.Millisecond
	diskStallLimit    = 100 * time.Millisecond
	processStallLimit = 500 * time.Millisecond
)

// watchDisk records stalls of writes to the disk.
func (s *soak) watchDisk(ctx context.Context) {
	file, err := os.Create(filepath.Join(s.cluster.Folder(), "stalls"))
	if err != nil {
		s.fail("the watch of the disk: %v", err)
		return
	}
	defer file.Close()
	s.recordStalls(ctx, "disk", diskStallLimit, func() error {
		_, err := file.WriteAt([]byte(time.Now().String()), 0)
		return errors.Join(err, file.Sync())
	})
}

// watchProcesses records stalls of the start and the end of processes.
func (s *soak) watchProcesses(ctx context.Context) {
	s.recordStalls(ctx, "start or end of processes", processStallLimit, func() error {
		return exec.CommandContext(context.WithoutCancel(ctx), "true").Run()
	})
}

// recordStalls records when a probe of the machine is late, which delays all processes.
func (s *soak) recordStalls(ctx context.Context, what string, limit time.Duration, probe func() error) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		sleep(ctx, stallInterval)
		if err := probe(); err != nil {
			s.fail("the watch of the %s: %v", what, err)
			return
		}
		if late := time.Since(startedAt) - stallInterval; late > limit {
			s.timeLine.add("the machine (%s) stalled for %v", what, late)
			s.disturb("", startedAt)()
			s.mutex.Lock()
			s.stalls++
			s.mutex.Unlock()
		}
	}
}

// maxSilenceMs is longer than processes take to miss each other and to elect a leader, in milliseconds.
const maxSilenceMs = 8000

// linkDirector injects faults into links, one after the other.
type linkDirector struct {
	soak   *soak
	random *rand.Rand
}

// run injects faults until the context ends. Then all links work.
func (d *linkDirector) run(ctx context.Context) {
	links := d.soak.cluster.Links()
	names := slices.SortedFunc(maps.Keys(links), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for len(names) > 0 && ctx.Err() == nil {
		sleep(ctx, between(d.random, 100, 2000))
		if d.random.IntN(4) == 0 {
			d.silence(ctx)
			continue
		}
		name := names[d.random.IntN(len(names))]
		d.disturb(links[name], fmt.Sprintf("link from %s to %s", name[0], name[1]))
	}
}

// silence holds back what a process gets from all others, or what it sends to them.
func (d *linkDirector) silence(ctx context.Context) {
	defer d.soak.disturb("", time.Now())()
	list := d.soak.cluster.Processes()
	name, way := list[d.random.IntN(len(list))].Name(), dhtestcluster.Direction(d.random.IntN(2))
	lasts := between(d.random, 500, maxSilenceMs)
	d.soak.timeLine.add("all links of %s: silent in direction %d of it", name, way)
	d.soak.cluster.SetSilent(name, way, true)
	defer d.soak.timeLine.add("all links of %s: work", name)
	defer d.soak.cluster.SetSilent(name, way, false)
	sleep(ctx, lasts)
}

func (d *linkDirector) disturb(l *dhtestcluster.Link, name string) {
	defer d.soak.disturb("", time.Now())()
	defer d.soak.timeLine.add("%s: works", name)
	lasts := between(d.random, 50, 2500)
	switch d.random.IntN(5) {
	case 0:
		d.soak.timeLine.add("%s: reset", name)
		l.Reset()
		return
	case 1:
		d.soak.timeLine.add("%s: cut", name)
		l.SetCut(true)
		defer l.SetCut(false)
	case 2:
		delay := between(d.random, 1, 300)
		d.soak.timeLine.add("%s: delayed by %v", name, delay)
		l.SetDelay(delay)
		defer l.SetDelay(0)
	case 3:
		way := dhtestcluster.Direction(d.random.IntN(2))
		d.soak.timeLine.add("%s: silent in direction %d", name, way)
		l.SetSilent(way, true)
		defer l.SetSilent(way, false)
	case 4:
		d.soak.timeLine.add("%s: silent", name)
		for _, way := range []dhtestcluster.Direction{dhtestcluster.ToTarget, dhtestcluster.FromTarget} {
			l.SetSilent(way, true)
			defer l.SetSilent(way, false)
		}
	}
	sleep(context.Background(), lasts)
}

// disturb records that an unplanned fault of a process, or of a link or the machine if it is "", has begun. The
// returned function records its end.
func (s *soak) disturb(process string, from time.Time) func() {
	p := &period{process: process, from: from}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disturbances = append(s.disturbances, p)
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		p.to = time.Now().Add(recovery)
	}
}

// recovery is the time after an unplanned fault in which its consequences are allowed: until
// then instances may use each other's former state.
const recovery = time.Duration(dhview.FreshnessLease) * time.Millisecond

// operator changes the configuration, and records what was accepted.
type operator struct {
	soak     *soak
	random   *rand.Rand
	accepted []string // names of organisations, by version
	faults   []string
}

// run submits change sets until the context ends. Each is sent again until it is accepted.
func (o *operator) run(ctx context.Context) {
	c := o.soak.cluster
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, between(o.random, 50, 800))
		name := fmt.Sprintf("organisation-%d", n)
		raw := fmt.Sprintf(`{"id": %q, "author": "soak", "base": %d, "puts": [{"organisation": {"name": %q}}]}`, name, c.Version(), name)
		waits := o.random.IntN(3) == 0
		for ctx.Err() == nil {
			changed, err := c.Client(c.Voters()...).SubmitJSON(ctx, []byte(raw), false, waits)
			if err == nil {
				if changed.Version != c.Version()+1 {
					o.faults = append(o.faults, fmt.Sprintf("%s was accepted as version %d, want %d", name, changed.Version, c.Version()+1))
				}
				c.SetVersion(changed.Version)
				o.accepted = append(o.accepted, name)
				o.soak.timeLine.add("version %d is accepted, in force everywhere: %t", changed.Version, changed.InForce)
				if changed.InForce {
					o.checkInForce(ctx, changed.Version)
				}
				break
			}
			if dherrors.KindOf(err) == dherrors.KindConflict && ctx.Err() == nil {
				o.faults = append(o.faults, fmt.Sprintf("%s against version %d: %v", name, c.Version(), err))
				return
			}
			sleep(ctx, retryInterval)
		}
	}
}

// checkInForce checks that no entry instance uses an older configuration than a version that is in
// force everywhere.
func (o *operator) checkInForce(ctx context.Context, version uint64) {
	for _, e := range o.soak.cluster.Entries() {
		s, err := o.soak.cluster.Client(e).Status(ctx)
		if err == nil && s.EverConfirmed && s.AgeMs < dhview.FreshnessLease.Milliseconds() && s.Version < version {
			o.faults = append(o.faults, fmt.Sprintf("%s uses version %d, but %d is in force", e.Name(), s.Version, version))
		}
	}
}

// watchInterval is the time between two looks at the version of a process.
const watchInterval = 100 * time.Millisecond

// watch reports a process whose version decreases while it runs.
func (s *soak) watch(ctx context.Context, p *dhtestcluster.Process) {
	var last uint64
	var lastLife *life
	for ctx.Err() == nil {
		l := s.lifeAt(p.Name(), time.Now())
		status, err := s.cluster.Client(p).Status(ctx)
		if err == nil && !l.HasEnded() {
			if l == lastLife && status.Version < last {
				s.fail("%v reverted from version %d to %d", l, last, status.Version)
			}
			last, lastLife = status.Version, l
		}
		sleep(ctx, watchInterval)
	}
}
