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

// fataler is what a world reports a broken invariant to.
type fataler interface {
	Fatalf(format string, args ...any)
}

// sim is one member with its simulated disk and a clock that runs at its own rate.
type sim struct {
	id   uint64
	node *crlog.Node
	disk crlog.State
	rate float64
	down bool
	// wake is when a suspension of its machine ends. A steady clock stands still meanwhile, by slept in all.
	wake   time.Duration
	steady bool
	slept  time.Duration
	// asked and held are reads and messages that arrived during the suspension.
	asked   []uint64
	held    []crlog.Message
	applied uint64
	hash    uint64
}

// world is a deterministic network of members.
type world struct {
	t       fataler
	rnd     *rand.Rand
	elapsed time.Duration
	sims    map[uint64]*sim
	queue   []crlog.Message
	// side assigns members to partitions; messages between different sides are lost.
	side map[uint64]int
	// broken holds pairs of members that can't reach each other, the lower id first.
	broken map[[2]uint64]bool
	// leaders, hashes and reads hold what must stay true: one leader per term, one history, nothing lost.
	leaders map[uint64]uint64
	hashes  map[uint64]uint64
	reads   map[uint64]uint64
	// allowed tells of each read that was answered whether it was allowed.
	allowed map[uint64]bool
	highest uint64
	nextID  uint64
}

func addr(id uint64) string { return fmt.Sprintf("m%d", id) }

func newWorld(t fataler, seed uint64, voters int) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), sims: map[uint64]*sim{}, side: map[uint64]int{}, broken: map[[2]uint64]bool{}, leaders: map[uint64]uint64{},
		hashes: map[uint64]uint64{}, reads: map[uint64]uint64{}, allowed: map[uint64]bool{}, nextID: uint64(voters),
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

func (w *world) add(id uint64, members crlog.Members) *sim {
	rates := []float64{0.99, 1, 1.01}
	s := &sim{id: id, rate: rates[w.rnd.IntN(3)], steady: id%2 == 1}
	s.disk.Snapshot.Members = members
	w.sims[id] = s
	w.start(s)
	return s
}

func (w *world) now(s *sim) time.Time {
	base := time.Date(2020, 1, int(s.id%20)+1, 0, 0, 0, 0, time.UTC)
	return base.Add(time.Duration(float64(w.elapsed-s.slept) * s.rate))
}

func (w *world) asleep(s *sim) bool { return w.elapsed < s.wake }

// suspend stops a member's machine for d; what is sent to it waits.
func (w *world) suspend(s *sim, d time.Duration) {
	if s.down || w.asleep(s) {
		return
	}
	s.wake = w.elapsed + d
	if s.steady {
		s.slept += d
	}
}

// read asks a member for a linearizable read; run checks that it sees all that was acknowledged before.
func (w *world) read(s *sim) {
	id := uint64(len(w.reads) + 1)
	w.reads[id] = w.highest
	if w.asleep(s) {
		s.asked = append(s.asked, id)
		return
	}
	s.node.ReadIndex(w.now(s), id)
	w.run(s)
}

// woken serves what waited for the end of a suspension, reads before anything else.
func (w *world) woken(s *sim) {
	for _, id := range s.asked {
		s.node.ReadIndex(w.now(s), id)
		w.run(s)
	}
	for _, m := range s.held {
		s.node.Step(w.now(s), m)
		w.run(s)
	}
	s.asked, s.held = nil, nil
}

// reset gives a member that starts a clock and connections of its own.
func (w *world) reset(s *sim) {
	if s.steady && w.asleep(s) {
		s.slept -= s.wake - w.elapsed
	}
	s.wake, s.asked, s.held = w.elapsed, nil, nil
}

func (w *world) start(s *sim) {
	w.reset(s)
	cfg := crlog.Config{
		ID: s.id, Address: addr(s.id), MessageBytes: 256, SnapshotEntries: 12, SnapshotBytes: 2048,
		Rand: rand.New(rand.NewPCG(w.rnd.Uint64(), s.id)),
	}
	st := s.disk
	st.Entries = slices.Clone(st.Entries)
	node, err := crlog.New(w.now(s), cfg, st)
	if err != nil {
		w.t.Fatalf("start %d: %v", s.id, err)
	}
	s.node, s.down = node, false
	s.restore(st.Snapshot)
}

func (s *sim) restore(snap crlog.Snapshot) {
	s.applied, s.hash = snap.Index, 0
	if len(snap.Data) >= 8 {
		s.hash = binary.BigEndian.Uint64(snap.Data)
	}
}

// run does the work of a member's Ready until nothing is left, then checks the invariants.
func (w *world) run(s *sim) {
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
			w.allowed[rd.ID] = rd.OK
			if floor, ok := w.reads[rd.ID]; ok && rd.OK && rd.Index < floor {
				w.t.Fatalf("read %d at member %d was allowed at %d, but %d was acknowledged before it", rd.ID, s.id, rd.Index, floor)
			}
		}
		s.node.Advance(w.now(s), r)
		if s.node.SnapshotDue() {
			w.compact(s)
		}
	}
	w.check()
}

func (w *world) store(s *sim, r crlog.Ready) {
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

func (w *world) compact(s *sim) {
	// The padding makes snapshots take several messages.
	data := binary.BigEndian.AppendUint64(nil, s.hash)
	snap, entries, err := s.node.Compact(s.applied, append(data, make([]byte, 600)...))
	if err != nil {
		w.t.Fatalf("compact: %v", err)
	}
	s.disk.Snapshot, s.disk.Entries = snap, slices.Clone(entries)
}

func (w *world) apply(s *sim, e crlog.Entry) {
	if e.Index != s.applied+1 {
		w.t.Fatalf("member %d applies %d after %d", s.id, e.Index, s.applied)
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s.hash, e.Index, e.Term, e.Kind, e.Data)
	s.applied, s.hash = e.Index, h.Sum64()
	if old, ok := w.hashes[e.Index]; ok && old != s.hash {
		w.t.Fatalf("member %d has another history at %d", s.id, e.Index)
	}
	w.hashes[e.Index] = s.hash
	w.highest = max(w.highest, e.Index)
}

func (w *world) check() {
	var holder uint64
	for id, s := range w.sims {
		if s.down || w.asleep(s) {
			continue
		}
		st := s.node.Status(w.now(s))
		if st.Role == crlog.Leader {
			if other, ok := w.leaders[st.Term]; ok && other != id {
				w.t.Fatalf("members %d and %d lead in term %d", other, id, st.Term)
			}
			w.leaders[st.Term] = id
		}
		if st.Leads && s.slept == 0 {
			if holder != 0 {
				w.t.Fatalf("members %d and %d hold a lease at one time", holder, id)
			}
			holder = id
		}
	}
}

func (w *world) ids() []uint64 {
	var out []uint64
	for id := range w.sims {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// tick moves the time on for all members.
func (w *world) tick(d time.Duration) {
	w.elapsed += d
	w.check()
	for _, id := range w.ids() {
		if s := w.sims[id]; !s.down && !w.asleep(s) {
			w.woken(s)
			s.node.Tick(w.now(s))
			w.run(s)
		}
	}
}

// deliver takes the i-th message off the queue; keep leaves a copy for a second delivery.
func (w *world) deliver(i int, keep bool) {
	m := w.queue[i]
	if !keep {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
	for _, id := range w.ids() {
		s := w.sims[id]
		cut := w.side[m.From] != w.side[id] || w.broken[[2]uint64{min(id, m.From), max(id, m.From)}]
		switch {
		case addr(id) != m.Address || s.down || cut:
		case w.asleep(s):
			s.held = append(s.held, m)
		default:
			w.woken(s)
			s.node.Step(w.now(s), m)
			w.run(s)
		}
	}
}

// settleFor lets everything run without faults.
func (w *world) settleFor(d time.Duration) {
	for end := w.elapsed + d; w.elapsed < end; {
		w.tick(20 * time.Millisecond)
		for k := 0; k < 1000 && len(w.queue) > 0; k++ {
			w.deliver(0, false)
		}
	}
}

// leader returns the member that may act as leader, or nil.
func (w *world) leader() *sim {
	for _, id := range w.ids() {
		if s := w.sims[id]; !s.down && !w.asleep(s) && s.node.Status(w.now(s)).Leads {
			return s
		}
	}
	return nil
}

func (w *world) propose(data []byte) (index, term uint64, ok bool) {
	l := w.leader()
	if l == nil {
		return 0, 0, false
	}
	index, term, err := l.node.Propose(w.now(l), data)
	if err != nil {
		return 0, 0, false
	}
	w.run(l)
	return index, term, true
}

func (w *world) observe(id uint64) *sim {
	s := &sim{id: id, rate: 1}
	cfg := crlog.Config{ID: id, Address: addr(id), Observer: true, Seeds: []string{addr(1)}, Rand: w.rnd}
	node, err := crlog.New(w.now(s), cfg, crlog.State{})
	if err != nil {
		w.t.Fatalf("observer: %v", err)
	}
	s.node = node
	w.sims[id] = s
	return s
}

// blackout stops every member that runs and starts it again; messages under way still arrive.
func (w *world) blackout() {
	for _, id := range w.ids() {
		if s := w.sims[id]; !s.down {
			w.start(s)
		}
	}
}

// gone tells every member that runs of those whose disks are lost.
func (w *world) gone() {
	for _, id := range w.ids() {
		s := w.sims[id]
		for _, lost := range w.ids() {
			if !s.down && !w.asleep(s) && w.sims[lost].rate == 0 {
				s.node.Gone(w.now(s), lost)
			}
		}
		w.run(s)
	}
}

// restartAll starts every member that is down and has its disk.
func (w *world) restartAll() {
	for _, id := range w.ids() {
		if s := w.sims[id]; s.down && s.rate != 0 {
			w.start(s)
		}
	}
}
