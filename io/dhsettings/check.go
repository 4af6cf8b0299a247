package dhsettings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"dogwoodhitch/core/dhcatalog"
)

// checker checks a settings file and collects its problems.
type checker struct {
	baseFolder string // folder of the settings file, against which relative paths are resolved
	problems   []Problem
}

func (c *checker) addProblem(path, found, remedy string) {
	c.problems = append(c.problems, Problem{path: path, found: found, remedy: remedy})
}

func (c *checker) check(s *Settings) {
	f := &s.file
	c.checkName("name", f.Name)
	switch f.Role {
	case RoleEntry:
		c.checkName("zone", f.Zone)
		c.checkAddress("listen.callers", f.Listen.Callers)
		c.checkAddress("listen.upstreams", f.Listen.Upstreams)
		c.checkAbsent("dataFolder", f.DataFolder, "only a control process has a data folder")
		s.secrets[secretUpstreams] = c.readSecret("secrets.upstreamsFile", f.Secrets.UpstreamsFile)
	case RoleControl:
		c.checkAbsent("listen.callers", f.Listen.Callers, "only an entry process serves callers")
		c.checkAbsent("listen.upstreams", f.Listen.Upstreams, "only an entry process serves upstreams")
		if f.DataFolder == "" {
			c.addProblem("dataFolder", "nothing", "set it to a folder on persistent storage")
		}
	default:
		c.addProblem("role", fmt.Sprintf("%q", f.Role), "use entry or control")
	}
	c.checkAddress("listen.peers", f.Listen.Peers)
	c.checkAddress("listen.operators", f.Listen.Operators)
	s.secrets[secretPeers] = c.readSecret("secrets.peersFile", f.Secrets.PeersFile)
	s.secrets[secretOperators] = c.readSecret("secrets.operatorsFile", f.Secrets.OperatorsFile)
	c.checkVoters(s)
	c.checkTLS(f)
	c.checkRange("requests.maxBodyBytes", f.Requests.MaxBodyBytes, maxBytes)
	c.checkRange("requests.maxHeldBytes", f.Requests.MaxHeldBytes, maxBytes)
	c.checkRange("requests.holdBytes", f.Requests.ResponseBufferBytes, maxBytes)
	c.checkRange("requests.maxConnections", f.Requests.MaxConnections, 1<<16)
	c.checkRange("shutdown.leaveWaitMs", f.Shutdown.LeaveWaitMs, maxWaitMs)
	c.checkRange("shutdown.finishMs", f.Shutdown.FinishMs, maxWaitMs)
}

func (c *checker) checkName(path, value string) {
	if !dhcatalog.ValidName(value) {
		c.addProblem(path, fmt.Sprintf("%q", value), "use 1 to 128 letters, digits, '-', '_' or '.'")
	}
}

func (c *checker) checkAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(path, fmt.Sprintf("%q", value), "use an IP address and a port, such as 10.0.0.1:8080")
	}
}

// checkAbsent reports a field that the process's role doesn't use.
func (c *checker) checkAbsent(path, value, remedy string) {
	if value != "" {
		c.addProblem(path, fmt.Sprintf("%q", value), "remove it: "+remedy)
	}
}

func (c *checker) checkRange(path string, value, maximum int64) {
	if value < 1 || value > maximum {
		c.addProblem(path, fmt.Sprint(value), fmt.Sprintf("use a value from 1 to %d", maximum))
	}
}

// readSecret returns the secret in a file. A relative path is resolved against the
// folder of the settings file.
func (c *checker) readSecret(path, name string) string {
	if name == "" {
		c.addProblem(path, "nothing", "set it to a file that contains the secret")
		return ""
	}
	if !filepath.IsAbs(name) {
		name = filepath.Join(c.baseFolder, name)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		c.addProblem(path, err.Error(), "create the file")
		return ""
	}
	secret := strings.TrimSpace(string(raw))
	if len(secret) < minSecretLength {
		c.addProblem(path, fmt.Sprintf("a secret of %d characters", len(secret)), fmt.Sprintf("use at least %d characters", minSecretLength))
	}
	return secret
}

// checkTLS requires all three TLS files or none, and resolves relative paths against
// the folder of the settings file.
func (c *checker) checkTLS(f *settingsFile) {
	t := &f.TLS
	configured := 0
	for _, path := range []*string{&t.CertFile, &t.KeyFile, &t.CAFile} {
		if *path == "" {
			continue
		}
		configured++
		if !filepath.IsAbs(*path) {
			*path = filepath.Join(c.baseFolder, *path)
		}
	}
	if configured != 0 && configured != 3 {
		c.addProblem("tls", fmt.Sprintf("%d of 3 files", configured), "set certFile, keyFile and caFile, or none of them")
	}
}

func (c *checker) checkVoters(s *Settings) {
	if len(s.file.Voters) == 0 {
		c.addProblem("voters", "none", "list the name and peer address of each control process")
	}
	seen := map[string]bool{}
	for i, v := range s.file.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		c.checkName(path+".name", v.Name)
		c.checkAddress(path+".address", v.Address)
		if seen[v.Name] {
			c.addProblem(path+".name", fmt.Sprintf("%q a second time", v.Name), "use a different name for each voter")
		}
		seen[v.Name] = true
		s.voters = append(s.voters, Voter{name: v.Name, address: v.Address})
	}
}
