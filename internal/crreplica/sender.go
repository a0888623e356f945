package crreplica

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// Limits of the senders.
const (
	senderQueueSize   = 256
	maxSenders        = 128
	sendTimeout       = time.Second
	senderIdleTimeout = 10 * time.Second
	// batchBytes is the size at which a batch is complete. It is below half of crwire.MaxMessageBytes, since the last
	// message of a batch may exceed it by MessageBytes.
	batchBytes = 1 << 20
)

// sender sends messages to one address in its own goroutine.
type sender struct {
	queue    *crring.Ring[crlog.Message]
	cancel   context.CancelFunc
	lastUsed time.Time
}

// send queues a message for its receiver. When the queue is full the message is dropped; the log sends lost messages
// again.
func (r *Replica) send(now time.Time, m crlog.Message) {
	if m.Address == "" || m.Address == r.Address {
		return
	}
	s := r.senders[m.Address]
	if s == nil {
		if len(r.senders) >= maxSenders {
			return
		}
		ctx, cancel := context.WithCancel(r.runContext)
		s = &sender{queue: crring.New[crlog.Message](senderQueueSize), cancel: cancel}
		r.senders[m.Address] = s
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.sendLoop(ctx, m.Address, s.queue)
		}()
	}
	s.lastUsed = now
	s.queue.Push(m)
}

func (r *Replica) dropIdleSenders(now time.Time) {
	for a, s := range r.senders {
		if now.Sub(s.lastUsed) > senderIdleTimeout {
			s.cancel()
			delete(r.senders, a)
		}
	}
}

func (r *Replica) sendLoop(ctx context.Context, address string, queue *crring.Ring[crlog.Message]) {
	for {
		m, err := queue.Pop(ctx)
		if err != nil {
			return
		}
		batch := &crwire.LogBatch{Messages: []*crwire.LogMessage{toWire(m)}}
		for size := estimatedSize(m); size < batchBytes && queue.Len() > 0; size += estimatedSize(m) {
			if m, err = queue.Pop(ctx); err != nil {
				return
			}
			batch.Messages = append(batch.Messages, toWire(m))
		}
		r.sendBatch(ctx, address, batch)
	}
}

// sendBatch sends a batch once and ignores errors, since the log sends lost messages again.
func (r *Replica) sendBatch(ctx context.Context, address string, batch *crwire.LogBatch) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	s, err := r.Endpoint.Session(ctx, address)
	if err != nil {
		return
	}
	_, _ = crwire.Call[crwire.LogAck](ctx, s, methodMessages, batch)
}

// estimatedSize returns the approximate encoded size of a message.
func estimatedSize(m crlog.Message) int {
	n := 256 + len(m.Data)
	for _, e := range m.Entries {
		n += 32 + len(e.Data)
	}
	return n
}
