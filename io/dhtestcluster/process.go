package dhtestcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is one process of the program, which may be started several times. It embeds
// its last run.
type Process struct {
	*Run
	name, role, zone string
	folder           string
	callers          string
	upstreams        string
	peers            string
	operators        string
}

// Name returns the name of the instance.
func (p *Process) Name() string { return p.name }

// Role returns the role of the settings: control or entry.
func (p *Process) Role() string { return p.role }

// Zone returns the availability zone of an entry instance.
func (p *Process) Zone() string { return p.zone }

// Folder returns the path of the data folder, and without a suffix that of the other files.
func (p *Process) Folder() string { return p.folder }

// Callers returns the address for callers.
func (p *Process) Callers() string { return p.callers }

// Upstreams returns the address for upstreams.
func (p *Process) Upstreams() string { return p.upstreams }

// Peers returns the address for other processes.
func (p *Process) Peers() string { return p.peers }

// Operators returns the address for operators.
func (p *Process) Operators() string { return p.operators }

// FolderID returns the ID of the data folder from the log, or "" if it isn't logged yet.
func (p *Process) FolderID() string {
	for line := range strings.Lines(p.Log()) {
		var started struct {
			Folder string `json:"folder"`
		}
		if json.Unmarshal([]byte(line), &started) == nil && started.Folder != "" {
			return started.Folder
		}
	}
	return ""
}

// Run is one operating-system process, from its start to its end.
type Run struct {
	command *exec.Cmd
	done    chan struct{}
	log     logBuffer
	endedAt time.Time // set when done is closed
}

// StartRun starts a program with an environment that is added to that of the tests.
func StartRun(path string, environment []string, args ...string) (*Run, error) {
	output, input, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer input.Close()
	r := &Run{command: exec.CommandContext(context.Background(), path, args...), done: make(chan struct{})}
	r.command.Stdout, r.command.Stderr = input, input
	// The race detector's runtime otherwise sleeps for a second before the process exits.
	r.command.Env = append(append(os.Environ(), "GORACE=atexit_sleep_ms=0"), environment...)
	if err := r.command.Start(); err != nil {
		output.Close()
		return nil, err
	}
	go r.wait(output)
	return r, nil
}

// wait collects the log of the process until it has ended. The end is recorded first: a process
// that is being started elsewhere holds the pipe open too, until it runs the program.
func (r *Run) wait(output *os.File) {
	defer close(r.done)
	defer output.Close()
	copied := make(chan error, 1)
	go func() {
		_, err := io.Copy(&r.log, output)
		copied <- err
	}()
	_ = r.command.Wait() // ExitCode and EndedBy return the result
	r.endedAt = time.Now()
	if err := <-copied; err != nil {
		fmt.Fprintln(&r.log, "reading the output failed:", err)
	}
}

// Signal sends a signal. It returns an error if the process has ended.
func (r *Run) Signal(s os.Signal) error { return r.command.Process.Signal(s) }

// SetDiskFull makes each write of the process to a file fail, or lets them succeed again. It returns
// an error if the process has ended.
func (r *Run) SetDiskFull(full bool) error {
	if err := r.Signal(syscall.Signal(0)); err != nil {
		return err
	}
	var limit unix.Rlimit
	if err := unix.Prlimit(r.command.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return err
	}
	limit.Cur = limit.Max
	if full {
		limit.Cur = 0
	}
	return unix.Prlimit(r.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// Kill ends the process at once and waits for its end.
func (r *Run) Kill() {
	_ = r.Signal(syscall.SIGCONT) // fails if the process has ended
	_ = r.Signal(syscall.SIGKILL)
	<-r.done
}

// Done returns a channel that is closed when the process has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// HasEnded reports whether the process has ended.
func (r *Run) HasEnded() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// EndedAt returns when the process ended, once Done is closed.
func (r *Run) EndedAt() time.Time { return r.endedAt }

// ExitCode returns the exit code once Done is closed; -1 if a signal ended the process.
func (r *Run) ExitCode() int { return r.command.ProcessState.ExitCode() }

// EndedBy returns the signal that ended the process, once Done is closed; 0 if it exited.
func (r *Run) EndedBy() syscall.Signal {
	s, _ := r.command.ProcessState.Sys().(syscall.WaitStatus)
	return max(s.Signal(), 0)
}

// Log returns what the process has written so far.
func (r *Run) Log() string { return r.log.String() }

// SaveLog stores the log in a new file of a folder.
func (r *Run) SaveLog(folder, name string) (string, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	path := filepath.Join(folder, name+".log")
	return path, os.WriteFile(path, []byte(r.Log()), 0o600)
}

// logBuffer collects the log of a process. It may be read while the process
// runs.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}
