package crreplica

import (
	"time"

	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// logLoop runs the node and the store, which no other goroutine uses: it passes messages, commands and timer ticks to the
// node and does the work that the node returns.
func (r *Replica) logLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.runContext.Done():
			return
		case m := <-r.inbox.C():
			r.step(crclock.Now(), m)
		case c := <-r.commands.C():
			r.startCommand(crclock.Now(), c)
		case s := <-r.snapshotResults.C():
			r.saveSnapshot(s)
		case <-r.applySignal.C():
		case <-ticker.C:
			r.tick(crclock.Now())
		}
		r.drain()
		r.processReady()
		r.updateStatus(crclock.Now())
	}
}

// drain handles the queued messages and commands, so that one sync stores many proposals. The time is read after each
// item was taken from its queue: an older time would shorten the lease that a follower grants, or extend the one that a
// leader holds.
func (r *Replica) drain() {
	for range drainLimit {
		select {
		case m := <-r.inbox.C():
			r.step(crclock.Now(), m)
		case c := <-r.commands.C():
			r.startCommand(crclock.Now(), c)
		default:
			return
		}
	}
}

func (r *Replica) step(now time.Time, m crlog.Message) {
	if r.failure == nil {
		r.node.Step(now, m)
	}
}

func (r *Replica) tick(now time.Time) {
	if err := r.applyErr.Load(); err != nil && r.failure == nil {
		r.fail(*err)
	}
	if r.failure != nil && r.recoverable() && !now.Before(r.recoverAt) {
		r.recoverStore(now)
	}
	if r.failure != nil {
		return
	}
	r.node.Tick(now)
	r.tryTransfer(now)
	r.retryReads(now)
	r.dropIdleSenders(now)
}

// processReady does the work that the node returns until there is none.
func (r *Replica) processReady() {
	for r.failure == nil {
		rd := r.node.Ready()
		if rd.Empty() {
			break
		}
		if err := r.storeReady(rd); err != nil {
			r.unstored = rd
			r.fail(err)
			return
		}
		now := crclock.Now()
		for _, m := range rd.Messages {
			r.send(now, m)
		}
		applyQueueFull := false
		if len(rd.Committed) > 0 && !r.applyQueue.Push(applyItem{entries: rd.Committed}) {
			// The state machine is behind and the queue is full; the node returns these entries again.
			rd.Committed, applyQueueFull = nil, true
		}
		r.answerReads(rd.Reads)
		r.node.Advance(crclock.Now(), rd)
		if applyQueueFull {
			break
		}
	}
	if r.failure == nil && !r.snapshotPending && r.node.SnapshotDue() {
		r.snapshotPending = r.applyQueue.Push(applyItem{snapshot: true})
	}
}

func (r *Replica) storeReady(rd crlog.Ready) error {
	if rd.Snapshot != nil {
		if r.Store != nil {
			if err := r.Store.SaveSnapshot(*rd.Snapshot, r.node.Hard(), rd.Entries); err != nil {
				return err
			}
		}
		return r.restore(rd.Snapshot)
	}
	if r.Store == nil {
		return nil
	}
	return r.Store.Append(rd.Hard, rd.Entries)
}

// restore passes a snapshot of the leader to the state machine.
func (r *Replica) restore(s *crlog.Snapshot) error {
	for !r.applyQueue.Push(applyItem{restore: s}) {
		if err := r.applyErr.Load(); err != nil {
			return *err
		}
		if r.runContext.Err() != nil {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// recoverable reports whether the failure is one of the storage only.
func (r *Replica) recoverable() bool {
	return r.Store != nil && r.Store.Err() != nil && r.applyErr.Load() == nil
}

// recoverStore stores the whole state, including the work whose storage failed, after which the member works again. It
// drops the messages of that work, as a network may, and the node returns its committed entries again. Commands have
// failed with an unknown outcome.
func (r *Replica) recoverStore(now time.Time) {
	r.recoverAt = now.Add(storeRetryInterval)
	if err := r.Store.Recover(r.node.State()); err != nil {
		r.failure = err
		return
	}
	rd := crlog.Ready{Hard: r.unstored.Hard, Snapshot: r.unstored.Snapshot, Entries: r.unstored.Entries}
	r.failure, r.unstored = nil, crlog.Ready{}
	if rd.Snapshot != nil {
		if err := r.restore(rd.Snapshot); err != nil {
			r.fail(err)
			return
		}
	}
	r.node.Advance(crclock.Now(), rd)
}

// saveSnapshot stores a snapshot of the state machine.
func (r *Replica) saveSnapshot(s snapshotResult) {
	r.snapshotPending = false
	if r.failure != nil {
		return
	}
	if s.err != nil {
		r.fail(crcode.New(crcode.Internal, "snapshot: %v", s.err))
		return
	}
	if s.index <= r.node.Status(crclock.Now()).SnapshotIndex {
		// A newer snapshot of the leader has been installed in the meantime.
		return
	}
	snap, entries, err := r.node.Compact(s.index, s.data)
	if err == nil && r.Store != nil {
		err = r.Store.SaveSnapshot(snap, r.node.StoredHard(), entries)
	}
	if err != nil {
		r.fail(err)
	}
}

// fail stops the member from voting and acknowledging entries; Status still works. An error of the storage stops it until
// the storage works again, any other error for good.
func (r *Replica) fail(err error) {
	r.failure = err
	r.recoverAt = crclock.Now().Add(storeRetryInterval)
	r.failPending(crcode.New(crcode.CommandUnknown, "storage stopped: %v", err))
}

func (r *Replica) answerReads(reads []crlog.Read) {
	for _, rd := range reads {
		c := r.pendingReads[rd.ID]
		if c == nil {
			continue
		}
		delete(r.pendingReads, rd.ID)
		if !rd.OK {
			// The read was rejected, for instance because no leader is known; it is retried until its context ends.
			c.retryAt = crclock.Now().Add(5 * tickInterval)
			r.lastReadID++
			c.readID = r.lastReadID
			r.pendingReads[c.readID] = c
			continue
		}
		r.waiters.awaitIndex(rd.Index, c)
	}
}

// retryReads starts reads again whose answer is late. In a new term it starts all pending reads again, since the leader
// of an earlier term does not answer them.
func (r *Replica) retryReads(now time.Time) {
	term := r.node.Hard().Term
	termChanged := term != r.readTerm
	r.readTerm = term
	var due []*command
	for id, c := range r.pendingReads {
		if c.ctx.Err() != nil {
			delete(r.pendingReads, id)
			continue
		}
		if termChanged || !now.Before(c.retryAt) {
			delete(r.pendingReads, id)
			due = append(due, c)
		}
	}
	for _, c := range due {
		r.startRead(now, c)
	}
}

func (r *Replica) startRead(now time.Time, c *command) {
	r.lastReadID++
	c.attempts++
	c.readID, c.retryAt = r.lastReadID, now.Add(time.Duration(c.attempts)*readRetryInterval)
	r.pendingReads[c.readID] = c
	r.node.ReadIndex(now, c.readID)
}

func (r *Replica) tryTransfer(now time.Time) {
	c := r.pendingTransfer
	if c == nil {
		return
	}
	err := r.node.Transfer(now, c.id)
	if err != nil && crcode.Of(err) != crcode.NoLeader && now.Before(r.transferDeadline) && c.ctx.Err() == nil {
		return
	}
	r.pendingTransfer = nil
	c.finish(err)
}
