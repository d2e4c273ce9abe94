// Package settings reads and validates the TOML settings of a daemon.
package settings

import (
	"net"
	"net/url"
	"os"
	"path/filepath"
	"regexp"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/toml"
)

// Settings are the validated settings of one daemon.
type Settings struct {
	// File is the path of the settings file.
	File string
	// Instance is the id of the instance; the daemon adds a suffix per process.
	Instance string
	Zone     string
	Region   string
	// Addresses are the addresses on which the daemon listens and is reached.
	Addresses Addresses
	// Platform is the base URL of the platform.
	Platform string
	// Peers holds the peer addresses of other instances that are contacted until
	// the membership is known. It may be empty.
	Peers []string
	// Plain turns TLS between daemons off.
	Plain bool
	// TLS holds the files for mTLS between daemons. It is empty if Plain is set.
	TLS TLS
	// LogLevel is debug, info, warning or error.
	LogLevel string
	Limits   Limits
}

// Addresses are IP:port pairs.
type Addresses struct {
	Callers   string
	Peer      string
	Forward   string
	Operators string
}

// TLS holds the paths of PEM files. In the settings file they may be relative to
// its directory.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Limits holds the resource limits of one daemon.
type Limits struct {
	// Connections is the maximum number of connections per listener.
	Connections int
	// HeaderBytes is the maximum size of the header of a request.
	HeaderBytes int
	// BodyBytes is the maximum size of the body of a request.
	BodyBytes int64
	// KeyBytes is the maximum memory for the outcome records of idempotency keys.
	KeyBytes int64
}

// Defaults and bounds of the limits.
const (
	defaultConnections = 4096
	maxConnections     = 1 << 16
	defaultHeaderBytes = 16 << 10
	minHeaderBytes     = 1 << 10
	maxHeaderBytes     = 1 << 20
	defaultBodyBytes   = 1 << 30
	maxBodyBytes       = 16 << 30
	defaultKeyBytes    = 16 << 20
	minKeyBytes        = 1 << 20
	maxKeyBytes        = 1 << 30
	maxPeers           = 64
)

var (
	instancePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_-]{0,62}$`)
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	levelPattern    = regexp.MustCompile(`^(debug|info|warning|error)$`)
	filePattern     = regexp.MustCompile(`^.+$`)
)

// Load reads and validates a settings file. The error lists all faults in the
// file, one line each: FILE:LINE: key: what is wrong.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "step=read-settings")
	}
	return Parse(file, text)
}

// Parse parses and validates the text of a settings file. The path file is used
// in errors and to resolve relative paths. The error is of the type toml.Errors.
func Parse(file string, text []byte) (*Settings, error) {
	var errs toml.ErrorList
	s := &Settings{File: file}
	if root := toml.Parse(file, string(text), &errs); root != nil {
		s.decode(root)
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) decode(t *toml.Table) {
	s.Instance = t.MatchingString("instance", instancePattern, "must be 1 to 63 letters, digits, hyphens and underscores")
	s.Zone = t.MatchingString("zone", namePattern, "must be the name of an availability zone")
	s.Region = t.MatchingString("region", namePattern, "must be the name of a region")
	s.Platform = toml.Value(t, "platform", "a URL", parsePlatformURL)
	s.LogLevel = t.MatchingString("log_level", levelPattern, "must be debug, info, warning or error", "info")
	s.Addresses.decode(t.Table("addresses"))
	s.decodePeers(t)
	s.Plain = t.Bool("plain", false)
	s.decodeTLS(t)
	s.Limits.decode(t.Table("limits"))
	t.Finish()
}

func (a *Addresses) decode(t *toml.Table) {
	fields := []struct {
		key   string
		value *string
	}{{"callers", &a.Callers}, {"peer", &a.Peer}, {"forward", &a.Forward}, {"operators", &a.Operators}}
	used := map[string]string{}
	for _, f := range fields {
		*f.value = t.Address(f.key)
		if other, ok := used[*f.value]; ok && *f.value != "" {
			t.Errorf(f.key, "is the same address as %s", other)
		}
		used[*f.value] = f.key
	}
	t.Finish()
}

func (s *Settings) decodePeers(t *toml.Table) {
	for i, address := range t.Strings("peers") {
		peer, err := toml.ParseAddress(address)
		switch {
		case i == maxPeers:
			t.Errorf("peers", "must be at most %d", maxPeers)
			return
		case err != nil:
			t.Errorf("peers", "%s", err)
		default:
			s.Peers = append(s.Peers, peer)
		}
	}
}

// decodeTLS requires either the three files or plain = true, so that no daemon
// runs without TLS by mistake.
func (s *Settings) decodeTLS(t *toml.Table) {
	present := t.Has("tls")
	switch {
	case s.Plain && present:
		t.Errorf("tls", "must be absent when plain = true")
	case !s.Plain && !present:
		t.Errorf("tls", "missing; set certificate, key and authority, or plain = true")
	}
	table := t.Table("tls")
	if !present || s.Plain {
		return
	}
	s.TLS = TLS{
		Certificate: s.readableFile(table, "certificate"),
		Key:         s.readableFile(table, "key"),
		Authority:   s.readableFile(table, "authority"),
	}
	table.Finish()
}

// readableFile returns the path that a key holds, resolved against the directory
// of the settings file. It reports an error if the file cannot be opened.
func (s *Settings) readableFile(t *toml.Table, key string) string {
	name := t.MatchingString(key, filePattern, "must be the name of a file")
	if name == "" {
		return ""
	}
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(s.File), name)
	}
	f, err := os.Open(name)
	if err != nil {
		t.Errorf(key, "%s", err)
		return ""
	}
	_ = f.Close() // Only read access was tested, so an error does not matter.
	return name
}

func (l *Limits) decode(t *toml.Table) {
	l.Connections = t.Int("connections", 1, maxConnections, defaultConnections)
	l.HeaderBytes = int(t.Bytes("header", minHeaderBytes, maxHeaderBytes, defaultHeaderBytes))
	l.BodyBytes = t.Bytes("body", 0, maxBodyBytes, defaultBodyBytes)
	l.KeyBytes = t.Bytes("keys", minKeyBytes, maxKeyBytes, defaultKeyBytes)
	t.Finish()
}

// parsePlatformURL validates the base URL of the platform and returns it without
// a trailing slash.
func parsePlatformURL(text string) (string, error) {
	u, err := url.Parse(text)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" &&
		(u.Path == "" || u.Path == "/") && u.RawQuery == "" && u.User == nil
	if valid && u.Port() != "" {
		_, err = net.LookupPort("tcp", u.Port())
		valid = err == nil
	}
	if !valid {
		return "", eris.Errorf("%.64q must be http://HOST:PORT or https://HOST:PORT", text)
	}
	return u.Scheme + "://" + u.Host, nil
}
