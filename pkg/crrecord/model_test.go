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
	keeper          *Keeper
	incarnation     int
	bootedAt        time.Duration
	skew            time.Duration
	configuredEpoch uint64
	lastContact     time.Duration
	disconnected    bool
	reconfiguration *Reconfiguration
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

// model is a cluster of keepers, gates and a control leader. Its network loses, repeats and reorders messages.
type model struct {
	t             *rapid.T
	rnd           *rand.Rand
	now           time.Duration
	maxSkew       time.Duration
	keepers       []*modelKeeper
	configs       []Group
	ids           []ID
	sends         []*modelSend
	network       []func()
	runs          map[string]int
	answers       map[string]string
	wonSlots      map[string]int
	token         Token
	fencesAllowed bool
	// configuredAt is when the newest epoch was configured.
	configuredAt time.Duration
	outcomes     map[string]int
}

func (m *model) instant(k *modelKeeper) Instant {
	return Instant{Elapsed: m.now - k.bootedAt, UnixMS: (m.now + k.skew).Milliseconds()}
}

func (m *model) boot(i int) {
	inc := 0
	if k := m.keepers[i]; k != nil {
		inc = k.incarnation + 1
	}
	self := Member{Node: fmt.Sprintf("n%d", i), Incarnation: fmt.Sprint(inc), Domain: fmt.Sprintf("d%d", i%3)}
	m.keepers[i] = &modelKeeper{
		keeper: &Keeper{Self: self, ConfirmWithin: 10 * time.Second, MaxRecords: 30}, incarnation: inc, bootedAt: m.now, lastContact: m.now,
	}
}

func (m *model) find(want Member) *modelKeeper {
	for _, k := range m.keepers {
		if k.keeper.Self.Same(want) {
			return k
		}
	}
	return nil
}

// send adds a message to the network. On delivery it is processed by the incarnation that it is addressed to.
func (m *model) send(to Member, fn func(k *modelKeeper)) {
	m.network = append(m.network, func() {
		if k := m.find(to); k != nil {
			fn(k)
		}
	})
}

func (m *model) reply(fn func()) { m.network = append(m.network, fn) }

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
					s.taker.AddReply(i, status, held)
				}
			})
		})
	}
}

func (m *model) vote(s *modelSend, i int, r Reply) {
	if s.closed {
		before := s.claimer.Finish().Code
		s.claimer.AddReply(i, r)
		if after := s.claimer.Finish().Code; after != before {
			m.t.Fatalf("%s: the decision changed from %s to %s", s.id, before, after)
		}
		return
	}
	s.claimer.AddReply(i, r)
	if _, ok := s.claimer.Decision(); ok {
		m.decided(s)
	}
}

func (m *model) decided(s *modelSend) {
	s.closed = true
	d := s.claimer.Finish()
	m.outcomes[d.Code.String()]++
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
			m.t.Fatalf("%s: the replayed answer is %q, its run returned %q", key, d.Answer.Body, m.answers[key])
		}
	}
	m.notify(s, func(k *modelKeeper) { k.keeper.Release(s.id, s.token) })
}

// notify sends a completion or release to the members of the claim's group and to the current members.
func (m *model) notify(s *modelSend, fn func(k *modelKeeper)) {
	for _, g := range []Group{s.group, m.configs[len(m.configs)-1]} {
		for _, to := range g.Members {
			m.send(to, fn)
		}
	}
}

// progress ends a claim at its timeout, or ends a run with an answer, a crash or a release because the server never
// started it.
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
		m.wonSlots[s.id.String()] += n
		if m.wonSlots[s.id.String()] > modelSlots {
			m.t.Fatalf("%s won %d slots of %d", s.id, m.wonSlots[s.id.String()], modelSlots)
		}
	case s.claimer != nil && !s.closed:
		s.claimer.Finish()
		m.decided(s)
	case s.running && m.rnd.IntN(4) == 0:
		s.running = false
		m.runs[s.id.String()]--
		m.notify(s, func(k *modelKeeper) { k.keeper.Release(s.id, s.token) })
	case s.running && m.rnd.IntN(4) == 0: // The gate crashes and never completes the run.
		s.running = false
	case s.running:
		s.running = false
		answer := fmt.Sprintf("answer %d", s.token)
		m.answers[s.id.String()] = answer
		m.notify(s, func(k *modelKeeper) {
			k.keeper.Complete(m.instant(k), Completion{s.id, s.digest, s.token, Answer{Status: 200, Body: []byte(answer)}})
		})
	default:
		m.sends = append(m.sends[:i], m.sends[i+1:]...)
	}
}

func (m *model) deliver() {
	if len(m.network) == 0 {
		return
	}
	i := m.rnd.IntN(len(m.network))
	fn := m.network[i]
	switch m.rnd.IntN(12) {
	case 0: // The message is delivered now and again later.
	case 1:
		m.network = append(m.network[:i], m.network[i+1:]...)
		return
	default:
		m.network = append(m.network[:i], m.network[i+1:]...)
	}
	fn()
}

// contact confirms the configuration of a keeper that is connected to the leader and advances its hand-over.
func (m *model) contact(k *modelKeeper) {
	if k.disconnected {
		return
	}
	k.lastContact = m.now
	k.keeper.Confirm(m.instant(k))
	cfg := m.configs[len(m.configs)-1]
	if k.configuredEpoch < cfg.Epoch {
		k.configuredEpoch = cfg.Epoch
		k.reconfiguration = nil
		if k.keeper.Configure(cfg) {
			k.reconfiguration = NewReconfiguration(cfg)
		}
	}
	m.handOver(k)
}

func (m *model) handOver(k *modelKeeper) {
	rec := k.reconfiguration
	if rec == nil {
		return
	}
	if handovers, ok := rec.Ready(); ok {
		k.keeper.Install(m.instant(k), rec.Group(), handovers)
		k.reconfiguration = nil
		m.outcomes["installed"]++
		return
	}
	for _, target := range rec.Targets() {
		if len(m.network) > 60 {
			return
		}
		m.send(target.Member, func(o *modelKeeper) {
			if h, ok := o.keeper.Seal(m.instant(o), 7, target.Epoch, target.Next); ok {
				m.reply(func() { rec.AddHandover(target, h) })
			}
		})
	}
}

// assign makes the leader replace keepers that were disconnected for 10 s.
func (m *model) assign() {
	cfg := m.configs[len(m.configs)-1]
	var live []Candidate
	for _, k := range m.keepers {
		if m.now-k.lastContact < 10*time.Second {
			live = append(live, Candidate{Member: k.keeper.Self, Leaving: m.rnd.IntN(12) == 0})
		}
	}
	// A wrong entry in Stuck must be harmless once the epoch is old enough, so it is set at random.
	stuck := make(map[uint32]uint64)
	if m.now-m.configuredAt >= FenceDelay && m.rnd.IntN(4) == 0 {
		stuck[7] = cfg.Epoch
	}
	for _, g := range Assign(Assignment{Live: live, Configured: []Group{cfg}, NowMS: m.now.Milliseconds(), MaxMoves: -1, Stuck: stuck}) {
		if g.Number != 7 {
			continue
		}
		if g.FenceMS != 0 {
			if !m.fencesAllowed {
				return
			}
			m.outcomes["fence"]++
			if stuck[7] != 0 && slices.Equal(g.Members, cfg.Members) {
				m.outcomes["restart"]++
			}
		}
		m.configuredAt = m.now
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
		k.disconnected = !k.disconnected && m.rnd.IntN(3) == 0
	case op < 185:
		k.skew = time.Duration(m.rnd.Int64N(int64(2*m.maxSkew))) - m.maxSkew
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

// TestModel guards against a second run, an answer of another run and too many retries, for any order of messages and
// failures.
func TestModel(t *testing.T) {
	outcomes := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		m := &model{
			t: rt, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, keepers: make([]*modelKeeper, 3+int(seed%2)),
			runs: make(map[string]int), answers: make(map[string]string), wonSlots: make(map[string]int), outcomes: outcomes,
			maxSkew: 14 * time.Second, fencesAllowed: true,
		}
		// The fence of a lost majority tolerates clock differences of 30 s; everything else tolerates any jump.
		if seed%3 == 0 {
			m.maxSkew, m.fencesAllowed = 20*time.Hour, false
		}
		first := Group{Number: 7, Epoch: 1}
		for i := range m.keepers {
			m.boot(i)
			if i < GroupSize {
				first.Members = append(first.Members, m.keepers[i].keeper.Self)
			}
		}
		m.configs, m.configuredAt = []Group{first}, m.now
		for range 1500 {
			m.step()
		}
	})
	for _, want := range []string{"ok", "replayed", "in_progress", "id_too_old", "id_other_body", "claim_failed", "installed", "fence", "restart"} {
		if outcomes[want] == 0 {
			t.Errorf("the model never reached %s", want)
		}
	}
	t.Log(outcomes)
}
