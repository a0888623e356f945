package crreplica

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// Bounds of the senders.
const (
	senderRing  = 256
	maxSenders  = 128
	sendTimeout = time.Second
	idleSender  = 10 * time.Second
	// batchBytes stays below half of crwire.MaxMessageBytes, since the last message may exceed it by MessageBytes.
	batchBytes = 1 << 20
)

// sender carries messages to one address in its own goroutine.
type sender struct {
	ring   *crring.Ring[crlog.Message]
	cancel context.CancelFunc
	used   time.Time
}

// send queues a message; a full queue drops it, and the log sends it again.
func (r *Replica) send(now time.Time, m crlog.Message) {
	if m.Address == "" || m.Address == r.Address {
		return
	}
	s := r.senders[m.Address]
	if s == nil {
		if len(r.senders) >= maxSenders {
			return
		}
		ctx, cancel := context.WithCancel(r.running)
		s = &sender{ring: crring.New[crlog.Message](senderRing), cancel: cancel}
		r.senders[m.Address] = s
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.sendLoop(ctx, m.Address, s.ring)
		}()
	}
	s.used = now
	s.ring.Push(m)
}

func (r *Replica) dropIdleSenders(now time.Time) {
	for a, s := range r.senders {
		if now.Sub(s.used) > idleSender {
			s.cancel()
			delete(r.senders, a)
		}
	}
}

func (r *Replica) sendLoop(ctx context.Context, address string, ring *crring.Ring[crlog.Message]) {
	for {
		m, err := ring.Pop(ctx)
		if err != nil {
			return
		}
		batch := &crwire.LogBatch{Messages: []*crwire.LogMessage{toWire(m)}}
		for size := weight(m); size < batchBytes && ring.Len() > 0; size += weight(m) {
			if m, err = ring.Pop(ctx); err != nil {
				return
			}
			batch.Messages = append(batch.Messages, toWire(m))
		}
		r.sendBatch(ctx, address, batch)
	}
}

// sendBatch gives up after an error: what was lost is sent again by the log.
func (r *Replica) sendBatch(ctx context.Context, address string, batch *crwire.LogBatch) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	s, err := r.Endpoint.Session(ctx, address)
	if err != nil {
		return
	}
	_, _ = crwire.Call[crwire.LogAck](ctx, s, methodMessages, batch)
}

// weight estimates the size of a message.
func weight(m crlog.Message) int {
	n := 256 + len(m.Data)
	for _, e := range m.Entries {
		n += 32 + len(e.Data)
	}
	return n
}
