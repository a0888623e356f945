package crreplica

import (
	"time"

	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// logLoop owns the node and the store: it takes in messages, commands and the time, and does the work they lead to.
func (r *Replica) logLoop() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-r.running.Done():
			return
		case m := <-r.inbox.C():
			r.step(crclock.Now(), m)
		case c := <-r.commands.C():
			r.command(crclock.Now(), c)
		case s := <-r.snapshots.C():
			r.compact(s)
		case <-r.wake.C():
		case <-ticker.C:
			r.tick(crclock.Now())
		}
		r.drain()
		r.work()
		r.publish(crclock.Now())
	}
}

// drain takes in what else has arrived, so that one sync stores many proposals. The time is read after each item was
// taken: an older time would shorten the lease that a follower grants, or lengthen the one that a leader holds.
func (r *Replica) drain() {
	for range drainLimit {
		select {
		case m := <-r.inbox.C():
			r.step(crclock.Now(), m)
		case c := <-r.commands.C():
			r.command(crclock.Now(), c)
		default:
			return
		}
	}
}

func (r *Replica) step(now time.Time, m crlog.Message) {
	if r.failed == nil {
		r.node.Step(now, m)
	}
}

func (r *Replica) tick(now time.Time) {
	if err := r.applyErr.Load(); err != nil && r.failed == nil {
		r.fail(*err)
	}
	if r.failed != nil {
		return
	}
	r.node.Tick(now)
	r.tryTransfer(now)
	r.retryReads(now)
	r.dropIdleSenders(now)
}

// work does what the node asks for until nothing is left.
func (r *Replica) work() {
	for r.failed == nil {
		rd := r.node.Ready()
		if rd.Empty() {
			break
		}
		if err := r.store(rd); err != nil {
			r.fail(err)
			return
		}
		now := crclock.Now()
		for _, m := range rd.Messages {
			r.send(now, m)
		}
		held := false
		if len(rd.Committed) > 0 && !r.toApply.Push(applyItem{entries: rd.Committed}) {
			// The state machine is behind; the node offers these entries again.
			rd.Committed, held = nil, true
		}
		r.answerReads(rd.Reads)
		r.node.Advance(crclock.Now(), rd)
		if held {
			break
		}
	}
	if r.failed == nil && !r.snapshotting && r.node.SnapshotDue() {
		r.snapshotting = r.toApply.Push(applyItem{snapshot: true})
	}
}

func (r *Replica) store(rd crlog.Ready) error {
	if rd.Snapshot != nil {
		if r.Store != nil {
			if err := r.Store.SaveSnapshot(*rd.Snapshot, r.node.Hard(), rd.Entries); err != nil {
				return err
			}
		}
		for !r.toApply.Push(applyItem{restore: rd.Snapshot}) {
			if err := r.applyErr.Load(); err != nil {
				return *err
			}
			if r.running.Err() != nil {
				return nil
			}
			time.Sleep(time.Millisecond)
		}
		return nil
	}
	if r.Store == nil {
		return nil
	}
	return r.Store.Append(rd.Hard, rd.Entries)
}

// compact stores a snapshot that the state machine made.
func (r *Replica) compact(s snapshotResult) {
	r.snapshotting = false
	if r.failed != nil {
		return
	}
	if s.err != nil {
		r.fail(crcode.New(crcode.Internal, "snapshot: %v", s.err))
		return
	}
	if s.index <= r.node.Status(crclock.Now()).SnapshotIndex {
		// A snapshot of the leader was installed meanwhile.
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

// fail stops voting and acknowledging for good; the status stays readable.
func (r *Replica) fail(err error) {
	r.failed = err
	r.abandon(crcode.New(crcode.CommandUnknown, "storage stopped: %v", err))
}

func (r *Replica) answerReads(reads []crlog.Read) {
	for _, rd := range reads {
		c := r.reads[rd.ID]
		if c == nil {
			continue
		}
		delete(r.reads, rd.ID)
		if !rd.OK {
			// No leader is known now; the command is retried until its context ends.
			c.retryAt = crclock.Now().Add(5 * tick)
			r.nextRead++
			c.readID = r.nextRead
			r.reads[c.readID] = c
			continue
		}
		r.waiting.awaitApplied(rd.Index, c)
	}
}

// retryReads asks again for reads whose answer is late, and for all when a new term has begun: an earlier leader answers none.
func (r *Replica) retryReads(now time.Time) {
	term := r.node.Hard().Term
	moved := term != r.readTerm
	r.readTerm = term
	var due []*command
	for id, c := range r.reads {
		if c.ctx.Err() != nil {
			delete(r.reads, id)
			continue
		}
		if moved || !now.Before(c.retryAt) {
			delete(r.reads, id)
			due = append(due, c)
		}
	}
	for _, c := range due {
		r.startRead(now, c)
	}
}

func (r *Replica) startRead(now time.Time, c *command) {
	r.nextRead++
	c.tries++
	c.readID, c.retryAt = r.nextRead, now.Add(time.Duration(c.tries)*readRetry)
	r.reads[c.readID] = c
	r.node.ReadIndex(now, c.readID)
}

func (r *Replica) tryTransfer(now time.Time) {
	c := r.transfer
	if c == nil {
		return
	}
	err := r.node.Transfer(now, c.id)
	if err != nil && crcode.Of(err) != crcode.NoLeader && now.Before(r.transferEnd) && c.ctx.Err() == nil {
		return
	}
	r.transfer = nil
	c.finish(err)
}
