// Package crlease decides how old the configuration of a node may be. A node asks a coordinator for the newest version and
// knows from the reply that a configuration of that version is current as of the time at which the request was sent. All
// times come from the caller and must belong to a clock that counts suspension.
package crlease

import (
	"slices"
	"time"
)

// Constants of the lease.
const (
	// driftShare is the share of a bound that is used. The rest covers the drift between the clocks of two machines, which
	// is far below 2%.
	driftShare = 0.98
	// maxPending limits the replies that wait for their document. One reply arrives each RequestInterval, and a document
	// follows within a few of them.
	maxPending = 16
	// RequestInterval is the least time between two requests while they are answered. Several requests fit into the
	// shortest bound in use, 2 s, so that some of them may fail.
	RequestInterval = 500 * time.Millisecond
)

// confirmation says that a configuration of the version, or of a later one, was current at asOf.
type confirmation struct {
	asOf    time.Time
	version uint64
}

// Lease holds as of when the configuration in force is known to be current. The zero value knows nothing, as after a
// restart. It is not safe for concurrent use.
type Lease struct {
	current confirmation
	// pending holds replies with versions that are not in force yet.
	pending []confirmation
}

// Answered records a reply with the newest version to a request that was sent at the given time; inForce is the version of
// the configuration in force.
func (l *Lease) Answered(sent time.Time, version, inForce uint64) {
	if version > inForce {
		l.await(confirmation{sent, version})
		return
	}
	l.advance(confirmation{sent, version})
}

// await stores a reply until its version is in force, unless a reply to a later request named no later version.
func (l *Lease) await(c confirmation) {
	if slices.ContainsFunc(l.pending, func(p confirmation) bool { return p.covers(c) }) {
		return
	}
	l.pending = append(slices.DeleteFunc(l.pending, c.covers), c)
	if len(l.pending) > maxPending {
		l.pending = slices.Delete(l.pending, 0, 1)
	}
}

// covers reports whether c says all that d says.
func (c confirmation) covers(d confirmation) bool {
	return !c.asOf.Before(d.asOf) && c.version <= d.version
}

func (l *Lease) advance(c confirmation) {
	if c.asOf.After(l.current.asOf) {
		l.current = c
	}
}

// Applied records that the configuration with the version has come into force.
func (l *Lease) Applied(inForce uint64) {
	l.pending = slices.DeleteFunc(l.pending, func(p confirmation) bool {
		if p.version > inForce {
			return false
		}
		l.advance(p)
		return true
	})
}

// Age returns the age that the configuration with the version has at most; it reports false if that is unknown.
func (l *Lease) Age(now time.Time, version uint64) (age time.Duration, known bool) {
	if l.current.asOf.IsZero() || version < l.current.version {
		return 0, false
	}
	return now.Sub(l.current.asOf), true
}

// Within reports whether the configuration with the version is known to be younger than the bound.
func (l *Lease) Within(now time.Time, version uint64, bound time.Duration) bool {
	age, known := l.Age(now, version)
	return known && age < time.Duration(driftShare*float64(bound))
}

// Due reports whether it is time for another request.
func (l *Lease) Due(now time.Time) bool {
	return l.current.asOf.IsZero() || now.Sub(l.current.asOf) >= RequestInterval
}
