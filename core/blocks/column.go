package blocks

// Numbers of blocks in a group. They are large enough that the first addresses
// of all groups fit into the cache of a core. IPv6 has larger groups, since its
// table is closer to the memory limit.
const (
	groupSize4 = 16
	groupSize6 = 32
	// metaBits is the number of bits that the prefix length (8) and the site
	// (16) of a block take in its metadata word.
	metaBits = 24
)

// column holds sorted blocks in groups. A group stores the addresses of its
// blocks first, followed by one 32-bit metadata word for each block with its
// prefix length and site. A lookup thus misses the data cache and the TLB in
// one place only.
type column[T uint32 | uint64] struct {
	// rows holds the groups one after the other. A row is an address, or one
	// (IPv4) or two (IPv6) metadata words.
	rows []T
	// groupStarts holds the first address of each group.
	groupStarts []T
	// count is the number of blocks.
	count     int
	groupSize int
}

// wordsPerAddress returns the number of 32-bit words in an address, which is
// the number of metadata words in a row.
func (c *column[T]) wordsPerAddress() int {
	if c.groupSize == groupSize4 {
		return 1
	}
	return 2
}

func newColumn[T uint32 | uint64](count, groupSize int) column[T] {
	c := column[T]{count: count, groupSize: groupSize}
	groups := (count + groupSize - 1) / groupSize
	c.groupStarts = make([]T, groups)
	c.rows = make([]T, groups*c.rowsPerGroup())
	return c
}

// rowsPerGroup returns the number of rows in a group: addresses and metadata.
func (c *column[T]) rowsPerGroup() int { return c.groupSize + c.groupSize/c.wordsPerAddress() }

func (c *column[T]) put(i int, address T, meta uint32) {
	group, offset := i/c.groupSize, i%c.groupSize
	rows := c.rows[group*c.rowsPerGroup():]
	rows[offset] = address
	if offset == 0 {
		c.groupStarts[group] = address
	}
	words := c.wordsPerAddress()
	rows[c.groupSize+offset/words] |= T(meta) << (32 * (offset % words))
}

func (c *column[T]) get(i int) (address T, meta uint32) {
	group, offset := i/c.groupSize, i%c.groupSize
	rows := c.rows[group*c.rowsPerGroup():]
	words := c.wordsPerAddress()
	return rows[offset], uint32(rows[c.groupSize+offset/words] >> (32 * (offset % words)))
}

// find4 returns the last block whose start is not above the address. The start
// of the first block must not be above the address.
func find4(c *column[uint32], address uint32) (start, meta uint32) {
	const size = 2 * groupSize4
	group := search(c.groupStarts, address)
	rows := c.rows[group*size : group*size+size]
	// A metadata word is read before the search, so that the cache lines of the
	// addresses and of the metadata are fetched concurrently.
	prefetched := int(rows[groupSize4+groupSize4/2] >> metaBits) // always 0
	offset := search(rows[:min(groupSize4, c.count-group*groupSize4)], address) + prefetched
	return rows[offset], rows[groupSize4+offset]
}

// find6 is find4 for IPv6.
func find6(c *column[uint64], address uint64) (start uint64, meta uint32) {
	const size = groupSize6 + groupSize6/2
	group := search(c.groupStarts, address)
	rows := c.rows[group*size : group*size+size]
	prefetched := int(rows[groupSize6+groupSize6/4] >> (32 + metaBits)) // always 0
	offset := search(rows[:min(groupSize6, c.count-group*groupSize6)], address) + prefetched
	return rows[offset], uint32(rows[groupSize6+offset/2] >> (32 * (offset & 1)))
}

// search returns the index of the last start that is not above the address. The
// first start must not be above the address.
func search[T uint32 | uint64](starts []T, address T) int {
	// The step is masked instead of taken in a branch: with random addresses
	// half of the branches would be mispredicted, which costs more than the
	// reads.
	first := 0
	for n := len(starts); n > 1; {
		half := n >> 1
		step := 0
		if starts[first+half] <= address {
			step = 1
		}
		first += half & -step
		n -= half
	}
	return first
}
