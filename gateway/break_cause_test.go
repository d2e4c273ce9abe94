package gateway

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/httpread"
)

// Guards against damaged bytes, or a link that loses packets, that count as a
// crash of the target.
func TestOnlyAClosedConnectionIsAClosedOne(t *testing.T) {
	is := is.New(t)
	network := func(errno syscall.Errno) error {
		return &net.OpError{Op: "read", Err: os.NewSyscallError("read", errno)}
	}
	for err, want := range map[error]steer.BreakCause{
		io.EOF:                      steer.ClosedByTarget,
		io.ErrUnexpectedEOF:         steer.ClosedByTarget,
		network(syscall.ECONNRESET): steer.ClosedByTarget,
		network(syscall.EPIPE):      steer.ClosedByTarget,
		network(syscall.ETIMEDOUT):  steer.Unacknowledged,
		fmt.Errorf("%w: %w", httpread.ErrTrailer, io.EOF): steer.ClosedByTarget,
		httpread.ErrMalformed:                             steer.Malformed,
		httpread.ErrEndInDoubt:                            steer.Malformed,
		errTooLarge:                                       steer.Malformed,
	} {
		is.Equal(breakCause(err), want) // the cause of each error
	}
}
