// Package dhtestcluster runs a system of separate processes of the real program on
// loopback addresses, for tests. Their peer connections run over links that can be cut.
package dhtestcluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// WaitTimeout limits every wait for an expected condition.
const WaitTimeout = 30 * time.Second

// pollInterval is the time between two checks of an expected condition.
const pollInterval = 20 * time.Millisecond

// program is the path of the binary under test, which RunTests builds once in programFolder.
var (
	program       string
	programFolder string
)

// RunTests builds the program, runs the tests of a package, and returns the exit code. The build
// is also the first process that the test binary starts: before it, os clones a child once
// without holding syscall.ForkLock, which freeAddress relies on.
func RunTests(m *testing.M) int {
	var err error
	if programFolder, err = os.MkdirTemp("", "dogwoodhitch"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(programFolder) }()
	if program, err = BuildProgram("dogwoodhitch"); err != nil {
		panic(err)
	}
	return m.Run()
}

// BuildProgram builds a command of the module in a folder that RunTests removes, and returns the
// path of the binary. Tests that need another program than that under test build it themselves.
func BuildProgram(name string) (string, error) {
	path := filepath.Join(programFolder, name)
	args := []string{"build", "-o", path}
	if raceDetector {
		args = append(args, "-race")
	}
	args = append(args, "dogwoodhitch/cmd/"+name)
	if out, err := exec.CommandContext(context.Background(), "go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w: %s", name, err, out)
	}
	return path, nil
}

// Program returns the path of the binary under test.
func Program() string { return program }

// RaceDetector reports whether the program is built with the race detector.
func RaceDetector() bool { return raceDetector }

// host is a loopback address that only this test run uses, and lastPort the last
// port that was allocated. The ports are below the kernel's ephemeral range, so
// that nothing else binds a port between its allocation and its use.
var (
	host      = fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
	portMutex sync.Mutex
	lastPort  = firstPort
)

// firstPort and maxPort bound the allocated ports.
const (
	firstPort = 20_000
	maxPort   = 30_000
)

// Host returns the loopback address that only this test run uses.
func Host() string { return host }

// freeAddress returns a loopback address on which nothing listens. No process may be started
// while the probe's socket is open: the new process would hold it until its exec.
func freeAddress(t *testing.T) string {
	t.Helper()
	portMutex.Lock()
	defer portMutex.Unlock()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for {
		lastPort++
		address := fmt.Sprintf("%s:%d", host, lastPort)
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
		if err == nil {
			l.Close()
			return address
		}
		if lastPort > maxPort {
			t.Fatal(err)
		}
	}
}

// lastHost is the number of the last address that FreeHost returned.
var lastHost atomic.Uint32

// hostsPerRun is the number of addresses that FreeHost has for a test run.
const hostsPerRun = 1 << 10

// FreeHost returns a loopback address that only this test run uses and that it hasn't returned
// before, for processes that listen at the same ports of their own machines.
func FreeHost() string {
	number := uint32(os.Getpid())*hostsPerRun + lastHost.Add(1)%hostsPerRun
	return fmt.Sprintf("127.%d.%d.%d", 128+number>>16%0x7f, number>>8&0xff, number&0xff)
}

// Eventually polls a condition until it is met, and fails the test if that takes
// longer than WaitTimeout.
func Eventually(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if met() {
			return
		}
	}
	t.Fatal("condition not met within WaitTimeout: " + condition)
}
