package gateway

import (
	"context"
	"testing"
	"time"

	"pistachioford.example/pistachioford/httpread/framingtest"
	"pistachioford.example/pistachioford/platform"
)

// Guards against rows or verdicts that an instance takes from a damaged response of
// another instance, or from a part of one.
func TestUnsoundResponsesOfInstancesAreErrors(t *testing.T) {
	calls := map[string]struct {
		body string
		call func(*relays, string) error
	}{
		"table": {`{"rows":[]}`, func(r *relays, address string) error {
			_, _, err := (&relaySource{relays: r, address: address}).Read(context.Background(), platform.FeedRegistry)
			return err
		}},
		"changes": {`{"rows":[]}`, func(r *relays, address string) error {
			_, _, err := (&relaySource{relays: r, address: address}).Watch(context.Background(), platform.FeedOperator, 1, time.Second)
			return err
		}},
		"verdicts": {`[]`, func(r *relays, address string) error {
			_, err := r.readVerdicts(address)
			return err
		}},
	}
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			framingtest.CheckClient(t, c.body, func(address string) error { return c.call(newRelays(), address) })
		})
	}
}
