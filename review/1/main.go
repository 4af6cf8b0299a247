//go:build review

// Command 1 replaces the core machines in pairs, as a platform does that follows the limits of the
// pages, and reads back the config that was acknowledged before.
package main

import (
	"bytes"
	"time"

	"dogwoodhitch/review/kit"
)

// margin is added to each wait of catch_up_s.
const margin = 100 * time.Millisecond

func main() { kit.Main(run) }

func run(r *kit.Run) int {
	var core []*kit.Node
	for _, z := range kit.Zones {
		core = append(core, r.NewNode("core", "core-"+z[0]+"-1", z))
	}
	r.SetSeeds(core[0], core[1], core[2])
	for _, n := range core {
		n.Start(true)
	}
	if status, _ := r.Order("config 7", "/dogwoodhitch/Config.Put", kit.Config(7), 20*time.Second, core...); status != 200 {
		return kit.Unable
	}
	time.Sleep(12 * time.Second) // the system settles
	newest := kit.Config(12)
	if status, _ := r.Order("config 12", "/dogwoodhitch/Config.Put", newest, 10*time.Second, core...); status != 200 {
		return kit.Unable
	}
	time.Sleep(3 * time.Second)

	running := core
	if r.Trouble {
		// Two pairs, one after the other. The successors have had catch_up_s before the SIGTERM.
		for pair := range 2 {
			var next []*kit.Node
			for i := 2 * pair; i < 2*pair+2; i++ {
				n := r.NewNode("core", "core-"+kit.Zones[i][0]+"-2", kit.Zones[i])
				n.Start(false)
				next = append(next, n)
			}
			time.Sleep(time.Duration(kit.CatchUpS*float64(time.Second)) + margin)
			core[2*pair].Terminate()
			core[2*pair+1].Terminate()
			running = append(append([]*kit.Node{}, running[2:]...), next...)
			r.SetSeeds(running[0], running[1], running[2])
			time.Sleep(margin)
		}
	}

	// From here on nothing is disturbed. The system has recovery_s and more.
	time.Sleep(18 * time.Second)
	r.Log("the end of the day: the config is read back for 12 s")
	body := r.ReadConfig(12*time.Second, running...)
	status, _ := r.Order("config 20", "/dogwoodhitch/Config.Put", kit.Config(20), 10*time.Second, running...)
	r.Log("a further valid config: status %d (0: no acknowledgement within 10 s)", status)
	switch {
	case body == nil:
		r.Log("BROKEN: CONFIG: the config that was acknowledged does not come")
		return kit.Broken
	case !bytes.Equal(body, newest):
		r.Log("BROKEN: CONFIG: another config than the one that was acknowledged")
		return kit.Broken
	case status != 200:
		r.Log("BROKEN: no acknowledgement")
		return kit.Broken
	}
	return kit.Held
}
