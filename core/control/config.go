package control

import (
	"time"

	"pistachioford.example/core/document"
)

// Config configures an Engine.
type Config struct {
	// ID identifies the instance. It must be unique per process.
	ID     InstanceID
	Zone   string
	Region string
	// Address is the address of the peer port, CallerAddress that of the
	// callers' port.
	Address       string
	CallerAddress string
	// ForwardAddress is the address of the port for requests from peers.
	ForwardAddress string
	// Seeds are the peer addresses to contact when joining. The list may be
	// stale or empty.
	Seeds []string
	// Seed initializes the random generators of the Engine and its failure
	// detector.
	Seed uint64
	// Start is the time at which the process started.
	Start time.Time
	// Compile decodes and validates the sections of a revision.
	Compile func(revision uint64, sections []document.Section) (*document.Compiled, error)
}
