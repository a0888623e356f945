package crreplay

import (
	"math"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// router returns the node's router of a service.
func (m *model) router(n *node, service string) *crrouter.Router {
	r := n.routers[service]
	if r != nil {
		return r
	}
	r = &crrouter.Router{Rand: m.rnd}
	r.Update(m.clock(), m.known(service))
	n.routers[service] = r
	n.retries[service] = &crbudget.Ratio{PerSuccess: retryRatio, PerSecond: 1e-6, Burst: 1}
	return r
}

// Bounds of the sends of one request, as nodes have them.
const (
	// maxPlaces is how many gates are asked; retryRatio is the part of the requests to a service that may reach a second
	// server.
	maxPlaces  = 4
	retryRatio = 0.05
)

// outcome tells how one send ended.
type outcome int

const (
	answered outcome = iota
	failed
	// refused means that the gate did not take the work, leaving that its server leaves, rejected that the server itself
	// did not take it.
	refused
	leaving
	rejected
)

func (o outcome) kind() crrouter.Kind {
	switch o {
	case answered:
		return crrouter.OK
	case refused:
		return crrouter.Refused
	case leaving:
		return crrouter.Leaving
	}
	return crrouter.Failed
}

// send places work on a server, and on another one when the first gate refuses.
func (m *model) send(w *work, tried []string) {
	r := m.router(w.node, w.kind.Service)
	picked, err := r.Pick(m.clock(), crrouter.Request{Tried: tried})
	if err != nil {
		w.done(false, true)
		return
	}
	i := slices.IndexFunc(m.servers[w.kind.Service], func(s *server) bool { return s.id == picked.ID })
	s := m.servers[w.kind.Service][i]
	sent := m.now
	if len(tried) == 0 {
		w.node.retries[w.kind.Service].Succeeded()
	}
	answer := func(o outcome) {
		told := s.tell(m.clock())
		m.after(time.Duration(m.load.Hop), func() {
			told.reach(m.clock(), w.node)
			r.Done(m.clock(), s.id, crrouter.Result{Kind: o.kind(), Latency: m.now - sent, Feedback: told.load})
			if m.again(w, o, len(tried)+1) {
				m.send(w, append(tried, s.id))
				return
			}
			w.done(o == answered, o > failed)
		})
	}
	m.after(time.Duration(m.load.Hop), func() { m.arrive(s, w, answer) })
}

// again decides whether work goes to a further gate; what a server rejected draws on the budget of repeats.
func (m *model) again(w *work, o outcome, sends int) bool {
	if o <= failed || sends >= maxPlaces || m.now >= w.deadline {
		return false
	}
	return o != rejected || sends < 2 && w.node.retries[w.kind.Service].Allow(m.clock())
}

// told is what an answer carries of the load.
type told struct {
	service, server string
	pressure        float64
	entries         []crshed.Entry
	load            *crrouter.Feedback
}

func (s *server) tell(now time.Time) told {
	return told{
		s.service.Name, s.id, s.regulator.Pressure(), s.node.board.Entries(now, 4),
		&crrouter.Feedback{InFlight: s.running, Limit: s.service.Slots, Queued: s.queue.Len()},
	}
}

// reach stores what was told at the node that gets the answer.
func (t *told) reach(now time.Time, n *node) {
	n.board.Heard(now, t.service, t.server, t.pressure, t.load.InFlight+t.load.Queued)
	for _, e := range t.entries {
		if e.Service != t.service {
			n.board.Passed(now, e.Service, e.Pressure, e.Age)
		}
	}
}

// rejects draws whether the server itself refuses a run.
func (m *model) rejects(s *server) bool {
	share := 0.0
	m.phase(func(p Phase) {
		if p.Service == s.service.Name {
			share = max(share, p.Refuse)
		}
	})
	return share > 0 && m.rnd.Float64() < share
}

// expected returns the time of a run on a server without its calls.
func (m *model) expected(s *server, k *Kind) time.Duration {
	slow := 1.0
	m.phase(func(p Phase) {
		if p.Service == s.service.Name && p.Slow > 0 {
			slow *= p.Slow
		}
	})
	return time.Duration(float64(k.Work) * slow / s.speed)
}

// arrive is the gate.
func (m *model) arrive(s *server, w *work, answer func(outcome)) {
	if s.left {
		answer(leaving)
		return
	}
	need := m.expected(s, w.kind)
	if !w.counted {
		w.counted = true
		s.regulator.Arrived(need, w.rates.Of(s.service.Name))
	}
	run := func() {
		if m.rejects(s) {
			answer(rejected)
			return
		}
		s.running++
		s.node.roots.Began(w.rates)
		m.occupied(s)
		m.run(s, w, func(good bool) {
			s.running--
			s.node.roots.Ended(w.rates)
			if good {
				answer(answered)
			} else {
				answer(failed)
			}
			m.grant(s)
			m.occupied(s)
		})
	}
	if s.running < s.service.Slots && s.queue.Len() == 0 {
		run()
		return
	}
	rank, due := s.ranks.Rank(m.clock(), w.sender(), uint32(1000-w.kind.Priority)), epoch.Add(w.due-need)
	ahead := time.Duration(float64(need) * float64(s.queue.Ahead(rank, due)+1) / float64(s.service.Slots))
	if m.now+ahead+need > w.deadline {
		answer(refused)
		return
	}
	it := &cradmission.Item{Priority: rank, Due: due, Deadline: epoch.Add(w.deadline - need)}
	it.Value = func(granted bool) {
		if granted {
			run()
			return
		}
		answer(refused)
	}
	if refused := s.queue.Push(m.clock(), it); refused != nil {
		refused.Value.(func(bool))(false)
	}
	m.after(w.deadline-need-m.now, func() {
		if s.queue.Remove(it) {
			answer(refused)
		}
	})
	m.occupied(s)
}

func (m *model) grant(s *server) {
	for s.running < s.service.Slots {
		it, ok := s.queue.Pop(m.clock())
		if !ok {
			return
		}
		it.Value.(func(bool))(true)
	}
}

func (m *model) occupied(s *server) {
	m.count(s)
	s.regulator.Occupied(m.clock(), s.running, s.queue.Len(), s.service.Slots)
}

// count adds up busy slot seconds.
func (m *model) count(s *server) {
	m.busy[s.id] += float64(min(s.running, s.service.Slots)) * (m.now - s.counted).Seconds()
	s.counted = m.now
}

// rounds returns the calls of a kind; those of one round are made at once.
func (m *model) rounds(k *Kind) (rounds [][]*Kind) {
	for _, c := range k.Calls {
		each, times := 1, c.Times
		if c.Together {
			each, times = c.Times, 1
		}
		for range times {
			rounds = append(rounds, slices.Repeat([]*Kind{m.kinds[c.Kind]}, each))
		}
	}
	return rounds
}

// run does half of the work, the calls, and the other half; it ends at the deadline.
func (m *model) run(s *server, w *work, done func(good bool)) {
	ended := false
	end := func(good bool) {
		if !ended {
			ended = true
			done(good)
		}
	}
	m.after(w.deadline-m.now, func() { end(false) })
	spread := math.Exp(w.kind.Spread*m.rnd.NormFloat64() - w.kind.Spread*w.kind.Spread/2)
	half := time.Duration(float64(m.expected(s, w.kind)) * spread / 2)
	calls := m.rounds(w.kind)
	var step func(i int)
	step = func(i int) {
		if ended {
			return
		}
		if i == len(calls) {
			m.after(half, func() { end(true) })
			return
		}
		waiting := len(calls[i])
		for _, k := range calls[i] {
			deadline := min(w.deadline, m.now+time.Duration(k.Timeout))
			m.send(&work{kind: k, node: s.node, rates: s.node.roots.Rates(), deadline: deadline, due: min(deadline, m.now+k.target()), deeper: true, done: func(good, _ bool) {
				if !good {
					end(false)
					return
				}
				if waiting--; waiting == 0 {
					step(i + 1)
				}
			}}, nil)
		}
	}
	m.after(half, func() { step(0) })
}
