package blocks

// Numbers of blocks in a group. The first addresses of the groups fit into the
// cache of a core. IPv6 has larger groups, since its table is closer to the
// limit of memory.
const (
	group4 = 16
	group6 = 32
	// metaBits is the size of the prefix length and the site of a block.
	metaBits = 24
)

// column holds sorted blocks in groups. In a group the addresses come first and
// then one 32-bit word for each with its prefix length and site. A lookup thus
// misses the caches of data and of pages in one place only.
type column[T uint32 | uint64] struct {
	rows []T
	// fences holds the first address of each group.
	fences []T
	count  int
	group  int
}

// words is the number of 32-bit words in an address.
func (c *column[T]) words() int {
	if c.group == group4 {
		return 1
	}
	return 2
}

func newColumn[T uint32 | uint64](count, group int) column[T] {
	c := column[T]{count: count, group: group}
	groups := (count + group - 1) / group
	c.fences = make([]T, groups)
	c.rows = make([]T, groups*c.size())
	return c
}

// size is the number of rows of a group.
func (c *column[T]) size() int { return c.group + c.group/c.words() }

func (c *column[T]) put(i int, address T, meta uint32) {
	at, in := i/c.group, i%c.group
	rows := c.rows[at*c.size():]
	rows[in] = address
	if in == 0 {
		c.fences[at] = address
	}
	words := c.words()
	rows[c.group+in/words] |= T(meta) << (32 * (in % words))
}

func (c *column[T]) get(i int) (address T, meta uint32) {
	at, in := i/c.group, i%c.group
	rows := c.rows[at*c.size():]
	words := c.words()
	return rows[in], uint32(rows[c.group+in/words] >> (32 * (in % words)))
}

// find4 returns the last block whose start is not above the address; the first
// must not be above it.
func find4(c *column[uint32], address uint32) (start, meta uint32) {
	const size = 2 * group4
	at := search(c.fences, address)
	rows := c.rows[at*size : at*size+size]
	// The words are read ahead of the search, so that both lines of the group
	// are fetched at once.
	ahead := int(rows[group4+group4/2] >> metaBits) // always 0
	in := search(rows[:min(group4, c.count-at*group4)], address) + ahead
	return rows[in], rows[group4+in]
}

// find6 is find4 for IPv6.
func find6(c *column[uint64], address uint64) (start uint64, meta uint32) {
	const size = group6 + group6/2
	at := search(c.fences, address)
	rows := c.rows[at*size : at*size+size]
	ahead := int(rows[group6+group6/4] >> (32 + metaBits)) // always 0
	in := search(rows[:min(group6, c.count-at*group6)], address) + ahead
	return rows[in], uint32(rows[group6+in/2] >> (32 * (in & 1)))
}

// search returns the index of the last start that is not above the address;
// the first start must not be above it.
func search[T uint32 | uint64](starts []T, address T) int {
	// The step is masked in place of a branch: in a random lookup half of the
	// branches would be mispredicted, which costs more than the reads.
	low := 0
	for n := len(starts); n > 1; {
		half := n >> 1
		step := 0
		if starts[low+half] <= address {
			step = 1
		}
		low += half & -step
		n -= half
	}
	return low
}
