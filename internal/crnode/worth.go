package crnode

import (
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

const (
	// worthScale preserves differences between worths in the division by the run time; a worth of 1,000,000 still fits
	// the priority.
	worthScale = 4096
	// maxRunTimeExponent bounds the exponent of a run time, a power of two in milliseconds; the bound stands for 4 s.
	maxRunTimeExponent = 12
	// initialExponent is the exponent of a kind that has not been run yet, 64 ms.
	initialExponent = 6
	// A mean run time must be a fifth beyond its power of two before the exponent changes, so that priorities are stable.
	riseThreshold = 2.4
	fallThreshold = 0.8
	// maxRunTimes bounds the kinds whose run time is estimated.
	maxRunTimes = 1024
)

// runTimes estimates, from complete answers, how long requests of each kind hold places at the gate. The worth of a
// request is divided by that time: a request that holds scarce places ten times as long must be worth ten times as much
// to have the same priority.
type runTimes struct {
	mu    sync.Mutex
	kinds map[string]*runTime
}

// runTime is the estimate of one kind.
type runTime struct {
	mean     float64 // milliseconds
	exponent int
}

// observe adds the run time of a complete answer.
func (t *runTimes) observe(kind string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.kinds[kind]
	if !ok {
		if t.kinds == nil {
			t.kinds = make(map[string]*runTime)
		}
		if len(t.kinds) >= maxRunTimes {
			return
		}
		r = &runTime{mean: float64(d) / float64(time.Millisecond), exponent: initialExponent}
		t.kinds[kind] = r
	}
	r.mean += (float64(d)/float64(time.Millisecond) - r.mean) / 16
	for r.exponent < maxRunTimeExponent && r.mean > riseThreshold*float64(int(1)<<r.exponent) {
		r.exponent++
	}
	for r.exponent > 0 && r.mean < fallThreshold*float64(int(1)<<r.exponent) {
		r.exponent--
	}
}

// exponent returns the exponent of a kind's run time, as a power of two in milliseconds.
func (t *runTimes) exponent(kind string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.kinds[kind]; ok {
		return r.exponent
	}
	return initialExponent
}

// priority returns the priority of a root request. It consists of its class, its worth per run time, and a stable order
// among equal requests that is derived from the id.
func (n *Node) priority(k kindInfo, rootID string) cradmission.Priority {
	class := cradmission.Ordinary
	if k.Protected() {
		class = cradmission.Protected
	}
	return cradmission.NewPriority(class, n.runTimes.worthPerTime(kindName(k), k.Worth()), rootID)
}

// worthPerTime returns the worth of a kind divided by the time that it holds places, at least 1.
func (t *runTimes) worthPerTime(kind string, worth uint32) uint32 {
	return uint32(max(uint64(worth)*worthScale>>t.exponent(kind), 1))
}
