// Package dhsettings reads and checks the settings file of a process. The file
// is JSON with comments and trailing commas. Unknown fields are errors.
package dhsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"dogwoodhitch/core/dhclock"
)

// Role is the kind of a process.
type Role string

// Roles of a process.
const (
	// RoleEntry is an entry instance: it serves callers, upstreams and operators.
	RoleEntry Role = "entry"
	// RoleControl is a voter with a data folder. It also serves operators.
	RoleControl Role = "control"
)

// Defaults and limits of settings: sizes in bytes, durations in milliseconds,
// secrets in characters.
const (
	defaultMaxBodyBytes        = 1 << 20
	defaultMaxHeldBytes        = 32 << 20
	defaultResponseBufferBytes = 64 << 10
	defaultMaxConnections      = 360
	defaultLeaveWaitMs         = 5000
	defaultFinishMs            = 30_000
	maxBytes                   = 1 << 30
	maxWaitMs                  = 3_600_000
	minSecretLength            = 16
	// maxFileBytes bounds a settings file. The parser recurses into nested values without a
	// limit.
	maxFileBytes = 64 << 10
)

// settingsFile is the content of a settings file.
type settingsFile struct {
	Name   string `json:"name"`
	Role   Role   `json:"role"`
	Zone   string `json:"zone"`
	Listen struct {
		Callers   string `json:"callers"`
		Upstreams string `json:"upstreams"`
		Peers     string `json:"peers"`
		Operators string `json:"operators"`
	} `json:"listen"`
	Voters []struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	} `json:"voters"`
	DataFolder string `json:"dataFolder"`
	Secrets    struct {
		PeersFile     string `json:"peersFile"`
		OperatorsFile string `json:"operatorsFile"`
		UpstreamsFile string `json:"upstreamsFile"`
	} `json:"secrets"`
	Requests struct {
		MaxBodyBytes        int64 `json:"maxBodyBytes"`
		MaxHeldBytes        int64 `json:"maxHeldBytes"`
		ResponseBufferBytes int64 `json:"holdBytes"`
		MaxConnections      int64 `json:"maxConnections"`
	} `json:"requests"`
	Shutdown struct {
		LeaveWaitMs int64 `json:"leaveWaitMs"`
		FinishMs    int64 `json:"finishMs"`
	} `json:"shutdown"`
	Logs struct {
		Level  string            `json:"level"`
		Layers map[string]string `json:"layers"`
	} `json:"logs"`
	TLS struct {
		CertFile string `json:"certFile"`
		KeyFile  string `json:"keyFile"`
		CAFile   string `json:"caFile"`
	} `json:"tls"`
	JournalFile string `json:"journalFile"`
}

// Voter is a voter listed in the settings.
type Voter struct {
	name    string
	address string
}

// NewVoter returns a voter.
func NewVoter(name, address string) Voter { return Voter{name: name, address: address} }

// Name returns the voter's name.
func (v Voter) Name() string { return v.name }

// Address returns the voter's peer address.
func (v Voter) Address() string { return v.address }

// Settings are the valid settings of a process.
type Settings struct {
	file    settingsFile
	voters  []Voter
	secrets map[string]string
}

// Keys of the secrets map.
const (
	secretPeers     = "peersFile"
	secretOperators = "operatorsFile"
	secretUpstreams = "upstreamsFile"
)

// Name returns the process's name.
func (s *Settings) Name() string { return s.file.Name }

// Role returns the process's role.
func (s *Settings) Role() Role { return s.file.Role }

// Zone returns the availability zone of an entry instance.
func (s *Settings) Zone() string { return s.file.Zone }

// CallerListenAddress returns the address to listen on for callers.
func (s *Settings) CallerListenAddress() string { return s.file.Listen.Callers }

// UpstreamListenAddress returns the address to listen on for upstreams.
func (s *Settings) UpstreamListenAddress() string { return s.file.Listen.Upstreams }

// PeerListenAddress returns the address to listen on for other processes of the
// system.
func (s *Settings) PeerListenAddress() string { return s.file.Listen.Peers }

// OperatorListenAddress returns the address to listen on for operators.
func (s *Settings) OperatorListenAddress() string { return s.file.Listen.Operators }

// Voters returns the voters.
func (s *Settings) Voters() []Voter { return s.voters }

// DataFolder returns the path of a voter's data folder.
func (s *Settings) DataFolder() string { return s.file.DataFolder }

// PeerSecret returns the secret that the system's processes share.
func (s *Settings) PeerSecret() string { return s.secrets[secretPeers] }

// OperatorSecret returns the secret that operators authenticate with.
func (s *Settings) OperatorSecret() string { return s.secrets[secretOperators] }

// UpstreamSecret returns the secret that upstreams authenticate with.
func (s *Settings) UpstreamSecret() string { return s.secrets[secretUpstreams] }

// MaxBodyBytes returns the maximum size of a request body, in bytes.
func (s *Settings) MaxBodyBytes() int64 { return s.file.Requests.MaxBodyBytes }

// MaxHeldBytes returns the maximum total size of the bodies of all open
// requests, in bytes.
func (s *Settings) MaxHeldBytes() int64 { return s.file.Requests.MaxHeldBytes }

// ResponseBufferBytes returns the size up to which a response is buffered until
// it is complete, in bytes.
func (s *Settings) ResponseBufferBytes() int { return int(s.file.Requests.ResponseBufferBytes) }

// MaxConnections returns the maximum number of connections to one upstream.
func (s *Settings) MaxConnections() int { return int(s.file.Requests.MaxConnections) }

// LeaveWait returns how long a stopping instance keeps accepting requests after
// look-ups no longer return it, in milliseconds.
func (s *Settings) LeaveWait() dhclock.Millis { return dhclock.Millis(s.file.Shutdown.LeaveWaitMs) }

// FinishTimeout returns how long a stopping instance waits for running requests
// to end, in milliseconds.
func (s *Settings) FinishTimeout() dhclock.Millis { return dhclock.Millis(s.file.Shutdown.FinishMs) }

// LogLevel returns the log level of layers without a level of their own.
func (s *Settings) LogLevel() string { return s.file.Logs.Level }

// LogLayers returns the log levels of individual layers, by name.
func (s *Settings) LogLayers() map[string]string { return s.file.Logs.Layers }

// TLS returns the paths of the certificate, its key and the certificate
// authorities, or three empty strings if TLS is off.
func (s *Settings) TLS() (certFile, keyFile, caFile string) {
	return s.file.TLS.CertFile, s.file.TLS.KeyFile, s.file.TLS.CAFile
}

// JournalFile returns the path of the journal that events are recorded in, or ""
// for none.
func (s *Settings) JournalFile() string { return s.file.JournalFile }

// Read reads and checks a settings file and the secret files it refers to. It
// returns an Error if the file can't be read or has problems.
func Read(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, Error{file: path, problems: []Problem{{"file", err.Error(), "use the path of a settings file; examples/ has one for each role"}}}
	}
	return Parse(path, raw)
}

// Parse checks the content of a settings file and reads the secret files it
// refers to. Paths of secret and TLS files are resolved against the folder of path.
// It returns an Error if there are problems.
func Parse(path string, raw []byte) (*Settings, error) {
	if len(raw) > maxFileBytes {
		return nil, Error{file: path, problems: []Problem{{"file", strconv.Itoa(len(raw)) + " bytes", "use a settings file of at most 64 KiB"}}}
	}
	standard, err := hujson.Standardize(raw) //nolint:misspell // the library spells it so
	if err != nil {
		return nil, Error{file: path, problems: []Problem{{"file", err.Error(), "write JSON; comments and trailing commas are allowed"}}}
	}
	s := &Settings{secrets: map[string]string{}}
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	if err := d.Decode(&s.file); err != nil {
		return nil, Error{file: path, problems: []Problem{decodeProblem(err)}}
	}
	s.setDefaults()
	c := &checker{baseFolder: filepath.Dir(path)}
	c.check(s)
	if len(c.problems) > 0 {
		return nil, Error{file: path, problems: c.problems}
	}
	return s, nil
}

func decodeProblem(err error) Problem {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return Problem{wrongType.Field, "a value of type " + wrongType.Value, "use a value of type " + wrongType.Type.String()}
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return Problem{strings.Trim(name, `"`), "an unknown field", "remove it or correct its name; examples/ shows every field"}
	}
	return Problem{"file", err.Error(), "write one JSON object"}
}

func (s *Settings) setDefaults() {
	setDefault(&s.file.Requests.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.file.Requests.MaxHeldBytes, defaultMaxHeldBytes)
	setDefault(&s.file.Requests.ResponseBufferBytes, defaultResponseBufferBytes)
	setDefault(&s.file.Requests.MaxConnections, defaultMaxConnections)
	setDefault(&s.file.Shutdown.LeaveWaitMs, defaultLeaveWaitMs)
	setDefault(&s.file.Shutdown.FinishMs, defaultFinishMs)
	if s.file.Logs.Level == "" {
		s.file.Logs.Level = "info"
	}
}

func setDefault(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}
