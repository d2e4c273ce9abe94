package feed

import "strconv"

// counterBits is the number of low bits of a Version that hold its counter.
const counterBits = 48

const maxCounter = 1<<counterBits - 1

// Version is a version of the store. The store counts its changes, and starts an
// era whenever it comes back from a copy: counters are then lower than before,
// and are used again. Versions of a later era are greater than all of an earlier
// one, so that they can be compared as numbers.
type Version uint64

// NewVersion returns the version of a counter in an era.
func NewVersion(era, counter uint64) Version {
	return Version(min(era, 1<<(64-counterBits)-1)<<counterBits | min(counter, maxCounter))
}

// Era returns the era of a version.
func (v Version) Era() uint64 { return uint64(v) >> counterBits }

// Counter returns the store's own number of a version, which is unique within
// its era.
func (v Version) Counter() uint64 { return uint64(v) & maxCounter }

// String returns the counter, after the era if there is one.
func (v Version) String() string {
	counter := strconv.FormatUint(v.Counter(), 10)
	if v.Era() == 0 {
		return counter
	}
	return strconv.FormatUint(v.Era(), 10) + "." + counter
}
