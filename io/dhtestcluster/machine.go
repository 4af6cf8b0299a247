package dhtestcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Machine is a machine with an address and a disk of its own, on which a program is started several
// times. It embeds the last run. It isn't safe for concurrent use.
type Machine struct {
	*Run
	name, host, path string
	runs             []*Run
	startedAt        time.Time
	isUp, mayEnd     bool
	problems         []string
}

// NewMachine returns a machine whose files are in a folder.
func NewMachine(folder, name string) *Machine {
	return &Machine{name: name, host: FreeHost(), path: filepath.Join(folder, name)}
}

// Name returns the name of the machine, Host its address.
func (m *Machine) Name() string { return m.name }

// Host returns the IP address of the machine.
func (m *Machine) Host() string { return m.host }

// Disk returns the path of the folder that survives restarts.
func (m *Machine) Disk() string { return m.path }

// SettingsFile returns the path of the settings file.
func (m *Machine) SettingsFile() string { return m.path + ".json" }

// StartedAt returns when the program was started last.
func (m *Machine) StartedAt() time.Time { return m.startedAt }

// IsUp reports whether the program should run: it was started, and neither stopped nor killed since.
func (m *Machine) IsUp() bool { return m.isUp }

// WriteSettings replaces the settings file, so that no process reads a part of it.
func (m *Machine) WriteSettings(raw []byte) error {
	if err := os.WriteFile(m.path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(m.path+".new", m.SettingsFile())
}

// Start starts a program.
func (m *Machine) Start(program string, environment ...string) error {
	if err := os.MkdirAll(m.path, 0o700); err != nil {
		return err
	}
	r, err := StartRun(program, environment)
	if err != nil {
		return err
	}
	m.Run, m.runs, m.startedAt, m.isUp, m.mayEnd = r, append(m.runs, r), time.Now(), true, false
	return nil
}

// FillDisk makes each write of the process to a file fail. The process may end by itself from then on.
func (m *Machine) FillDisk() error {
	m.checkRuns()
	m.mayEnd = true
	return m.SetDiskFull(true)
}

// Terminate sends a signal that ends the process, SIGTERM or SIGKILL.
func (m *Machine) Terminate(s syscall.Signal) {
	m.checkRuns()
	m.isUp = false
	_ = m.Signal(s) // fails if the process has ended
}

// checkRuns records that the process has ended by itself, which it may only after its disk was full.
func (m *Machine) checkRuns() {
	if m.isUp && !m.mayEnd && m.HasEnded() {
		m.problems = append(m.problems, fmt.Sprintf("%s ended with exit code %d, by signal %v", m.name, m.ExitCode(), m.EndedBy()))
	}
}

// KillAll kills the processes of machines at once and waits for their end.
func KillAll(machines []*Machine) {
	for _, m := range machines {
		m.Terminate(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.Kill()
	}
}

// LoseDisk deletes what the disk holds.
func (m *Machine) LoseDisk() error { return os.RemoveAll(m.path) }

// Problems returns what no run may show: an end by itself, a panic or a data race.
func (m *Machine) Problems() []string {
	m.checkRuns()
	list := m.problems
	for _, r := range m.runs {
		for _, text := range []string{"\npanic: ", "\nfatal error: ", "DATA RACE"} {
			if strings.Contains("\n"+r.Log(), text) {
				list = append(list, fmt.Sprintf("%s wrote %q", m.name, strings.TrimSpace(text)))
			}
		}
	}
	return list
}

// SaveLogs stores the log of each run in a folder.
func (m *Machine) SaveLogs(folder string) error {
	for i, r := range m.runs {
		if _, err := r.SaveLog(folder, fmt.Sprintf("%s-run-%d", m.name, i+1)); err != nil {
			return err
		}
	}
	return nil
}
