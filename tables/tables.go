// Package tables defines the interface to the platform (a transactional table
// service, an object store and an instance list) and implements an HTTP client
// for it.
package tables

import (
	"context"
	"errors"
)

// Errors that callers test for with errors.Is.
var (
	// ErrConflict reports that a condition of a commit did not hold; the commit
	// changed nothing.
	ErrConflict = errors.New("row version changed")
	// ErrNotFound reports a missing object.
	ErrNotFound = errors.New("not found")
	// ErrBudget reports that the read or write budget of the instance is used up;
	// the attempt was not sent.
	ErrBudget = errors.New("budget exhausted")
	// ErrUnknown reports that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome unknown")
)

// Row is a row of the table service. A missing row has version 0.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition requires that a row has the given version; version 0 requires that
// the row is missing.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put sets the value of a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Commit is one transaction: if all conditions hold, all puts are applied;
// otherwise none.
type Commit struct {
	// Operation identifies the commit. The service applies a commit with a given
	// operation id once and answers retries with the first result. The client
	// never resends a commit without an operation id.
	Operation  string      `json:"operation,omitempty"`
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row per key in the order of the keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns the rows whose key has the prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit returns the written rows with their new versions and without
	// values. The error is ErrConflict if a condition did not hold.
	Commit(ctx context.Context, c Commit) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	// GetObject returns ErrNotFound for a missing object.
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
}

// Roles of instances in the instance list.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Instance is an entry of the instance list.
type Instance struct {
	ID string `json:"id"`
	// Address is the peer address of an entry instance, the address of an
	// upstream otherwise.
	Address string `json:"address"`
	// OperatorsAddress is the address of an entry instance's operators' port.
	OperatorsAddress string `json:"operators,omitempty"`
	Zone             string `json:"zone"`
	Role             string `json:"role"`
	Leaving          bool   `json:"leaving"`
}

// Instances is the instance list. Changes appear in it with a delay.
type Instances interface {
	ListInstances(ctx context.Context) ([]Instance, error)
	// Register adds or replaces the entry of the instance.
	Register(ctx context.Context, i Instance) error
	// Leave marks the instance as leaving.
	Leave(ctx context.Context, id string) error
}

// Platform combines the services of the platform that the system uses.
type Platform interface {
	Table
	Objects
	Instances
}
