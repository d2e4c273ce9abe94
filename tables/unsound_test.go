package tables_test

import (
	"context"
	"testing"
	"time"

	"pistachioford.example/pistachioford/httpread/framingtest"
	"pistachioford.example/pistachioford/tables"
)

// Guards against a client of the platform that takes a damaged response, or a part
// of one, for a row, an object or a commit.
func TestUnsoundResponsesAreErrors(t *testing.T) {
	calls := map[string]func(*tables.Client) error{
		"row": func(c *tables.Client) error {
			_, err := c.List(ctx, "x")
			return err
		},
		"object": func(c *tables.Client) error {
			_, err := c.GetObject(ctx, "x")
			return err
		},
		"commit": func(c *tables.Client) error {
			_, err := c.Commit(ctx, conditionalPut("op", "x", "a", 0))
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			framingtest.CheckClient(t, `{"rows":[]}`, func(address string) error {
				c, err := tables.NewClient(tables.Config{URL: "http://" + address, Sleep: func(context.Context, time.Duration) {}})
				if err != nil {
					return err
				}
				defer c.Close()
				return call(c)
			})
		})
	}
}
