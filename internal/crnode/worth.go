package crnode

import (
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

const (
	// worthScale keeps worths apart after the division by the run time; a worth of 1,000,000 still fits the priority.
	worthScale = 4096
	// maxRunPower bounds the power of two in milliseconds that stands for a run time, 4 s.
	maxRunPower = 12
	// firstRunPower stands for the run time of a kind that was not run yet, 64 ms.
	firstRunPower = 6
	// A run time must leave its power of two by a fifth before the power changes, so that priorities are stable.
	risePast = 2.4
	fallPast = 0.8
	// maxRunTimes bounds the kinds whose run time is kept.
	maxRunTimes = 1024
)

// runTimes estimates how long requests of each kind hold places, from whole answers. The worth of a request is weighed
// against that time: a request that holds scarce places ten times as long must be worth ten times as much to go first.
type runTimes struct {
	mu    sync.Mutex
	kinds map[string]*runTime
}

// runTime is the estimate of one kind.
type runTime struct {
	mean  float64 // milliseconds
	power int
}

// learn takes the run time of a whole answer.
func (t *runTimes) learn(kind string, d time.Duration) {
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
		r = &runTime{mean: float64(d) / float64(time.Millisecond), power: firstRunPower}
		t.kinds[kind] = r
	}
	r.mean += (float64(d)/float64(time.Millisecond) - r.mean) / 16
	for r.power < maxRunPower && r.mean > risePast*float64(int(1)<<r.power) {
		r.power++
	}
	for r.power > 0 && r.mean < fallPast*float64(int(1)<<r.power) {
		r.power--
	}
}

// power returns the power of two in milliseconds that stands for a kind's run time.
func (t *runTimes) power(kind string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.kinds[kind]; ok {
		return r.power
	}
	return firstRunPower
}

// priority returns the priority of a root request: its class, its worth for the time that it holds places, and a stable
// order within equal ones.
func (n *Node) priority(k kindInfo, rootID string) cradmission.Priority {
	class := cradmission.Ordinary
	if k.Protected() {
		class = cradmission.Protected
	}
	return cradmission.NewPriority(class, n.runTimes.weigh(kindName(k), k.Worth()), rootID)
}

// weigh returns the worth of a kind for the time that it holds places, at least 1.
func (t *runTimes) weigh(kind string, worth uint32) uint32 {
	return uint32(max(uint64(worth)*worthScale>>t.power(kind), 1))
}
