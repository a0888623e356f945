package crreplica

import (
	"sync"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// applyItem is one unit of work for the state machine: entries to apply, a snapshot to restore, or a snapshot to take.
type applyItem struct {
	entries  []crlog.Entry
	restore  *crlog.Snapshot
	snapshot bool
}

// snapshotResult is a snapshot of the state machine after the entry at index, or the error of taking it.
type snapshotResult struct {
	index uint64
	data  []byte
	err   error
}

// applyLoop runs the state machine, which no other goroutine uses.
func (r *Replica) applyLoop() {
	for {
		item, err := r.applyQueue.Pop(r.runContext)
		if err != nil {
			return
		}
		switch {
		case item.restore != nil:
			if err := r.StateMachine.Restore(item.restore.Data); err != nil {
				var e error = crcode.New(crcode.StoreDamaged, "snapshot of the leader: %v", err)
				r.applyErr.Store(&e)
				return
			}
			r.waiters.failUpTo(item.restore.Index, crcode.New(crcode.CommandUnknown, "a snapshot replaced the entry"))
			r.waiters.indexApplied(item.restore.Index)
		case item.snapshot:
			data, err := r.StateMachine.Snapshot()
			r.snapshotResults.Push(snapshotResult{r.waiters.appliedIndex(), data, err})
		default:
			r.apply(item.entries)
		}
		// Wake the log goroutine, which may have entries that did not fit into the queue.
		r.applySignal.Push(struct{}{})
	}
}

func (r *Replica) apply(entries []crlog.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == crlog.Data {
			result = r.StateMachine.Apply(e.Index, e.Term, e.Data)
		}
		r.waiters.entryApplied(e, result)
	}
	if n := len(entries); n > 0 {
		r.waiters.indexApplied(entries[n-1].Index)
	}
}

// waiters holds the commands that wait for entries to be applied: proposals and member changes by the index of their
// entry, reads with the index that they need.
type waiters struct {
	mu      sync.Mutex
	applied uint64
	entries map[uint64]entryWaiter
	reads   map[*command]uint64
}

type entryWaiter struct {
	term    uint64
	command *command
}

func (w *waiters) awaitEntry(index, term uint64, c *command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries == nil {
		w.entries = make(map[uint64]entryWaiter)
	}
	if old, ok := w.entries[index]; ok {
		// An entry of a later term has the same index, so the earlier entry was removed from this member's log.
		old.command.finish(crcode.New(crcode.CommandUnknown, "the leader changed"))
	}
	w.entries[index] = entryWaiter{term, c}
}

// entryApplied answers the command that waits for an entry at the index of e: with the result when e is its entry, else
// with an error.
func (w *waiters) entryApplied(e crlog.Entry, result any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiter, ok := w.entries[e.Index]
	if !ok {
		return
	}
	delete(w.entries, e.Index)
	if waiter.term != e.Term {
		// Another entry is committed at this index, so the command's entry can't be any more.
		waiter.command.finish(crcode.New(crcode.NoLeader, "another leader's entry took the place"))
		return
	}
	waiter.command.reply(response{result: result, index: e.Index, term: e.Term})
}

func (w *waiters) awaitIndex(index uint64, c *command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index <= w.applied {
		c.reply(response{index: w.applied})
		return
	}
	if w.reads == nil {
		w.reads = make(map[*command]uint64)
	}
	w.reads[c] = index
}

func (w *waiters) indexApplied(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applied = max(w.applied, index)
	for c, needed := range w.reads {
		if needed <= w.applied || c.ctx.Err() != nil {
			delete(w.reads, c)
			c.reply(response{index: w.applied})
		}
	}
}

func (w *waiters) appliedIndex() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.applied
}

// failUpTo fails the commands that wait for entries up to index.
func (w *waiters) failUpTo(index uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, waiter := range w.entries {
		if i <= index {
			delete(w.entries, i)
			waiter.command.finish(err)
		}
	}
}
