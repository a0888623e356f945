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
	// claimTimeout bounds a claim; it is far above one round trip between failure domains (3 ms).
	claimTimeout = 500 * time.Millisecond
	// callTimeout bounds one message to one member; it exceeds claimTimeout so that a late third vote still lands.
	callTimeout = 2 * time.Second
	// answerTimeout bounds the fetch of a whole answer from the gate that has it.
	answerTimeout = 2 * time.Second
)

// Grant allows one run; it ends with Complete or Release. A replayed grant allows none and carries the answer.
type Grant struct {
	ID       crrecord.ID
	Digest   crrecord.Digest
	Token    crrecord.Token
	Replayed bool
	Answer   crrecord.Answer
	// members are the ones that were asked for the claim.
	members []crrecord.Member
}

// Client claims, completes and releases requests for a gate. Set the exported fields, then Run.
type Client struct {
	// Self names this node.
	Self crrecord.Member
	// Groups is the configured group table.
	Groups Groups
	// Endpoint reaches the members.
	Endpoint *crwire.Endpoint
	// Local, when set, is this node's keeper, which is called without the network.
	Local *Keeper
	// Answers, when set, keeps whole answers of this gate.
	Answers *Answers

	once    sync.Once
	jobs    *crring.Ring[*job]
	pending atomic.Int64
	dropped atomic.Uint64
	calls   sync.WaitGroup
}

// newToken returns a random token, never one of the two reserved values.
func newToken() crrecord.Token {
	for {
		if t := crrecord.Token(rand.Uint64()); t != 0 && t != ^crrecord.Token(0) {
			return t
		}
	}
}

// group returns the membership that decides on an id.
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

// Claim asks the members of the id's group for leave to run it. A nil error without Replayed allows the run; every
// error means that this send was not run, and its code tells what is known of earlier sends.
func (c *Client) Claim(ctx context.Context, now crrecord.Instant, id crrecord.ID, digest crrecord.Digest) (Grant, error) {
	g, err := c.group(id)
	if err != nil {
		return Grant{}, err
	}
	grant := Grant{ID: id, Digest: digest, Token: newToken(), members: g.Members}
	claim := crrecord.Claim{ID: id, Digest: digest, Token: grant.Token, Epoch: g.Epoch}
	claimer := crrecord.NewClaimer(len(g.Members))
	votes := make(chan vote, len(g.Members))
	c.each(g.Members, func(i int, m crrecord.Member) { votes <- vote{i, c.claimAt(m, claim)} })
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

// retryAfter is short, since a claim fails for reasons that pass quickly.
func retryAfter(code crcode.Code) time.Duration {
	switch code {
	case crcode.ClaimFailed:
		return 200 * time.Millisecond
	case crcode.InProgress:
		return time.Second
	}
	return 0
}

// decide waits for votes until the decision is certain, the claim timed out or ctx ended.
func decide(ctx context.Context, claimer *crrecord.Claimer, votes <-chan vote, n int) crrecord.Decision {
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	for range n {
		select {
		case v := <-votes:
			claimer.Reply(v.member, v.reply)
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

// each calls fn for every member: this node at once, the others in parallel.
func (c *Client) each(members []crrecord.Member, fn func(i int, m crrecord.Member)) {
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

// call sends one message to a member; it outlives the request that caused it, so that a late vote still lands.
func call[Resp any, P interface {
	*Resp
	crwireMessage
}](c *Client, m crrecord.Member, method string, req crwireMessage, timeout time.Duration) (P, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s, err := reach(ctx, c.Endpoint, m)
	if err != nil {
		return nil, err
	}
	return crwire.Call[Resp, P](ctx, s, method, req)
}

// reach returns a session to a member; another node or incarnation at its address is refused, since a message names
// only the incarnation.
func reach(ctx context.Context, e *crwire.Endpoint, m crrecord.Member) (*crwire.Session, error) {
	s, err := e.Session(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	if p := s.Peer(); p.Name != m.Node || p.Incarnation != m.Incarnation {
		return nil, crcode.New(crcode.StaleIncarnation, "%s is %s-%s, not %s-%s", m.Address, p.Name, p.Incarnation, m.Node, m.Incarnation)
	}
	return s, nil
}

func (c *Client) claimAt(m crrecord.Member, claim crrecord.Claim) crrecord.Reply {
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

// fetchAnswer asks the gate that ran the request for its whole answer.
func (c *Client) fetchAnswer(ctx context.Context, now crrecord.Instant, id crrecord.ID, digest crrecord.Digest, runner crrecord.Member) (crrecord.Answer, error) {
	lost := crcode.New(crcode.AnswerNotKept, "the answer was at %s", runner.Node)
	if c.Answers != nil && runner.Same(c.Self) {
		if a, ok := c.Answers.Get(now, id, digest); ok {
			return a, nil
		}
		return crrecord.Answer{}, lost
	}
	if runner.Address == "" {
		return crrecord.Answer{}, lost
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	s, err := reach(ctx, c.Endpoint, runner)
	if err != nil {
		return crrecord.Answer{}, lost
	}
	resp, err := crwire.Call[crwire.RecordAnswer](ctx, s, methodAnswer, &crwire.AnswerRequest{
		TargetIncarnation: runner.Incarnation, Id: id.String(), Digest: digest[:],
	})
	if err != nil {
		return crrecord.Answer{}, lost
	}
	return answerOf(resp), nil
}

type taken struct {
	member int
	status crrecord.Status
	held   uint64
}

// CountArrival counts one arrival of an id whose home cannot count it. Slots is floor(R/2) of its kind, want is 1 for
// the arrival itself plus the retries that it would like to have; the result is at least 1 when the error is nil.
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
	replies := make(chan taken, len(g.Members))
	c.each(g.Members, func(i int, m crrecord.Member) {
		s, held := c.takeAt(m, t)
		replies <- taken{i, s, held}
	})
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	for enough := false; !enough; {
		select {
		case r := <-replies:
			taker.Reply(r.member, r.status, r.held)
			_, enough = taker.Won()
		case <-timer.C:
			enough = true
		case <-ctx.Done():
			enough = true
		}
	}
	n, code := taker.Finish()
	if code != crcode.OK {
		return 0, &crcode.Error{Code: code, RetryAfter: retryAfter(code)}
	}
	return n, nil
}

func (c *Client) takeAt(m crrecord.Member, t crrecord.Take) (crrecord.Status, uint64) {
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
