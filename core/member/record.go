// Package member detects which instances are alive, in the manner of SWIM.
package member

// ID names an instance; it is unique per process.
type ID string

// State is what is known of an instance.
type State uint8

// States of an instance. For one incarnation the higher state wins.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
	// Left instances announced their departure and ended it.
	Left
)

// Gone tells whether the instance no longer takes part.
func (s State) Gone() bool { return s >= Dead }

// Record describes one instance. Its holder raises Incarnation with each
// change of the record, and to refute a suspicion.
type Record struct {
	ID          ID
	Zone        string
	Region      string
	Address     string // IP:port of the peer port
	Caller      string // IP:port of the callers' port
	Forward     string // IP:port of the port for requests from peers
	Incarnation uint64
	State       State
	// Shards are the shards of its own zone that the instance uses.
	Shards []Shard
}

// Shard is a shard of the instance's own zone, with its fencing epoch.
type Shard struct {
	Index uint16
	Epoch uint64
}

// ZoneDigest summarizes the records of one zone.
type ZoneDigest struct {
	Zone    string
	Members uint32
	// Hash covers the identifiers, incarnations and states.
	Hash uint64
}
