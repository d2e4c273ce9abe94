package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"pistachioford.example/pistachioford/tables"
)

// rememberedOperations bounds the memory for operation ids; the oldest is
// forgotten first.
const rememberedOperations = 1 << 16

// store is the state of the platform. It is safe for concurrent use.
type store struct {
	mu         sync.Mutex
	rows       map[string]tables.Row
	operations map[string][]tables.Row
	order      []string // of operations
	objects    map[string][]byte
	instances  map[string]tables.Instance
	// pending are changes of instances that the list does not show yet.
	pending []change
	lag     time.Duration
}

// change is a change of the instance list.
type change struct {
	at       time.Time
	instance tables.Instance
	// leave changes only the mark of a listed instance.
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
		s.remember(c.Operation, written)
	}
	return written, true
}

func (s *store) remember(operation string, rows []tables.Row) {
	if len(s.order) == rememberedOperations {
		delete(s.operations, s.order[0])
		s.order = s.order[1:]
	}
	s.operations[operation] = rows
	s.order = append(s.order, operation)
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

func (s *store) change(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
}

// listInstances returns the list as it was the lag ago.
func (s *store) listInstances(now time.Time) []tables.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && now.Sub(s.pending[0].at) >= s.lag {
		s.show(s.pending[0])
		s.pending = s.pending[1:]
	}
	list := make([]tables.Instance, 0, len(s.instances))
	for _, i := range s.instances {
		list = append(list, i)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// show applies a change to the list.
func (s *store) show(c change) {
	if !c.leave {
		s.instances[c.instance.ID] = c.instance
		return
	}
	if i, ok := s.instances[c.instance.ID]; ok {
		i.Leaving = true
		s.instances[c.instance.ID] = i
	}
}
