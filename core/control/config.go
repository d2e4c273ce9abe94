package control

import (
	"time"

	"pistachioford.example/core/document"
)

// Config configures an Engine.
type Config struct {
	// ID must be unique per process.
	ID     InstanceID
	Zone   string
	Region string
	// Address is the peer address, Caller the callers' address of the instance.
	Address string
	Caller  string
	// Forward is the address for requests from peers.
	Forward string
	// Seeds are peer addresses to join by; they may be stale or empty.
	Seeds []string
	// Seed makes the random choices of the Engine.
	Seed uint64
	// Start is the time at which the process started.
	Start time.Time
	// Compile decodes and validates the sections of a revision.
	Compile func(revision uint64, sections []document.Section) (*document.Compiled, error)
}
