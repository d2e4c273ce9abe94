package feed

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// compareNumbers orders the values "ID:NUMBER" of one writer.
func compareNumbers(a, b Row) (order int, comparable bool) {
	x, errX := strconv.Atoi(string(a.Value))
	y, errY := strconv.Atoi(string(b.Value))
	return x - y, errX == nil && errY == nil
}

func row(era, counter uint64, key string, value int) Row {
	return Row{Key: key, Version: NewVersion(era, counter), Value: fmt.Append(nil, value)}
}

func position(era, counter uint64) Position {
	v := NewVersion(era, counter)
	return Position{Next: v, Newest: v, Covered: v}
}

// values returns the rows that are not removed.
func (t *Table) values() map[string]string {
	values := map[string]string{}
	for key, r := range t.rows {
		if !r.Deleted {
			values[key] = string(r.Value)
		}
	}
	return values
}

// TestVersionsOfALaterEraAreNewer guards against an instance that takes the
// greater counter of an earlier era for newer.
func TestVersionsOfALaterEraAreNewer(t *testing.T) {
	is := is.New(t)
	is.True(NewVersion(2, 5) > NewVersion(1, 900))
	is.True(NewVersion(1, 6) > NewVersion(1, 5))
	is.Equal(NewVersion(3, 7).Era(), uint64(3))
	is.Equal(NewVersion(3, 7).Counter(), uint64(7))
	is.Equal(NewVersion(3, 7).String(), "3.7")
	is.Equal(NewVersion(0, 7).String(), "7")
	is.True(NewVersion(1<<60, 1<<60) >= NewVersion(1, 1))
}

// TestOlderRowsOfACopyAreNotUsed guards against a document, or the state of a
// target, that comes back older with the copy.
func TestOlderRowsOfACopyAreNotUsed(t *testing.T) {
	is := is.New(t)
	table := NewTable(compareNumbers)
	table.Apply(start, []Row{row(0, 10, "config", 7), row(0, 11, "i-1", 5)}, position(0, 11), true)
	u := table.Apply(start, []Row{row(1, 8, "config", 5), row(1, 9, "i-1", 6)}, position(1, 9), true)
	is.True(u.Restored)
	is.Equal(table.values(), map[string]string{"config": "7", "i-1": "6"})
	// A follower that has read up to the old version gets all of it.
	rows, complete := table.ChangesSince(NewVersion(0, 11))
	is.True(complete)
	is.Equal(len(rows), 2)
	for _, r := range rows {
		is.Equal(r.Version.Era(), uint64(1))
	}
	is.Equal(table.Position(), position(1, 9))
}

// TestRowsThatACopyLacksAreKeptUntilTheyAreWrittenAgain guards against targets
// that are dropped, and evacuations that end, since the copy does not have them
// yet.
func TestRowsThatACopyLacksAreKeptUntilTheyAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	table := NewTable(compareNumbers)
	table.Apply(start, []Row{row(0, 10, "old", 1), row(0, 11, "new", 1), row(0, 12, "gone", 1)}, position(0, 12), true)
	u := table.Apply(start, []Row{row(1, 9, "old", 1)}, position(1, 9), true)
	is.True(!u.Whole)
	is.Equal(len(table.values()), 3)
	is.Equal(table.CheckAt(), start.Add(rewriteTime))
	later := table.CheckAt()
	u = table.Apply(later, []Row{row(1, 9, "old", 1), row(1, 10, "new", 2)}, position(1, 10), true)
	is.True(u.Whole)
	is.Equal(table.values(), map[string]string{"old": "1", "new": "2"})
	is.Equal(table.CheckAt(), start.Add(expiryTime))
	table.Apply(start.Add(expiryTime), []Row{row(1, 9, "old", 1)}, position(1, 11), true)
	is.True(table.CheckAt().IsZero())
}

// TestRemovedRowsDoNotComeBackWithACopy guards against a target that left before
// the store was restored and is listed in the copy.
func TestRemovedRowsDoNotComeBackWithACopy(t *testing.T) {
	is := is.New(t)
	table := NewTable(compareNumbers)
	table.Apply(start, []Row{row(0, 10, "left", 4), row(0, 11, "back", 4)}, position(0, 11), true)
	table.Apply(start, []Row{{Key: "left", Version: NewVersion(0, 12), Deleted: true}, {Key: "back", Version: NewVersion(0, 13), Deleted: true}},
		position(0, 13), false)
	copied := []Row{row(1, 10, "left", 4), row(1, 11, "back", 5)}
	for _, now := range []time.Time{start, start.Add(rewriteTime)} {
		u := table.Apply(now, copied, position(1, 11), true)
		is.Equal(len(u.Rows), 1)
		is.Equal(table.values(), map[string]string{"back": "5"})
	}
	// Followers learn that it is removed, and do not get its last value.
	rows, _ := table.ChangesSince(NewVersion(0, 12))
	removed := 0
	for _, r := range rows {
		if r.Deleted {
			removed++
			is.Equal(r.Key, "left")
			is.Equal(len(r.Value), 0)
		}
	}
	is.Equal(removed, 1)
	// It is used again once it writes.
	table.Apply(start.Add(time.Second), []Row{row(1, 12, "left", 5)}, position(1, 12), false)
	is.Equal(table.values()["left"], "5")
}

// TestTablesFollowAStoreThroughRestores replays random changes, removals and
// restores of a store. A table that follows it, and one that follows the first,
// must show its rows whenever all have been written again, and never an older
// value.
func TestTablesFollowAStoreThroughRestores(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 26))
		s := newFakeStore()
		relay, follower := NewTable(compareNumbers), NewTable(compareNumbers)
		now := start
		newest := map[string]int{}
		for step := range 120 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			switch random.IntN(12) {
			case 0:
				s.restore(random.IntN(12))
			case 1, 2, 3, 4:
				s.put(fmt.Sprintf("k%d", random.IntN(6)))
			case 5:
				s.remove(fmt.Sprintf("k%d", random.IntN(6)))
			case 6, 7, 8:
				s.read(now, relay)
			default:
				s.follow(now, relay, follower)
			}
			for _, table := range []*Table{relay, follower} {
				for key, value := range table.values() {
					number, _ := strconv.Atoi(value)
					if table == relay {
						newest[key] = max(newest[key], number)
						if number < newest[key] {
							t.Fatalf("seed %d, step %d: %s went back from %d to %d", seed, step, key, newest[key], number)
						}
					}
				}
			}
		}
		// Everything is written again, and the checks take place.
		s.rewrite()
		for range 4 {
			now = now.Add(expiryTime)
			s.read(now, relay)
			s.follow(now, relay, follower)
		}
		is := is.New(t)
		is.Equal(relay.values(), s.values())
		is.Equal(follower.values(), s.values())
	}
}

// fakeStore is a store in memory. Its writers know the newest number of each
// key.
type fakeStore struct {
	era, counter uint64
	changes      []Row
	written      map[string]int
	removed      map[string]bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{written: map[string]int{}, removed: map[string]bool{}}
}

func (s *fakeStore) put(key string) {
	s.counter++
	s.written[key]++
	s.removed[key] = false
	s.changes = append(s.changes, row(s.era, s.counter, key, s.written[key]))
}

func (s *fakeStore) remove(key string) {
	s.counter++
	s.removed[key] = true
	s.changes = append(s.changes, Row{Key: key, Version: NewVersion(s.era, s.counter), Deleted: true})
}

// restore drops the last changes.
func (s *fakeStore) restore(lost int) {
	kept := s.changes[:max(len(s.changes)-lost, 0)]
	s.era++
	s.changes = nil
	for _, r := range kept {
		r.Version = NewVersion(s.era, r.Version.Counter())
		s.changes = append(s.changes, r)
	}
	s.counter = 0
	if len(kept) > 0 {
		s.counter = kept[len(kept)-1].Version.Counter()
	}
}

// rewrite writes what the writers know once more.
func (s *fakeStore) rewrite() {
	for key, gone := range s.removed {
		if gone {
			s.remove(key)
		} else {
			s.put(key)
		}
	}
}

func (s *fakeStore) table() []Row {
	newest := map[string]Row{}
	for _, r := range s.changes {
		newest[r.Key] = r
	}
	var rows []Row
	for _, r := range newest {
		if !r.Deleted {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *fakeStore) values() map[string]string {
	values := map[string]string{}
	for _, r := range s.table() {
		values[r.Key] = string(r.Value)
	}
	return values
}

// read brings a table up to date from the store: by its changes if they continue
// what the table has, else by the whole table.
func (s *fakeStore) read(now time.Time, table *Table) {
	at := Position{Next: NewVersion(s.era, s.counter)}
	after := table.Position().Next
	check := table.CheckAt()
	if after > 0 && after.Era() == s.era && (check.IsZero() || now.Before(check)) {
		var rows []Row
		for _, r := range s.changes {
			if r.Version > after {
				rows = append(rows, r)
			}
		}
		at.Advance(rows)
		table.Apply(now, rows, at, false)
		return
	}
	rows := s.table()
	at.Covered = at.Next
	at.Advance(rows)
	table.Apply(now, rows, at, true)
}

// follow brings a follower up to date from its relay.
func (s *fakeStore) follow(now time.Time, relay, follower *Table) {
	at := relay.Position()
	if at.Next == 0 {
		return
	}
	after := follower.Position().Next
	check := follower.CheckAt()
	whole := after == 0 || !check.IsZero() && !now.Before(check)
	if whole {
		after = 0
	}
	rows, complete := relay.ChangesSince(after)
	if !complete {
		rows, _ = relay.ChangesSince(0)
		whole = true
	}
	follower.Apply(now, rows, at, whole)
}
