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
	// homeHitWeight is the weight of the newest response in homeHitRate.
	homeHitWeight = 0.05
	// initialHomeHitRate is the hit rate before one was measured.
	// minHomeCachedProbability bounds it from below: objects that were lost, as
	// after a restart of many targets, are cached again after one run.
	initialHomeHitRate       = 0.7
	minHomeCachedProbability = 0.5
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
	// homeHitRate is the moving average of the fraction of requests that found
	// their object cached at its home, among those for which this instance did
	// not know.
	homeHitRate float64
	// responseBytes is the moving average of the size of a response body.
	responseBytes float64
}

// recordDuration records the service time of a request that did not wait. An
// object that this instance does not know to be cached may be, since other
// instances send requests for it to the same home. Counting those requests as
// uncached would make a run elsewhere, which really is uncached, look cheap.
func (s *serviceTimes) recordDuration(took time.Duration, r *Request, send *Send) {
	switch {
	case send.Cached:
		s.cached = averageDuration(s.cached, took)
	case r.Object == 0:
		s.uncached = averageDuration(s.uncached, took)
	case s.looksCached(took):
		s.cached = averageDuration(s.cached, took)
		s.recordHomeHit(send, 1)
	default:
		s.uncached = averageDuration(s.uncached, took)
		s.recordHomeHit(send, 0)
	}
}

func (s *serviceTimes) recordHomeHit(send *Send, hit float64) {
	if send.Rank == 0 {
		s.homeHitRate += homeHitWeight * (hit - s.homeHitRate)
	}
}

func averageDuration(mean, sample time.Duration) time.Duration {
	return mean + time.Duration(serviceTimeWeight*float64(sample-mean))
}

// looksCached reports whether a service time is nearer to that of requests
// whose object is cached.
func (s *serviceTimes) looksCached(took time.Duration) bool {
	return took < (s.cached+s.uncached)/2
}

// typical returns the mean service time of the requests, cached or uncached,
// that a service time is nearer to.
func (s *serviceTimes) typical(took time.Duration) time.Duration {
	if s.looksCached(took) {
		return s.cached
	}
	return s.uncached
}

// homeCachedProbability returns the assumed probability that an object is cached
// at its home if this instance did not send a request for it there recently.
func (s *serviceTimes) homeCachedProbability() float64 {
	return max(s.homeHitRate, minHomeCachedProbability)
}

func (s *serviceTimes) recordSize(bytes int) {
	s.responseBytes += serviceTimeWeight * (float64(bytes) - s.responseBytes)
}

// expected returns the service time for a probability that the object is
// cached.
func (s *serviceTimes) expected(cachedProbability float64) time.Duration {
	uncached := max(s.uncached, s.cached)
	return uncached + time.Duration(cachedProbability*float64(s.cached-uncached))
}
