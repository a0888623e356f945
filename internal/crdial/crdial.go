// Package crdial opens connections to other processes. The opening packet to a machine that has no power, or behind a full
// queue, goes unanswered, and the kernel sends it again only after a second or more; a peer that is up again by then would
// have answered a new one at once.
package crdial

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// Attempt is how long one opening packet is waited for: several round trips between regions, which take 70 ms or so.
const Attempt = 250 * time.Millisecond

// Opener opens one connection; net.Dialer is one.
type Opener interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP connects to the address, with a new opening packet for each Attempt that fits into the limit, until one is answered or
// the context ends. A refusal ends it at once.
func TCP(ctx context.Context, o Opener, address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// The attempts are counted: at the end of one the dialer may report a timeout before the context does.
	for left := limit; ; left -= Attempt {
		c, err := once(ctx, o, address)
		if err == nil || left <= Attempt || ctx.Err() != nil || !unanswered(err) {
			return c, err
		}
	}
}

func once(ctx context.Context, o Opener, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, Attempt)
	defer cancel()
	return o.DialContext(ctx, "tcp", address)
}

func unanswered(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
