// Package operate implements the operations of pistachioctl: reading, checking
// and changing the steering document, and querying the state of instances.
package operate

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"pistachioford.example/pistachioford/tables"
)

// Operator runs operations against one platform. It is not safe for concurrent
// use.
type Operator struct {
	platform tables.Platform
	// now, sleep and newID can be replaced in tests.
	now   func() time.Time
	sleep func(context.Context, time.Duration)
	newID func() string
}

// New returns an Operator for a platform.
func New(p tables.Platform) *Operator {
	return &Operator{platform: p, now: time.Now, sleep: sleep, newID: newID}
}

// newID returns an operation id. Ids sort by time.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// retryDelay returns a random time up to a limit that doubles with each
// attempt, so that concurrent editors do not keep colliding.
func retryDelay(attempt int) time.Duration {
	const baseDelay, maxDelay = 50 * time.Millisecond, 2 * time.Second
	return rand.N(min(maxDelay, baseDelay<<min(attempt, 10)))
}
