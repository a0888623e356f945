package crrecord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// modelSlots is floor(R/2) of the model's kind.
const modelSlots = 2

type modelKeeper struct {
	keeper *Keeper
	inc    int
	boot   time.Duration
	skew   time.Duration
	seen   uint64
	lastUp time.Duration
	cut    bool
	rec    *Reconfiguration
}

type modelSend struct {
	id      ID
	digest  Digest
	token   Token
	group   Group
	claimer *Claimer
	taker   *Taker
	running bool
	closed  bool
}

// model is a cluster of keepers, gates and a control leader whose messages are lost, repeated and reordered.
type model struct {
	t       *rapid.T
	rnd     *rand.Rand
	now     time.Duration
	skewMax time.Duration
	keepers []*modelKeeper
	configs []Group
	ids     []ID
	sends   []*modelSend
	net     []func()
	runs    map[string]int
	answers map[string]string
	won     map[string]int
	token   Token
	fenced  bool
	// since is when the last epoch was configured.
	since   time.Duration
	reached map[string]int
}

func (m *model) instant(k *modelKeeper) Instant {
	return Instant{Elapsed: m.now - k.boot, UnixMS: (m.now + k.skew).Milliseconds()}
}

func (m *model) boot(i int) {
	inc := 0
	if k := m.keepers[i]; k != nil {
		inc = k.inc + 1
	}
	self := Member{Node: fmt.Sprintf("n%d", i), Incarnation: fmt.Sprint(inc), Domain: fmt.Sprintf("d%d", i%3)}
	m.keepers[i] = &modelKeeper{keeper: &Keeper{Self: self, ConfirmWithin: 10 * time.Second, MaxRecords: 30}, inc: inc, boot: m.now, lastUp: m.now}
}

func (m *model) find(want Member) *modelKeeper {
	for _, k := range m.keepers {
		if k.keeper.Self.Same(want) {
			return k
		}
	}
	return nil
}

// send puts a message on the network; it runs when it is delivered, at the incarnation that it was meant for.
func (m *model) send(to Member, fn func(k *modelKeeper)) {
	m.net = append(m.net, func() {
		if k := m.find(to); k != nil {
			fn(k)
		}
	})
}

func (m *model) reply(fn func()) { m.net = append(m.net, fn) }

func (m *model) newID() ID {
	created := (m.now + time.Duration(m.rnd.Int64N(int64(20*time.Second))) - 14*time.Second).Milliseconds()
	for {
		if id := NewID("n1-1", max(created, 0), m.rnd.Uint64()); id.Group() == 7 {
			return id
		}
	}
}

func (m *model) knownGroup() Group {
	back := min(len(m.configs)-1, m.rnd.IntN(10)/8)
	return m.configs[len(m.configs)-1-back]
}

func (m *model) claim() {
	if len(m.ids) == 0 || m.rnd.IntN(5) == 0 {
		m.ids = append(m.ids, m.newID())
	}
	m.token++
	s := &modelSend{id: m.ids[len(m.ids)-1-m.rnd.IntN(min(3, len(m.ids)))], token: m.token, group: m.knownGroup()}
	s.digest[0] = byte(m.rnd.IntN(8) / 7)
	m.sends = append(m.sends, s)
	if m.rnd.IntN(4) == 0 {
		m.takeSlots(s)
		return
	}
	s.claimer = NewClaimer(len(s.group.Members))
	for i, to := range s.group.Members {
		m.send(to, func(k *modelKeeper) {
			r := k.keeper.Claim(m.instant(k), Claim{s.id, s.digest, s.token, s.group.Epoch})
			m.reply(func() { m.vote(s, i, r) })
		})
	}
}

func (m *model) takeSlots(s *modelSend) {
	s.taker = NewTaker(len(s.group.Members), 1+m.rnd.IntN(modelSlots))
	for i, to := range s.group.Members {
		m.send(to, func(k *modelKeeper) {
			status, held := k.keeper.Take(m.instant(k), Take{s.id, s.token, s.group.Epoch, modelSlots, s.taker.want})
			m.reply(func() {
				if !s.closed {
					s.taker.Reply(i, status, held)
				}
			})
		})
	}
}

func (m *model) vote(s *modelSend, i int, r Reply) {
	if s.closed {
		before := s.claimer.Finish().Code
		s.claimer.Reply(i, r)
		if after := s.claimer.Finish().Code; after != before {
			m.t.Fatalf("%s was told %s, then %s", s.id, before, after)
		}
		return
	}
	s.claimer.Reply(i, r)
	if _, ok := s.claimer.Decision(); ok {
		m.decided(s)
	}
}

func (m *model) decided(s *modelSend) {
	s.closed = true
	d := s.claimer.Finish()
	m.reached[d.Code.String()]++
	key := s.id.String()
	switch d.Code {
	case crcode.OK:
		s.running = true
		m.runs[key]++
		if m.runs[key] > 1 {
			m.t.Fatalf("%s ran twice", key)
		}
		return
	case crcode.Replayed:
		if m.answers[key] != string(d.Answer.Body) || d.Answer.Body == nil {
			m.t.Fatalf("%s was answered %q, its run gave %q", key, d.Answer.Body, m.answers[key])
		}
	}
	m.tell(s, func(k *modelKeeper) { k.keeper.Release(s.id, s.token) })
}

// tell sends a completion or release to the members of the claim and to the present ones.
func (m *model) tell(s *modelSend, fn func(k *modelKeeper)) {
	for _, g := range []Group{s.group, m.configs[len(m.configs)-1]} {
		for _, to := range g.Members {
			m.send(to, fn)
		}
	}
}

// progress ends a claim at its timeout, or a run with an answer or because the server never started it.
func (m *model) progress() {
	if len(m.sends) == 0 {
		return
	}
	i := m.rnd.IntN(len(m.sends))
	s := m.sends[i]
	switch {
	case s.taker != nil && !s.closed:
		s.closed = true
		n, _ := s.taker.Finish()
		m.won[s.id.String()] += n
		if m.won[s.id.String()] > modelSlots {
			m.t.Fatalf("%s won %d slots of %d", s.id, m.won[s.id.String()], modelSlots)
		}
	case s.claimer != nil && !s.closed:
		s.claimer.Finish()
		m.decided(s)
	case s.running && m.rnd.IntN(4) == 0:
		s.running = false
		m.runs[s.id.String()]--
		m.tell(s, func(k *modelKeeper) { k.keeper.Release(s.id, s.token) })
	case s.running && m.rnd.IntN(4) == 0: // The gate crashes: its run is never completed.
		s.running = false
	case s.running:
		s.running = false
		answer := fmt.Sprintf("answer %d", s.token)
		m.answers[s.id.String()] = answer
		m.tell(s, func(k *modelKeeper) {
			k.keeper.Complete(m.instant(k), Completion{s.id, s.digest, s.token, Answer{Status: 200, Body: []byte(answer)}})
		})
	default:
		m.sends = append(m.sends[:i], m.sends[i+1:]...)
	}
}

func (m *model) deliver() {
	if len(m.net) == 0 {
		return
	}
	i := m.rnd.IntN(len(m.net))
	fn := m.net[i]
	switch m.rnd.IntN(12) {
	case 0: // It arrives now and once more later.
	case 1:
		m.net = append(m.net[:i], m.net[i+1:]...)
		return
	default:
		m.net = append(m.net[:i], m.net[i+1:]...)
	}
	fn()
}

// contact confirms the configuration of the keepers that reach the leader and steps their hand-overs.
func (m *model) contact(k *modelKeeper) {
	if k.cut {
		return
	}
	k.lastUp = m.now
	k.keeper.Confirm(m.instant(k))
	cfg := m.configs[len(m.configs)-1]
	if k.seen < cfg.Epoch {
		k.seen = cfg.Epoch
		k.rec = nil
		if k.keeper.Configure(cfg) {
			k.rec = NewReconfiguration(cfg)
		}
	}
	m.handOver(k)
}

func (m *model) handOver(k *modelKeeper) {
	rec := k.rec
	if rec == nil {
		return
	}
	if handovers, ok := rec.Ready(); ok {
		k.keeper.Install(m.instant(k), rec.Group(), handovers)
		k.rec = nil
		m.reached["installed"]++
		return
	}
	for _, target := range rec.Targets() {
		if len(m.net) > 60 {
			return
		}
		m.send(target.Member, func(o *modelKeeper) {
			if h, ok := o.keeper.Seal(m.instant(o), 7, target.Epoch, target.Next); ok {
				m.reply(func() { rec.Sealed(target, h) })
			}
		})
	}
}

// assign lets the leader replace keepers that it did not hear of for 10 s.
func (m *model) assign() {
	cfg := m.configs[len(m.configs)-1]
	var live []Candidate
	for _, k := range m.keepers {
		if m.now-k.lastUp < 10*time.Second {
			live = append(live, Candidate{Member: k.keeper.Self, Leaving: m.rnd.IntN(12) == 0})
		}
	}
	// A wrong Stuck must be harmless once the epoch is old enough, so it is set at random.
	stuck := make(map[uint32]uint64)
	if m.now-m.since >= FenceAfter && m.rnd.IntN(4) == 0 {
		stuck[7] = cfg.Epoch
	}
	for _, g := range Assign(Assignment{Live: live, Present: []Group{cfg}, NowMS: m.now.Milliseconds(), Moves: -1, Stuck: stuck}) {
		if g.Number != 7 {
			continue
		}
		if g.FenceMS != 0 {
			if !m.fenced {
				return
			}
			m.reached["fence"]++
			if stuck[7] != 0 && slices.Equal(g.Members, cfg.Members) {
				m.reached["restart"]++
			}
		}
		m.since = m.now
		m.configs = append(m.configs, g)
	}
}

func (m *model) step() {
	k := m.keepers[m.rnd.IntN(len(m.keepers))]
	switch op := m.rnd.IntN(200); {
	case op < 30:
		m.claim()
	case op < 50:
		m.progress()
	case op < 160:
		for range 4 {
			m.deliver()
		}
	case op < 180:
		m.contact(k)
	case op < 182:
		m.assign()
	case op < 183 && m.rnd.IntN(2) == 0:
		for i := range m.keepers {
			if m.keepers[i] == k {
				m.boot(i)
			}
		}
	case op < 184:
		k.cut = !k.cut && m.rnd.IntN(3) == 0
	case op < 185:
		k.skew = time.Duration(m.rnd.Int64N(int64(2*m.skewMax))) - m.skewMax
	case op < 188:
		k.keeper.Expire(m.instant(k))
	default:
		steps := []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 4 * time.Second, 11 * time.Second, 16 * time.Minute}
		m.now += steps[min(m.rnd.IntN(41)/8, 5)]
		if m.rnd.IntN(4) != 0 {
			for _, k := range m.keepers {
				m.contact(k)
			}
		}
	}
}

// Guards against a second run, another run's answer and too many retries under any order of messages and failures.
func TestModel(t *testing.T) {
	reached := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		m := &model{
			t: rt, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, keepers: make([]*modelKeeper, 3+int(seed%2)),
			runs: make(map[string]int), answers: make(map[string]string), won: make(map[string]int), reached: reached,
			skewMax: 14 * time.Second, fenced: true,
		}
		// The fence of a lost majority tolerates 30 s between clocks; everything else tolerates any jump.
		if seed%3 == 0 {
			m.skewMax, m.fenced = 20*time.Hour, false
		}
		first := Group{Number: 7, Epoch: 1}
		for i := range m.keepers {
			m.boot(i)
			if i < GroupSize {
				first.Members = append(first.Members, m.keepers[i].keeper.Self)
			}
		}
		m.configs, m.since = []Group{first}, m.now
		for range 1500 {
			m.step()
		}
	})
	for _, want := range []string{"ok", "replayed", "in_progress", "id_too_old", "id_other_body", "claim_failed", "installed", "fence", "restart"} {
		if reached[want] == 0 {
			t.Errorf("the model never reached %s", want)
		}
	}
	t.Log(reached)
}
