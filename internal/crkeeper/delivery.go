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
	// maxJobs bounds completions and releases that wait for their first delivery.
	maxJobs = 4096
	// maxDeliveries bounds the ones under way; a dead member holds one for at most a second in each attempt.
	maxDeliveries = 512
	// deliveryTimeout bounds one message of a delivery.
	deliveryTimeout = time.Second
	// firstRetry and maxRetry bound the pause before another attempt.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
	// maxAttempts ends a delivery after about 30 s, above the 10 s after which the control leader replaces keepers.
	maxAttempts = 18
)

type crwireMessage = proto.Message

// job is one completion or release on its way to the members.
type job struct {
	grant    Grant
	complete bool
	answer   crrecord.Answer
	attempts int
	stored   map[nodeKey]bool
}

type nodeKey struct{ node, incarnation string }

func keyOf(m crrecord.Member) nodeKey { return nodeKey{m.Node, m.Incarnation} }

func (c *Client) ring() *crring.Ring[*job] {
	c.once.Do(func() { c.jobs = crring.New[*job](maxJobs) })
	return c.jobs
}

// Complete stores the answer of a granted run at the keepers in the background; this gate keeps the whole answer.
// It reports false when the queue is full: resends are then told that the request is in progress.
func (c *Client) Complete(now crrecord.Instant, g Grant, answer crrecord.Answer) bool {
	answer.Runner = c.Self
	if c.Answers != nil {
		c.Answers.Keep(now, g.ID, g.Digest, answer)
	}
	if len(answer.Body) > crrecord.MaxAnswerBytes {
		answer.Body, answer.Omitted = nil, true
	}
	return c.push(&job{grant: g, complete: true, answer: answer})
}

// Release gives up a granted run that never started; the grant must not be used any more.
// It reports false when the queue is full: the id then stays in progress until its record expires.
func (c *Client) Release(g Grant) bool { return c.push(&job{grant: g}) }

func (c *Client) push(j *job) bool {
	j.stored = make(map[nodeKey]bool)
	c.pending.Add(1)
	if !c.ring().Push(j) {
		c.pending.Add(-1)
		return false
	}
	return true
}

// Pending returns how many completions and releases are not delivered yet; a stopping node waits until it is zero.
func (c *Client) Pending() int64 { return c.pending.Load() }

// Lost returns how many completions and releases were given up or found the queue full.
func (c *Client) Lost() uint64 { return c.dropped.Load() + c.ring().Overflow() }

// Run delivers completions and releases until ctx ends, then waits for the calls under way.
func (c *Client) Run(ctx context.Context) {
	places := make(chan struct{}, maxDeliveries)
	var wg sync.WaitGroup
	for {
		j, err := c.ring().Pop(ctx)
		if err != nil {
			break
		}
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			c.giveUp()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.deliver(ctx, j)
			<-places
		}()
	}
	wg.Wait()
	c.calls.Wait()
}

func (c *Client) giveUp() {
	c.dropped.Add(1)
	c.pending.Add(-1)
}

// deliver repeats a message until a majority of the present members has taken it.
func (c *Client) deliver(ctx context.Context, j *job) {
	pause := firstRetry
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
		if crpause.For(ctx, pause) != nil {
			c.giveUp()
			return
		}
		pause = min(2*pause, maxRetry)
	}
}

// attempt sends the message to every member of the claim's epoch and of the present one that has not taken it.
func (c *Client) attempt(j *job) bool {
	present := j.grant.members
	if g, ok := c.Groups.Group(j.grant.ID.Group()); ok {
		present = g.Members
	}
	targets := make(map[nodeKey]crrecord.Member)
	for _, list := range [][]crrecord.Member{j.grant.members, present} {
		for _, m := range list {
			if !j.stored[keyOf(m)] {
				targets[keyOf(m)] = m
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
			if c.tell(m, j) {
				mu.Lock()
				j.stored[key] = true
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	n := 0
	for _, m := range present {
		if j.stored[keyOf(m)] {
			n++
		}
	}
	return n >= crrecord.Majority(len(present))
}

// tell sends the message to one member and reports whether it needs no repetition there.
func (c *Client) tell(m crrecord.Member, j *job) bool {
	if c.isLocal(m) {
		if !j.complete {
			return settled(c.Local.release(j.grant.ID, j.grant.Token))
		}
		return settled(c.Local.complete(crrecord.Completion{ID: j.grant.ID, Digest: j.grant.Digest, Token: j.grant.Token, Answer: j.answer}))
	}
	if !j.complete {
		resp, err := call[crwire.RecordReply](c, m, methodRelease, &crwire.RecordRelease{
			TargetIncarnation: m.Incarnation, Id: j.grant.ID.String(), Token: uint64(j.grant.Token),
		}, deliveryTimeout)
		return err == nil && settled(crrecord.Status(resp.GetStatus()))
	}
	resp, err := call[crwire.RecordReply](c, m, methodComplete, &crwire.RecordComplete{
		TargetIncarnation: m.Incarnation, Id: j.grant.ID.String(), Digest: j.grant.Digest[:],
		Token: uint64(j.grant.Token), Answer: wireAnswer(j.answer),
	}, deliveryTimeout)
	return err == nil && settled(crrecord.Status(resp.GetStatus()))
}

// settled reports whether the member that gave the status needs no repetition. A sealed member's WrongEpoch doesn't
// settle, so a gate that hasn't heard of the new group epoch goes on until it has.
func settled(s crrecord.Status) bool {
	switch s {
	case crrecord.Done, crrecord.Released, crrecord.TooOld, crrecord.Full:
		return true
	}
	return false
}
