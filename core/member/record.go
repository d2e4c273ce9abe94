// Package member detects which instances are alive, in the manner of SWIM.
//
// Each instance pings members of its own zone. A member from which no message
// arrives is also pinged through others, then suspected and at last declared
// dead (ping.go). Changed records are sent in the headers of all messages, and
// an instance refutes a wrong record of itself with a higher incarnation
// (update.go). Instances of different zones exchange digests instead of regular
// pings: a zone that does not respond is unreachable, and its instances are not
// declared dead (zone.go).
package member

// ID names an instance; it is unique per process.
type ID string

// State is the state of an instance as others know it.
type State uint8

// States of an instance. For one incarnation the higher state wins.
const (
	Alive State = iota
	// Suspect is never set by a Detector, which keeps its suspicions to itself;
	// it reserves the value.
	Suspect
	Leaving
	Dead
	// Left instances announced their departure and completed it.
	Left
)

// Removed reports whether the instance died or left.
func (s State) Removed() bool { return s >= Dead }

// Record describes one instance. The instance raises Incarnation with each
// change of its record, and to refute a wrong one.
type Record struct {
	ID             ID
	Zone           string
	Region         string
	Address        string // IP:port that accepts messages from peers
	CallerAddress  string // IP:port that accepts requests from callers
	ForwardAddress string // IP:port that accepts requests forwarded by peers
	Incarnation    uint64
	State          State
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
