package steer

import "time"

const (
	// objectTTL is how long a target is expected to keep an object cached.
	objectTTL = 12 * time.Second
	// maxRecentObjects bounds the remembered pairs of object and target.
	maxRecentObjects = 16384
	// serviceTimeWeight is the weight of the newest response in the moving
	// averages of serviceTimes.
	serviceTimeWeight = 0.1
	// initialUncachedFactor and initialCachedFactor are the expected service
	// times before one was measured, as fractions of the route's latency
	// objective.
	initialUncachedFactor = 1.0
	initialCachedFactor   = 0.35
)

// recentObjects remembers when a target last handled an object for this
// instance.
type recentObjects struct {
	// handledAt is keyed by objectTargetKey.
	handledAt map[uint64]time.Time
}

func objectTargetKey(object uint64, t *target) uint64 { return mix(object, t.hash) }

func (o *recentObjects) has(now time.Time, object uint64, t *target) bool {
	if object == 0 {
		return false
	}
	at, found := o.handledAt[objectTargetKey(object, t)]
	return found && now.Sub(at) < objectTTL
}

func (o *recentObjects) record(now time.Time, object uint64, t *target) {
	if object == 0 {
		return
	}
	if len(o.handledAt) >= maxRecentObjects {
		for key, at := range o.handledAt {
			if now.Sub(at) >= objectTTL {
				delete(o.handledAt, key)
			}
		}
		if len(o.handledAt) >= maxRecentObjects {
			clear(o.handledAt)
		}
	}
	o.handledAt[objectTargetKey(object, t)] = now
}

// serviceTimes holds moving averages of the time that targets of a service take
// for the requests of a route, without round trip and queueing, depending on
// whether the object is cached.
type serviceTimes struct {
	cached, uncached time.Duration
	// responseBytes is the moving average of the size of a response body.
	responseBytes float64
}

func (s *serviceTimes) recordDuration(took time.Duration, cached bool) {
	mean := &s.uncached
	if cached {
		mean = &s.cached
	}
	*mean += time.Duration(serviceTimeWeight * float64(took-*mean))
}

func (s *serviceTimes) recordSize(bytes int) {
	s.responseBytes += serviceTimeWeight * (float64(bytes) - s.responseBytes)
}

// expected returns the service time for a probability that the object is
// cached.
func (s *serviceTimes) expected(cachedProbability float64) time.Duration {
	return s.uncached + time.Duration(cachedProbability*float64(s.cached-s.uncached))
}
