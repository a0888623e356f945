package crforward

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crlease"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// Timings of the freshness of the configuration.
const (
	// freshnessInterval is the interval at which each link checks whether a request is due, and at which a change is logged.
	freshnessInterval = crlease.RequestInterval / 2
	// freshnessTimeout bounds a request. A coordinator answers within its own limit.
	freshnessTimeout = crcoord.FreshnessTimeout + 500*time.Millisecond
	// refusalLogInterval is the time between log lines about refused keys.
	refusalLogInterval = 10 * time.Second
)

// freshness holds how old the configuration of the node may be. Its times are those of Node.Clock.
type freshness struct {
	mu    sync.Mutex
	lease crlease.Lease
	// held is whether the lease was held when it was last logged.
	held bool
	// refusals counts refused requests by reason since the last log line about them, which was at refusalsLogged.
	refusals       map[string]int
	refusalsLogged time.Time
}

// within reports whether the table is known to have been the newest within the bound.
func (f *freshness) within(now time.Time, table *crroute.Table, bound time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.Within(now, table.Version(), bound)
}

func (f *freshness) due(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.Due(now)
}

// applied records that a table has come into force.
func (f *freshness) applied(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.Applied(version)
}

func (f *freshness) countRefusal(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusals == nil {
		f.refusals = map[string]int{}
	}
	f.refusals[reason]++
}

// takeRefusals returns the refusals to log, at most once in refusalLogInterval.
func (f *freshness) takeRefusals(now time.Time) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.refusals) == 0 || now.Sub(f.refusalsLogged) < refusalLogInterval {
		return nil
	}
	out := f.refusals
	f.refusals, f.refusalsLogged = nil, now
	return out
}

// freshnessWanted reports whether the node needs to know how old its configuration may be. A node without a configuration
// asks as well, so that it may answer keyed requests as soon as it has one.
func (n *Node) freshnessWanted() bool {
	if n.Settings.RevokeWithin > 0 {
		return true
	}
	t := n.table.Load()
	return n.Settings.ConfigApply > 0 && (t == nil || t.HasOrganisations())
}

// confirmFreshness asks the coordinator of a link for the newest version until ctx ends. A link asks only while the last
// confirmation is older than RequestInterval, so that both links together send about one request in that time.
func (n *Node) confirmFreshness(ctx context.Context, s *crwire.Session) {
	for ctx.Err() == nil {
		if n.freshnessWanted() && n.freshness.due(n.Clock()) {
			n.requestFreshness(ctx, s)
		}
		// An error means that ctx has ended, which the loop condition checks.
		_ = crpause.For(ctx, freshnessInterval)
	}
}

// requestFreshness sends one request. The lease counts from before the request is sent, since the reply may be late.
func (n *Node) requestFreshness(ctx context.Context, s *crwire.Session) {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	sent := n.Clock()
	reply, err := crwire.Call[crwire.DocumentFreshnessReply](ctx, s, crcoord.MethodFreshness, &crwire.DocumentFreshness{})
	if err != nil {
		n.Counters.Add("freshness_failed", 1)
		return
	}
	f := &n.freshness
	f.mu.Lock()
	defer f.mu.Unlock()
	// The table is read under the lock: a table that comes into force later is reported by applied.
	var inForce uint64
	if t := n.table.Load(); t != nil {
		inForce = t.Version()
	}
	f.lease.Answered(sent, reply.GetVersion(), inForce)
}

// configAge returns the age that the configuration has at most; it reports false if that is unknown.
func (n *Node) configAge() (time.Duration, bool) {
	t := n.table.Load()
	if t == nil {
		return 0, false
	}
	n.freshness.mu.Lock()
	defer n.freshness.mu.Unlock()
	return n.freshness.lease.Age(n.Clock(), t.Version())
}

// watchFreshness logs when the lease on the configuration is lost or held again, and how many keys were refused.
func (n *Node) watchFreshness(ctx context.Context) {
	for ctx.Err() == nil {
		if n.Settings.RevokeWithin > 0 {
			n.logLease()
		}
		now := time.Now()
		for reason, count := range n.freshness.takeRefusals(now) {
			n.Log.Emit(now, crevent.State, crevent.KeysRefused, crevent.KeyReason, reason, crevent.KeyCount, count)
		}
		_ = crpause.For(ctx, freshnessInterval)
	}
}

func (n *Node) logLease() {
	t := n.table.Load()
	if t == nil {
		return
	}
	held := n.freshness.within(n.Clock(), t, n.Settings.RevokeWithin)
	if held == n.freshness.held {
		return
	}
	n.freshness.held = held
	event := crevent.LeaseLost
	if held {
		event = crevent.LeaseHeld
	}
	age, _ := n.configAge()
	n.Log.Emit(time.Now(), crevent.State, event, crevent.KeyVersion, t.Version(), crevent.KeyAge, age.Round(time.Millisecond))
}
