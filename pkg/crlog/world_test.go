package crlog_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// failureReporter reports a violated invariant; it is a *testing.T or a *rapid.T.
type failureReporter interface {
	Fatalf(format string, args ...any)
}

// member is a simulated member with its disk and a clock that runs at its own rate; a rate of 0 marks a lost disk.
type member struct {
	id        uint64
	node      *crlog.Node
	disk      crlog.State
	clockRate float64
	down      bool
	// resumeAt is when the suspension of the machine ends. With clockStops set, the clock does not count suspension;
	// clockLag is the time that it has missed.
	resumeAt   time.Duration
	clockStops bool
	clockLag   time.Duration
	// pendingReads and pendingMessages arrived during the suspension.
	pendingReads    []uint64
	pendingMessages []crlog.Message
	applied         uint64
	hash            uint64
}

// cluster is a deterministic simulation of members and the network between them.
type cluster struct {
	reporter failureReporter
	rnd      *rand.Rand
	elapsed  time.Duration
	members  map[uint64]*member
	queue    []crlog.Message
	// partition assigns members to network partitions; messages between partitions are lost.
	partition map[uint64]int
	// brokenLinks holds pairs of members that can't reach each other, the lower id first.
	brokenLinks map[[2]uint64]bool
	// The next three check the invariants: the leader of each term, the hash of the state after each index, and for each
	// read the highest index that was applied before it.
	leaderOfTerm map[uint64]uint64
	stateHashes  map[uint64]uint64
	readFloors   map[uint64]uint64
	// readAllowed holds the answered reads and whether they were allowed.
	readAllowed map[uint64]bool
	// acknowledged is the highest index that any member has applied.
	acknowledged uint64
	nextID       uint64
}

func addr(id uint64) string { return fmt.Sprintf("m%d", id) }

func newCluster(t failureReporter, seed uint64, voters int) *cluster {
	w := &cluster{
		reporter: t, rnd: rand.New(rand.NewPCG(seed, 1)), members: map[uint64]*member{}, partition: map[uint64]int{},
		brokenLinks: map[[2]uint64]bool{}, leaderOfTerm: map[uint64]uint64{}, stateHashes: map[uint64]uint64{},
		readFloors: map[uint64]uint64{}, readAllowed: map[uint64]bool{}, nextID: uint64(voters),
	}
	var members crlog.Members
	for id := uint64(1); id <= uint64(voters); id++ {
		members = append(members, crlog.Member{ID: id, Address: addr(id)})
	}
	for _, m := range members {
		w.add(m.ID, members)
	}
	return w
}

func (w *cluster) add(id uint64, members crlog.Members) *member {
	rates := []float64{0.99, 1, 1.01}
	s := &member{id: id, clockRate: rates[w.rnd.IntN(3)], clockStops: id%2 == 1}
	s.disk.Snapshot.Members = members
	w.members[id] = s
	w.start(s)
	return s
}

func (w *cluster) now(s *member) time.Time {
	base := time.Date(2020, 1, int(s.id%20)+1, 0, 0, 0, 0, time.UTC)
	return base.Add(time.Duration(float64(w.elapsed-s.clockLag) * s.clockRate))
}

func (w *cluster) suspended(s *member) bool { return w.elapsed < s.resumeAt }

// suspend suspends the machine of a member for d; reads and messages for it are queued.
func (w *cluster) suspend(s *member, d time.Duration) {
	if s.down || w.suspended(s) {
		return
	}
	s.resumeAt = w.elapsed + d
	if s.clockStops {
		s.clockLag += d
	}
}

// read starts a linearizable read on a member; processReady checks that it covers all entries acknowledged before.
func (w *cluster) read(s *member) {
	id := uint64(len(w.readFloors) + 1)
	w.readFloors[id] = w.acknowledged
	if w.suspended(s) {
		s.pendingReads = append(s.pendingReads, id)
		return
	}
	s.node.ReadIndex(w.now(s), id)
	w.processReady(s)
}

// deliverPending passes the reads and then the messages that were queued during a suspension to the member.
func (w *cluster) deliverPending(s *member) {
	for _, id := range s.pendingReads {
		s.node.ReadIndex(w.now(s), id)
		w.processReady(s)
	}
	for _, m := range s.pendingMessages {
		s.node.Step(w.now(s), m)
		w.processReady(s)
	}
	s.pendingReads, s.pendingMessages = nil, nil
}

// resetClock ends the suspension of a member that restarts; what was queued for it is lost.
func (w *cluster) resetClock(s *member) {
	if s.clockStops && w.suspended(s) {
		s.clockLag -= s.resumeAt - w.elapsed
	}
	s.resumeAt, s.pendingReads, s.pendingMessages = w.elapsed, nil, nil
}

func (w *cluster) start(s *member) {
	w.resetClock(s)
	cfg := crlog.Config{
		ID: s.id, Address: addr(s.id), MessageBytes: 256, SnapshotEntries: 12, SnapshotBytes: 2048,
		Rand: rand.New(rand.NewPCG(w.rnd.Uint64(), s.id)),
	}
	st := s.disk
	st.Entries = slices.Clone(st.Entries)
	node, err := crlog.New(w.now(s), cfg, st)
	if err != nil {
		w.reporter.Fatalf("start %d: %v", s.id, err)
	}
	s.node, s.down = node, false
	s.restore(st.Snapshot)
}

func (s *member) restore(snap crlog.Snapshot) {
	s.applied, s.hash = snap.Index, 0
	if len(snap.Data) >= 8 {
		s.hash = binary.BigEndian.Uint64(snap.Data)
	}
}

// processReady does the work that a member's Ready returns until there is none, then checks the invariants.
func (w *cluster) processReady(s *member) {
	for !s.down {
		r := s.node.Ready()
		if r.Empty() {
			break
		}
		w.store(s, r)
		w.queue = append(w.queue, r.Messages...)
		for _, e := range r.Committed {
			w.apply(s, e)
		}
		for _, rd := range r.Reads {
			w.readAllowed[rd.ID] = rd.OK
			if floor, ok := w.readFloors[rd.ID]; ok && rd.OK && rd.Index < floor {
				w.reporter.Fatalf("read %d on member %d was allowed at index %d, but index %d was acknowledged before it", rd.ID, s.id, rd.Index, floor)
			}
		}
		s.node.Advance(w.now(s), r)
		if s.node.SnapshotDue() {
			w.compact(s)
		}
	}
	w.checkInvariants()
}

func (w *cluster) store(s *member, r crlog.Ready) {
	if r.Snapshot != nil {
		s.disk.Snapshot, s.disk.Entries = *r.Snapshot, nil
		s.restore(*r.Snapshot)
	}
	if r.Hard != nil {
		s.disk.Hard = *r.Hard
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - s.disk.Snapshot.Index - 1
		s.disk.Entries = append(s.disk.Entries[:keep:keep], r.Entries...)
	}
}

func (w *cluster) compact(s *member) {
	// The padding makes a snapshot larger than one message.
	data := binary.BigEndian.AppendUint64(nil, s.hash)
	snap, entries, err := s.node.Compact(s.applied, append(data, make([]byte, 600)...))
	if err != nil {
		w.reporter.Fatalf("compact: %v", err)
	}
	s.disk.Snapshot, s.disk.Entries = snap, slices.Clone(entries)
}

func (w *cluster) apply(s *member, e crlog.Entry) {
	if e.Index != s.applied+1 {
		w.reporter.Fatalf("member %d applies entry %d after entry %d", s.id, e.Index, s.applied)
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s.hash, e.Index, e.Term, e.Kind, e.Data)
	s.applied, s.hash = e.Index, h.Sum64()
	if old, ok := w.stateHashes[e.Index]; ok && old != s.hash {
		w.reporter.Fatalf("the state of member %d after entry %d differs from that of another member", s.id, e.Index)
	}
	w.stateHashes[e.Index] = s.hash
	w.acknowledged = max(w.acknowledged, e.Index)
}

func (w *cluster) checkInvariants() {
	var leaseHolder uint64
	for id, s := range w.members {
		if s.down || w.suspended(s) {
			continue
		}
		st := s.node.Status(w.now(s))
		if st.Role == crlog.Leader {
			if other, ok := w.leaderOfTerm[st.Term]; ok && other != id {
				w.reporter.Fatalf("members %d and %d are both leader in term %d", other, id, st.Term)
			}
			w.leaderOfTerm[st.Term] = id
		}
		if st.Leads && s.clockLag == 0 {
			if leaseHolder != 0 {
				w.reporter.Fatalf("members %d and %d hold a lease at the same time", leaseHolder, id)
			}
			leaseHolder = id
		}
	}
}

func (w *cluster) memberIDs() []uint64 {
	var out []uint64
	for id := range w.members {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// tick advances the time by d and runs the timers of all members.
func (w *cluster) tick(d time.Duration) {
	w.elapsed += d
	w.checkInvariants()
	for _, id := range w.memberIDs() {
		if s := w.members[id]; !s.down && !w.suspended(s) {
			w.deliverPending(s)
			s.node.Tick(w.now(s))
			w.processReady(s)
		}
	}
}

// deliver delivers the i-th queued message; with duplicate set it stays in the queue for a second delivery.
func (w *cluster) deliver(i int, duplicate bool) {
	m := w.queue[i]
	if !duplicate {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
	for _, id := range w.memberIDs() {
		s := w.members[id]
		cut := w.partition[m.From] != w.partition[id] || w.brokenLinks[[2]uint64{min(id, m.From), max(id, m.From)}]
		switch {
		case addr(id) != m.Address || s.down || cut:
		case w.suspended(s):
			s.pendingMessages = append(s.pendingMessages, m)
		default:
			w.deliverPending(s)
			s.node.Step(w.now(s), m)
			w.processReady(s)
		}
	}
}

// runFor runs the cluster for d and delivers all messages in order.
func (w *cluster) runFor(d time.Duration) {
	for end := w.elapsed + d; w.elapsed < end; {
		w.tick(20 * time.Millisecond)
		for k := 0; k < 1000 && len(w.queue) > 0; k++ {
			w.deliver(0, false)
		}
	}
}

// leader returns a running member that holds a valid lease, or nil.
func (w *cluster) leader() *member {
	for _, id := range w.memberIDs() {
		if s := w.members[id]; !s.down && !w.suspended(s) && s.node.Status(w.now(s)).Leads {
			return s
		}
	}
	return nil
}

func (w *cluster) propose(data []byte) (index, term uint64, ok bool) {
	l := w.leader()
	if l == nil {
		return 0, 0, false
	}
	index, term, err := l.node.Propose(w.now(l), data)
	if err != nil {
		return 0, 0, false
	}
	w.processReady(l)
	return index, term, true
}

func (w *cluster) addObserver(id uint64) *member {
	s := &member{id: id, clockRate: 1}
	cfg := crlog.Config{ID: id, Address: addr(id), Observer: true, Seeds: []string{addr(1)}, Rand: w.rnd}
	node, err := crlog.New(w.now(s), cfg, crlog.State{})
	if err != nil {
		w.reporter.Fatalf("observer: %v", err)
	}
	s.node = node
	w.members[id] = s
	return s
}

// restartRunning restarts every running member, as after a power failure; messages in flight still arrive.
func (w *cluster) restartRunning() {
	for _, id := range w.memberIDs() {
		if s := w.members[id]; !s.down {
			w.start(s)
		}
	}
}

// reportLostMembers reports the members with lost disks to every running member.
func (w *cluster) reportLostMembers() {
	for _, id := range w.memberIDs() {
		s := w.members[id]
		for _, lost := range w.memberIDs() {
			if !s.down && !w.suspended(s) && w.members[lost].clockRate == 0 {
				s.node.MemberLost(w.now(s), lost)
			}
		}
		w.processReady(s)
	}
}

// restartAll starts every member that is down and still has its disk.
func (w *cluster) restartAll() {
	for _, id := range w.memberIDs() {
		if s := w.members[id]; s.down && s.clockRate != 0 {
			w.start(s)
		}
	}
}
