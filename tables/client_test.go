package tables_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/tables"
	"pistachioford.example/pistachioford/tables/standin"
)

var ctx = context.Background()

// start returns a stand-in and a client without delays between attempts.
func start(t *testing.T, options standin.Options, config tables.Config) (*standin.Standin, *tables.Client) {
	t.Helper()
	s, err := standin.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	config.URL = s.URL()
	config.Sleep = func(context.Context, time.Duration) {}
	c, err := tables.NewClient(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s, c
}

func conditionalPut(operation, key, value string, version uint64) tables.Commit {
	return tables.Commit{
		Operation:  operation,
		Conditions: []tables.Condition{{Key: key, Version: version}},
		Puts:       []tables.Put{{Key: key, Value: []byte(value)}},
	}
}

// Guards against a transaction that ignores a condition or is applied in part.
func TestCommitIsConditional(t *testing.T) {
	is := is.New(t)
	_, c := start(t, standin.Options{}, tables.Config{})
	rows, err := c.Commit(ctx, conditionalPut("1", "a/x", "one", 0))
	is.NoErr(err)
	is.Equal(rows, []tables.Row{{Key: "a/x", Version: 1}})

	twoPuts := conditionalPut("2", "a/x", "two", 0)
	twoPuts.Puts = append(twoPuts.Puts, tables.Put{Key: "a/y"})
	_, err = c.Commit(ctx, twoPuts)
	is.True(errors.Is(err, tables.ErrConflict))

	got, err := c.Get(ctx, "a/y", "a/x")
	is.NoErr(err)
	is.Equal(got, []tables.Row{{Key: "a/y"}, {Key: "a/x", Version: 1, Value: []byte("one")}})
	_, err = c.Commit(ctx, conditionalPut("3", "b", "", 0))
	is.NoErr(err)
	listed, err := c.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(listed), 1)
}

// Guards against a write that is applied twice, or reported as failed although
// it took effect, when its response is lost.
func TestLostResponse(t *testing.T) {
	is := is.New(t)
	s, c := start(t, standin.Options{}, tables.Config{})
	s.SetFaults(standin.Faults{LoseResponses: 2})
	rows, err := c.Commit(ctx, conditionalPut("1", "x", "one", 0))
	is.NoErr(err) // the third attempt gets the result of the first
	is.Equal(rows[0].Version, uint64(1))

	s.SetFaults(standin.Faults{LoseResponses: -1})
	_, err = c.Commit(ctx, conditionalPut("2", "x", "two", 1))
	is.True(errors.Is(err, tables.ErrUnknown))
	before := s.Counts().Writes
	_, err = c.Commit(ctx, conditionalPut("", "x", "three", 2))
	is.True(errors.Is(err, tables.ErrUnknown))
	is.Equal(s.Counts().Writes, before+1) // without an operation id it is not resent
	is.True(strings.Contains(err.Error(), "step=commit peer="+strings.TrimPrefix(s.URL(), "http://")))
	got, err := c.Get(ctx, "x")
	is.NoErr(err)
	is.Equal(string(got[0].Value), "three")
}

// Guards against retries by the HTTP library on top of those of the client, and
// against more retries than configured.
func TestAttempts(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		limit  float64
		call   func(c *tables.Client) error
		reads  uint64
		writes uint64
	}{
		{"slow read", standin.Faults{Delay: 200 * time.Millisecond}, 0, getX, 3, 0},
		{"slow object", standin.Faults{Delay: 200 * time.Millisecond}, 0, func(c *tables.Client) error {
			_, err := c.GetObject(ctx, "x")
			return err
		}, 3, 0},
		{"lost object", standin.Faults{LoseResponses: -1}, 0, func(c *tables.Client) error {
			return c.PutObject(ctx, "x", nil)
		}, 0, 1},
		{"limited", standin.Faults{}, 0.001, func(c *tables.Client) error {
			return errors.Join(getX(c), getX(c))
		}, 4, 0},
		{"down", standin.Faults{Down: true}, 0, getX, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, c := start(t, standin.Options{ReadsPerSecond: test.limit}, tables.Config{Timeout: 50 * time.Millisecond})
			s.SetFaults(test.faults)
			began := time.Now()
			is.True(test.call(c) != nil)
			is.True(time.Since(began) < time.Second)
			counts := waitForCounts(s, test.reads, test.writes)
			is.Equal(counts.Reads, test.reads)
			is.Equal(counts.Writes, test.writes)
		})
	}
}

// waitForCounts returns the counts once the server has received the expected
// calls and had time to receive more. A client that timed out may return before
// the server has counted its last attempt.
func waitForCounts(s *standin.Standin, reads, writes uint64) standin.Counts {
	for range 500 {
		if c := s.Counts(); c.Reads >= reads && c.Writes >= writes {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	return s.Counts()
}

func getX(c *tables.Client) error {
	_, err := c.Get(ctx, "x")
	return err
}

// Guards against a client that exceeds its budget: 480 instances that do so
// would overload the platform.
func TestBudget(t *testing.T) {
	is := is.New(t)
	s, c := start(t, standin.Options{}, tables.Config{ReadsPerSecond: 0.001, WritesPerSecond: 0.001, Burst: 4, Retries: -1})
	for range 10 {
		_, _ = c.Get(ctx, "x")
		_, _ = c.Commit(ctx, conditionalPut("", "x", "", 0))
	}
	_, err := c.Get(ctx, "x")
	is.True(errors.Is(err, tables.ErrBudget))
	is.Equal(s.Counts(), standin.Counts{Reads: 4, Writes: 4})
}

// Guards against a call that certainly had no effect and is reported as
// unknown, after which an operator would look for an effect that cannot exist.
func TestRefusedIsNotUnknown(t *testing.T) {
	is := is.New(t)
	s, c := start(t, standin.Options{WritesPerSecond: 0.001}, tables.Config{})
	_, err := c.Commit(ctx, conditionalPut("1", "x", "", 0))
	is.NoErr(err)
	_, err = c.Commit(ctx, conditionalPut("2", "x", "", 1))
	is.True(err != nil && !errors.Is(err, tables.ErrUnknown))
	is.Equal(s.Counts().Limited, uint64(3))

	unreachable, err := tables.NewClient(tables.Config{URL: "http://127.0.0.1:1"})
	is.NoErr(err)
	_, err = unreachable.Commit(ctx, conditionalPut("1", "x", "", 0))
	is.True(err != nil && !errors.Is(err, tables.ErrUnknown))
}

// Guards against injected faults of one instance that affect others, and
// against lost objects or instances.
func TestObjectsAndInstances(t *testing.T) {
	is := is.New(t)
	s, c := start(t, standin.Options{ListLag: 100 * time.Millisecond}, tables.Config{Instance: "a"})
	s.SetInstanceFaults("b", standin.Faults{Down: true})
	is.NoErr(c.PutObject(ctx, "blocks/1", []byte("data")))
	data, err := c.GetObject(ctx, "blocks/1")
	is.NoErr(err)
	is.Equal(string(data), "data")
	_, err = c.GetObject(ctx, "blocks/2")
	is.True(errors.Is(err, tables.ErrNotFound))

	entry := tables.Instance{ID: "a", Address: "10.0.0.1:1", Zone: "z", Role: tables.RoleEntry}
	is.NoErr(c.Register(ctx, entry))
	is.NoErr(c.Leave(ctx, "a"))
	listed, err := c.ListInstances(ctx)
	is.NoErr(err)
	is.Equal(len(listed), 0) // the list lags
	time.Sleep(110 * time.Millisecond)
	listed, err = c.ListInstances(ctx)
	is.NoErr(err)
	entry.Leaving = true
	is.Equal(listed, []tables.Instance{entry})

	s.SetInstanceFaults("a", standin.Faults{Down: true})
	_, err = c.ListInstances(ctx)
	is.True(err != nil)
}

// Guards against platform URLs that would send calls to a wrong address.
func TestNewClientRefusesURL(t *testing.T) {
	for _, url := range []string{"", "10.0.0.1:80", "ftp://a", "http://", "http://a/path"} {
		_, err := tables.NewClient(tables.Config{URL: url})
		is.New(t).True(err != nil)
	}
}
