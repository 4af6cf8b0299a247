//go:build review

// Command 5 loses a front machine for good and, 1.5 s later, the process of a core machine, which
// is back at once. It then looks at what the directory names.
package main

import (
	"slices"
	"time"

	"dogwoodhitch/review/kit"
)

func main() { kit.Main(run) }

func run(r *kit.Run) int {
	var core, fronts []*kit.Node
	for _, z := range kit.Zones {
		core = append(core, r.NewNode("core", "core-"+z[0]+"-1", z))
	}
	// Two fronts in highland, one in cairngorm.
	for _, i := range []int{0, 3, 1} {
		fronts = append(fronts, r.NewNode("front", "front-"+kit.Zones[i][0]+"-1", kit.Zones[i]))
	}
	r.SetSeeds(core[0], core[1], core[2])
	for _, n := range append(append([]*kit.Node{}, core...), fronts...) {
		n.Start(true)
	}
	if status, _ := r.Order("config 7", "/dogwoodhitch/Config.Put", kit.Config(7), 20*time.Second, core...); status != 200 {
		return kit.Unable
	}
	time.Sleep(15 * time.Second)
	var leader *kit.Node
	for _, n := range core {
		if n.Leads() {
			leader = n
		}
	}
	lost := fronts[1]
	status, addresses := kit.Look(core[0], kit.Zones[0])
	r.Log("look-up for highland: %d %v", status, addresses)
	if leader == nil || !slices.Contains(addresses, lost.Front()) || len(addresses) < 2 {
		return kit.Unable
	}

	lostAt := time.Now()
	if r.Trouble {
		lost.Kill()
		lostAt = time.Now()
		time.Sleep(1500 * time.Millisecond)
		leader.Kill()
		time.Sleep(500 * time.Millisecond)
		leader.Start(false)
	}
	calmAt := time.Now() // the last event

	// The rule counts from contact_s + 3 s after the loss on, at machines in touch.
	from := lostAt.Add(seconds(kit.ContactS + 3))
	if inTouch := calmAt.Add(seconds(kit.ContactS)); inTouch.After(from) {
		from = inTouch
	}
	time.Sleep(time.Until(from) + 50*time.Millisecond)
	wrong, asked := 0, 0
	for time.Since(lostAt) < 14*time.Second {
		for _, n := range core {
			if n == leader {
				continue // it was killed itself
			}
			sentAt := time.Now()
			status, addresses := kit.Look(n, kit.Zones[0])
			asked++
			if r.Trouble && status == 200 && slices.Contains(addresses, lost.Front()) && len(addresses) > 1 {
				wrong++
				r.Log("look-up sent %.2f s after the loss of %s (%s): %s answers %v", sentAt.Sub(lostAt).Seconds(), lost.Name, lost.Front(), n.Name, addresses)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Log("%d of %d answers named the machine that was lost over contact_s + 3 s before", wrong, asked)
	if wrong > 3 {
		r.Log("BROKEN: DRAIN: more than three answers of the directory name a machine that was killed over contact_s + 3 s before")
		return kit.Broken
	}
	return kit.Held
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
