package crforward

import (
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Report is what a backend server says of itself.
type Report struct {
	ID      string
	Service string
	Address string
	// Born is the time of the server's start and orders its lifetimes; Sequence orders the reports of one lifetime.
	Born     time.Time
	Sequence uint64
	Slots    int
	// Draining tells that the server takes no new work.
	Draining bool
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration
}

// Bounds of what a report may say; what lies beyond comes from a fault or from another writer.
const (
	// maxServerID bounds the length of an id, which goes into a header of each request.
	maxServerID = 128
	// maxServerSlots is far above what one server runs at once.
	maxServerSlots = 1 << 16
	// maxCold is far above what a server needs to warm up.
	maxCold = time.Hour
	// maxAhead is how far a start may lie in the future: clocks of instances differ and jump by seconds.
	maxAhead = time.Minute
)

// check tells why a report names no server, whatever is known of servers.
func (r *Report) check(now time.Time) error {
	switch {
	case !validServerID(r.ID):
		return crcode.New(crcode.BadValue, "a server's id has 1 to %d printable characters", maxServerID)
	case r.Slots < 1 || r.Slots > maxServerSlots:
		return crcode.New(crcode.BadValue, "%d slots; a server has 1 to %d", r.Slots, maxServerSlots)
	case r.Cold > maxCold:
		return crcode.New(crcode.BadValue, "cold for %s; at most %s", r.Cold, maxCold)
	}
	return checkBorn(now, r.Born)
}

// checkBorn refuses a start that lies in the future: every later report of the server would count as one of an earlier lifetime.
func checkBorn(now, born time.Time) error {
	if born.IsZero() || born.Sub(now) > maxAhead {
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

// registration is the server that the gate works for.
type registration struct {
	Report
	// heard is when the last report came, warm when the server stops being slow.
	heard, warm time.Time
	// rival is the last report of an earlier lifetime, which came at rivalHeard. It is taken for the server when this one is
	// silent: then the later start was not the server's.
	rival      Report
	rivalHeard time.Time
}

// instance names the lifetime of the server.
func (r *registration) instance() string { return r.ID + "@" + r.Born.UTC().Format("150405.000") }

// registrationVerdict is what a report changes.
type registrationVerdict uint8

const (
	// reportStale is a late report that changes nothing and promises nothing beyond what is known.
	reportStale registrationVerdict = iota
	reportRenewed
	reportJoined
	reportDrains
	// reportRefused is one of an earlier lifetime. It must not be acknowledged: if its server lives, the gate works for another.
	reportRefused
)

// judgeReport decides about a report against what is registered; departed tells that its lifetime has said that it leaves. It is pure.
func judgeReport(now time.Time, heartbeat time.Duration, old *registration, r Report, departed bool) (*registration, registrationVerdict) {
	r.Draining = r.Draining || departed
	next := &registration{Report: r, heard: now, warm: now.Add(r.Cold)}
	switch {
	case old == nil:
		return next, reportJoined
	case r.Born.Before(old.Born):
		if old.replacedBy(now, heartbeat, r) {
			return next, reportJoined
		}
		kept := *old
		kept.rival, kept.rivalHeard = r, now
		return &kept, reportRefused
	case r.Born.Equal(old.Born) && r.ID == old.ID:
		return judgeSameLifetime(old, next)
	}
	return next, reportJoined
}

// judgeSameLifetime decides about a report of the registered lifetime.
func judgeSameLifetime(old, next *registration) (*registration, registrationVerdict) {
	late := next.Sequence <= old.Sequence
	switch {
	case old.Draining && late:
		return old, reportStale
	case old.Draining:
		// A server that has said that it leaves does not come back in the same lifetime.
		next.Draining = true
		return next, reportRenewed
	case next.Draining:
		// That a server leaves stays true, however late it is told.
		next.Sequence = max(next.Sequence, old.Sequence)
		return next, reportDrains
	case late:
		// The numbers may be wrong; that the server was there a moment ago is not.
		kept := *old
		kept.heard = next.heard
		return &kept, reportStale
	}
	return next, reportRenewed
}

// silentBeats is how many reports the registered lifetime must miss before an earlier one that goes on reporting takes its place.
const silentBeats = 2

// replacedBy reports whether an earlier lifetime is the server: the registered one is silent, while the earlier one reports
// again and again in order. Reports that were held up on their way come together.
func (r *registration) replacedBy(now time.Time, heartbeat time.Duration, e Report) bool {
	return now.Sub(r.heard) >= silentBeats*heartbeat && e.Sequence > r.rival.Sequence && e.ID == r.rival.ID &&
		e.Born.Equal(r.rival.Born) && now.Sub(r.rivalHeard) >= heartbeat/2
}

// Register takes a report of the backend server on this instance. When it returns nil the promise behind the
// acknowledgement holds: a draining server gets no further request, since all of them pass this gate.
func (n *Node) Register(now time.Time, r Report) error {
	if err := r.check(now); err != nil {
		return err
	}
	if r.Service != n.Settings.Service || r.Address != n.Settings.ServerAddress {
		return crcode.New(crcode.BadValue, "the server on this instance is of service %s at %s", n.Settings.Service, n.Settings.ServerAddress)
	}
	verdict := n.gate.report(now, r)
	switch verdict {
	case reportJoined:
		n.Log.Emit(now, crevent.State, crevent.ServerJoined, crevent.KeyServer, r.ID, crevent.KeySlots, r.Slots, crevent.KeyAge, r.Cold, crevent.KeyOutcome, r.Draining)
	case reportDrains:
		n.Log.Emit(now, crevent.State, crevent.ServerDraining, crevent.KeyServer, r.ID)
		n.depart(r.ID, r.Born)
	case reportStale:
		n.Counters.Add("reports_stale", 1)
		return nil
	case reportRefused:
		n.Counters.Add("reports_refused", 1)
		return errEarlierLifetime(r.ID)
	case reportRenewed:
		return nil
	}
	n.announce()
	return nil
}

// errEarlierLifetime refuses the word of a lifetime that another one has followed, as far as known.
func errEarlierLifetime(id string) error {
	return crcode.New(crcode.StaleIncarnation, "server %s has started again since", id)
}

// Deregister takes the word of a server that it leaves; it may go on with what it runs. A word about an earlier lifetime is
// refused, since the gate stays open.
func (n *Node) Deregister(now time.Time, id string, born time.Time) error {
	if err := checkBorn(now, born); err != nil {
		return err
	}
	n.depart(id, born)
	switch n.gate.leave(id, born) {
	case leaveRefused:
		n.Counters.Add("reports_refused", 1)
		return errEarlierLifetime(id)
	case leaveTaken:
		n.Log.Emit(now, crevent.State, crevent.ServerGone, crevent.KeyServer, id)
		n.announce()
	case leaveKnown:
	}
	return nil
}
