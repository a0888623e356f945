package crforward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquota"
	"github.com/citronramp/citronramp/pkg/crroute"
)

// Times and limits of the requests for tokens.
const (
	// maxTokenLifetime is how long a token can be spent after it was asked for; minTokenLifetime covers two messages and the
	// way to the leader.
	maxTokenLifetime = 500 * time.Millisecond
	minTokenLifetime = 200 * time.Millisecond
	// maxTokenWait bounds the time for which a request waits for a token: three messages to the owner. It is also at most
	// 1/tokenWaitPart of its time to the target latency.
	maxTokenWait  = 150 * time.Millisecond
	tokenWaitPart = 4
	// belowQuotaAfter is the time without refusals after which an organisation counts as below its quota.
	belowQuotaAfter = 5 * time.Second
	// quotaLogInterval and maxAtQuota bound the log lines about quotas and the organisations that they follow.
	quotaLogInterval = 100 * time.Millisecond
	maxAtQuota       = 1000
)

// QuotaBounds are the bounds of the platform on the quotas of organisations. Quotas are enforced if Window is positive: the
// requests of an organisation that run within Window are at most (rate x Window + burst) x (1 + Overage) + Slack.
type QuotaBounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// tokenLifetime returns the time for which tokens may be held: what is spent in a window was granted at most that much before
// it, which exceeds the quota by the rate times the lifetime.
func (b QuotaBounds) tokenLifetime() time.Duration {
	return min(max(time.Duration(b.Overage*float64(b.Window)), minTokenLifetime), maxTokenLifetime)
}

// quotas holds the tokens of this node and the requests that wait for one.
type quotas struct {
	mu      sync.Mutex
	wallet  crquota.Wallet
	waiters map[string][]*tokenWaiter
	// waiting is the number of all waiters.
	waiting int
	wake    chan struct{}
	// useSecond makes requests go through the coordinator of the second link.
	useSecond bool
	// atQuota holds the time of the last refusal of organisations at their quota, loggedAt that of the last log line.
	atQuota  map[string]time.Time
	loggedAt time.Time
}

// tokenWaiter is a request that waits for a token; answer receives the verdict, and is closed without one if the request has
// to be refused.
type tokenWaiter struct {
	answer chan time.Time
}

// quotaUse counts the tokens of one call. A token is bound to each attempt and is used up if the attempt reaches a server.
type quotaUse struct {
	node         *Node
	organisation string
	limit        crquota.Limit

	mu sync.Mutex
	// free holds the expiry times of the tokens that are bound to no attempt.
	free     []time.Time
	finished bool
}

func (n *Node) quotasEnforced() bool { return n.Settings.Quota.Window > 0 }

// prepareQuotas initialises the wallet.
func (n *Node) prepareQuotas() {
	q := &n.quotas
	q.wallet = crquota.Wallet{Lifetime: n.Settings.Quota.tokenLifetime(), Random: rand.Float64}
	q.waiters, q.atQuota, q.wake = map[string][]*tokenWaiter{}, map[string]time.Time{}, make(chan struct{}, 1)
	n.Counters.Declare("quota_granted", "quota_refused", "quota_waited", "quota_static", "quota_returned", "quota_attempts_denied", "quota_unanswered")
	n.Counters.Gauge("quota_waiting", func() any {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.waiting
	})
	n.Counters.Gauge("quota_out_of_contact", func() any {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.wallet.Static(crclock.Now())
	})
	n.Counters.Gauge("organisations_at_quota", func() any {
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.atQuota)
	})
}

// takeQuota takes a token for a new request of an organisation with a quota, or returns the refusal. The request may wait for
// the token.
func (n *Node) takeQuota(ctx context.Context, c *call, o *crroute.Organisation, version uint64) *reply {
	if o == nil || !o.Quota.Limited() || !n.quotasEnforced() {
		return nil
	}
	use := &quotaUse{node: n, organisation: o.Name, limit: crquota.Limit{Rate: o.Quota.Rate, Burst: o.Quota.Burst, Version: version}}
	now := crclock.Now()
	n.quotas.mu.Lock()
	d := n.quotas.wallet.Take(now, use.organisation, use.limit)
	var waiter *tokenWaiter
	if d.Verdict == crquota.Wait {
		waiter = n.quotas.addWaiter(use.organisation)
	}
	n.quotas.mu.Unlock()
	if waiter != nil {
		d = n.awaitToken(ctx, c, use.organisation, waiter)
	}
	if d.Static {
		n.Counters.Add("quota_static", 1)
	}
	if d.Verdict == crquota.Granted {
		n.Counters.Add("quota_granted", 1)
		use.free = append(use.free, d.Expires)
		c.quota = use
		return nil
	}
	n.Counters.Add("quota_refused", 1)
	n.recordAtQuota(now, use)
	r := failureReply(crcode.QuotaExceeded, "")
	r.retryAfter = d.RetryAfter
	return r
}

func (q *quotas) addWaiter(organisation string) *tokenWaiter {
	w := &tokenWaiter{answer: make(chan time.Time, 1)}
	q.waiters[organisation] = append(q.waiters[organisation], w)
	q.waiting++
	q.wallet.AddWaiting(organisation, 1)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return w
}

// awaitToken waits for the token of a waiter.
func (n *Node) awaitToken(ctx context.Context, c *call, organisation string, w *tokenWaiter) crquota.Decision {
	n.Counters.Add("quota_waited", 1)
	timer := time.NewTimer(min(maxTokenWait, max(0, time.Until(c.due)/tokenWaitPart)))
	defer timer.Stop()
	select {
	case expires, ok := <-w.answer:
		if ok {
			return crquota.Decision{Expires: expires}
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	q := &n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeWaiter(organisation, w)
	select {
	case expires, ok := <-w.answer:
		if ok {
			return crquota.Decision{Expires: expires}
		}
	default:
	}
	return crquota.Decision{Verdict: crquota.Refused, RetryAfter: q.wallet.RetryAfter(crclock.Now(), organisation)}
}

// removeWaiter removes a waiter that was not answered. The caller holds the lock.
func (q *quotas) removeWaiter(organisation string, w *tokenWaiter) {
	list := q.waiters[organisation]
	for i, other := range list {
		if other == w {
			q.setWaiters(organisation, append(list[:i:i], list[i+1:]...))
			return
		}
	}
}

// setWaiters replaces the waiters of an organisation. The caller holds the lock.
func (q *quotas) setWaiters(organisation string, list []*tokenWaiter) {
	change := len(list) - len(q.waiters[organisation])
	q.waiting += change
	q.wallet.AddWaiting(organisation, change)
	if len(list) == 0 {
		delete(q.waiters, organisation)
		return
	}
	q.waiters[organisation] = list
}

// answerWaiters hands out tokens to the requests that wait for them, and refuses the others of an organisation whose balance
// is empty. The caller holds the lock.
func (q *quotas) answerWaiters(now time.Time) {
	for organisation, list := range q.waiters {
		for len(list) > 0 {
			expires, ok := q.wallet.Spend(now, organisation)
			if !ok {
				break
			}
			list[0].answer <- expires
			list = list[1:]
		}
		if q.wallet.Exhausted(now, organisation) {
			for _, w := range list {
				close(w.answer)
			}
			list = nil
		}
		q.setWaiters(organisation, list)
	}
}

// returnQuota returns the tokens of a call that no attempt has used, so that refused requests do not spend the quota.
func (n *Node) returnQuota(c *call) {
	if c.quota == nil {
		return
	}
	c.quota.mu.Lock()
	free := c.quota.free
	c.quota.free, c.quota.finished = nil, true
	c.quota.mu.Unlock()
	c.quota.giveBack(free)
}

func (u *quotaUse) giveBack(free []time.Time) {
	if len(free) == 0 {
		return
	}
	q, now := &u.node.quotas, crclock.Now()
	u.node.Counters.Add("quota_returned", int64(len(free)))
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, expires := range free {
		q.wallet.Return(now, u.organisation, expires)
	}
	q.answerWaiters(now)
}

// reserve makes sure that there is a token for a further attempt. It does not wait; false means that the attempt must not be
// sent. Calls without a quota need none.
func (u *quotaUse) reserve() bool {
	if u == nil {
		return true
	}
	now := crclock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.free = slices.DeleteFunc(u.free, func(expires time.Time) bool { return !now.Before(expires) })
	if len(u.free) > 0 {
		return true
	}
	q := &u.node.quotas
	q.mu.Lock()
	d := q.wallet.Take(now, u.organisation, u.limit)
	q.mu.Unlock()
	if d.Verdict != crquota.Granted {
		u.node.Counters.Add("quota_attempts_denied", 1)
		return false
	}
	u.free = append(u.free, d.Expires)
	return true
}

// attempt binds a token to an attempt. The returned function must be called when its outcome is known: the token is free again
// if no server was reached.
func (u *quotaUse) attempt() (done func(reached bool)) {
	if u == nil {
		return func(bool) {}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.free) == 0 {
		return func(bool) {}
	}
	expires := u.free[0]
	u.free = u.free[1:]
	return func(reached bool) {
		if reached {
			return
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.finished {
			u.giveBack([]time.Time{expires})
			return
		}
		u.free = append(u.free, expires)
	}
}

// recordAtQuota records that a request was refused for the quota, and logs it if the organisation was below its quota before.
func (n *Node) recordAtQuota(now time.Time, u *quotaUse) {
	q := &n.quotas
	q.mu.Lock()
	_, known := q.atQuota[u.organisation]
	if known || len(q.atQuota) < maxAtQuota {
		q.atQuota[u.organisation] = now
	}
	log := !known && q.mayLog(now)
	q.mu.Unlock()
	if log {
		n.Log.Emit(time.Now(), crevent.State, crevent.QuotaReached, crevent.KeyOrganisation, u.organisation, crevent.KeyRate, u.limit.Rate,
			crevent.KeyVersion, u.limit.Version)
	}
}

// mayLog limits the lines about quotas. The caller holds the lock.
func (q *quotas) mayLog(now time.Time) bool {
	if now.Sub(q.loggedAt) < quotaLogInterval {
		return false
	}
	q.loggedAt = now
	return true
}

// logBelowQuota logs the organisations that have been below their quota for some time.
func (n *Node) logBelowQuota(now time.Time) {
	q := &n.quotas
	q.mu.Lock()
	var below string
	for organisation, refusedAt := range q.atQuota {
		if now.Sub(refusedAt) >= belowQuotaAfter && q.mayLog(now) {
			delete(q.atQuota, organisation)
			below = organisation
			break
		}
	}
	q.mu.Unlock()
	if below != "" {
		n.Log.Emit(time.Now(), crevent.State, crevent.QuotaFree, crevent.KeyOrganisation, below)
	}
}
