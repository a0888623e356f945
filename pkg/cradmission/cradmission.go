// Package cradmission decides which requests a service keeps under overload: priorities, a bounded priority queue,
// the admission level of a gate, and the levels and reached services that callers learn from answers. It has no
// clock and no goroutine; all types are safe for concurrent use.
package cradmission

import (
	"math/rand/v2"
	"time"
)

// Class is the strict part of a priority: no ordinary request is kept before a protected one.
type Class uint8

// The classes, lowest first.
const (
	Ordinary Class = iota
	Protected
)

// String returns the class as it stands in commands and dumps.
func (c Class) String() string {
	if c == Protected {
		return "protected"
	}
	return "ordinary"
}

// Priority orders requests; the higher one is kept longer. From the highest bit: class (1 bit), worth (32 bits), hash
// of the root request id (31 bits).
type Priority uint64

const (
	hashBits  = 31
	hashSpace = 1 << hashBits
	classBit  = Priority(1) << 63
	// probeMask selects one of 128 requests by the low hash bits, which are independent of the level's cut.
	probeMask = Priority(1<<7 - 1)
)

// NewPriority returns the priority of a root request; every layer computes the same value for the same root id.
func NewPriority(class Class, worth uint32, rootID string) Priority {
	h := uint64(14695981039346656037)
	for i := 0; i < len(rootID); i++ {
		h = (h ^ uint64(rootID[i])) * 1099511628211
	}
	// FNV leaves the high bits of similar ids alike, so they are mixed once more.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return makePriority(class, worth, h>>(64-hashBits))
}

func makePriority(class Class, worth uint32, hash uint64) Priority {
	p := Priority(worth)<<hashBits | Priority(hash)
	if class == Protected {
		p |= classBit
	}
	return p
}

// Class returns the class part.
func (p Priority) Class() Class { return Class(p >> 63) }

// Worth returns the worth part.
func (p Priority) Worth() uint32 { return uint32(p >> hashBits) }

// Probe reports whether callers send the request although it is below the level (about 0.8% of all).
// All layers agree on it, so a probe is not thinned out on its way down.
func (p Priority) Probe() bool { return p&probeMask == 0 }

func (p Priority) group() Priority { return p >> hashBits }

// Bounds of the retry hint.
const (
	MinRetryAfter = 200 * time.Millisecond
	MaxRetryAfter = 10 * time.Second
)

// RetryAfter returns when a refused caller should come back. Pressure is demand over capacity; a priority of a lower
// class or worth than the level waits twice as long. The hint is spread over half to one and a half of its mean, so
// that refused callers do not return together. The caller serializes access to rnd.
func RetryAfter(p, level Priority, pressure float64, rnd *rand.Rand) time.Duration {
	mean := 500 * time.Millisecond.Seconds() * min(max(pressure, 1), 20)
	if p.group() < level.group() {
		mean *= 2
	}
	d := time.Duration(mean * (0.5 + rnd.Float64()) * float64(time.Second))
	return min(max(d, MinRetryAfter), MaxRetryAfter)
}
