package crkeeper

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

const (
	// maxJobs limits the completions and releases that wait for their first delivery attempt.
	maxJobs = 4096
	// maxDeliveries limits the concurrent deliveries. An unresponsive member delays a delivery by at most one second in
	// each attempt.
	maxDeliveries = 512
	// deliveryTimeout limits one call of a delivery.
	deliveryTimeout = time.Second
	// firstRetry and maxRetry are the first and the longest delay between attempts.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
	// maxAttempts ends a delivery after about 30 s, well above the 10 s after which the control leader replaces keepers.
	maxAttempts = 18
)

type protoMessage = proto.Message

// job is a completion or release to be delivered to the members.
type job struct {
	grant    Grant
	complete bool
	answer   crrecord.Answer
	attempts int
	stored   map[nodeKey]bool
}

type nodeKey struct{ node, incarnation string }

func nodeKeyOf(m crrecord.Member) nodeKey { return nodeKey{m.Node, m.Incarnation} }

func (c *Client) jobQueue() *crring.Ring[*job] {
	c.once.Do(func() { c.jobs = crring.New[*job](maxJobs) })
	return c.jobs
}

// Complete stores the answer of a granted run at the keepers in the background; this gate stores the whole answer. It
// returns false when the queue is full; repeated requests then get the result that the request is in progress.
func (c *Client) Complete(now crrecord.Instant, g Grant, answer crrecord.Answer) bool {
	answer.Runner = c.Self
	if c.Answers != nil {
		c.Answers.Store(now, g.ID, g.Digest, answer)
	}
	if len(answer.Body) > crrecord.MaxAnswerBytes {
		answer.Body, answer.Omitted = nil, true
	}
	return c.enqueue(&job{grant: g, complete: true, answer: answer})
}

// Release gives back a grant whose run never started; the grant must not be used afterwards. It returns false when the
// queue is full; the id then stays in progress until its record expires.
func (c *Client) Release(g Grant) bool { return c.enqueue(&job{grant: g}) }

func (c *Client) enqueue(j *job) bool {
	j.stored = make(map[nodeKey]bool)
	c.pending.Add(1)
	if !c.jobQueue().Push(j) {
		c.pending.Add(-1)
		return false
	}
	return true
}

// Pending returns the number of undelivered completions and releases; a stopping node waits until it is zero.
func (c *Client) Pending() int64 { return c.pending.Load() }

// Dropped returns the number of completions and releases that were abandoned or found the queue full.
func (c *Client) Dropped() uint64 { return c.dropped.Load() + c.jobQueue().Overflow() }

// Run delivers completions and releases until ctx ends, then waits for the calls in progress.
func (c *Client) Run(ctx context.Context) {
	permits := make(chan struct{}, maxDeliveries)
	var wg sync.WaitGroup
	for {
		j, err := c.jobQueue().Pop(ctx)
		if err != nil {
			break
		}
		select {
		case permits <- struct{}{}:
		case <-ctx.Done():
			c.giveUp()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.deliver(ctx, j)
			<-permits
		}()
	}
	wg.Wait()
	c.calls.Wait()
}

func (c *Client) giveUp() {
	c.dropped.Add(1)
	c.pending.Add(-1)
}

// deliver repeats a message, with back-off, until a majority of the current members has accepted it.
func (c *Client) deliver(ctx context.Context, j *job) {
	delay := firstRetry
	for {
		if c.attempt(j) {
			c.pending.Add(-1)
			return
		}
		j.attempts++
		if j.attempts >= maxAttempts {
			c.giveUp()
			return
		}
		if crpause.For(ctx, delay) != nil {
			c.giveUp()
			return
		}
		delay = min(2*delay, maxRetry)
	}
}

// attempt sends the message to every member of the claim's epoch and of the current one that hasn't accepted it. It reports
// whether a majority of the current members has accepted it.
func (c *Client) attempt(j *job) bool {
	current := j.grant.members
	if g, ok := c.Groups.Group(j.grant.ID.Group()); ok {
		current = g.Members
	}
	targets := make(map[nodeKey]crrecord.Member)
	for _, list := range [][]crrecord.Member{j.grant.members, current} {
		for _, m := range list {
			if !j.stored[nodeKeyOf(m)] {
				targets[nodeKeyOf(m)] = m
			}
		}
	}
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for key, m := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if c.send(m, j) {
				mu.Lock()
				j.stored[key] = true
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	accepted := 0
	for _, m := range current {
		if j.stored[nodeKeyOf(m)] {
			accepted++
		}
	}
	return accepted >= crrecord.Majority(len(current))
}

// send sends the message to one member and reports whether the result is final, so that it isn't sent there again.
func (c *Client) send(m crrecord.Member, j *job) bool {
	if c.isLocal(m) {
		if !j.complete {
			return isFinal(c.Local.release(j.grant.ID, j.grant.Token))
		}
		return isFinal(c.Local.complete(crrecord.Completion{ID: j.grant.ID, Digest: j.grant.Digest, Token: j.grant.Token, Answer: j.answer}))
	}
	if !j.complete {
		resp, err := call[crwire.RecordReply](c, m, methodRelease, &crwire.RecordRelease{
			TargetIncarnation: m.Incarnation, Id: j.grant.ID.String(), Token: uint64(j.grant.Token),
		}, deliveryTimeout)
		return err == nil && isFinal(crrecord.Status(resp.GetStatus()))
	}
	resp, err := call[crwire.RecordReply](c, m, methodComplete, &crwire.RecordComplete{
		TargetIncarnation: m.Incarnation, Id: j.grant.ID.String(), Digest: j.grant.Digest[:],
		Token: uint64(j.grant.Token), Answer: wireAnswer(j.answer),
	}, deliveryTimeout)
	return err == nil && isFinal(crrecord.Status(resp.GetStatus()))
}

// isFinal reports whether the message need not be sent again to a member that returned the status. WrongEpoch of a sealed
// member is not final, so a gate that doesn't know the new group epoch yet retries until it does.
func isFinal(s crrecord.Status) bool {
	switch s {
	case crrecord.Done, crrecord.Released, crrecord.TooOld, crrecord.Full:
		return true
	}
	return false
}
