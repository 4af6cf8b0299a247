package dhtestcluster

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
)

// Link is a TCP proxy that can be cut: it then closes all connections, and closes
// new ones at once until it is restored.
type Link struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

// StartLink starts a link to a target address, which stops at the end of the
// test.
func StartLink(t *testing.T, target string) *Link {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Link{listener: listener, target: target, open: map[net.Conn]bool{}}
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

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// forward copies the data of a connection to the target and back, until one side
// closes or the link is cut.
func (l *Link) forward(incoming net.Conn) {
	defer incoming.Close()
	l.mutex.Lock()
	cut := l.cut
	l.mutex.Unlock()
	if cut {
		return
	}
	outgoing, err := new(net.Dialer).DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	defer outgoing.Close()
	l.mutex.Lock()
	l.open[incoming], l.open[outgoing] = true, true
	l.mutex.Unlock()
	go func() {
		_, _ = io.Copy(outgoing, incoming)
		outgoing.Close()
	}()
	_, _ = io.Copy(incoming, outgoing)
	l.mutex.Lock()
	delete(l.open, incoming)
	delete(l.open, outgoing)
	l.mutex.Unlock()
}

// SetCut cuts or restores the link.
func (l *Link) SetCut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
	if cut {
		for c := range l.open {
			c.Close()
		}
	}
}
