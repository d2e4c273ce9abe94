// Package control decides which document revision is active, which instances
// are alive and which shards this instance holds.
//
// The Engine is a state machine without sockets, goroutines or a clock. One
// goroutine of the daemon owns it. The Engine carries messages, platform calls
// and time between four systems that decide:
//
//   - the member.Detector, which instances are alive; join.go compares its view
//     with those of other instances after the start and after each pause;
//   - the revision.Store, which document revision is active (documents.go);
//   - the lease.Manager, which shards this instance holds (leases.go);
//   - clientBlocks, which table of client blocks is in use (clientblocks.go).
//
// Until the view of the zone is complete, the store starts no round of offers,
// and the manager takes no shard and accepts no handover.
package control

import (
	"time"

	"pistachioford.example/core/blocks"
	"pistachioford.example/core/document"
	"pistachioford.example/core/member"
)

// InstanceID identifies an entry instance. It is unique per process.
type InstanceID = member.ID

// OperationID matches a response of the platform to its call.
type OperationID uint64

// Event is an input of the Engine.
type Event interface{ event() }

// MessageReceived is a message from a peer.
type MessageReceived struct {
	From    InstanceID
	Message Message
}

// PlatformAnswered is the result of a platform call. Err is nil on success.
type PlatformAnswered struct {
	ID OperationID
	// Rows are the rows of a ReadRows, where a missing row has version 0, or the
	// new row of a WriteRow, of which only the version is used.
	Rows []Row
	// Conflict is set when the version condition of a WriteRow did not hold.
	Conflict bool
	// Instances is the result of a ListInstances.
	Instances []ListedInstance
	// Object is the result of a FetchObject.
	Object []byte
	Err    error
}

// Row is a row of the table service.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// ListedInstance is an entry of the platform's instance list, which shows
// changes with a delay.
type ListedInstance struct {
	ID      InstanceID
	Address string
	Zone    string
	Role    string // "entry" or "upstream"
	Leaving bool
}

// Leave starts the departure of this instance.
type Leave struct{}

// InFlight reports how many requests are in flight on this instance; a leaving
// instance releases its shards at zero.
type InFlight struct{ Requests int }

func (MessageReceived) event()  {}
func (PlatformAnswered) event() {}
func (Leave) event()            {}
func (InFlight) event()         {}

// Action is an output of the Engine.
type Action interface{ action() }

// SendMessage sends a message to a peer; it may be lost.
type SendMessage struct {
	// To is empty when only the address is known.
	To      InstanceID
	Address string
	Message Message
}

// ReadRows reads rows of the table service.
type ReadRows struct {
	ID   OperationID
	Keys []string
}

// WriteRow writes one row if its version is still IfVersion, where 0 means that
// the row does not exist.
type WriteRow struct {
	ID        OperationID
	Key       string
	IfVersion uint64
	Value     []byte
}

// ListInstances reads the platform's instance list.
type ListInstances struct{ ID OperationID }

// FetchObject reads an object of the object store.
type FetchObject struct {
	ID   OperationID
	Name string
}

// ActivateBlocks hands a table of client blocks to the rest of the daemon. The
// table refers to sites by name, since their numbers may differ between
// documents.
type ActivateBlocks struct{ Table *blocks.Table }

// ActivateDocument hands a compiled document to the rest of the daemon.
type ActivateDocument struct{ Document *document.Compiled }

// HoldShards replaces the set of shards that this instance holds. It is repeated
// every second with a later Until.
type HoldShards struct {
	Held []HeldShard
	// Until is the time from which the shards must not be used unless the
	// action was repeated: a process that was paused may route a request
	// before its control goroutine notices the pause.
	Until time.Time
}

// HeldShard is a shard lease with its fencing epoch.
type HeldShard struct {
	Shard document.ShardID
	Epoch uint64
	// TakenAt is when this instance took the shard from an earlier holder; zero
	// if it is the first holder.
	TakenAt time.Time
}

// Departed reports that the departure is complete and the daemon may exit: the
// shards are given up, or the time to give them up has passed.
type Departed struct{}

// PublishPeers replaces the daemon's list of live peers.
type PublishPeers struct{ Peers []Peer }

// Peer describes a live peer instance.
type Peer struct {
	ID             InstanceID
	Zone           string
	Region         string
	Address        string // IP:port of the peer port
	CallerAddress  string // IP:port of the callers' port
	ForwardAddress string // IP:port of the port for requests from peers
	Shards         []document.ShardID
	Leaving        bool
	// Unreachable is set when no instance of the peer's zone responds.
	Unreachable bool
	// Revision is the active revision that the peer last reported.
	Revision uint64
}

// Log is an entry for the event log.
type Log struct {
	Name   string
	Fields []Field
}

// Field is one key=value pair of a Log.
type Field struct{ Key, Value string }

func (SendMessage) action()      {}
func (ReadRows) action()         {}
func (WriteRow) action()         {}
func (ListInstances) action()    {}
func (FetchObject) action()      {}
func (Departed) action()         {}
func (ActivateBlocks) action()   {}
func (ActivateDocument) action() {}
func (HoldShards) action()       {}
func (PublishPeers) action()     {}
func (Log) action()              {}
