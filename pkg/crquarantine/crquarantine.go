// Package crquarantine identifies requests that crash backend servers. Every request in flight at a crash becomes a
// suspect. With a Tracker a suspect runs only alone on a server, and a crash in such an exclusive run convicts it.
// With StreakTracker a suspect runs beside other requests, and several crashes in a row convict it; this is for services
// whose servers cannot be emptied for one request.
// Both types are pure state machines for one gate. They have no clock or goroutine and are not safe for concurrent
// use.
package crquarantine

import (
	"encoding/hex"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// Times and limits of a quarantine.
const (
	// SuspectLifetime is how long after the last crash a suspect remains one.
	SuspectLifetime = 10 * time.Minute
	// ConvictionLifetime is how long a convicted request is refused.
	ConvictionLifetime = time.Hour
	// reservationTime is how long a server that empties for a suspect refuses other work if the suspect does not ask
	// again.
	reservationTime = 2 * time.Second
	// leaseTime is how long an exclusive run reported by another gate counts without a further report.
	leaseTime = 5 * time.Second
	// abandonedRunTime is how long an abandoned run is still considered at a crash, since the server may continue it.
	abandonedRunTime = 10 * time.Second
	// abandonedHoldTime is how long a server remains reserved for an exclusive run that was abandoned.
	abandonedHoldTime = time.Second
	// defaultMaxEntries limits the suspects and convictions of one service.
	defaultMaxEntries = 4096
)

// Fingerprint identifies a request by its service, kind and body.
type Fingerprint [16]byte

// FingerprintOf returns the digest of service, kind and body.
func FingerprintOf(service, kind string, body []byte) Fingerprint {
	return Fingerprint(crrecord.DigestOf(service, kind, body))
}

// String returns 32 hex digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses 32 hex digits; the error has the code BadValue.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	if b, err := hex.DecodeString(s); err != nil || copy(f[:], b) != len(f) || len(b) != len(f) {
		return Fingerprint{}, crcode.New(crcode.BadValue, "a fingerprint has 32 hex digits")
	}
	return f, nil
}

// Verdict is how a request may run.
type Verdict uint8

// The verdicts of Check.
const (
	// Free means that the request may run beside other requests.
	Free Verdict = iota + 1
	// Exclusive means that the request may run only alone on a server.
	Exclusive
	// Convicted means that the request is refused.
	Convicted
	// Watched means that the request may run beside other requests, but not beside a second run of itself.
	Watched
)

// Admission tells whether a run may start on this server now.
type Admission uint8

// The results of Started.
const (
	// Admitted means that the run has started. It ends with Finished, Cancelled, Abandoned or Crashed.
	Admitted Admission = iota + 1
	// Wait means that the run cannot start yet, because the server is being emptied for an exclusive run or because
	// another run must end first. The caller may retry later or on another server.
	Wait
	// UseOtherServer means that the run must use another server of the service.
	UseOtherServer
	// Refused means that the request is convicted.
	Refused
)

// State is the shared state of one fingerprint at the gates of a service.
type State uint8

// The states, weakest first. At equal sequence numbers the stronger state takes precedence.
const (
	// StateCleared means that the suspect finished an exclusive run or, with StreakTracker, got a complete answer, or that an
	// operator lifted the conviction.
	StateCleared State = iota + 1
	// StateSuspected means that the request was in flight at a crash.
	StateSuspected
	// StateConvicted means that the request is convicted: it crashed a server while it ran alone, or was in flight at
	// several crashes in a row.
	StateConvicted
)

// Entry is the state of one fingerprint as gates exchange it. An entry with a higher sequence number replaces one with
// a lower number.
type Entry struct {
	Fingerprint Fingerprint
	State       State
	Seq         uint64
	Age         time.Duration
	// Crashes is the number of crashes in a row that StreakTracker counted.
	Crashes int
}

// Report is the state that a gate sends to the other gates of its service.
type Report struct {
	// Server names the gate's server.
	Server string
	// Exclusive is set while the server is reserved for exclusive runs.
	Exclusive bool
	Entries   []Entry
}

// Tracker stores the suspects and convictions that one gate knows, and the runs in flight on its server.
type Tracker struct {
	// Server names the gate's server.
	Server string
	// MaxEntries limits suspects and convictions; zero means 4096. When full, the oldest entry of the weakest state is
	// evicted, so convictions are evicted last.
	MaxEntries int

	entryTable
	inFlight      map[Fingerprint]int
	running       int
	exclusive     bool
	reservedUntil time.Time
	reservedFor   Fingerprint
	leases        map[string]time.Time
	// abandoned contains the times at which runs were abandoned. lastAbandoned is the last one of these runs, and
	// abandonedExclusive is set if it was exclusive and no run has finished since.
	abandoned          map[Fingerprint]time.Time
	lastAbandoned      Fingerprint
	abandonedExclusive bool
}

// Check returns how the request may run.
func (t *Tracker) Check(now time.Time, f Fingerprint) Verdict {
	switch t.state(now, f) {
	case StateSuspected:
		return Exclusive
	case StateConvicted:
		return Convicted
	}
	return Free
}

// Started asks to start a run; only Admitted starts it. If the result for a suspect is Wait, the server refuses other
// work for 2 s, so that it empties.
func (t *Tracker) Started(now time.Time, f Fingerprint) Admission {
	switch t.Check(now, f) {
	case Convicted:
		return Refused
	case Exclusive:
		return t.startExclusive(now, f)
	}
	if t.exclusive || now.Before(t.reservedUntil) || t.heldByAbandoned(now) {
		return Wait
	}
	t.start(f)
	return Admitted
}

func (t *Tracker) startExclusive(now time.Time, f Fingerprint) Admission {
	if !t.exclusive && !now.Before(t.reservedUntil) && t.leasedElsewhere(now) {
		return UseOtherServer
	}
	if t.exclusive || t.heldByAbandoned(now) || now.Before(t.reservedUntil) && t.reservedFor != f {
		return Wait
	}
	if t.running > 0 {
		t.reservedUntil, t.reservedFor = now.Add(reservationTime), f
		return Wait
	}
	t.reservedUntil = time.Time{}
	t.exclusive = true
	t.start(f)
	return Admitted
}

func (t *Tracker) leasedElsewhere(now time.Time) bool { return t.ExclusiveServer(now) != "" }

// ExclusiveServer returns the other server that is reserved for exclusive runs according to the reports of other
// gates, or "".
func (t *Tracker) ExclusiveServer(now time.Time) string {
	first := ""
	for server, until := range t.leases {
		if now.Before(until) && (first == "" || server < first) {
			first = server
		}
	}
	return first
}

func (t *Tracker) start(f Fingerprint) {
	if t.inFlight == nil {
		t.inFlight = make(map[Fingerprint]int)
	}
	t.inFlight[f]++
	t.running++
}

// Finished ends a run that did not crash the server; an exclusive run clears its suspect.
func (t *Tracker) Finished(now time.Time, f Fingerprint) {
	if t.inFlight[f] == 0 {
		return
	}
	t.inFlight[f]--
	if t.inFlight[f] == 0 {
		delete(t.inFlight, f)
	}
	t.running--
	t.abandonedExclusive = false
	if t.exclusive {
		t.exclusive = false
		t.set(now, f, StateCleared)
	}
}

// Cancelled ends a run that never reached the server; it clears no suspect.
func (t *Tracker) Cancelled(f Fingerprint) {
	if t.inFlight[f] == 0 {
		return
	}
	t.inFlight[f]--
	if t.inFlight[f] == 0 {
		delete(t.inFlight, f)
	}
	t.running--
	t.exclusive = false
}

// Abandoned ends a run whose caller gave up while the server may continue it. If the server crashes soon after, the
// request becomes a suspect, or is convicted if it ran alone and nothing has run since.
func (t *Tracker) Abandoned(now time.Time, f Fingerprint) {
	if t.inFlight[f] == 0 {
		return
	}
	t.lastAbandoned, t.abandonedExclusive = f, t.exclusive
	t.Cancelled(f)
	if t.abandoned == nil {
		t.abandoned = make(map[Fingerprint]time.Time)
	}
	if len(t.abandoned) >= defaultMaxEntries {
		t.dropAbandoned(now)
	}
	if len(t.abandoned) < defaultMaxEntries {
		t.abandoned[f] = now
	}
}

// heldByAbandoned reports whether the server is still reserved for an abandoned exclusive run.
func (t *Tracker) heldByAbandoned(now time.Time) bool {
	return t.abandonedExclusive && now.Sub(t.abandoned[t.lastAbandoned]) < abandonedHoldTime
}

// dropAbandoned drops runs that were abandoned abandonedRunTime ago or earlier.
func (t *Tracker) dropAbandoned(now time.Time) {
	for f, at := range t.abandoned {
		if now.Sub(at) >= abandonedRunTime {
			delete(t.abandoned, f)
		}
	}
}

// Crashed records a crash of the server. Requests in flight become suspects, or are convicted if the run was
// exclusive. The caller must send the returned entries to the other gates at once, and convictions also to the
// replicated log.
func (t *Tracker) Crashed(now time.Time) []Entry {
	var out []Entry
	for f := range t.inFlight {
		state := StateSuspected
		if t.exclusive {
			state = StateConvicted
		}
		if t.Check(now, f) != Convicted {
			t.set(now, f, state)
		}
		out = append(out, t.export(now, f))
	}
	out = append(out, t.crashedAbandoned(now)...)
	t.inFlight, t.running, t.exclusive = nil, 0, false
	t.abandoned, t.abandonedExclusive = nil, false
	t.reservedUntil = time.Time{}
	sortEntries(out)
	return out
}

// crashedAbandoned updates the entries of runs that were abandoned before a crash.
func (t *Tracker) crashedAbandoned(now time.Time) []Entry {
	var out []Entry
	t.dropAbandoned(now)
	for f := range t.abandoned {
		if t.inFlight[f] > 0 || t.Check(now, f) == Convicted {
			continue
		}
		state := StateSuspected
		if t.abandonedExclusive && f == t.lastAbandoned && t.running == 0 {
			state = StateConvicted
		}
		t.set(now, f, state)
		out = append(out, t.export(now, f))
	}
	return out
}
