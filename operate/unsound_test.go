package operate

import (
	"testing"

	"pistachioford.example/pistachioford/httpread/framingtest"
)

// Guards against a status that is shown for an instance whose response was damaged
// or ended early.
func TestUnsoundStatusIsAnError(t *testing.T) {
	framingtest.CheckClient(t, `{"instance":"i"}`, func(address string) error {
		_, err := queryStatus(ctx, address)
		return err
	})
}
