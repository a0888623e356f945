package crquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Limits of a streak, a series of crashes in a row.
const (
	// streakLimit is the default number of crashes in a row that convict a request; the requirements allow three.
	streakLimit = 3
	// maxStreak limits the crashes in a row that other gates may report.
	maxStreak = 16
	// minUptime is how long a server must have been up before it gets a run whose crash convicts. Otherwise a server
	// that restarts repeatedly by itself would convict whatever it runs.
	minUptime = 3 * time.Second
	// answerSettleTime is how long after a complete answer a crash of the server still counts against the request.
	answerSettleTime = 250 * time.Millisecond
	// provenCredit is the number of additional crashes in a row that convict a request which servers have answered
	// before: a request that arrives all the time is in flight at most crashes. A request that starts to crash servers
	// later is convicted two crashes later than others.
	provenCredit = 2
	// provenLifetime is how long such an answer counts.
	provenLifetime = 5 * time.Minute
)

// StreakTracker convicts requests that were in flight at several crashes in a row: each of these runs began when the
// previous crash was known, and no run in between ended with a complete answer. A request that was in flight at a
// crash may run again, but never twice at once, so that a request sent many times at the same moment crashes one more
// server instead of many. Simultaneous crashes of many servers count once, since none of their runs began when another
// of these crashes was known. The zero value is ready for use.
type StreakTracker struct {
	// Limit is the number of crashes in a row that convict; zero means three. It is at most 16, and must be the same
	// at all gates.
	Limit int

	entryTable
	running map[Fingerprint]streakRun
	// ended are the latest runs that ended without a crash and may still have caused one.
	ended map[Fingerprint]endedRun
	// answers are the complete answers of the last provenLifetime.
	answers map[Fingerprint]answer
	// startedAt is when the server started; the zero time means long ago.
	startedAt time.Time
}

// streakRun describes the runs in flight of one fingerprint.
type streakRun struct {
	count int
	// suspect is set if crashes in a row were known when one of the runs began, and crashes is their number. started
	// is when the latest run began.
	suspect bool
	crashes int
	started time.Time
}

// watched reports whether the request may not run beside a second run of itself. A request whose credit is not used up
// may.
func (r streakRun) watched() bool { return r.suspect && r.crashes > 0 }

// answer holds when requests of one fingerprint were answered. pending is the first answer after which the server has
// not yet run for answerSettleTime without a crash; proven is the last answer after which it has.
type answer struct{ pending, proven time.Time }

// settle returns the answer with pending moved to proven if the server has run for answerSettleTime since.
func (a answer) settle(now time.Time) answer {
	if !a.pending.IsZero() && now.Sub(a.pending) >= answerSettleTime {
		a.proven, a.pending = a.pending, time.Time{}
	}
	return a
}

// endedRun is the last ended run of a fingerprint.
type endedRun struct {
	streakRun
	// answered is set if the run ended with a complete answer; a crash counts against the run before the time until.
	answered bool
	until    time.Time
}

func (s *StreakTracker) limit() int {
	if s.Limit > 0 {
		return s.Limit
	}
	return streakLimit
}

// crashConvicts reports whether a crash during the run convicts the request.
func (s *StreakTracker) crashConvicts(r streakRun) bool { return r.suspect && r.crashes == s.limit()-1 }

// Check returns how the request may run: Free, Watched or Convicted.
func (s *StreakTracker) Check(now time.Time, f Fingerprint) Verdict {
	switch s.state(now, f) {
	case StateSuspected:
		if s.entries[f].crashes > 0 {
			return Watched
		}
	case StateConvicted:
		return Convicted
	}
	return Free
}

// Lookup returns the entry of a request that was in flight at a crash. It is sent to the gates that the request is sent
// to and to the senders that it came from.
func (s *StreakTracker) Lookup(now time.Time, f Fingerprint) (Entry, bool) {
	e, ok := s.entries[f]
	if !ok || now.Sub(e.since) >= e.lifetime() {
		return Entry{}, false
	}
	return s.export(now, f), true
}

// setCrashes stores the number of crashes in a row unless at least as many are stored.
func (s *StreakTracker) setCrashes(now time.Time, f Fingerprint, crashes int) {
	if s.state(now, f) != StateCleared && crashes <= s.entries[f].crashes {
		return
	}
	state := StateSuspected
	if crashes >= s.limit() {
		state = StateConvicted
	}
	s.set(now, f, state, min(crashes, s.limit()))
}

// Started asks to start a run; only Admitted starts it. Wait means that another run must end first, UseOtherServer that the
// server has not been up for long enough.
func (s *StreakTracker) Started(now time.Time, f Fingerprint) Admission {
	before := s.running[f]
	run := streakRun{count: before.count + 1, suspect: before.suspect, crashes: before.crashes, started: now}
	switch s.state(now, f) {
	case StateConvicted:
		return Refused
	case StateSuspected:
		run.suspect, run.crashes = true, s.entries[f].crashes
		if a := s.startSuspect(now, run); a != Admitted {
			return a
		}
	}
	if s.running == nil {
		s.running = map[Fingerprint]streakRun{}
	}
	s.running[f] = run
	return Admitted
}

// startSuspect returns whether a suspect may start. A suspect whose crash convicts does not run beside other watched
// suspects, since a crash would not show which of them caused it.
func (s *StreakTracker) startSuspect(now time.Time, run streakRun) Admission {
	switch {
	case !run.watched():
		return Admitted
	case s.crashConvicts(run) && now.Sub(s.startedAt) < minUptime:
		return UseOtherServer
	case run.count > 1:
		return Wait
	}
	conflicts := func(other streakRun) bool { return s.crashConvicts(other) || other.watched() && s.crashConvicts(run) }
	for _, other := range s.running {
		if conflicts(other) {
			return Wait
		}
	}
	for _, other := range s.ended {
		// The other request has been answered, but its server may still crash because of it.
		if other.answered && now.Before(other.until) && conflicts(other.streakRun) {
			return Wait
		}
	}
	return Admitted
}

// endRun removes a run from the runs in flight. ok is false if there is none, because the server has crashed or been
// replaced.
func (s *StreakTracker) endRun(f Fingerprint) (run streakRun, ok bool) {
	run, ok = s.running[f]
	switch {
	case !ok:
	case run.count == 1:
		delete(s.running, f)
	default:
		left := run
		left.count--
		s.running[f] = left
	}
	return run, ok
}

// Cancelled ends a run that never reached the server.
func (s *StreakTracker) Cancelled(f Fingerprint) { s.endRun(f) }

// Finished ends a run with a complete answer, which clears a suspect.
func (s *StreakTracker) Finished(now time.Time, f Fingerprint) {
	if run, ok := s.endRun(f); ok {
		s.addEnded(f, endedRun{run, true, now.Add(answerSettleTime)}, now)
		s.FinishedUnstarted(now, f)
	}
}

// FinishedUnstarted records a complete answer of this gate's server to a request that was not started with Started.
func (s *StreakTracker) FinishedUnstarted(now time.Time, f Fingerprint) {
	s.recordAnswer(now, f)
	s.Answered(now, f)
}

// recordAnswer records the time of a complete answer.
func (s *StreakTracker) recordAnswer(now time.Time, f Fingerprint) {
	if s.answers == nil {
		s.answers = map[Fingerprint]answer{}
	}
	known, ok := s.answers[f]
	if !ok && len(s.answers) >= defaultMaxEntries {
		// Any entry may be evicted: a request that arrives often is soon recorded again.
		for other := range s.answers {
			delete(s.answers, other)
			break
		}
	}
	a := known.settle(now)
	if a.pending.IsZero() {
		a.pending = now
	}
	s.answers[f] = a
}

// Proven reports whether this gate's server answered the request within provenLifetime and did not crash soon after the
// answer.
func (s *StreakTracker) Proven(now time.Time, f Fingerprint) bool {
	return now.Sub(s.answers[f].settle(now).proven) < provenLifetime
}

// Answered clears a suspect that a server has answered.
func (s *StreakTracker) Answered(now time.Time, f Fingerprint) {
	if s.state(now, f) == StateSuspected {
		s.set(now, f, StateCleared, 0)
	}
}

// Abandoned ends a run whose caller gave up while the server may continue it.
func (s *StreakTracker) Abandoned(now time.Time, f Fingerprint) {
	if run, ok := s.endRun(f); ok {
		s.addEnded(f, endedRun{run, false, now.Add(abandonedRunTime)}, now)
	}
}

func (s *StreakTracker) addEnded(f Fingerprint, p endedRun, now time.Time) {
	if s.ended == nil {
		s.ended = map[Fingerprint]endedRun{}
	}
	if len(s.ended) >= defaultMaxEntries {
		s.dropEnded(now)
	}
	if len(s.ended) < defaultMaxEntries {
		s.ended[f] = p
	}
}

func (s *StreakTracker) dropEnded(now time.Time) {
	for f, p := range s.ended {
		if !now.Before(p.until) {
			delete(s.ended, f)
		}
	}
}

// Crashed records a crash of the server. It returns the entries of the requests that may have caused it, which the
// caller sends to other gates. The most suspicious entries are first: those with more crashes before, then those that
// began later.
func (s *StreakTracker) Crashed(now time.Time) []Entry {
	s.dropEnded(now)
	suspects := s.running
	if suspects == nil {
		suspects = map[Fingerprint]streakRun{}
	}
	for f, p := range s.ended {
		if _, ok := suspects[f]; !ok {
			suspects[f] = p.streakRun
		}
	}
	var out []Entry
	for f, run := range suspects {
		if !run.suspect && s.Proven(now, f) {
			run.crashes = -provenCredit
		}
		s.setCrashes(now, f, run.crashes+1)
		out = append(out, s.export(now, f))
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), suspects[b.Fingerprint].started.Compare(suspects[a.Fingerprint].started),
			slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	for f, a := range s.answers {
		s.answers[f] = answer{proven: a.settle(now).proven}
	}
	s.Restarted(now)
	return out
}

// Restarted records that another server, or the next incarnation of a crashed one, replaces the server; runs of the
// previous server end.
func (s *StreakTracker) Restarted(now time.Time) {
	s.running, s.ended, s.startedAt = nil, nil, now
}

// Merge merges the entries of another gate.
func (s *StreakTracker) Merge(now time.Time, entries []Entry) { s.merge(now, entries) }

// Report returns all entries of this gate, sorted by fingerprint.
func (s *StreakTracker) Report(now time.Time) []Entry { return s.live(now) }
