package blocks

// stride is the number of addresses between two fences. The fences of a table
// fit into the cache of a core, so that a lookup misses it only once or twice.
const stride = 32

// column is a sorted list of addresses.
type column[T uint32 | uint64] struct {
	all []T
	// fences holds each stride-th address.
	fences []T
}

func newColumn[T uint32 | uint64](count int) column[T] {
	return column[T]{all: make([]T, count), fences: make([]T, (count+stride-1)/stride)}
}

func (c *column[T]) put(i int, address T) {
	c.all[i] = address
	if i%stride == 0 {
		c.fences[i/stride] = address
	}
}

// find returns the index of the last start that is not above the address; the
// first start must not be above it.
func (c *column[T]) find(address T) int {
	from := search(c.fences, address) * stride
	to := min(from+stride, len(c.all))
	return from + search(c.all[from:to], address)
}

// search returns the index of the last start that is not above the address, or
// -1.
func search[T uint32 | uint64](starts []T, address T) int {
	if len(starts) == 0 || starts[0] > address {
		return -1
	}
	// The step is a product in place of a branch: in a random lookup half of
	// the branches would be mispredicted, which costs more than the reads.
	low := 0
	for n := len(starts); n > 1; {
		half := n / 2
		step := 0
		if starts[low+half] <= address {
			step = 1
		}
		low += half * step
		n -= half
	}
	return low
}
