package main

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link is a TCP proxy that can be cut: it then closes all connections, and closes
// new ones at once until it is restored.
type link struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

// startLink starts a link to a target address, which stops at the end of the
// test.
func startLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target, open: map[net.Conn]bool{}}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return l
}

// forward copies the data of a connection to the target and back, until one side
// closes or the link is cut.
func (l *link) forward(incoming net.Conn) {
	defer incoming.Close()
	l.mutex.Lock()
	cut := l.cut
	l.mutex.Unlock()
	if cut {
		return
	}
	outgoing, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer outgoing.Close()
	l.mutex.Lock()
	l.open[incoming], l.open[outgoing] = true, true
	l.mutex.Unlock()
	go func() {
		io.Copy(outgoing, incoming)
		outgoing.Close()
	}()
	io.Copy(incoming, outgoing)
	l.mutex.Lock()
	delete(l.open, incoming)
	delete(l.open, outgoing)
	l.mutex.Unlock()
}

// setCut cuts or restores the link.
func (l *link) setCut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
	if cut {
		for c := range l.open {
			c.Close()
		}
	}
}
