package sharedrate

import "math"

// Member is an instance that may share a rate.
type Member struct {
	// Name identifies the instance.
	Name uint64
	// Weight is positive.
	Weight float64
	// score orders the members if there are too many: lower ones share.
	score float64
}

// Divide returns the fraction of a rate that members[0] may use: its part of
// the weights. If there are more members than most, a weighted rendezvous
// selects those that share, mostly members with large weights; selected is their
// part of all weights. hash must depend on the rate, so that other members are
// selected for other rates. Members with the same view of the weights agree on
// all fractions. Divide reorders members.
func Divide(members []Member, most int, hash func(name uint64) uint64) (fraction, selected float64) {
	self := members[0]
	all := 0.0
	for _, m := range members {
		all += m.Weight
	}
	if len(members) > most {
		for i := range members {
			members[i].score = members[i].scoreFor(hash)
		}
		selectLowest(members, most)
		members = members[:most]
	}
	total, included := 0.0, false
	for _, m := range members {
		total += m.Weight
		included = included || m.Name == self.Name
	}
	if !included {
		return 0, total / all
	}
	return self.Weight / total, total / all
}

// scoreFor returns the weighted rendezvous score of a member. Weights are
// rounded to powers of two, so that members whose views differ a little select
// the same ones.
func (m Member) scoreFor(hash func(name uint64) uint64) float64 {
	uniform := (float64(hash(m.Name)) + 1) / math.MaxUint64
	const mantissa = 1<<52 - 1
	rounded := math.Float64frombits(math.Float64bits(m.Weight*math.Sqrt2) &^ mantissa)
	return -math.Log(uniform) / rounded
}

func (m Member) before(other Member) bool {
	return m.score < other.score || m.score == other.score && m.Name < other.Name
}

// selectLowest moves the members with the n lowest scores to the front, in no
// order. To sort all members took most of the time of a decision.
func selectLowest(members []Member, n int) {
	for low, high := 0, len(members)-1; low < high; {
		pivot := members[(low+high)/2]
		i, j := low, high
		for i <= j {
			for members[i].before(pivot) {
				i++
			}
			for pivot.before(members[j]) {
				j--
			}
			if i <= j {
				members[i], members[j] = members[j], members[i]
				i++
				j--
			}
		}
		switch {
		case n-1 <= j:
			high = j
		case n-1 >= i:
			low = i
		default:
			return
		}
	}
}
