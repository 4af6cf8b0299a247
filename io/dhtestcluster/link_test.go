package dhtestcluster

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestSilenceOfAProcess holds back one direction of the connections that a process has opened and
// accepted, and sends a byte each way.
func TestSilenceOfAProcess(t *testing.T) {
	c := &Cluster{t: t, links: map[[2]string]*Link{}}
	for _, key := range [][2]string{{"p", "q"}, {"q", "p"}} {
		server, err := net.Listen("tcp", freeAddress(t))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { server.Close() })
		c.linkTo(key[0], key[1], server.Addr().String())
		for _, silent := range []Direction{ToTarget, FromTarget} {
			ends := map[string]net.Conn{}
			if ends[key[0]], err = net.Dial("tcp", c.links[key].Address()); err != nil {
				t.Fatal(err)
			}
			if ends[key[1]], err = server.Accept(); err != nil {
				t.Fatal(err)
			}
			c.SetSilent("p", silent, true)
			for _, way := range [][2]string{{"p", "q"}, {"q", "p"}} {
				isHeld := (way[1] == "p") == (silent == ToTarget)
				from, to := ends[way[0]], ends[way[1]]
				if _, err := from.Write([]byte{1}); err != nil {
					t.Fatal(err)
				}
				_ = to.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				if _, err := io.ReadFull(to, make([]byte, 1)); (err != nil) != isHeld {
					t.Errorf("%v, opened by %s, silent in direction %d of p: error %v", way, key[0], silent, err)
				}
			}
			c.SetSilent("p", silent, false)
			ends["p"].Close()
			ends["q"].Close()
		}
	}
}
