package crquota

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Parameters of the owner.
const (
	// scanInterval is the interval at which the owner looks for silent nodes.
	scanInterval = 100 * time.Millisecond
	// settleAfter is the time after which the owner tells the number of nodes: all have sent several messages by then. Before,
	// nodes would take too large shares for theirs.
	settleAfter = time.Second
	// maxScans bounds the scans after a pause; after it all nodes are silent.
	maxScans = 12
	// askWindow is the time over which demands compete for a balance; each coordinator asks once in it.
	askWindow = 20 * time.Millisecond
	// sparePart is the share of the burst that a balance keeps when it gives spare tokens. Nodes return them if they are not
	// spent, and take none of an organisation that is idle.
	sparePart = 0.5
	// returnWithin is the time after their grant in which tokens can be returned. Later ones would count for another window.
	returnWithin = 500 * time.Millisecond
)

// Owner holds the balances of all organisations during one term of the leader of the log. Create it with NewOwner when the
// term begins: it starts with empty balances, since it does not know what its predecessor granted.
type Owner struct {
	term  uint64
	start time.Time

	nodes map[string]*ownerNode
	// inherited is the largest number of nodes that the previous owner told; those that have not been in contact yet may
	// spend their static shares.
	inherited uint32
	// withheld is the sum of the static shares of silent nodes, as a fraction of each rate.
	withheld  float64
	scannedAt time.Time
	// granting is the time for which the owner was free to grant a whole rate, in seconds: the integral of 1 - withheld up
	// to the time at. Each balance grows by its rate times the growth of granting.
	granting float64
	at       time.Time
	// floor is the value of granting from which the balances of organisations grow that the owner does not hold.
	floor     float64
	balances  *simplelru.LRU[string, *balance]
	sequences Sequences
}

// ownerNode is a node as the owner knows it. contact is the time of the last answer that is known to have reached it, and
// nodes the number of nodes by which it divides a rate.
type ownerNode struct {
	contact, heard time.Time
	nodes          uint32
}

// share returns the part of each rate that the node may spend out of contact: none before it was told the number of nodes.
func (n *ownerNode) share() float64 {
	if n.nodes == 0 {
		return 0
	}
	return 1 / float64(n.nodes)
}

// balance is the token bucket of an organisation.
type balance struct {
	limit   Limit
	level   float64
	mark    float64
	asked   float64
	askedAt time.Time
	// remainder is the fraction of a token that the last grants were rounded down by.
	remainder float64
}

// NewOwner returns the owner of a term that began at now.
func NewOwner(now time.Time, term uint64) *Owner {
	o := &Owner{term: term, start: now, at: now, withheld: 1, nodes: map[string]*ownerNode{}}
	// The size is a positive constant, which is the only condition.
	o.balances, _ = simplelru.NewLRU[string, *balance](maxBalances, nil)
	return o
}

// Term returns the term of the owner.
func (o *Owner) Term() uint64 { return o.term }

// Counts returns the number of known nodes and of organisations with a balance, and the withheld fraction of each rate.
func (o *Owner) Counts() (nodes, organisations int, withheld float64) {
	return len(o.nodes), o.balances.Len(), o.withheld
}

// Acquire grants tokens to a coordinator. The caller must discard the reply if it no longer holds the lease of its term afterwards.
func (o *Owner) Acquire(now time.Time, coordinator string, req Request) Reply {
	if now.Before(o.at) {
		now = o.at
	}
	o.advance(now)
	known, inherited := len(o.nodes), o.inherited
	for _, c := range req.Contacts {
		o.observe(now, c)
	}
	if o.scannedAt.IsZero() || len(o.nodes) != known || o.inherited != inherited {
		o.scan(now)
	}
	r := Reply{Term: o.term, Stamp: now.Sub(o.start), Nodes: o.nodeCount(now), Grants: make([]Grant, 0, len(req.Demands))}
	for _, c := range req.Contacts {
		if n := o.nodes[c.Node]; n != nil && r.Nodes > 0 && (n.nodes == 0 || r.Nodes < n.nodes) {
			n.nodes = r.Nodes
		}
	}
	granted := o.start.Add(req.Stamp)
	returnable := o.sequences.Fresh(coordinator, req.Sequence) && req.Term == o.term && !granted.After(now) && now.Sub(granted) <= returnWithin
	for _, d := range req.Demands {
		if !returnable {
			d.Returned = 0
		}
		if d.Limit.valid() {
			r.Grants = append(r.Grants, o.grant(now, d))
		}
	}
	return r
}

// nodeCount returns the number of nodes to tell, 0 before it is known.
func (o *Owner) nodeCount(now time.Time) uint32 {
	if now.Sub(o.start) < settleAfter {
		return 0
	}
	return max(uint32(len(o.nodes)), o.inherited, 1)
}

// observe records the contact of a node. Only an answer of this owner that has reached the node shows that the node does not
// spend its static share; a node that was told no number of nodes has none.
func (o *Owner) observe(now time.Time, c Contact) {
	n := o.nodes[c.Node]
	if n == nil {
		if len(o.nodes) >= maxNodes {
			return
		}
		n = &ownerNode{nodes: c.Nodes}
		if c.Nodes == 0 {
			n.contact = now
		}
		o.nodes[c.Node] = n
	}
	n.heard = now
	if c.Term != o.term {
		o.inherited = min(max(o.inherited, c.Nodes), maxNodes)
		return
	}
	if t := o.start.Add(c.Stamp); !t.After(now) && !t.Before(n.contact) {
		n.contact, n.nodes = t, c.Nodes
	}
}

// advance lets the balances grow up to now. After a pause it looks for nodes that became silent in between.
func (o *Owner) advance(now time.Time) {
	for range maxScans {
		next := o.at.Add(scanInterval)
		if !next.Before(now) {
			break
		}
		o.accrue(next)
		o.scan(next)
	}
	o.accrue(now)
	if now.Sub(o.scannedAt) >= scanInterval && !o.scannedAt.IsZero() {
		o.scan(now)
	}
}

func (o *Owner) accrue(now time.Time) {
	o.granting += now.Sub(o.at).Seconds() * max(0, 1-o.withheld)
	o.at = now
}

// scan determines which nodes are silent, and forgets those that have been for long.
func (o *Owner) scan(now time.Time) {
	if o.scannedAt.IsZero() && len(o.nodes) == 0 {
		// Nothing is known before the first request.
		return
	}
	o.scannedAt, o.withheld = now, 0
	for name, n := range o.nodes {
		switch {
		case now.Sub(n.heard) > forgetAfter:
			delete(o.nodes, name)
		case now.Sub(n.contact) > silentAfter:
			o.withheld += n.share()
		}
	}
	if now.Sub(o.start) > forgetAfter {
		o.inherited = 0
	}
	if missing := int(o.inherited) - len(o.nodes); missing > 0 {
		o.withheld += float64(missing) / float64(o.inherited)
	}
}

// grant takes tokens from a balance. While the balance is short, demands get a part in proportion to their need, so that the
// order of the messages of the coordinators does not decide.
func (o *Owner) grant(now time.Time, d Demand) Grant {
	b := o.balance(d)
	rate, burst, capacity := b.limit.bucket()
	b.refill(o.granting)
	b.level = min(capacity, b.level+float64(min(d.Returned, maxNeed)))
	need := float64(min(d.Need, maxNeed))
	b.asked = b.asked*math.Exp(-now.Sub(b.askedAt).Seconds()/askWindow.Seconds()) + need
	b.askedAt = now
	granted := need
	if b.level < b.asked {
		// More than half of the capacity is never kept back, since a full balance loses tokens.
		part := max(b.level*need/b.asked+b.remainder, b.level-capacity/2)
		granted = min(math.Floor(part), need)
		b.remainder = min(max(0, part-granted), 1)
	}
	granted = min(granted, math.Floor(b.level))
	b.level -= granted
	spare := min(math.Floor(max(0, b.level-sparePart*burst)), float64(min(d.Spare, maxNeed)))
	b.level -= spare
	g := Grant{Organisation: d.Organisation, Granted: uint32(granted), Spare: uint32(spare)}
	if granted < need {
		g.Wait = waitTime((b.asked - granted - b.level) / rate)
	}
	return g
}

func waitTime(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, MinWait.Seconds()), maxWait.Seconds()) * float64(time.Second))
}

// balance returns the balance of an organisation under the newest limit.
func (o *Owner) balance(d Demand) *balance {
	b, ok := o.balances.Get(d.Organisation)
	if !ok {
		b = &balance{limit: d.Limit, mark: o.floor}
		if o.balances.Len() >= maxBalances {
			o.forgetOldest()
		}
		o.balances.Add(d.Organisation, b)
	}
	if d.Limit.Version > b.limit.Version {
		b.refill(o.granting)
		b.limit = d.Limit
		b.refill(o.granting)
	}
	return b
}

// forgetOldest evicts the balance that was used least recently. Unless it was full, the balances of organisations that are
// not held must grow from now on only, since the evicted one may return as one of them.
func (o *Owner) forgetOldest() {
	_, b, ok := o.balances.RemoveOldest()
	if !ok {
		return
	}
	b.refill(o.granting)
	if _, _, capacity := b.limit.bucket(); b.level < capacity {
		o.floor = o.granting
	}
}

// refill lets the balance grow until the given value of granting.
func (b *balance) refill(granting float64) {
	rate, _, capacity := b.limit.bucket()
	b.level = min(capacity, b.level+(granting-b.mark)*rate)
	b.mark = granting
}
