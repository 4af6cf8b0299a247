package main

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link is a TCP forwarder that can be cut.
type link struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

func startLink(t *testing.T, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{listener: l, target: target, open: map[net.Conn]bool{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k
}

func (k *link) forward(c net.Conn) {
	defer c.Close()
	k.mutex.Lock()
	cut := k.cut
	k.mutex.Unlock()
	if cut {
		return
	}
	d, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer d.Close()
	k.mutex.Lock()
	k.open[c], k.open[d] = true, true
	k.mutex.Unlock()
	go func() {
		io.Copy(d, c)
		d.Close()
	}()
	io.Copy(c, d)
	k.mutex.Lock()
	delete(k.open, c)
	delete(k.open, d)
	k.mutex.Unlock()
}

func (k *link) setCut(cut bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.cut = cut
	if cut {
		for c := range k.open {
			c.Close()
		}
	}
}
