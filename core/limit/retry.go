package limit

// RetryClass classifies a retry by the load that it adds.
type RetryClass uint8

// Retry classes.
const (
	// Costly retries follow timeouts and sheds. They add load to an upstream
	// that has no spare capacity.
	Costly RetryClass = iota
	// Cheap retries follow immediate failures while there is free capacity.
	Cheap
)

const (
	// costlyRatio and cheapRatio are the retries earned by each first attempt.
	// If 1 in 5 attempts fails, up to 4 retries of each request need a ratio of
	// 0.25.
	costlyRatio = 0.1
	cheapRatio  = 0.3
	// maxCostly and maxCheap bound the retries that are saved up while few are
	// needed.
	maxCostly = 10
	maxCheap  = 100
	// initialCheap covers failures among the first requests after a start.
	initialCheap = 10
)

// RetryBudget bounds the retries of one group by a ratio of its first attempts.
type RetryBudget struct {
	costly, cheap float64
}

// NewRetryBudget returns a budget that allows 1 costly retry and 10 retries in
// all before the first attempt.
func NewRetryBudget() RetryBudget { return RetryBudget{costly: 1, cheap: initialCheap} }

// RecordFirstAttempt records a first attempt, which adds to the budget.
func (b *RetryBudget) RecordFirstAttempt() {
	b.costly = min(maxCostly, b.costly+costlyRatio)
	b.cheap = min(maxCheap, b.cheap+cheapRatio)
}

// Allows reports whether Take would succeed.
func (b *RetryBudget) Allows(class RetryClass) bool {
	return b.cheap >= 1 && (class == Cheap || b.costly >= 1)
}

// Take records a retry and reports whether the budget allows it. A costly
// retry counts in both classes, so that all retries together stay within
// cheapRatio.
func (b *RetryBudget) Take(class RetryClass) bool {
	if !b.Allows(class) {
		return false
	}
	b.cheap--
	if class == Costly {
		b.costly--
	}
	return true
}
