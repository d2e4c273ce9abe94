// Package control decides which document revision is active, which instances
// are alive and which shards this instance holds.
//
// The Engine is a state machine without sockets, goroutines or a clock. One
// goroutine of the daemon owns it.
package control

import (
	"time"

	"pistachioford.example/core/blocks"
	"pistachioford.example/core/document"
	"pistachioford.example/core/member"
)

// InstanceID names an entry instance; it is unique per process.
type InstanceID = member.ID

// OperationID matches an answer of the platform with its call.
type OperationID uint64

// Event is one input of the Engine.
type Event interface{ event() }

// MessageReceived is a message from a peer.
type MessageReceived struct {
	From    InstanceID
	Message Message
}

// PlatformAnswered is the end of a platform call. Err is nil on success.
type PlatformAnswered struct {
	ID OperationID
	// Rows answers a Read; a missing row has version 0. For a Write it is the
	// new row, of which only the version counts.
	Rows []Row
	// Conflict is set when a condition of a Write did not hold.
	Conflict bool
	// Instances answers a ListInstances.
	Instances []Listed
	// Object answers a FetchObject.
	Object []byte
	Err    error
}

// Row is a row of the table service.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Listed is an entry of the platform's lagging instance list.
type Listed struct {
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

// Action is one output of the Engine.
type Action interface{ action() }

// SendMessage sends a message to a peer; it may be lost.
type SendMessage struct {
	// To is empty when only the address is known.
	To      InstanceID
	Address string
	Message Message
}

// Read reads rows of the table service.
type Read struct {
	ID   OperationID
	Keys []string
}

// Write writes one row if its version is still IfVersion (0: it must not exist).
type Write struct {
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

// ActivateBlocks hands a table of client blocks to the rest of the daemon. Its
// sites are named, since the numbers of sites may differ between documents.
type ActivateBlocks struct{ Table *blocks.Table }

// ActivateDocument hands a compiled document to the rest of the daemon.
type ActivateDocument struct{ Document *document.Compiled }

// HoldShards tells which shards this instance holds from now on. It is repeated
// each second with a later Until.
type HoldShards struct {
	Held []HeldShard
	// Until is when the shards must no longer be used unless the action was
	// repeated: a process that was paused may route a request before its
	// control goroutine notices the pause.
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

// Departed ends a departure: the shards are given up and the daemon may exit.
type Departed struct{}

// ShowPeers replaces the list of live peers.
type ShowPeers struct{ Peers []Peer }

// Peer is a live peer.
type Peer struct {
	ID      InstanceID
	Zone    string
	Region  string
	Address string // IP:port of the peer port
	Caller  string // IP:port of the callers' port
	Forward string // IP:port of the port for requests from peers
	Shards  []document.ShardID
	Leaving bool
	// Unreachable is set when the whole zone of the peer does not answer.
	Unreachable bool
	// Revision is the revision that the peer last said it has active.
	Revision uint64
}

// Log is an event for the log.
type Log struct {
	Name   string
	Fields []Field
}

// Field is one key=value pair.
type Field struct{ Key, Value string }

func (SendMessage) action()      {}
func (Read) action()             {}
func (Write) action()            {}
func (ListInstances) action()    {}
func (FetchObject) action()      {}
func (Departed) action()         {}
func (ActivateBlocks) action()   {}
func (ActivateDocument) action() {}
func (HoldShards) action()       {}
func (ShowPeers) action()        {}
func (Log) action()              {}
