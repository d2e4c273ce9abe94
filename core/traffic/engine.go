package traffic

import "time"

// Config identifies the instance to its Engine.
type Config struct {
	Self   InstanceID
	Zone   string
	Region string
	// Seed makes the random choices repeatable.
	Seed uint64
}

// Engine decides the path of each request.
type Engine struct {
	config  Config
	actions []Action
}

// New returns an Engine without a document: it refuses every request.
func New(config Config) *Engine {
	return &Engine{config: config}
}

// Handle takes one event and returns the actions it causes. The slice is valid
// until the next call.
func (e *Engine) Handle(now time.Time, ev Event) []Action {
	e.actions = e.actions[:0]
	if arrived, ok := ev.(RequestArrived); ok {
		e.actions = append(e.actions, Reply{ID: arrived.ID, Outcome: NotRun, Reason: ReasonNoDocument})
	}
	return e.actions
}

// Tick runs the systems that depend on time: queues, retries, ejections,
// budgets. The daemon calls it every 10 ms.
func (e *Engine) Tick(now time.Time) []Action {
	e.actions = e.actions[:0]
	return e.actions
}
