// Package cradmission decides which requests a service keeps under overload. It provides request priorities, a bounded
// priority queue, the admission level of a gate (the admission controller beside a backend server), and tables of the
// levels and the called services that callers read from answers. It reads no clock and starts no goroutine; all types are
// safe for concurrent use.
package cradmission

import (
	"math/rand/v2"
	"time"
)

// Class is the most significant part of a priority: no protected request is refused in favour of an ordinary one.
type Class uint8

// The classes, the lowest first.
const (
	Ordinary Class = iota
	Protected
)

// String returns the name of the class in commands and dumps.
func (c Class) String() string {
	if c == Protected {
		return "protected"
	}
	return "ordinary"
}

// Priority orders requests; lower ones are refused first. From the most significant bit it consists of the class (1 bit),
// the worth (32 bits), the configured importance of the request's kind, and a hash of the root request id (31 bits).
type Priority uint64

const (
	hashBits  = 31
	hashSpace = 1 << hashBits
	classBit  = Priority(1) << 63
	// probeMask selects one of 128 requests by the low hash bits, so that the selection does not depend on the position of a
	// level within the hash range.
	probeMask = Priority(1<<7 - 1)
)

// NewPriority returns the priority of a root request; every node computes the same value for the same root id.
func NewPriority(class Class, worth uint32, rootID string) Priority {
	h := uint64(14695981039346656037)
	for i := 0; i < len(rootID); i++ {
		h = (h ^ uint64(rootID[i])) * 1099511628211
	}
	// The high bits of FNV are similar for similar ids, so they are mixed again.
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

// Class returns the class of the priority.
func (p Priority) Class() Class { return Class(p >> 63) }

// Worth returns the worth of the priority.
func (p Priority) Worth() uint32 { return uint32(p >> hashBits) }

// Probe reports whether callers send the request even if it is below the level, to measure the demand there; this applies
// to about 0.8% of all requests. All nodes select the same requests, so that a probe is not refused at a deeper service.
func (p Priority) Probe() bool { return p&probeMask == 0 }

// group returns the class and the worth without the hash.
func (p Priority) group() Priority { return p >> hashBits }

// Bounds of the delay that RetryAfter returns.
const (
	MinRetryAfter = 200 * time.Millisecond
	MaxRetryAfter = 10 * time.Second
)

// RetryAfter returns the delay after which a refused caller should retry. The pressure is demand over capacity. The delay
// doubles for a priority of a lower class or worth than the level. It varies between half and one and a half of its mean,
// so that refused callers do not retry at the same time. The caller serializes access to rnd.
func RetryAfter(p, level Priority, pressure float64, rnd *rand.Rand) time.Duration {
	mean := 500 * time.Millisecond.Seconds() * min(max(pressure, 1), 20)
	if p.group() < level.group() {
		mean *= 2
	}
	d := time.Duration(mean * (0.5 + rnd.Float64()) * float64(time.Second))
	return min(max(d, MinRetryAfter), MaxRetryAfter)
}
