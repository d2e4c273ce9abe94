package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/platform"
)

// Guards against an order that ran, whose target fails with a status by which
// callers understand that it did not run, so that they send it again.
func TestStatusesThatPromiseNotRunAreTrue(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for name, body := range map[string]string{"small": "failed", "streamed": strings.Repeat("x", 1<<20)} {
			t.Run(fmt.Sprintf("%d, %s", status, name), func(t *testing.T) {
				is := is.New(t)
				s := newSite(t)
				u := s.startTarget("i-1", func(conn net.Conn, r *receivedRequest) bool {
					return writeResponse(conn, r, status, body)
				})
				g := s.startInstance("g")
				s.waitForTargets(g, 1)
				c := s.connect(g)
				order := c.do("POST", "/order/1", "one pallet")
				is.Equal(order.status, 502)
				is.Equal(order.header.Get(platform.HeaderMAC), "")
				is.Equal(order.header.Get("Retry-After"), "")
				is.Equal(u.count(), 1)
				// A request that may run twice keeps its target's response.
				read := s.connect(g).do("GET", "/read/1", "")
				is.Equal(read.status, status)
				is.True(read.body == body)
			})
		}
	}
	t.Run("stated", func(t *testing.T) {
		is := is.New(t)
		s := newSite(t)
		s.startTarget("i-1", respondShed)
		g := s.startInstance("g")
		s.waitForTargets(g, 1)
		is.Equal(s.connect(g).do("POST", "/order/1", "one pallet").status, 503)
	})
}
