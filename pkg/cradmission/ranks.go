package cradmission

import (
	"sync"
	"time"
)

// Sender is the origin of a request that reaches a gate.
type Sender uint8

// The origins of requests.
const (
	UnknownSender Sender = iota
	// Client sends new work. Server makes calls for work that is already running and that fails with its calls.
	Client
	Server
)

// topWorthTTL is how long the highest worth that clients sent to a gate stays in effect after the last such request.
const topWorthTTL = 10 * time.Second

// Ranks assigns the priorities of the requests at one gate. Calls of running work and the most important client requests
// share the highest priority, so that the queue runs them in order of their due times; the other requests follow by worth.
//
// It is built for a deep service that receives many calls and a few direct requests with a short target latency. If the
// direct requests waited behind all calls, a fifth of them would be late although they need a twentieth of the service's
// time, whereas a call that waits for one of them delays its run by only a fraction of the run time.
type Ranks struct {
	mu       sync.Mutex
	topWorth uint32
	at       time.Time
}

// Rank returns the priority of a request. A higher worth is more important.
func (r *Ranks) Rank(now time.Time, from Sender, worth uint32) Priority {
	return r.RankWithin(now, from, worth, worth)
}

// RankWithin returns the priority of a request that has two worths: that of its kind among the kinds of one organisation, which
// decides whether it shares the highest priority with calls, and that among all requests, which orders the others. If the latter
// decided both, the urgent requests of all organisations but the most important one would wait behind every call.
func (r *Ranks) RankWithin(now time.Time, from Sender, ofKind, worth uint32) Priority {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from == Client && (ofKind >= r.topWorth || now.Sub(r.at) > topWorthTTL) {
		r.topWorth, r.at = ofKind, now
	}
	if from == Server || from == Client && ofKind >= r.topWorth {
		return makePriority(Protected, 0, 0)
	}
	return makePriority(Ordinary, worth, 0)
}
