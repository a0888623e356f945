package crreplica

import (
	"sync"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// applyItem is work for the state machine: entries, a snapshot to restore, or a snapshot to make.
type applyItem struct {
	entries  []crlog.Entry
	restore  *crlog.Snapshot
	snapshot bool
}

// snapshotResult is a snapshot of the state machine after the entry at index.
type snapshotResult struct {
	index uint64
	data  []byte
	err   error
}

// applyLoop owns the state machine.
func (r *Replica) applyLoop() {
	for {
		item, err := r.toApply.Pop(r.running)
		if err != nil {
			return
		}
		switch {
		case item.restore != nil:
			if err := r.Machine.Restore(item.restore.Data); err != nil {
				var e error = crcode.New(crcode.StoreDamaged, "snapshot of the leader: %v", err)
				r.applyErr.Store(&e)
				return
			}
			r.waiting.drop(item.restore.Index, crcode.New(crcode.CommandUnknown, "a snapshot replaced the entry"))
			r.waiting.reached(item.restore.Index)
		case item.snapshot:
			data, err := r.Machine.Snapshot()
			r.snapshots.Push(snapshotResult{r.waiting.appliedIndex(), data, err})
		default:
			r.apply(item.entries)
		}
		// The log goroutine may hold entries back that did not fit in the ring.
		r.wake.Push(struct{}{})
	}
}

func (r *Replica) apply(entries []crlog.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == crlog.Data {
			result = r.Machine.Apply(e.Index, e.Term, e.Data)
		}
		r.waiting.applyDone(e, result)
	}
	if n := len(entries); n > 0 {
		r.waiting.reached(entries[n-1].Index)
	}
}

// waiters holds the callers that wait for entries to be applied.
type waiters struct {
	mu      sync.Mutex
	applied uint64
	entries map[uint64]entryWaiter
	reads   map[*command]uint64
}

type entryWaiter struct {
	term uint64
	c    *command
}

func (w *waiters) await(index, term uint64, c *command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries == nil {
		w.entries = make(map[uint64]entryWaiter)
	}
	if old, ok := w.entries[index]; ok {
		// A later term reuses the index, so the earlier entry was dropped from this member's log.
		old.c.finish(crcode.New(crcode.CommandUnknown, "the leader changed"))
	}
	w.entries[index] = entryWaiter{term, c}
}

// applyDone answers the caller whose proposal, or whose place in the log, was applied.
func (w *waiters) applyDone(e crlog.Entry, result any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wait, ok := w.entries[e.Index]
	if !ok {
		return
	}
	delete(w.entries, e.Index)
	if wait.term != e.Term {
		// Another entry is committed in this place, so this one never can be.
		wait.c.finish(crcode.New(crcode.NoLeader, "another leader's entry took the place"))
		return
	}
	wait.c.reply(answer{result: result, index: e.Index, term: e.Term})
}

func (w *waiters) awaitApplied(index uint64, c *command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index <= w.applied {
		c.reply(answer{index: w.applied})
		return
	}
	if w.reads == nil {
		w.reads = make(map[*command]uint64)
	}
	w.reads[c] = index
}

func (w *waiters) reached(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applied = max(w.applied, index)
	for c, need := range w.reads {
		if need <= w.applied || c.ctx.Err() != nil {
			delete(w.reads, c)
			c.reply(answer{index: w.applied})
		}
	}
}

func (w *waiters) appliedIndex() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.applied
}

// drop ends the waiting for entries up to index.
func (w *waiters) drop(index uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, wait := range w.entries {
		if i <= index {
			delete(w.entries, i)
			wait.c.finish(err)
		}
	}
}
