package crreplica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// commandKind names what a caller wants from the log goroutine.
type commandKind uint8

const (
	propose commandKind = iota
	addMember
	removeMember
	replaceMember
	transferLeadership
	read
	memberGone
)

// command is one call; either its caller gives it up or the log goroutine takes it, never both.
type command struct {
	ctx     context.Context
	kind    commandKind
	data    []byte
	id      uint64
	member  crlog.Member
	taken   atomic.Bool
	answer  chan answer
	readID  uint64
	retryAt time.Time
	// tries is how often the read was asked for.
	tries int
}

// answer is the end of a command.
type answer struct {
	result      any
	index, term uint64
	err         error
}

// take reports whether the caller is the one who decides about the command.
func (c *command) take() bool { return c.taken.CompareAndSwap(false, true) }

func (c *command) finish(err error) { c.reply(answer{err: err}) }

func (c *command) reply(a answer) {
	select {
	case c.answer <- a:
	default:
	}
}

// call hands a command to the log goroutine and waits; late is the code of an outcome that the caller can't know.
func (r *Replica) call(ctx context.Context, c *command, late crcode.Code) answer {
	c.ctx, c.answer = ctx, make(chan answer, 1)
	if r.running.Err() != nil {
		return answer{err: crcode.New(crcode.Stopping, "the replica has stopped")}
	}
	if !r.commands.Push(c) {
		return answer{err: crcode.New(crcode.Overflow, "%d commands wait", commandSize)}
	}
	select {
	case a := <-c.answer:
		return a
	case <-ctx.Done():
	case <-r.done:
	}
	if c.take() {
		return answer{err: crcode.New(crcode.NoLeader, "given up before the command was taken")}
	}
	select {
	case a := <-c.answer:
		return a
	default:
		return answer{err: crcode.New(late, "no answer in time")}
	}
}

// Propose adds data to the log and returns the state machine's result once it is applied. The code NoLeader means that
// the data was not accepted, CommandUnknown that it may have been.
func (r *Replica) Propose(ctx context.Context, data []byte) (result any, index, term uint64, err error) {
	a := r.call(ctx, &command{kind: propose, data: data}, crcode.CommandUnknown)
	return a.result, a.index, a.term, a.err
}

// ReadIndex returns the index that the state machine has reached once a linearizable read is allowed.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	a := r.call(ctx, &command{kind: read}, crcode.NoLeader)
	return a.index, a.err
}

// AddMember adds a learner that becomes a voter once it has caught up; it returns when the learner is committed.
func (r *Replica) AddMember(ctx context.Context, m crlog.Member) error {
	return r.call(ctx, &command{kind: addMember, member: m}, crcode.CommandUnknown).err
}

// RemoveMember removes a member and returns when that is committed.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	return r.call(ctx, &command{kind: removeMember, id: id}, crcode.CommandUnknown).err
}

// ReplaceMember adds a learner that takes the place of a lost voter once it has caught up; it returns when the learner
// is committed. Status tells when the change has settled.
func (r *Replica) ReplaceMember(ctx context.Context, lost uint64, m crlog.Member) error {
	return r.call(ctx, &command{kind: replaceMember, id: lost, member: m}, crcode.CommandUnknown).err
}

// TransferLeadership hands leadership to a voter, or to the most complete one when id is 0.
func (r *Replica) TransferLeadership(ctx context.Context, id uint64) error {
	return r.call(ctx, &command{kind: transferLeadership, id: id}, crcode.CommandUnknown).err
}

// MemberGone tells that the process of a member has ended for good and its storage is lost; a lease that it held is not
// waited out.
func (r *Replica) MemberGone(ctx context.Context, id uint64) error {
	return r.call(ctx, &command{kind: memberGone, id: id}, crcode.CommandUnknown).err
}

// command starts a call in the log goroutine.
func (r *Replica) command(now time.Time, c *command) {
	if !c.take() {
		return
	}
	if r.failed != nil {
		c.finish(crcode.New(crcode.NoLeader, "storage stopped: %v", r.failed))
		return
	}
	switch c.kind {
	case read:
		r.startRead(now, c)
		return
	case transferLeadership:
		r.startTransfer(now, c)
		return
	case memberGone:
		r.node.MemberLost(now, c.id)
		c.finish(nil)
		return
	}
	if r.transfer != nil {
		c.finish(crcode.New(crcode.NoLeader, "leadership is being handed over"))
		return
	}
	index, term, err := r.change(now, c)
	if err != nil {
		c.finish(err)
		return
	}
	r.waiting.await(index, term, c)
}

func (r *Replica) change(now time.Time, c *command) (index, term uint64, err error) {
	switch c.kind {
	case addMember:
		return r.node.AddMember(now, c.member)
	case removeMember:
		return r.node.RemoveMember(now, c.id)
	case replaceMember:
		return r.node.ReplaceMember(now, c.id, c.member)
	default:
		return r.node.Propose(now, c.data)
	}
}

func (r *Replica) startTransfer(now time.Time, c *command) {
	others := 0
	for _, m := range r.node.Members() {
		if !m.Learner && m.ID != r.ID {
			others++
		}
	}
	switch {
	case r.transfer != nil:
		c.finish(crcode.New(crcode.ChangePending, "leadership is being handed over"))
	case r.node.Status(now).Role != crlog.Leader:
		c.finish(crcode.New(crcode.NoLeader, "this member does not lead"))
	case others == 0:
		c.finish(crcode.New(crcode.NotFound, "there is no other voter"))
	default:
		r.transfer, r.transferEnd = c, now.Add(transferLimit)
		r.tryTransfer(now)
	}
}
