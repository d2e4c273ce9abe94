// Package operate is the operations behind pistachioctl: reading, checking and
// changing the steering document, and asking instances for their state.
package operate

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"pistachioford.example/pistachioford/tables"
)

// Operator runs operations against one platform. One goroutine may use it.
type Operator struct {
	platform tables.Platform
	// now, sleep and newID are replaced by tests.
	now   func() time.Time
	sleep func(context.Context, time.Duration)
	newID func() string
}

// New returns an Operator.
func New(p tables.Platform) *Operator {
	return &Operator{platform: p, now: time.Now, sleep: sleep, newID: newID}
}

// newID returns an operation id that is ordered by time.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// pause returns a random time up to a limit that doubles per attempt, so that
// racing editors come apart.
func pause(attempt int) time.Duration {
	const base, longest = 50 * time.Millisecond, 2 * time.Second
	return rand.N(min(longest, base<<min(attempt, 10)))
}
