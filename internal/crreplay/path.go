package crreplay

import (
	"math"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// router returns the router that node n uses for a service, and creates it at the first use.
func (m *model) router(n *node, service string) *crrouter.Router {
	r := n.routers[service]
	if r != nil {
		return r
	}
	r = &crrouter.Router{Rand: m.rnd}
	r.Update(m.clock(), m.listedServers(service))
	n.routers[service] = r
	n.retries[service] = newRetryBudget(len(m.nodes), m.load.RetryRatio, m.rnd.Float64)
	return r
}

// Limits for the sends of one request, equal to those of real nodes.
const (
	// maxSends is the number of gates that one request may be sent to.
	maxSends = 4
)

// outcome is the result of one send.
type outcome int

const (
	answered outcome = iota
	failed
	// refused: the gate did not admit the work. leaving: the server takes no new work. rejected: the server itself refused the
	// run.
	refused
	leaving
	rejected
)

func (o outcome) kind() crrouter.Outcome {
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

// send sends work to a server, and to another one if the gate refuses it.
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
		w.node.recordCall(m.clock(), w)
	}
	answer := func(o outcome) {
		report := s.currentLoad(m.clock())
		m.schedule(time.Duration(m.load.Hop), func() {
			report.storeAt(m.clock(), w.node)
			r.Done(m.clock(), s.id, crrouter.Result{Outcome: o.kind(), Latency: m.now - sent, Feedback: report.feedback})
			if m.shouldRetry(w, o, len(tried)+1) {
				m.send(w, append(tried, s.id))
				return
			}
			w.done(o == answered, o > failed)
		})
	}
	m.schedule(time.Duration(m.load.Hop), func() { m.arrive(s, w, answer) })
}

// shouldRetry reports whether work may be sent to another gate. A retry after rejected needs a token of the retry budget.
func (m *model) shouldRetry(w *work, o outcome, sends int) bool {
	if o <= failed || sends >= maxSends || m.now >= w.deadline {
		return false
	}
	return o != rejected || sends < maxAttempts && w.node.takeRetry(m.clock(), w)
}

// currentLoad is the load information that an answer carries.
type loadReport struct {
	service, server string
	pressure        float64
	refused         float64
	relayed         []crshed.Entry
	feedback        *crrouter.Feedback
}

func (s *server) currentLoad(now time.Time) loadReport {
	return loadReport{
		s.service.Name, s.id, s.regulator.Pressure(), s.refusals.Share(), s.node.board.Entries(now, 4),
		&crrouter.Feedback{InFlight: s.running, Limit: s.service.Slots, Queued: s.queue.Len()},
	}
}

// storeAt updates the pressure table of the node that receives the answer.
func (t *loadReport) storeAt(now time.Time, n *node) {
	n.board.UpdateFromGate(now, t.service, t.server, t.pressure, t.feedback.InFlight+t.feedback.Queued)
	n.board.UpdateCapacity(t.service, t.server, crshed.ServerCapacity{Limit: t.feedback.Limit, Refused: t.refused})
	for _, e := range t.relayed {
		if e.Service != t.service {
			n.board.StoreEntry(now, e)
		}
	}
}

// serverRejects decides at random whether the server itself refuses a run.
func (m *model) serverRejects(s *server) bool {
	share := 0.0
	m.eachActivePhase(func(p Phase) {
		if p.Service == s.service.Name && (p.RefusingServers == 0 || slices.Index(m.servers[p.Service], s) < p.RefusingServers) {
			share = max(share, p.RefusedShare)
		}
	})
	return share > 0 && m.rnd.Float64() < share
}

// serviceTime returns the mean duration of a run on a server, without its calls.
func (m *model) serviceTime(s *server, k *Kind) time.Duration {
	slow := 1.0
	m.eachActivePhase(func(p Phase) {
		if p.Service == s.service.Name && p.WorkFactor > 0 {
			slow *= p.WorkFactor
		}
	})
	return time.Duration(float64(k.Work) * slow / s.speed)
}

// arrive handles work that arrives at the gate of a server: it runs, waits in the queue or is refused.
func (m *model) arrive(s *server, w *work, answer func(outcome)) {
	if s.leaving {
		answer(leaving)
		return
	}
	need := m.serviceTime(s, w.kind)
	if !w.counted {
		w.counted = true
		s.regulator.RecordArrival(need, w.rates.Of(s.service.Name))
	}
	run := func() {
		rejects := m.serverRejects(s)
		s.refusals.Record(rejects, s.running, s.service.Slots)
		if rejects {
			answer(rejected)
			return
		}
		s.running++
		s.node.roots.RunStarted(w.rates)
		repeat := w.repeat
		s.node.repeats.RunStarted(w.kind.Name, repeat)
		m.updateOccupancy(s)
		m.run(s, w, func(good bool) {
			s.running--
			s.node.roots.RunEnded(w.rates)
			s.node.repeats.RunEnded(w.kind.Name, repeat)
			if good {
				answer(answered)
			} else {
				answer(failed)
			}
			m.grant(s)
			m.updateOccupancy(s)
		})
	}
	if s.running < s.service.Slots && s.queue.Len() == 0 {
		run()
		return
	}
	rank, due := s.ranks.Rank(m.clock(), w.sender(), uint32(1000-w.kind.Priority)), epoch.Add(w.targetTime-need)
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
	m.schedule(w.deadline-need-m.now, func() {
		if s.queue.Remove(it) {
			answer(refused)
		}
	})
	m.updateOccupancy(s)
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

func (m *model) updateOccupancy(s *server) {
	m.addBusyTime(s)
	s.regulator.RecordOccupancy(m.clock(), s.running, s.queue.Len(), s.service.Slots)
}

// addBusyTime adds the busy slot seconds of a server since the last update.
func (m *model) addBusyTime(s *server) {
	m.busy[s.id] += float64(min(s.running, s.service.Slots)) * (m.now - s.lastCounted).Seconds()
	s.lastCounted = m.now
}

// callRounds returns the calls of a kind in rounds. The calls of one round are made concurrently.
func (m *model) callRounds(k *Kind) (rounds [][]*Kind) {
	for _, c := range k.Calls {
		each, times := 1, c.Times
		if c.Concurrent {
			each, times = c.Times, 1
		}
		for range times {
			rounds = append(rounds, slices.Repeat([]*Kind{m.kinds[c.Kind]}, each))
		}
	}
	return rounds
}

// run executes work on a server: half of its work, then its calls, then the other half. It fails at the deadline.
func (m *model) run(s *server, w *work, done func(good bool)) {
	ended := false
	end := func(good bool) {
		if !ended {
			ended = true
			done(good)
		}
	}
	m.schedule(w.deadline-m.now, func() { end(false) })
	spread := math.Exp(w.kind.Spread*m.rnd.NormFloat64() - w.kind.Spread*w.kind.Spread/2)
	half := time.Duration(float64(m.serviceTime(s, w.kind)) * spread / 2)
	calls := m.callRounds(w.kind)
	var step func(i int)
	step = func(i int) {
		if ended {
			return
		}
		if i == len(calls) {
			m.schedule(half, func() { end(true) })
			return
		}
		waiting := len(calls[i])
		for _, k := range calls[i] {
			deadline := min(w.deadline, m.now+time.Duration(k.Timeout))
			m.send(&work{kind: k, node: s.node, rates: s.node.roots.Rates(), deadline: deadline, targetTime: min(deadline, m.now+k.target()), fromServer: true, done: func(good, _ bool) {
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
	m.schedule(half, func() { step(0) })
}
