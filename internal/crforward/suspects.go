package crforward

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
)

const (
	// maxSuspectsPerNotice keeps a crash notice within the size limit of the directory.
	maxSuspectsPerNotice = 12
	// maxSuspectsPerCrash limits the suspects that are published for one crash; the most suspicious ones come first.
	maxSuspectsPerCrash = 96
	// maxStoredNotices limits the notices that a node keeps to publish again to another coordinator; the oldest are
	// dropped.
	maxStoredNotices = 64
	// suspectPollInterval is how often a waiting suspect checks for changes other than the end of a run.
	suspectPollInterval = 50 * time.Millisecond
)

// fingerprints identify the content of a request independently of its id: method, target and body of the requests of
// one caller, and the same over all callers. A request may crash servers only when it comes from one caller, while the
// same request of others is harmless, or from any caller, so it is tracked by both.
type fingerprints [fingerprintKinds]crquarantine.Fingerprint

// Kinds of fingerprints.
const (
	perCaller = iota
	allCallers
	fingerprintKinds
)

// streakLimits are the numbers of consecutive crashes that block a request, by kind of fingerprint. The limit over all
// callers is one higher, so that a single caller whose requests crash servers does not block the others.
var streakLimits = [fingerprintKinds]int{perCaller: 3, allCallers: 4}

// suspects tracks the requests that may crash backend servers, as known to this node.
type suspects struct {
	node *Node

	mu sync.Mutex
	// streaks tracks the consecutive crashes of requests, by kind of fingerprint.
	streaks [fingerprintKinds]crquarantine.StreakTracker
	// serverLifetime counts the lifetimes of the backend server, so that the end of a run of an earlier lifetime has
	// no effect.
	serverLifetime uint64
	// runEnded is closed when a run ends.
	runEnded chan struct{}
	// stored holds the latest notices that this node has published, with the time at which each expires.
	stored []storedNotice
}

type storedNotice struct {
	notice  *crwire.DirectoryNotice
	expires time.Time
}

// trackedRun is a run on the backend server. It must be ended by finished, abandoned or cancelled.
type trackedRun struct {
	suspects     *suspects
	fingerprints fingerprints
	// judged holds the kinds of fingerprints by which the run is tracked.
	judged         [fingerprintKinds]bool
	serverLifetime uint64
}

func (s *suspects) prepare(n *Node) {
	s.node = n
	for kind, limit := range streakLimits {
		s.streaks[kind].Limit = limit
	}
}

// verdict returns the restrictions under which a request may run.
func (s *suspects) verdict(now time.Time, prints fingerprints) crquarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := crquarantine.Free
	for kind := range s.streaks {
		switch v := s.streaks[kind].Check(now, prints[kind]); v {
		case crquarantine.Convicted:
			return v
		case crquarantine.Watched:
			verdict = v
		}
	}
	return verdict
}

// blockedFor returns for how much longer a request is blocked.
func (s *suspects) blockedFor(now time.Time, prints fingerprints) (left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind := range s.streaks {
		if e, ok := s.streaks[kind].Lookup(now, prints[kind]); ok && e.State == crquarantine.StateConvicted {
			left = max(left, crquarantine.ConvictionLifetime-e.Age)
		}
	}
	return left
}

// entries returns all tracked requests.
func (s *suspects) entries(now time.Time) (all []crquarantine.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind := range s.streaks {
		all = append(all, s.streaks[kind].Report(now)...)
	}
	return all
}

// startRun registers the start of a run. If the result is Wait, the returned channel is closed when a run ends. A
// request that the server has answered for this caller is not tracked by the fingerprint over all callers.
func (s *suspects) startRun(now time.Time, prints fingerprints) (trackedRun, crquarantine.Admission, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runEnded == nil {
		s.runEnded = make(chan struct{})
	}
	run := trackedRun{suspects: s, fingerprints: prints, serverLifetime: s.serverLifetime}
	run.judged = [fingerprintKinds]bool{perCaller: true, allCallers: !s.streaks[perCaller].Proven(now, prints[perCaller])}
	for kind := range s.streaks {
		if !run.judged[kind] {
			continue
		}
		if a := s.streaks[kind].Started(now, prints[kind]); a != crquarantine.Admitted {
			for before := range kind {
				s.streaks[before].Cancelled(prints[before])
			}
			return trackedRun{}, a, s.runEnded
		}
	}
	return run, crquarantine.Admitted, nil
}

// wakeWaiters makes waiting suspects try again. The caller holds the lock.
func (s *suspects) wakeWaiters() {
	if s.runEnded != nil {
		close(s.runEnded)
		s.runEnded = nil
	}
}

// finished ends a run with a complete answer.
func (r trackedRun) finished(now time.Time) {
	r.endWith(func(s *crquarantine.StreakTracker, f crquarantine.Fingerprint) { s.Finished(now, f) })
	r.suspects.mu.Lock()
	defer r.suspects.mu.Unlock()
	for kind, judged := range r.judged {
		if !judged && r.serverLifetime == r.suspects.serverLifetime {
			r.suspects.streaks[kind].FinishedUnstarted(now, r.fingerprints[kind])
		}
	}
}

// abandoned ends a run on which the server may still work.
func (r trackedRun) abandoned(now time.Time) {
	r.endWith(func(s *crquarantine.StreakTracker, f crquarantine.Fingerprint) { s.Abandoned(now, f) })
}

// cancelled ends a run that never reached the server.
func (r trackedRun) cancelled() { r.endWith((*crquarantine.StreakTracker).Cancelled) }

func (r trackedRun) endWith(update func(*crquarantine.StreakTracker, crquarantine.Fingerprint)) {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind := range s.streaks {
		if r.judged[kind] && r.serverLifetime == s.serverLifetime {
			update(&s.streaks[kind], r.fingerprints[kind])
		}
	}
	s.wakeWaiters()
}

// remoteAnswered records a complete answer of another node's server.
func (s *suspects) remoteAnswered(now time.Time, prints fingerprints) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind := range s.streaks {
		s.streaks[kind].Answered(now, prints[kind])
	}
}

// serverCrashed records a crash of the backend server and publishes the suspects to the other nodes.
func (s *suspects) serverCrashed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverLifetime++
	s.wakeWaiters()
	for kind := range s.streaks {
		s.publishCrash(now, kind, s.streaks[kind].Crashed(now))
	}
}

// serverRestarted records a new lifetime of the backend server.
func (s *suspects) serverRestarted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverLifetime++
	s.wakeWaiters()
	for kind := range s.streaks {
		s.streaks[kind].Restarted(now)
	}
}

// publishCrash publishes the suspects of a crash to the other nodes. The caller holds the lock.
func (s *suspects) publishCrash(now time.Time, kind int, entries []crquarantine.Entry) {
	entries = entries[:min(len(entries), maxSuspectsPerCrash)]
	convicted := 0
	for convicted < len(entries) && entries[convicted].State == crquarantine.StateConvicted {
		s.node.Counters.Add("convictions", 1)
		s.node.Log.Emit(now, crevent.State, crevent.RequestConvicted, crevent.KeyFingerprint, entries[convicted].Fingerprint)
		convicted++
	}
	s.node.Counters.Add("suspects", int64(len(entries)))
	part := 0
	for _, sameState := range [][]crquarantine.Entry{entries[:convicted], entries[convicted:]} {
		for len(sameState) > 0 {
			n := min(len(sameState), maxSuspectsPerNotice)
			s.publishEntries(now, kind, part, sameState[:n])
			sameState, part = sameState[n:], part+1
		}
	}
}

// publishEntries publishes entries of the same kind and state. The caller holds the lock.
func (s *suspects) publishEntries(now time.Time, kind, part int, entries []crquarantine.Entry) {
	m := &crwire.CrashNotice{Kind: uint32(kind)}
	life := crquarantine.SuspectLifetime
	for _, e := range entries {
		if e.State == crquarantine.StateConvicted {
			life = crquarantine.ConvictionLifetime
		}
		m.Suspects = append(m.Suspects, &crwire.CrashSuspect{
			Fingerprint: e.Fingerprint[:], State: uint32(e.State), Seq: e.Seq, Crashes: int32(e.Crashes),
		})
	}
	value, err := proto.Marshal(m)
	if err != nil {
		s.node.Log.Emit(now, crevent.State, crevent.Message, crevent.KeyDetail, "crash notice", crevent.KeyError, err)
		return
	}
	t := storedNotice{expires: now.Add(life), notice: &crwire.DirectoryNotice{
		Service: s.node.Settings.Service, Key: fmt.Sprintf("crash/%s/%d/%d/%d", s.node.Settings.Name, now.UnixMilli(), kind, part), Value: value,
		Version: 1, ExpiresInMs: life.Milliseconds(),
	}}
	s.stored = append(s.stored, t)
	s.stored = s.stored[max(0, len(s.stored)-maxStoredNotices):]
	s.node.publishNotice(t.notice)
}

// republish publishes the stored notices again, to a coordinator that may not have them.
func (s *suspects) republish(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.stored {
		if left := t.expires.Sub(now); left > 0 {
			n := proto.Clone(t.notice).(*crwire.DirectoryNotice)
			n.ExpiresInMs = left.Milliseconds()
			s.node.publishNotice(n)
		}
	}
}

// handleNotice merges the suspects from another node's crash notice.
func (s *suspects) handleNotice(now time.Time, n *crwire.DirectoryNotice) {
	var m crwire.CrashNotice
	if err := proto.Unmarshal(n.GetValue(), &m); err != nil || m.GetKind() >= fingerprintKinds {
		s.node.Counters.Add("notices_malformed", 1)
		return
	}
	entries := make([]crquarantine.Entry, 0, len(m.GetSuspects()))
	for _, c := range m.GetSuspects() {
		e := crquarantine.Entry{State: crquarantine.State(c.GetState()), Seq: c.GetSeq(), Crashes: int(c.GetCrashes())}
		if copy(e.Fingerprint[:], c.GetFingerprint()) != len(e.Fingerprint) {
			continue
		}
		life := crquarantine.SuspectLifetime
		if e.State == crquarantine.StateConvicted {
			life = crquarantine.ConvictionLifetime
		}
		e.Age = max(life-time.Duration(n.GetExpiresInMs())*time.Millisecond, 0)
		entries = append(entries, e)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streaks[m.GetKind()].Merge(now, entries)
}

// suspectHeader carries what nodes know of a request that was in flight at a crash, both on the request and on its
// answer. Notices in the directory take some tenths of a second, and such a request is retried at once.
const suspectHeader = "Citronramp-Suspect"

// header returns the header value for a request to another node, empty if nothing is known.
func (s *suspects) header(now time.Time, prints fingerprints) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for kind := range s.streaks {
		if e, ok := s.streaks[kind].Lookup(now, prints[kind]); ok {
			parts = append(parts, fmt.Sprintf("%d;%d;%d;%d;%d", kind, e.State, e.Seq, e.Crashes, e.Age.Milliseconds()))
		}
	}
	return strings.Join(parts, ",")
}

// mergeHeader merges what another node knows of a request.
func (s *suspects) mergeHeader(now time.Time, prints fingerprints, header string) error {
	if header == "" {
		return nil
	}
	for _, part := range strings.Split(header, ",") {
		kind, e, err := parseSuspect(part)
		if err != nil {
			return err
		}
		e.Fingerprint = prints[kind]
		s.mu.Lock()
		s.streaks[kind].Merge(now, []crquarantine.Entry{e})
		s.mu.Unlock()
	}
	return nil
}

// suspectFields is the number of fields of one entry in the suspect header.
const suspectFields = 5

func parseSuspect(text string) (kind int, e crquarantine.Entry, err error) {
	fields := strings.Split(text, ";")
	if len(fields) != suspectFields {
		return 0, e, crcode.New(crcode.MalformedMessage, "%s has %d fields", suspectHeader, len(fields))
	}
	var values [suspectFields]int64
	for i, text := range fields {
		if values[i], err = strconv.ParseInt(text, 10, 64); err != nil {
			return 0, e, crcode.New(crcode.MalformedMessage, "%s: %v", suspectHeader, err)
		}
	}
	if values[0] < 0 || values[0] >= fingerprintKinds {
		return 0, e, crcode.New(crcode.MalformedMessage, "%s has kind %d", suspectHeader, values[0])
	}
	if values[2] < 0 || values[4] < 0 {
		return 0, e, crcode.New(crcode.MalformedMessage, "%s has negative fields", suspectHeader)
	}
	return int(values[0]), crquarantine.Entry{
		State: crquarantine.State(values[1]), Seq: uint64(values[2]), Crashes: int(values[3]), Age: time.Duration(values[4]) * time.Millisecond,
	}, nil
}
