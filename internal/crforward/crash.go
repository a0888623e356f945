package crforward

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crquarantine"
)

// reachTimeout limits the probe whether the server still listens; the server is on the same instance.
const reachTimeout = 100 * time.Millisecond

// lifetime is one run of the backend server's process, from its first report to the first report of the next one. All
// fields except probe are guarded by the lock of the gate.
type lifetime struct {
	// probe serialises the probes whether the server still listens.
	probe sync.Mutex
	// lastReachable is the start of the last probe that succeeded.
	lastReachable time.Time
	// crashed is set once the server is known to have ended without having announced that it leaves.
	crashed bool
	// ended is set once the server is known to have ended or another lifetime was reported.
	ended bool
}

// Reasons from which a crash of the server is concluded.
const (
	reasonRefused  = "refused"
	reasonReplaced = "replaced"
)

// checkCrash reports whether the server has crashed, after a call got no complete answer at noticedAt. It probes the
// server unless the state at that time is known.
func (g *gate) checkCrash(gr grant, noticedAt time.Time) bool {
	gr.lifetime.probe.Lock()
	defer gr.lifetime.probe.Unlock()
	if crashed, known := g.crashKnown(gr.lifetime, noticedAt); known {
		return crashed
	}
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	probedAt := time.Now()
	err := gr.client.Connect(ctx)
	if connectionRefused(err) {
		return g.endLifetime(time.Now(), gr.lifetime, reasonRefused)
	}
	if err == nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		gr.lifetime.lastReachable = probedAt
	}
	return false
}

// connectionRefused reports whether an error says that nothing listens at the address.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// crashKnown returns whether the server has crashed, and whether that is known for the given time.
func (g *gate) crashKnown(life *lifetime, at time.Time) (crashed, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return life.crashed, life.ended || life.lastReachable.After(at)
}

// endLifetime marks a lifetime of the server as ended and reports whether it counts as a crash. The end of a draining
// server does not.
func (g *gate) endLifetime(now time.Time, life *lifetime, reason string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !life.ended {
		g.endLifetimeLocked(now, life, g.reg, reason)
	}
	return life.crashed
}

// endLifetimeLocked marks the lifetime of a registered server as ended. The caller holds the lock.
func (g *gate) endLifetimeLocked(now time.Time, life *lifetime, reg *registration, reason string) {
	life.ended = true
	if reg.Draining {
		g.node.suspects.serverRestarted(now)
		return
	}
	life.crashed = true
	g.node.suspects.serverCrashed(now)
	g.node.Counters.Add("server_crashes", 1)
	g.node.Log.Emit(now, crevent.State, crevent.ServerCrashed, crevent.KeyServer, reg.ID, crevent.KeyReason, reason,
		crevent.KeyRunning, g.limiter.InFlight())
}

// fingerprintPrefixBytes is how much of a body that is too large to be buffered goes into the fingerprint.
const fingerprintPrefixBytes = 16 << 10

// setFingerprints computes the fingerprints of a call. Only the first bytes of a body that is not buffered are
// included.
func (c *call) setFingerprints() error {
	body := c.bufferedBody
	if c.length != 0 && !c.bodyBuffered {
		var err error
		if body, err = c.peek(fingerprintPrefixBytes); err != nil {
			return err
		}
	}
	c.fingerprints[allCallers] = crquarantine.FingerprintOf("", c.method+" "+c.host+c.target, body)
	c.fingerprints[perCaller] = crquarantine.FingerprintOf(c.caller, "", c.fingerprints[allCallers][:])
	return nil
}
