package crquota

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Parameters of a wallet.
const (
	// horizon is the time for which a node asks for tokens in advance. It covers several messages, so that one may be late.
	horizon = 250 * time.Millisecond
	// keepAlive is the interval of messages without demands. It is a third of silentAfter, so that one may be lost.
	keepAlive = 250 * time.Millisecond
	// refillInterval and spareInterval are the shortest times between messages while no request waits: to refill what is
	// expected to be spent, and for spare tokens alone. They save most of the messages at ordinary load.
	refillInterval = 100 * time.Millisecond
	spareInterval  = 150 * time.Millisecond
	// renewBefore is how long before their expiry tokens are replaced, and returnBefore when they are returned: the
	// replacement has arrived by then, and a message returns them within refillInterval, early enough for the owner.
	renewBefore  = 300 * time.Millisecond
	returnBefore = 200 * time.Millisecond
	// spareMemory is how long after its last request an organisation is given spare tokens. Later its burst is complete again.
	spareMemory = 3 * time.Second
	// maxPending bounds the requests without an answer; an older one is given up by its sender before its tokens expire.
	maxPending = 4
	// demandMemory is the time constant of the estimate of an organisation's demand.
	demandMemory = 500 * time.Millisecond
	// minExpected is the number of requests expected within the horizon from which they count as need: with fewer, more tokens
	// would expire than be spent.
	minExpected = 1.0
	// spareRetry is the time between requests for spare tokens when the balance has none.
	spareRetry = 500 * time.Millisecond
	// askBelow is the part of the expected need below which the tokens held have to fall before more are asked for.
	askBelow = 0.6
	// staticLifetime is how long a token of the static share can be spent: as long as one of the owner.
	staticLifetime = 500 * time.Millisecond
	// staticPart is the part of the static share that is spent. The tokens of the nodes come at independent times, and with
	// the rest the number in a window stays below the limit.
	staticPart = 0.9
)

// Verdict says what happens to a request that needs a token.
type Verdict uint8

// The verdicts.
const (
	// Granted means that a token was taken.
	Granted Verdict = iota
	// Wait means that the request has to wait for an answer of the owner.
	Wait
	// Refused means that the quota is used up.
	Refused
)

// Decision is the verdict on a request. Expires is the time until which a granted token can be returned and spent by another
// request; RetryAfter is the time until tokens return. Static is set if the decision rests on the static share.
type Decision struct {
	Verdict    Verdict
	Expires    time.Time
	RetryAfter time.Duration
	Static     bool
}

// Wallet holds the tokens of one node. Set the exported fields before the first use. It is not safe for concurrent use.
type Wallet struct {
	// Lifetime is the time after the request for them at which tokens expire.
	Lifetime time.Duration
	// Random returns a number in [0, 1).
	Random func() float64

	accounts *simplelru.LRU[string, *account]
	// active holds the accounts with recent demand.
	active map[string]*account
	// contact holds what the answer to the latest request said, which was sent at contactSent; answeredAt is when the last
	// answer arrived.
	contact     Contact
	contactSent time.Time
	answeredAt  time.Time
	// newOwner is set by the first answer of an owner. The next message is urgent then: the owner withholds the share of the
	// node until it shows that the answer arrived.
	newOwner bool
	sentAt   time.Time
	pending  int
}

// lot is a number of tokens of one grant. The term and the stamp are those of the reply; the term is 0 if it is not known.
type lot struct {
	count   uint32
	expires time.Time
	term    uint64
	stamp   time.Duration
}

// account is the state of one organisation.
type account struct {
	limit Limit
	// lots are in the order of their expiry.
	lots   []lot
	demand decayingRate
	// waiting counts the requests that wait for a token. pending and pendingSpare are the tokens that were asked for without an
	// answer yet; spare ones may not be granted, so no request waits for them.
	waiting               int
	pending, pendingSpare uint32
	// noSpareUntil is the time until which no spare tokens are asked for.
	noSpareUntil time.Time
	// refuseUntil is the time until which the balance counts as empty, retryAt the time at which tokens return.
	refuseUntil, retryAt time.Time
	static               staticShare
}

func (w *Wallet) account(org string, l Limit) *account {
	if w.accounts == nil {
		w.active = map[string]*account{}
		// The size is a positive constant, which is the only condition.
		w.accounts, _ = simplelru.NewLRU(maxAccounts, func(org string, _ *account) { delete(w.active, org) })
	}
	a, ok := w.accounts.Get(org)
	if !ok {
		a = &account{demand: decayingRate{memory: demandMemory}}
		w.accounts.Add(org, a)
	}
	if l.Version >= a.limit.Version {
		a.limit = l
	}
	w.active[org] = a
	return a
}

// Take takes a token for a new request.
func (w *Wallet) Take(now time.Time, org string, l Limit) Decision {
	a := w.account(org, l)
	a.demand.add(now)
	if expires, ok := a.spend(now); ok {
		return Decision{Expires: expires}
	}
	if w.static(now) {
		return a.spendStatic(now, w.answeredAt.Add(staticAfter), w.contact.Nodes, w.Random)
	}
	if now.Before(a.refuseUntil) {
		return Decision{Verdict: Refused, RetryAfter: max(a.retryAt.Sub(now), MinWait)}
	}
	return Decision{Verdict: Wait}
}

// Spend takes a token for a request that waits; it reports false if there is none.
func (w *Wallet) Spend(now time.Time, org string) (expires time.Time, ok bool) {
	if a, known := w.peek(org); known {
		return a.spend(now)
	}
	return time.Time{}, false
}

// Return gives a token back that was not used; it is spent by another request unless it has expired.
func (w *Wallet) Return(now time.Time, org string, expires time.Time) {
	if a, ok := w.peek(org); ok && now.Before(expires) {
		a.add(lot{count: 1, expires: expires})
	}
}

// AddWaiting changes the number of requests that wait for a token of an organisation.
func (w *Wallet) AddWaiting(org string, n int) {
	if a, ok := w.peek(org); ok {
		a.waiting = max(0, a.waiting+n)
	}
}

// RetryAfter returns the time until tokens return, for a request that waited in vain.
func (w *Wallet) RetryAfter(now time.Time, org string) time.Duration {
	if a, ok := w.peek(org); ok {
		return min(max(a.retryAt.Sub(now), MinWait), maxWait)
	}
	return MinWait
}

// Exhausted reports whether the last answer said that the balance of an organisation is empty.
func (w *Wallet) Exhausted(now time.Time, org string) bool {
	a, ok := w.peek(org)
	return ok && now.Before(a.refuseUntil)
}

func (w *Wallet) peek(org string) (*account, bool) {
	if w.accounts == nil {
		return nil, false
	}
	return w.accounts.Peek(org)
}

// static reports whether the node spends its static share: it was told one, and had no answer since.
func (w *Wallet) static(now time.Time) bool {
	return w.contact.Nodes > 0 && now.Sub(w.answeredAt) >= staticAfter
}

// Static reports whether the node is out of contact and spends its static share.
func (w *Wallet) Static(now time.Time) bool { return w.static(now) }

// Ask returns the request to send now, and false if none is due. It is due when requests wait, when tokens run low, or when the
// owner has not heard of the node for some time. Answer or Failed must be called with it later.
func (w *Wallet) Ask(now time.Time) (Request, bool) {
	since := now.Sub(w.sentAt)
	if w.pending >= maxPending || since < MinWait {
		return Request{}, false
	}
	r := Request{Contacts: []Contact{w.contact}, Urgent: w.newOwner}
	interval := keepAlive
	if w.newOwner {
		interval = MinWait
	}
	for org, a := range w.active {
		need, spare, within := a.need(now)
		if need+spare > 0 {
			r.Demands = append(r.Demands, Demand{Organisation: org, Need: need, Spare: spare, Limit: a.limit})
		}
		interval = min(interval, within)
		r.Urgent = r.Urgent || within <= MinWait
		if a.idle(now) {
			delete(w.active, org)
		}
	}
	if since < interval {
		return Request{}, false
	}
	w.returnTokens(now, &r)
	for _, d := range r.Demands {
		if a, ok := w.peek(d.Organisation); ok {
			a.pending += d.Need
			a.pendingSpare += d.Spare
		}
	}
	w.sentAt, w.newOwner = now, false
	w.pending++
	return r, true
}

// returnTokens adds the tokens to a request that would expire before they are likely to be spent.
func (w *Wallet) returnTokens(now time.Time, r *Request) {
	index := make(map[string]int, len(r.Demands))
	for i, d := range r.Demands {
		index[d.Organisation] = i
	}
	r.Sequence, r.Term, r.Stamp = uint64(now.UnixNano()), w.contact.Term, w.contact.Stamp
	for org, a := range w.active {
		n, stamp := a.takeOld(now, r.Term)
		if n == 0 {
			continue
		}
		r.Stamp = min(r.Stamp, stamp)
		i, ok := index[org]
		if !ok {
			i = len(r.Demands)
			r.Demands = append(r.Demands, Demand{Organisation: org, Limit: a.limit})
		}
		r.Demands[i].Returned = n
	}
}

// takeOld removes the tokens of a term that expire within returnBefore and returns their number and the oldest stamp. While
// requests wait there are none.
func (a *account) takeOld(now time.Time, term uint64) (n uint32, stamp time.Duration) {
	stamp = math.MaxInt64
	for i := range a.lots {
		l := &a.lots[i]
		if l.term != term || !now.Before(l.expires) || l.expires.Sub(now) > returnBefore {
			continue
		}
		n += l.count
		stamp = min(stamp, l.stamp)
		l.count = 0
	}
	return n, stamp
}

// Answer stores the tokens of an answer to a request that was sent at the given time.
func (w *Wallet) Answer(now, sent time.Time, req Request, r Reply) {
	w.settle(req)
	if !sent.Before(w.contactSent) {
		w.newOwner = w.newOwner || r.Term != w.contact.Term
		// The term may be lower than before: coordinators that lost their disks start from the first one.
		w.contact.Term, w.contact.Stamp, w.contactSent = r.Term, r.Stamp, sent
		if r.Nodes > 0 {
			w.contact.Nodes = r.Nodes
		}
	}
	w.answeredAt = now
	asked := make(map[string]uint32, len(req.Demands))
	for _, d := range req.Demands {
		asked[d.Organisation] = d.Spare
	}
	for _, g := range r.Grants {
		a, ok := w.peek(g.Organisation)
		if !ok {
			continue
		}
		if g.Spare < asked[g.Organisation] {
			a.noSpareUntil = now.Add(spareRetry)
		}
		if expires := sent.Add(w.Lifetime); g.Granted+g.Spare > 0 && now.Before(expires) {
			a.add(lot{count: g.Granted + g.Spare, expires: expires, term: r.Term, stamp: r.Stamp})
		}
		if g.Wait > 0 {
			a.refuseUntil, a.retryAt = now.Add(MinWait), now.Add(g.Wait)
		} else {
			a.refuseUntil = time.Time{}
		}
	}
}

// Failed ends a request that got no answer.
func (w *Wallet) Failed(req Request) { w.settle(req) }

func (w *Wallet) settle(req Request) {
	w.pending--
	for _, d := range req.Demands {
		if a, ok := w.peek(d.Organisation); ok {
			a.pending -= min(a.pending, d.Need)
			a.pendingSpare -= min(a.pendingSpare, d.Spare)
		}
	}
}
