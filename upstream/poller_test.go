package upstream

import (
	"errors"
	"testing"

	"pistachioford.example/core/document"
	"pistachioford.example/pistachioford/httpread/framingtest"
)

// Guards against a health report that is taken from a response which was damaged or
// ended early.
func TestUnsoundHealthReportsAreDropped(t *testing.T) {
	framingtest.CheckClient(t, `{"utilization":0.5}`, func(address string) error {
		err := errors.New("no report")
		poller := NewPoller(func(r Report) {
			if r.HasLoad {
				err = nil
			}
		})
		poller.SetTargets(map[string]document.TargetID{address: 1})
		poller.Poll()
		return err
	})
}
