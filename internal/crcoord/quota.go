package crcoord

import (
	"context"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquota"
)

// MethodQuota is the RPC by which a node asks its coordinator for tokens, and a coordinator the leader for all of its nodes.
const MethodQuota = "quota.acquire"

// Times and limits of the requests for tokens.
const (
	// quotaMergeInterval is the shortest time between two messages of a coordinator to the leader, so that the leader gets at
	// most 50 a second from each. calmMergeInterval applies to requests that are not urgent: nodes then hold tokens for
	// another 150 ms.
	quotaMergeInterval = 20 * time.Millisecond
	calmMergeInterval  = 60 * time.Millisecond
	// quotaTimeout bounds a message to the leader. Later the tokens would have expired.
	quotaTimeout = 400 * time.Millisecond
	// maxQuotaCalls bounds the messages without an answer: those sent within quotaTimeout, with some room.
	maxQuotaCalls = 2 * int(quotaTimeout/quotaMergeInterval)
	// maxQuotaWaiting bounds the requests of nodes that wait for the next message; one coordinator serves 1,430 nodes.
	maxQuotaWaiting = 4000
)

// quotas holds the owner of the balances, while this coordinator leads, and the requests of nodes that wait to be merged.
type quotas struct {
	mu      sync.Mutex
	owner   *crquota.Owner
	waiting []*quotaTicket
	// sentAt is the time of the last message to the leader; timer starts the next one at the time dueAt.
	sentAt, dueAt time.Time
	timer         *time.Timer
	calls         int
	// sequences are those of the requests of nodes.
	sequences crquota.Sequences
}

// counts returns the nodes and organisations that the owner knows, and the withheld fraction of each rate; 0 if this coordinator
// does not lead.
func (q *quotas) counts() (nodes, organisations int, withheld float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.owner == nil {
		return 0, 0, 0
	}
	return q.owner.Counts()
}

// quotaTicket is a request of a node; done receives its reply or nil.
type quotaTicket struct {
	request crquota.Request
	done    chan *crquota.Reply
}

func (c *Coordinator) handleQuota(ctx context.Context, from *crwire.Session, m *crwire.QuotaAcquire) (*crwire.QuotaGrants, error) {
	switch from.Peer().Role {
	case crwire.RoleControl:
		return c.grantQuota(from.Peer().Name, m)
	case crwire.RoleNode:
		return c.mergeQuota(ctx, from.Peer().Name, m)
	}
	return nil, crcode.New(crcode.Forbidden, "%s is neither a node nor a coordinator", from.Peer().Name)
}

// grantQuota grants tokens as the leader. The lease is checked again after the decision: if it has ended meanwhile, another
// leader may grant already, and the reply is discarded with its tokens.
func (c *Coordinator) grantQuota(coordinator string, m *crwire.QuotaAcquire) (*crwire.QuotaGrants, error) {
	req := DecodeQuotaAcquire(m)
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	st := c.replica.Status()
	if !st.Leads {
		c.quotas.owner = nil
		return nil, crcode.New(crcode.NoLeader, "this coordinator does not lead")
	}
	now := crclock.Now()
	if c.quotas.owner == nil || c.quotas.owner.Term() != st.Term {
		c.quotas.owner = crquota.NewOwner(now, st.Term)
	}
	r := c.quotas.owner.Acquire(now, coordinator, req)
	if after := c.replica.Status(); !after.Leads || after.Term != st.Term {
		c.quotas.owner = nil
		return nil, crcode.New(crcode.NoLeader, "the lease has ended")
	}
	return encodeQuotaGrants(r), nil
}

// mergeQuota sends the request of a node to the leader, together with those of other nodes that arrive within
// quotaMergeInterval.
func (c *Coordinator) mergeQuota(ctx context.Context, node string, m *crwire.QuotaAcquire) (*crwire.QuotaGrants, error) {
	t := &quotaTicket{request: DecodeQuotaAcquire(m), done: make(chan *crquota.Reply, 1)}
	t.request.Contacts = t.request.Contacts[:min(1, len(t.request.Contacts))]
	for i := range t.request.Contacts {
		t.request.Contacts[i].Node = node
	}
	if !c.queueQuota(ctx, node, t) {
		return nil, crcode.New(crcode.Overflow, "too many requests for tokens")
	}
	select {
	case r := <-t.done:
		if r == nil {
			return nil, crcode.New(crcode.NoLeader, "the leader gave no answer")
		}
		return encodeQuotaGrants(*r), nil
	case <-ctx.Done():
		return nil, crcode.New(crcode.Cancelled, "%v", ctx.Err())
	}
}

func (c *Coordinator) queueQuota(ctx context.Context, node string, t *quotaTicket) bool {
	q := &c.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxQuotaWaiting {
		return false
	}
	if !q.sequences.Fresh(node, t.request.Sequence) {
		t.request.DropReturned()
	}
	q.waiting = append(q.waiting, t)
	dueAt := q.sentAt.Add(calmMergeInterval)
	if t.request.Urgent {
		dueAt = q.sentAt.Add(quotaMergeInterval)
	}
	if len(q.waiting) > 1 && !dueAt.Before(q.dueAt) {
		return true
	}
	q.dueAt = dueAt
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timer = time.AfterFunc(max(0, dueAt.Sub(crclock.Now())), func() { c.sendQuota(context.WithoutCancel(ctx)) })
	return true
}

// sendQuota sends the waiting requests to the leader and hands out the reply.
func (c *Coordinator) sendQuota(ctx context.Context) {
	q := &c.quotas
	q.mu.Lock()
	tickets := q.waiting
	if len(tickets) == 0 {
		q.mu.Unlock()
		return
	}
	q.waiting, q.sentAt = nil, crclock.Now()
	sequence, room := uint64(q.sentAt.UnixNano()), q.calls < maxQuotaCalls
	q.calls++
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.calls--
	}()
	requests := make([]crquota.Request, len(tickets))
	for i, t := range tickets {
		requests[i] = t.request
	}
	var replies []crquota.Reply
	if room {
		replies = c.callQuotaOwner(ctx, requests, sequence)
	}
	for i, t := range tickets {
		if replies == nil {
			t.done <- nil
			continue
		}
		t.done <- &replies[i]
	}
}

// callQuotaOwner returns the parts of the leader's reply, or nil if there is none. The tokens of a lost reply stay spent.
func (c *Coordinator) callQuotaOwner(ctx context.Context, requests []crquota.Request, sequence uint64) []crquota.Reply {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	merged := crquota.Merge(requests)
	merged.Sequence = sequence
	m := EncodeQuotaAcquire(merged)
	c.Counters.Add("quota_messages", 1)
	grants, err := callLeaderOnce(ctx, c, func(_ context.Context, m *crwire.QuotaAcquire) (*crwire.QuotaGrants, error) {
		return c.grantQuota(c.Settings.Name, m)
	}, MethodQuota, m, m)
	if err != nil {
		c.Counters.Add("quota_unanswered", 1)
		return nil
	}
	return crquota.Split(requests, DecodeQuotaGrants(grants), int(sequence%1_000_003))
}

// EncodeQuotaAcquire returns the message of a request for tokens.
func EncodeQuotaAcquire(r crquota.Request) *crwire.QuotaAcquire {
	m := &crwire.QuotaAcquire{
		Contacts: make([]*crwire.QuotaContact, len(r.Contacts)), Demands: make([]*crwire.QuotaDemand, len(r.Demands)),
		Urgent: r.Urgent, Sequence: r.Sequence, Term: r.Term, StampMs: uint64(r.Stamp.Milliseconds()),
	}
	for i, c := range r.Contacts {
		m.Contacts[i] = &crwire.QuotaContact{Node: c.Node, Term: c.Term, StampMs: uint64(c.Stamp.Milliseconds()), Nodes: c.Nodes}
	}
	for i, d := range r.Demands {
		m.Demands[i] = &crwire.QuotaDemand{
			Organisation: d.Organisation, Need: d.Need, Spare: d.Spare, Returned: d.Returned, Rate: float32(d.Limit.Rate), Burst: float32(d.Limit.Burst), Version: d.Limit.Version,
		}
	}
	return m
}

// DecodeQuotaAcquire returns the request that a message holds.
func DecodeQuotaAcquire(m *crwire.QuotaAcquire) crquota.Request {
	r := crquota.Request{
		Contacts: make([]crquota.Contact, len(m.GetContacts())), Demands: make([]crquota.Demand, len(m.GetDemands())),
		Urgent: m.GetUrgent(), Sequence: m.GetSequence(), Term: m.GetTerm(), Stamp: milliseconds(m.GetStampMs()),
	}
	for i, c := range m.GetContacts() {
		r.Contacts[i] = crquota.Contact{Node: c.GetNode(), Term: c.GetTerm(), Stamp: milliseconds(c.GetStampMs()), Nodes: c.GetNodes()}
	}
	for i, d := range m.GetDemands() {
		r.Demands[i] = crquota.Demand{Organisation: d.GetOrganisation(), Need: d.GetNeed(), Spare: d.GetSpare(), Returned: d.GetReturned(), Limit: crquota.Limit{
			Rate: float64(d.GetRate()), Burst: float64(d.GetBurst()), Version: d.GetVersion(),
		}}
	}
	return r
}

func encodeQuotaGrants(r crquota.Reply) *crwire.QuotaGrants {
	m := &crwire.QuotaGrants{
		Term: r.Term, StampMs: uint64(r.Stamp.Milliseconds()), Nodes: r.Nodes, Grants: make([]*crwire.QuotaGrant, len(r.Grants)),
	}
	for i, g := range r.Grants {
		m.Grants[i] = &crwire.QuotaGrant{
			Organisation: g.Organisation, Granted: g.Granted, WaitMs: uint32(g.Wait.Milliseconds()), Spare: g.Spare,
		}
	}
	return m
}

// DecodeQuotaGrants returns the reply that a message holds.
func DecodeQuotaGrants(m *crwire.QuotaGrants) crquota.Reply {
	r := crquota.Reply{Term: m.GetTerm(), Stamp: milliseconds(m.GetStampMs()), Nodes: m.GetNodes(), Grants: make([]crquota.Grant, len(m.GetGrants()))}
	for i, g := range m.GetGrants() {
		r.Grants[i] = crquota.Grant{
			Organisation: g.GetOrganisation(), Granted: g.GetGranted(), Wait: milliseconds(uint64(g.GetWaitMs())), Spare: g.GetSpare(),
		}
	}
	return r
}

// maxStampMS bounds the stamps that are accepted, so that a conversion to nanoseconds does not overflow.
const maxStampMS = uint64(100 * 365 * 24 * time.Hour / time.Millisecond)

func milliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, maxStampMS)) * time.Millisecond
}
