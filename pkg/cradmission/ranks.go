package cradmission

import (
	"sync"
	"time"
)

// Sender tells who sent a request to a gate.
type Sender uint8

// The senders.
const (
	UnknownSender Sender = iota
	// Client sends new work; Server makes calls for work that runs already and would be lost with them.
	Client
	Server
)

// topHolds is how long the most important requests of a gate count as present after the last one.
const topHolds = 10 * time.Second

// Ranks ranks what reaches one gate. Calls of running work stand beside the most important requests of clients there,
// all in the order in which they are due, and the other requests behind them by their worth.
//
// It answers a deep service on which many calls meet a few direct requests with a short target latency: behind all calls
// a fifth of these come late though they take a twentieth of its time, while a call that lets one of them pass loses a
// part of a run.
type Ranks struct {
	mu  sync.Mutex
	top uint32
	at  time.Time
}

// Rank returns the priority of a request; a higher worth is more important.
func (r *Ranks) Rank(now time.Time, from Sender, worth uint32) Priority {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from == Client && (worth >= r.top || now.Sub(r.at) > topHolds) {
		r.top, r.at = worth, now
	}
	if from == Server || from == Client && worth >= r.top {
		return makePriority(Protected, 0, 0)
	}
	return makePriority(Ordinary, worth, 0)
}
