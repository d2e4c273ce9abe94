package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"pistachioford.example/pistachioford/tables"
)

// maxOperations is the number of operation ids that are kept; the oldest is
// dropped first.
const maxOperations = 1 << 16

// store is the state of the platform. It is safe for concurrent use.
type store struct {
	mu             sync.Mutex
	rows           map[string]tables.Row
	operations     map[string][]tables.Row
	operationOrder []string // operation ids, oldest first
	objects        map[string][]byte
	instances      map[string]tables.Instance
	// pending are the changes that the instance list does not show yet, oldest
	// first.
	pending []instanceChange
	lag     time.Duration
}

// instanceChange is a change of the instance list.
type instanceChange struct {
	at       time.Time
	instance tables.Instance
	// leave marks a listed instance as leaving and leaves the rest of its entry as
	// it is.
	leave bool
}

func newStore(lag time.Duration) *store {
	return &store{
		rows:       map[string]tables.Row{},
		operations: map[string][]tables.Row{},
		objects:    map[string][]byte{},
		instances:  map[string]tables.Instance{},
		lag:        lag,
	}
}

func (s *store) get(keys []string) []tables.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]tables.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.rows[key]
		rows[i].Key = key
	}
	return rows
}

func (s *store) list(prefix string) []tables.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []tables.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// commit returns false if a condition does not hold.
func (s *store) commit(c tables.Commit) ([]tables.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rows, ok := s.operations[c.Operation]; ok {
		return rows, true
	}
	for _, condition := range c.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			return nil, false
		}
	}
	written := make([]tables.Row, 0, len(c.Puts))
	for _, put := range c.Puts {
		row := tables.Row{Key: put.Key, Version: s.rows[put.Key].Version + 1, Value: put.Value}
		s.rows[put.Key] = row
		written = append(written, tables.Row{Key: row.Key, Version: row.Version})
	}
	if c.Operation != "" {
		s.recordOperation(c.Operation, written)
	}
	return written, true
}

func (s *store) recordOperation(operation string, rows []tables.Row) {
	if len(s.operationOrder) == maxOperations {
		delete(s.operations, s.operationOrder[0])
		s.operationOrder = s.operationOrder[1:]
	}
	s.operations[operation] = rows
	s.operationOrder = append(s.operationOrder, operation)
}

func (s *store) getObject(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	return data, ok
}

func (s *store) putObject(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = data
}

func (s *store) addChange(c instanceChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
}

// listInstances returns the instance list as it was one lag before now.
func (s *store) listInstances(now time.Time) []tables.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && now.Sub(s.pending[0].at) >= s.lag {
		s.applyChange(s.pending[0])
		s.pending = s.pending[1:]
	}
	list := make([]tables.Instance, 0, len(s.instances))
	for _, i := range s.instances {
		list = append(list, i)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// applyChange applies a change to the instance list.
func (s *store) applyChange(c instanceChange) {
	if !c.leave {
		s.instances[c.instance.ID] = c.instance
		return
	}
	if i, ok := s.instances[c.instance.ID]; ok {
		i.Leaving = true
		s.instances[c.instance.ID] = i
	}
}
