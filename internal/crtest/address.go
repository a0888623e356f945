package crtest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

var hostCount atomic.Uint32

// Host returns a loopback address for one test; all addresses have the same length. Outgoing connections use the source
// address 127.0.0.1, and no other test, in this process or in a concurrent one, listens on the returned address. A test can
// therefore listen on the same port again after a restart.
func Host() string {
	pid := uint32(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d", 100+pid%150, 100+pid/150%150, 100+hostCount.Add(1)%150)
}

// Listen listens on a free port of a host; the test fails if there is none.
func Listen(t testing.TB, host string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	return ln
}
