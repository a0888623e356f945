// Package crdial opens TCP connections to other processes, with a new attempt every 250 ms. The SYN packet to a machine without
// power, or behind a full queue, is not answered, and the kernel retransmits it only after a second or more. A peer that is
// reachable again before then answers a new SYN at once.
package crdial

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// AttemptTimeout is the timeout of one attempt: several round trips between regions, which take about 70 ms each.
const AttemptTimeout = 250 * time.Millisecond

// Dialer opens one connection; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// DialTCP connects to the address. An attempt that is not answered within AttemptTimeout is followed by a new one, until the limit has
// passed or the context ends. Any other failure, such as a refused connection, is returned at once.
func DialTCP(ctx context.Context, d Dialer, address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// The time of the attempts is counted down, because a dialer may report a timeout before the context has ended.
	for remaining := limit; ; remaining -= AttemptTimeout {
		c, err := dialOnce(ctx, d, address)
		if err == nil || remaining <= AttemptTimeout || ctx.Err() != nil || !isTimeout(err) {
			return c, err
		}
	}
}

func dialOnce(ctx context.Context, d Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, AttemptTimeout)
	defer cancel()
	return d.DialContext(ctx, "tcp", address)
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
