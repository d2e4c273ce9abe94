package limit

// RetryClass separates failures by what a retry costs.
type RetryClass uint8

// Classes of retries.
const (
	// Costly retries follow timeouts and sheds, where they add load to an
	// upstream that has none to spare.
	Costly RetryClass = iota
	// Cheap retries follow immediate failures while capacity is free.
	Cheap
)

const (
	// costlyRatio and cheapRatio are retries per first attempt. With 1 in 5
	// requests failing, 4 retries of each need 0.25.
	costlyRatio = 0.1
	cheapRatio  = 0.3
	// costlyMax and cheapMax bound the retries saved up while all was well.
	costlyMax = 10
	cheapMax  = 100
	// cheapStart covers failures among the first requests after a start.
	cheapStart = 10
)

// RetryBudget bounds the retries of one group by a ratio of its first attempts.
type RetryBudget struct {
	costly, cheap float64
}

// NewRetryBudget returns a budget that allows a few cheap retries at once.
func NewRetryBudget() RetryBudget { return RetryBudget{costly: 1, cheap: cheapStart} }

// First counts a first attempt.
func (b *RetryBudget) First() {
	b.costly = min(costlyMax, b.costly+costlyRatio)
	b.cheap = min(cheapMax, b.cheap+cheapRatio)
}

// Allows tells whether Take would succeed.
func (b *RetryBudget) Allows(class RetryClass) bool {
	return b.cheap >= 1 && (class == Cheap || b.costly >= 1)
}

// Take counts a retry, if the budget allows one. A costly retry counts in both
// classes, so that all retries together keep the larger ratio.
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
