package dhtestcluster

import (
	"context"
	"net"
	"os"
	"os/exec"
	"testing"
)

func TestMain(m *testing.M) { os.Exit(RunTests(m)) }

// TestFreeAddressIsInUseWhileProcessesStart listens on free addresses while other goroutines
// start processes. Each address must be usable at once.
func TestFreeAddressIsInUseWhileProcessesStart(t *testing.T) {
	const addresses, starters = 2000, 4
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, starters)
	for range starters {
		go func() {
			defer func() { done <- struct{}{} }()
			for ctx.Err() == nil {
				_ = exec.CommandContext(ctx, "/bin/true").Run()
			}
		}()
	}
	for range addresses {
		l, err := net.Listen("tcp", freeAddress(t))
		if err != nil {
			t.Error(err)
			break
		}
		l.Close()
	}
	cancel()
	for range starters {
		<-done
	}
}
