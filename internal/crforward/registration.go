package crforward

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Report is what a backend server reports about itself at each heartbeat.
type Report struct {
	ID      string
	Service string
	Address string
	// Born is the start time of the server's process and orders its lifetimes. Sequence orders the reports of one
	// lifetime.
	Born     time.Time
	Sequence uint64
	Slots    int
	// Draining says that the server accepts no new work.
	Draining bool
	// Cold is the remaining warm-up time, during which the server is slow after its start.
	Cold time.Duration
}

// Limits of the values in a report. Values beyond them come from a faulty or forged report.
const (
	// maxServerID limits the length of an id, which goes into a header of each request.
	maxServerID = 128
	// maxServerSlots is far above the concurrency of any server.
	maxServerSlots = 1 << 16
	// maxCold is far above the warm-up time of any server.
	maxCold = time.Hour
	// maxStartAhead is how far a start time may lie in the future; clocks of instances differ and jump by seconds.
	maxStartAhead = time.Minute
)

// validate returns an error if the values of a report are not valid, regardless of the registered server.
func (r *Report) validate(now time.Time) error {
	switch {
	case !validServerID(r.ID):
		return crcode.New(crcode.BadValue, "a server's id has 1 to %d printable characters", maxServerID)
	case r.Slots < 1 || r.Slots > maxServerSlots:
		return crcode.New(crcode.BadValue, "%d slots; a server has 1 to %d", r.Slots, maxServerSlots)
	case r.Cold > maxCold:
		return crcode.New(crcode.BadValue, "cold for %s; at most %s", r.Cold, maxCold)
	}
	return validateStart(now, r.Born)
}

// validateStart rejects a start time in the future, with which every later report of the server would count as one of
// an earlier lifetime.
func validateStart(now, born time.Time) error {
	if born.IsZero() || born.Sub(now) > maxStartAhead {
		return crcode.New(crcode.BadValue, "the start at %s lies in the future", born.UTC().Format(time.RFC3339))
	}
	return nil
}

func validServerID(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxServerID
}

// registration is the server that is registered at the gate.
type registration struct {
	Report
	// lastReport is when the last report arrived, warmAt when the server's warm-up ends.
	lastReport, warmAt time.Time
	// earlier is the last report of an earlier lifetime, received at earlierAt. It replaces the registration if the
	// registered lifetime is silent, because the later start time then was not the server's.
	earlier   Report
	earlierAt time.Time
}

// instance returns the name of the server's lifetime.
func (r *registration) instance() string { return r.ID + "@" + r.Born.UTC().Format("150405.000") }

// registrationVerdict is the effect of a report on the registration.
type registrationVerdict uint8

const (
	// reportStale is a delayed report that changes nothing. Its acknowledgement promises nothing new.
	reportStale registrationVerdict = iota
	reportRenewed
	reportJoined
	reportDrains
	// reportRefused is a report of an earlier lifetime. It must not be acknowledged: if its server is alive, the gate
	// admits calls for another one.
	reportRefused
)

// evaluateReport returns the registration after a report and the effect of the report; hasLeft means that its lifetime
// has announced that it leaves. The function has no side effects.
func evaluateReport(now time.Time, heartbeat time.Duration, old *registration, r Report, hasLeft bool) (*registration, registrationVerdict) {
	r.Draining = r.Draining || hasLeft
	next := &registration{Report: r, lastReport: now, warmAt: now.Add(r.Cold)}
	switch {
	case old == nil:
		return next, reportJoined
	case r.Born.Before(old.Born):
		if old.replacedBy(now, heartbeat, r) {
			return next, reportJoined
		}
		updated := *old
		updated.earlier, updated.earlierAt = r, now
		return &updated, reportRefused
	case r.Born.Equal(old.Born) && r.ID == old.ID:
		return evaluateSameLifetime(old, next)
	}
	return next, reportJoined
}

// evaluateSameLifetime evaluates a report of the registered lifetime.
func evaluateSameLifetime(old, next *registration) (*registration, registrationVerdict) {
	late := next.Sequence <= old.Sequence
	switch {
	case old.Draining && late:
		return old, reportStale
	case old.Draining:
		// A draining server does not accept work again within the same lifetime.
		next.Draining = true
		return next, reportRenewed
	case next.Draining:
		// An announcement to leave is valid even if it is delayed.
		next.Sequence = max(next.Sequence, old.Sequence)
		return next, reportDrains
	case late:
		// The sequence numbers may be wrong, but the report shows that the server is alive.
		updated := *old
		updated.lastReport = next.lastReport
		return &updated, reportStale
	}
	return next, reportRenewed
}

// replaceAfterMissed is how many reports the registered lifetime must miss before an earlier one that still reports
// replaces it.
const replaceAfterMissed = 2

// replacedBy reports whether an earlier lifetime is the actual server: the registered one is silent, while the earlier
// one reports repeatedly and in order. Reports that were merely delayed arrive together, less than half a heartbeat
// apart.
func (r *registration) replacedBy(now time.Time, heartbeat time.Duration, e Report) bool {
	return now.Sub(r.lastReport) >= replaceAfterMissed*heartbeat && e.Sequence > r.earlier.Sequence && e.ID == r.earlier.ID &&
		e.Born.Equal(r.earlier.Born) && now.Sub(r.earlierAt) >= heartbeat/2
}

// Register processes a report of the backend server on this instance. A nil result acknowledges the report, which
// guarantees that a draining server gets no further request: all requests pass this gate, and the departure is stored
// for a restart of this process. An error with the code NotStored leaves the gate closed.
func (n *Node) Register(ctx context.Context, now time.Time, r Report) error {
	if err := r.validate(now); err != nil {
		return err
	}
	if r.Service != n.Settings.Service || r.Address != n.Settings.ServerAddress {
		return crcode.New(crcode.BadValue, "the server on this instance is of service %s at %s", n.Settings.Service, n.Settings.ServerAddress)
	}
	verdict := n.gate.handleReport(now, r)
	switch verdict {
	case reportJoined:
		n.Log.Emit(now, crevent.State, crevent.ServerJoined, crevent.KeyServer, r.ID, crevent.KeySlots, r.Slots, crevent.KeyAge, r.Cold, crevent.KeyOutcome, r.Draining)
	case reportDrains:
		n.Log.Emit(now, crevent.State, crevent.ServerDraining, crevent.KeyServer, r.ID)
	case reportStale:
		n.Counters.Add("reports_stale", 1)
	case reportRefused:
		n.Counters.Add("reports_refused", 1)
		return earlierLifetimeError(r.ID)
	case reportRenewed:
	}
	if verdict == reportJoined || verdict == reportDrains {
		n.announce()
	}
	if r.Draining {
		return n.storeDeparture(ctx, r.ID, r.Born)
	}
	return nil
}

// earlierLifetimeError rejects a message of a lifetime that another one has followed.
func earlierLifetimeError(id string) error {
	return crcode.New(crcode.StaleIncarnation, "server %s has started again since", id)
}

// Deregister processes the announcement of a server that it leaves; the server may finish what it runs. An
// announcement of an earlier lifetime is rejected, because the gate stays open. The result is as that of Register.
func (n *Node) Deregister(ctx context.Context, now time.Time, id string, born time.Time) error {
	if err := validateStart(now, born); err != nil {
		return err
	}
	if born.UnixMilli() > 0 {
		n.departures.add(id, born, false)
	}
	switch n.gate.markDraining(id, born) {
	case leaveRefused:
		n.Counters.Add("reports_refused", 1)
		return earlierLifetimeError(id)
	case leaveAccepted:
		n.Log.Emit(now, crevent.State, crevent.ServerGone, crevent.KeyServer, id)
		n.announce()
	case leaveNoChange:
	}
	return n.storeDeparture(ctx, id, born)
}
