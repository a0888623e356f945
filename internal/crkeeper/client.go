package crkeeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

const (
	// claimTimeout limits a claim; it is far above one round trip between failure domains (3 ms).
	claimTimeout = 500 * time.Millisecond
	// callTimeout limits one call to one member; it exceeds claimTimeout so that a late third member still records the
	// claim.
	callTimeout = 2 * time.Second
	// answerTimeout limits the fetch of a whole answer from the gate that stores it.
	answerTimeout = 2 * time.Second
)

// Grant is the result of a successful claim. It permits one run, which the gate must end with Complete or Release. A grant
// with Replayed set permits no run and carries the answer of the earlier run.
type Grant struct {
	ID       crrecord.ID
	Digest   crrecord.Digest
	Token    crrecord.Token
	Replayed bool
	Answer   crrecord.Answer
	// members are the keepers to which the claim was sent.
	members []crrecord.Member
}

// Client claims, completes and releases requests at the keepers for a gate. Set the exported fields, then call Run.
type Client struct {
	// Self names this node.
	Self crrecord.Member
	// Groups is the configured table of keeper groups.
	Groups Groups
	// Endpoint connects to the members.
	Endpoint *crwire.Endpoint
	// Local, when set, is this node's keeper, which is called directly.
	Local *Keeper
	// Answers, when set, stores the whole answers of this gate.
	Answers *AnswerStore

	once    sync.Once
	jobs    *crring.Ring[*job]
	pending atomic.Int64
	dropped atomic.Uint64
	calls   sync.WaitGroup
}

// newToken returns a random token other than the two reserved values.
func newToken() crrecord.Token {
	for {
		if t := crrecord.Token(rand.Uint64()); t != 0 && t != ^crrecord.Token(0) {
			return t
		}
	}
}

// group returns the keeper group that is responsible for an id.
func (c *Client) group(id crrecord.ID) (crrecord.Group, error) {
	g, ok := c.Groups.Group(id.Group())
	if !ok || len(g.Members) == 0 {
		return g, &crcode.Error{
			Code: crcode.NotConfigured, Detail: fmt.Sprintf("keeper group %d has no members yet", id.Group()), RetryAfter: time.Second,
		}
	}
	return g, nil
}

type vote struct {
	member int
	reply  crrecord.Reply
}

// Claim requests permission from the members of the id's group to run the request. A nil error without Replayed permits
// the run. Every error means that this attempt was not run; its code says what is known about earlier attempts.
func (c *Client) Claim(ctx context.Context, now crrecord.Instant, id crrecord.ID, digest crrecord.Digest) (Grant, error) {
	g, err := c.group(id)
	if err != nil {
		return Grant{}, err
	}
	grant := Grant{ID: id, Digest: digest, Token: newToken(), members: g.Members}
	claim := crrecord.Claim{ID: id, Digest: digest, Token: grant.Token, Epoch: g.Epoch}
	claimer := crrecord.NewClaimer(len(g.Members))
	votes := make(chan vote, len(g.Members))
	c.forEachMember(g.Members, func(i int, m crrecord.Member) { votes <- vote{i, c.claimAtMember(m, claim)} })
	d := decide(ctx, claimer, votes, len(g.Members))
	if d.Code == crcode.OK {
		return grant, nil
	}
	c.Release(grant)
	if d.Code != crcode.Replayed {
		return Grant{}, &crcode.Error{Code: d.Code, Detail: d.Detail, RetryAfter: retryAfter(d.Code)}
	}
	grant.Replayed, grant.Answer = true, d.Answer
	if !d.Answer.Omitted {
		return grant, nil
	}
	grant.Answer, err = c.fetchAnswer(ctx, now, id, digest, d.Answer.Runner)
	return grant, err
}

// retryAfter returns the retry delay to suggest for a failed claim; it is short because the causes pass quickly.
func retryAfter(code crcode.Code) time.Duration {
	switch code {
	case crcode.ClaimFailed:
		return 200 * time.Millisecond
	case crcode.InProgress:
		return time.Second
	}
	return 0
}

// decide collects votes until the decision is certain, the claim times out or ctx ends.
func decide(ctx context.Context, claimer *crrecord.Claimer, votes <-chan vote, members int) crrecord.Decision {
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	for range members {
		select {
		case v := <-votes:
			claimer.AddReply(v.member, v.reply)
		case <-timer.C:
			return claimer.Finish()
		case <-ctx.Done():
			return claimer.Finish()
		}
		if d, ok := claimer.Decision(); ok {
			return d
		}
	}
	return claimer.Finish()
}

// forEachMember calls fn for every member: synchronously for this node, in goroutines for the others.
func (c *Client) forEachMember(members []crrecord.Member, fn func(i int, m crrecord.Member)) {
	local := -1
	for i, m := range members {
		if c.Local != nil && m.Same(c.Self) {
			local = i
			continue
		}
		c.calls.Add(1)
		go func() {
			defer c.calls.Done()
			fn(i, m)
		}()
	}
	if local >= 0 {
		fn(local, members[local])
	}
}

func (c *Client) isLocal(m crrecord.Member) bool { return c.Local != nil && m.Same(c.Self) }

// call sends one message to a member. It doesn't use the context of the client's request, so that a slow member still
// receives the message after that request has ended.
func call[Resp any, P interface {
	*Resp
	protoMessage
}](c *Client, m crrecord.Member, method string, req protoMessage, timeout time.Duration) (P, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s, err := memberSession(ctx, c.Endpoint, m)
	if err != nil {
		return nil, err
	}
	return crwire.Call[Resp, P](ctx, s, method, req)
}

// memberSession returns a session to a member. It fails if another node or incarnation answers at the address, since a
// message names only the incarnation.
func memberSession(ctx context.Context, e *crwire.Endpoint, m crrecord.Member) (*crwire.Session, error) {
	s, err := e.Session(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	if p := s.Peer(); p.Name != m.Node || p.Incarnation != m.Incarnation {
		return nil, crcode.New(crcode.StaleIncarnation, "%s is %s-%s, not %s-%s", m.Address, p.Name, p.Incarnation, m.Node, m.Incarnation)
	}
	return s, nil
}

func (c *Client) claimAtMember(m crrecord.Member, claim crrecord.Claim) crrecord.Reply {
	if c.isLocal(m) {
		return c.Local.claim(claim)
	}
	resp, err := call[crwire.RecordReply](c, m, methodClaim, &crwire.RecordClaim{
		TargetIncarnation: m.Incarnation, Id: claim.ID.String(), Digest: claim.Digest[:],
		Token: uint64(claim.Token), GroupEpoch: claim.Epoch,
	}, callTimeout)
	if err != nil {
		return crrecord.Reply{Status: crrecord.Unreachable}
	}
	return crrecord.Reply{
		Status: crrecord.Status(resp.GetStatus()), Holder: crrecord.Token(resp.GetHolder()),
		Epoch: resp.GetGroupEpoch(), Answer: answerOf(resp.GetAnswer()),
	}
}

// fetchAnswer fetches the whole answer from the gate that ran the request.
func (c *Client) fetchAnswer(ctx context.Context, now crrecord.Instant, id crrecord.ID, digest crrecord.Digest, runner crrecord.Member) (crrecord.Answer, error) {
	errNotKept := crcode.New(crcode.AnswerNotKept, "the answer was at %s", runner.Node)
	if c.Answers != nil && runner.Same(c.Self) {
		if a, ok := c.Answers.Get(now, id, digest); ok {
			return a, nil
		}
		return crrecord.Answer{}, errNotKept
	}
	if runner.Address == "" {
		return crrecord.Answer{}, errNotKept
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	s, err := memberSession(ctx, c.Endpoint, runner)
	if err != nil {
		return crrecord.Answer{}, errNotKept
	}
	resp, err := crwire.Call[crwire.RecordAnswer](ctx, s, methodAnswer, &crwire.AnswerRequest{
		TargetIncarnation: runner.Incarnation, Id: id.String(), Digest: digest[:],
	})
	if err != nil {
		return crrecord.Answer{}, errNotKept
	}
	return answerOf(resp), nil
}

type takeReply struct {
	member int
	status crrecord.Status
	held   uint64
}

// CountArrival counts one arrival of a request id at the keepers when the id's home node cannot count it. slots is
// floor(R/2) of the request's kind; want is 1 for the arrival itself plus the number of retries requested. It returns the
// number of slots obtained, at least 1 if the error is nil.
func (c *Client) CountArrival(ctx context.Context, id crrecord.ID, slots, want int) (int, error) {
	if slots < 1 || want < 1 {
		return 0, crcode.New(crcode.RetriesSpent, "")
	}
	g, err := c.group(id)
	if err != nil {
		return 0, err
	}
	slots = min(slots, crrecord.MaxSlots)
	t := crrecord.Take{ID: id, Token: newToken(), Epoch: g.Epoch, Slots: slots, Want: min(want, slots)}
	taker := crrecord.NewTaker(len(g.Members), t.Want)
	replies := make(chan takeReply, len(g.Members))
	c.forEachMember(g.Members, func(i int, m crrecord.Member) {
		s, held := c.takeAtMember(m, t)
		replies <- takeReply{i, s, held}
	})
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	for done := false; !done; {
		select {
		case r := <-replies:
			taker.AddReply(r.member, r.status, r.held)
			_, done = taker.Won()
		case <-timer.C:
			done = true
		case <-ctx.Done():
			done = true
		}
	}
	n, code := taker.Finish()
	if code != crcode.OK {
		return 0, &crcode.Error{Code: code, RetryAfter: retryAfter(code)}
	}
	return n, nil
}

func (c *Client) takeAtMember(m crrecord.Member, t crrecord.Take) (crrecord.Status, uint64) {
	if c.isLocal(m) {
		return c.Local.take(t)
	}
	resp, err := call[crwire.RecordTaken](c, m, methodTake, &crwire.RecordTake{
		TargetIncarnation: m.Incarnation, Id: t.ID.String(), Token: uint64(t.Token), GroupEpoch: t.Epoch,
		Slots: uint32(t.Slots), Want: uint32(t.Want),
	}, callTimeout)
	if err != nil {
		return crrecord.Unreachable, 0
	}
	return crrecord.Status(resp.GetStatus()), resp.GetHeld()
}
