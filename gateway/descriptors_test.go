package gateway

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/platform"
)

// exhaustedListener is a listener whose accepts fail while no file descriptor is
// left.
type exhaustedListener struct {
	net.Listener
	exhausted *atomic.Bool
}

func (l exhaustedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.exhausted.Load() {
		_ = conn.Close()
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return conn, err
}

// Guards against ports for lookups, readiness, metrics and feeds that are never
// served again after the process ran out of file descriptors for a moment.
func TestAuxiliaryPortsOutliveALackOfDescriptors(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	var exhausted atomic.Bool
	s.provisioned = func(g *Gateway) {
		for _, listener := range []*net.Listener{&g.readinessListener, &g.lookupListener, &g.metricsListener, &g.relayListener} {
			*listener = exhaustedListener{*listener, &exhausted}
		}
	}
	g := s.startInstance("g")
	addresses := []string{g.node.Readiness, g.node.Lookups, g.node.Metrics, peerAddress(g.node)}
	exhausted.Store(true)
	for _, address := range addresses {
		conn, err := net.Dial("tcp4", address)
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 1))
		is.True(err != nil)
		_ = conn.Close()
	}
	exhausted.Store(false)
	is.Equal(httpGet(t, g.node.Readiness, platform.PathReadiness).status, 200)
	is.Equal(httpGet(t, g.node.Lookups, platform.PathLookup+"?name=h.example&region=ra&zone=za").status, 200)
	is.Equal(httpGet(t, g.node.Metrics, "/metrics").status, 200)
	is.NoErr(httpGet(t, peerAddress(g.node), verdictsPath).err)
}
