package dhsettings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"dogwoodhitch/core/dhcatalog"
)

// checker collects the problems of a settings file.
type checker struct {
	folder   string
	problems []Problem
}

func (c *checker) add(path, found, remedy string) {
	c.problems = append(c.problems, Problem{path: path, found: found, remedy: remedy})
}

func (c *checker) check(s *Settings) {
	f := &s.file
	c.name("name", f.Name)
	switch f.Role {
	case RoleEntry:
		c.name("zone", f.Zone)
		c.address("listen.callers", f.Listen.Callers)
		c.address("listen.upstreams", f.Listen.Upstreams)
		c.absent("dataFolder", f.DataFolder, "only a control process has a data folder")
		s.secrets[secretUpstreams] = c.secret("secrets.upstreamsFile", f.Secrets.UpstreamsFile)
	case RoleControl:
		c.absent("listen.callers", f.Listen.Callers, "only an entry process serves callers")
		c.absent("listen.upstreams", f.Listen.Upstreams, "only an entry process serves upstreams")
		if f.DataFolder == "" {
			c.add("dataFolder", "nothing", "name a folder on a disk that lasts")
		}
	default:
		c.add("role", fmt.Sprintf("%q", f.Role), "use entry or control")
	}
	c.address("listen.peers", f.Listen.Peers)
	c.address("listen.operators", f.Listen.Operators)
	s.secrets[secretPeers] = c.secret("secrets.peersFile", f.Secrets.PeersFile)
	s.secrets[secretOperators] = c.secret("secrets.operatorsFile", f.Secrets.OperatorsFile)
	c.voters(s)
	c.tls(f)
	c.span("requests.maxBodyBytes", f.Requests.MaxBodyBytes, maxBytes)
	c.span("requests.maxHeldBytes", f.Requests.MaxHeldBytes, maxBytes)
	c.span("requests.holdBytes", f.Requests.HoldBytes, maxBytes)
	c.span("requests.maxConnections", f.Requests.MaxConnections, 1<<16)
	c.span("shutdown.leaveWaitMs", f.Shutdown.LeaveWaitMs, maxSpan)
	c.span("shutdown.finishMs", f.Shutdown.FinishMs, maxSpan)
}

func (c *checker) name(path, value string) {
	if !dhcatalog.ValidName(value) {
		c.add(path, fmt.Sprintf("%q", value), "use 1 to 128 letters, digits, '-', '_' or '.'")
	}
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, fmt.Sprintf("%q", value), "give an IP number and a port, such as 10.0.0.1:8080")
	}
}

func (c *checker) absent(path, value, remedy string) {
	if value != "" {
		c.add(path, fmt.Sprintf("%q", value), "remove it: "+remedy)
	}
}

func (c *checker) span(path string, value, high int64) {
	if value < 1 || value > high {
		c.add(path, fmt.Sprint(value), fmt.Sprintf("choose a value from 1 to %d", high))
	}
}

// secret reads a secret file; a relative path counts from the settings file.
func (c *checker) secret(path, name string) string {
	if name == "" {
		c.add(path, "nothing", "name a file that holds the secret")
		return ""
	}
	if !filepath.IsAbs(name) {
		name = filepath.Join(c.folder, name)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		c.add(path, err.Error(), "create the file")
		return ""
	}
	secret := strings.TrimSpace(string(raw))
	if len(secret) < minSecret {
		c.add(path, fmt.Sprintf("a secret of %d characters", len(secret)), fmt.Sprintf("use at least %d", minSecret))
	}
	return secret
}

// tls wants all three files or none, and makes their paths count from the
// settings file.
func (c *checker) tls(f *file) {
	t := &f.TLS
	given := 0
	for _, name := range []*string{&t.CertFile, &t.KeyFile, &t.CAFile} {
		if *name == "" {
			continue
		}
		given++
		if !filepath.IsAbs(*name) {
			*name = filepath.Join(c.folder, *name)
		}
	}
	if given != 0 && given != 3 {
		c.add("tls", fmt.Sprintf("%d of 3 files", given), "give certFile, keyFile and caFile, or none of them")
	}
}

func (c *checker) voters(s *Settings) {
	if len(s.file.Voters) == 0 {
		c.add("voters", "none", "list the name and peer address of each control process")
	}
	seen := map[string]bool{}
	for i, v := range s.file.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		c.name(path+".name", v.Name)
		c.address(path+".address", v.Address)
		if seen[v.Name] {
			c.add(path+".name", fmt.Sprintf("%q a second time", v.Name), "give each voter its own name")
		}
		seen[v.Name] = true
		s.voters = append(s.voters, Voter{name: v.Name, address: v.Address})
	}
}
