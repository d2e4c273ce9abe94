package upstream

import "sync"

// defaultConnections limits the connections to an address for which no limit has
// been set.
const defaultConnections = 400

// Pools holds one Pool per address. It is safe for concurrent use.
type Pools struct {
	dial  Dialer
	mu    sync.Mutex
	pools map[string]*Pool
}

// NewPools returns an empty set, whose connections are opened with dial.
func NewPools(dial Dialer) *Pools {
	return &Pools{dial: dial, pools: map[string]*Pool{}}
}

// Get returns the pool for an address and creates it on first use.
func (s *Pools) Get(address string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.pools[address]
	if pool == nil {
		pool = NewPool(address, defaultConnections, s.dial)
		s.pools[address] = pool
	}
	return pool
}

// Keep sets the connection limits by address and drops all other pools.
// Exchanges in flight on a dropped pool continue.
func (s *Pools) Keep(limits map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, pool := range s.pools {
		limit, kept := limits[address]
		if !kept {
			pool.Close()
			delete(s.pools, address)
			continue
		}
		pool.SetConnections(limit)
	}
	for address, limit := range limits {
		if s.pools[address] == nil {
			s.pools[address] = NewPool(address, limit, s.dial)
		}
	}
}

// Close closes all idle connections.
func (s *Pools) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range s.pools {
		pool.Close()
	}
}
