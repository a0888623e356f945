package crreplay

import (
	"math"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
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
	var list []crrouter.Server
	for _, s := range m.servers[service] {
		list = append(list, crrouter.Server{ID: s.id, Slots: s.service.Slots})
	}
	r.Update(m.clock(), list)
	n.routers[service] = r
	return r
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
	answer := func(good, refused bool) {
		told := s.tell(m.clock())
		m.after(time.Duration(m.load.Hop), func() {
			told.reach(m.clock(), w.node)
			r.Done(m.clock(), s.id, crrouter.Result{Kind: endOf(good, refused), Latency: m.now - sent, Feedback: told.load})
			if refused && len(tried) < 1 && m.now < w.deadline {
				m.send(w, append(tried, s.id))
				return
			}
			w.done(good, refused)
		})
	}
	m.after(time.Duration(m.load.Hop), func() { m.arrive(s, w, answer) })
}

func endOf(good, refused bool) crrouter.Kind {
	switch {
	case good:
		return crrouter.OK
	case refused:
		return crrouter.Refused
	}
	return crrouter.Failed
}

// told is what an answer carries of the load.
type told struct {
	service, server string
	intensity       float64
	entries         []crshed.Entry
	load            *crrouter.Feedback
}

func (s *server) tell(now time.Time) told {
	return told{
		s.service.Name, s.id, s.regulator.Intensity(), s.node.board.Entries(now, 4),
		&crrouter.Feedback{InFlight: s.running, Limit: s.service.Slots, Queued: s.queue.Len()},
	}
}

// reach stores what was told at the node that gets the answer.
func (t *told) reach(now time.Time, n *node) {
	n.board.Heard(now, t.service, t.server, t.intensity, t.load.InFlight+t.load.Queued)
	for _, e := range t.entries {
		if e.Service != t.service {
			n.board.Passed(now, e.Service, e.Intensity, e.Age)
		}
	}
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
func (m *model) arrive(s *server, w *work, answer func(good, refused bool)) {
	run := func() {
		s.running++
		m.occupied(s)
		m.run(s, w, func(good bool) {
			s.running--
			answer(good, false)
			m.grant(s)
			m.occupied(s)
		})
	}
	if s.running < s.service.Slots && s.queue.Len() == 0 {
		run()
		return
	}
	need := m.expected(s, w.kind)
	rank, due := s.ranks.Rank(m.clock(), w.sender(), uint32(1000-w.kind.Priority)), epoch.Add(w.due-need)
	ahead := time.Duration(float64(need) * float64(s.queue.Ahead(rank, due)+1) / float64(s.service.Slots))
	if m.now+ahead+need > w.deadline {
		s.regulator.Refused(need)
		answer(false, true)
		return
	}
	it := &cradmission.Item{Priority: rank, Due: due, Deadline: epoch.Add(w.deadline - need)}
	it.Value = func(granted bool) {
		if granted {
			run()
			return
		}
		answer(false, true)
	}
	if refused := s.queue.Push(m.clock(), it); refused != nil {
		s.regulator.Refused(need)
		refused.Value.(func(bool))(false)
	}
	m.after(w.deadline-need-m.now, func() {
		if s.queue.Remove(it) {
			s.regulator.Refused(need)
			answer(false, true)
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
			m.send(&work{kind: k, node: s.node, deadline: deadline, due: min(deadline, m.now+k.target()), deeper: true, done: func(good, _ bool) {
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
