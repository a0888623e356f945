package crreplica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// commandKind is the type of a command.
type commandKind uint8

const (
	propose commandKind = iota
	addMember
	removeMember
	replaceMember
	transferLeadership
	read
	memberLost
)

// command is a call of a method of Replica that the log goroutine executes. Either the log goroutine claims it, or its
// caller does and gives it up; claimed is set by the first of them.
type command struct {
	ctx      context.Context
	kind     commandKind
	data     []byte
	id       uint64
	member   crlog.Member
	claimed  atomic.Bool
	response chan response
	readID   uint64
	retryAt  time.Time
	// attempts is the number of times that the read was started.
	attempts int
}

// response is the result of a command.
type response struct {
	result      any
	index, term uint64
	err         error
}

// claim claims the command; it reports false when the other side has claimed it before.
func (c *command) claim() bool { return c.claimed.CompareAndSwap(false, true) }

func (c *command) finish(err error) { c.reply(response{err: err}) }

func (c *command) reply(a response) {
	select {
	case c.response <- a:
	default:
	}
}

// submit passes a command to the log goroutine and waits for the response. timeoutCode is the code of the error when ctx
// ends after the log goroutine has started the command.
func (r *Replica) submit(ctx context.Context, c *command, timeoutCode crcode.Code) response {
	c.ctx, c.response = ctx, make(chan response, 1)
	if r.runContext.Err() != nil {
		return response{err: crcode.New(crcode.Stopping, "the replica has stopped")}
	}
	if !r.commands.Push(c) {
		return response{err: crcode.New(crcode.Overflow, "%d commands wait", commandQueueSize)}
	}
	select {
	case a := <-c.response:
		return a
	case <-ctx.Done():
	case <-r.done:
	}
	if c.claim() {
		return response{err: crcode.New(crcode.NoLeader, "given up before the command was taken")}
	}
	select {
	case a := <-c.response:
		return a
	default:
		return response{err: crcode.New(timeoutCode, "no answer in time")}
	}
}

// Propose appends data to the log and returns the result of the state machine once the entry is applied. The code
// NoLeader means that the data was not accepted, CommandUnknown that it may have been.
func (r *Replica) Propose(ctx context.Context, data []byte) (result any, index, term uint64, err error) {
	a := r.submit(ctx, &command{kind: propose, data: data}, crcode.CommandUnknown)
	return a.result, a.index, a.term, a.err
}

// ReadIndex waits until the state machine has applied all that was acknowledged before the call, so that a linearizable
// read is allowed, and returns the applied index.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	a := r.submit(ctx, &command{kind: read}, crcode.NoLeader)
	return a.index, a.err
}

// AddMember adds a learner that becomes a voter once it has caught up. It returns when the new member list is committed.
func (r *Replica) AddMember(ctx context.Context, m crlog.Member) error {
	return r.submit(ctx, &command{kind: addMember, member: m}, crcode.CommandUnknown).err
}

// RemoveMember removes a member. It returns when the new member list is committed.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	return r.submit(ctx, &command{kind: removeMember, id: id}, crcode.CommandUnknown).err
}

// ReplaceMember adds a learner that replaces a lost voter once it has caught up. It returns when the member list with the
// learner is committed; Settled in Status reports when the replacement is complete.
func (r *Replica) ReplaceMember(ctx context.Context, lost uint64, m crlog.Member) error {
	return r.submit(ctx, &command{kind: replaceMember, id: lost, member: m}, crcode.CommandUnknown).err
}

// TransferLeadership transfers leadership to the given voter, or to any voter that holds the whole log when id is 0.
func (r *Replica) TransferLeadership(ctx context.Context, id uint64) error {
	return r.submit(ctx, &command{kind: transferLeadership, id: id}, crcode.CommandUnknown).err
}

// ReportMemberLost reports that a member has stopped permanently and its storage is lost, so that this member does not wait for
// the end of a lease that it granted to it.
func (r *Replica) ReportMemberLost(ctx context.Context, id uint64) error {
	return r.submit(ctx, &command{kind: memberLost, id: id}, crcode.CommandUnknown).err
}

// startCommand starts a command in the log goroutine.
func (r *Replica) startCommand(now time.Time, c *command) {
	if !c.claim() {
		return
	}
	if r.failure != nil {
		c.finish(crcode.New(crcode.NoLeader, "storage stopped: %v", r.failure))
		return
	}
	switch c.kind {
	case read:
		r.startRead(now, c)
		return
	case transferLeadership:
		r.startTransfer(now, c)
		return
	case memberLost:
		r.node.MemberLost(now, c.id)
		c.finish(nil)
		return
	}
	if r.pendingTransfer != nil {
		c.finish(crcode.New(crcode.NoLeader, "leadership is being handed over"))
		return
	}
	index, term, err := r.proposeChange(now, c)
	if err != nil {
		c.finish(err)
		return
	}
	r.waiters.awaitEntry(index, term, c)
}

func (r *Replica) proposeChange(now time.Time, c *command) (index, term uint64, err error) {
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
	case r.pendingTransfer != nil:
		c.finish(crcode.New(crcode.ChangePending, "leadership is being handed over"))
	case r.node.Status(now).Role != crlog.Leader:
		c.finish(crcode.New(crcode.NoLeader, "this member does not lead"))
	case others == 0:
		c.finish(crcode.New(crcode.NotFound, "there is no other voter"))
	default:
		r.pendingTransfer, r.transferDeadline = c, now.Add(transferTimeout)
		r.tryTransfer(now)
	}
}
