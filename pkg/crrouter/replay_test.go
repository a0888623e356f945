package crrouter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crspeed"
)

// replay plays calls of several callers at the servers of one service in virtual time. Each server has a gate with a limit
// and a queue, beside which an Estimator measures its runs.
type replay struct {
	callers, slots int
	run            time.Duration
	// rate is the number of calls per second of all callers.
	rate float64
	// slow returns by which factor runs that start now take longer at a server, reported the figure that its header has (zero
	// is none) and refuses the share of requests that it refuses; nil means none.
	slow, reported, refuses func(server int, at time.Duration) float64
	servers                 int
	// speeds says that gates report the speed; without it the routers are those of a release without it.
	speeds bool
	// domains is the number of failure domains over which servers and callers are spread, zero means one.
	domains int
	// clump is the number of calls that arrive at a time, zero means one; from returns the caller that they arrive at, nil
	// means a random one.
	clump int
	from  func(at time.Duration, random *rand.Rand) int

	now     time.Duration
	pending events
	nodes   []*caller
	gates   []*backend
	random  *rand.Rand
	// sent holds, by server and tenth of a second, the calls that were sent to it.
	sent    [][]int
	took    []time.Duration
	refused int
}

type caller struct {
	router *crrouter.Router
	speeds crspeed.Comparison
}

type backend struct {
	running int
	queue   []func()
	speed   crspeed.Estimator
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

func (p *replay) after(d time.Duration, do func()) { heap.Push(&p.pending, event{p.now + d, do}) }

func (p *replay) clock() time.Time { return t0.Add(p.now) }

func domain(i, of int) string { return fmt.Sprint("d", i%max(of, 1)) }

// play plays calls for the given time and then lets those in flight end.
func (p *replay) play(long time.Duration) {
	p.random = rand.New(rand.NewPCG(5, 6))
	var list []crrouter.Server
	for i := range p.servers {
		p.gates, p.sent = append(p.gates, &backend{speed: crspeed.Estimator{Slots: p.slots}}), append(p.sent, make([]int, long/(100*time.Millisecond)+1))
		list = append(list, crrouter.Server{ID: fmt.Sprint(i), Domain: domain(i, p.domains), Slots: p.slots})
	}
	for i := range p.callers {
		c := &caller{router: &crrouter.Router{Domain: domain(i, p.domains), Rand: rand.New(rand.NewPCG(uint64(i), 7))}}
		c.router.Update(p.clock(), list)
		p.nodes = append(p.nodes, c)
	}
	var arrive func()
	arrive = func() {
		clump := max(p.clump, 1)
		i := p.random.IntN(p.callers)
		if p.from != nil {
			i = p.from(p.now, p.random)
		}
		for range clump {
			p.call(p.nodes[i])
		}
		if p.now < long {
			p.after(time.Duration(p.random.ExpFloat64()/p.rate*float64(clump)*float64(time.Second)), arrive)
		}
	}
	arrive()
	for len(p.pending) > 0 {
		e := heap.Pop(&p.pending).(event)
		p.now = e.at
		e.do()
	}
}

// factor calls f, which may be nil.
func factor(f func(int, time.Duration) float64, server int, at time.Duration, unset float64) float64 {
	if f == nil {
		return unset
	}
	return f(server, at)
}

const hop = 700 * time.Microsecond

func (p *replay) call(c *caller) {
	picked, err := c.router.Pick(p.clock(), ordinary)
	if err != nil {
		p.refused++
		return
	}
	var i int
	_, _ = fmt.Sscan(picked.ID, &i)
	g, sent := p.gates[i], p.now
	p.sent[i][min(int(p.now/(100*time.Millisecond)), len(p.sent[i])-1)]++
	answer := func(outcome crrouter.Outcome, took time.Duration) {
		feedback := &crrouter.Feedback{InFlight: g.running, Limit: p.slots, Queued: len(g.queue)}
		report := g.speed.Report(p.clock(), "r")
		p.after(hop, func() {
			if p.speeds {
				c.speeds.Observe(picked.ID, "r", report.RunTime)
				feedback.Speed, feedback.Slowness = c.speeds.Speed(picked.ID), c.speeds.Slowness(picked.ID, report.Slowness)
				feedback.Acceptance = report.Acceptance
			}
			c.router.Done(p.clock(), picked.ID, crrouter.Result{Outcome: outcome, Latency: took, Feedback: feedback})
			if outcome == crrouter.OK {
				p.took = append(p.took, p.now-sent)
			} else {
				p.refused++
			}
		})
	}
	p.after(hop, func() {
		refused := p.random.Float64() < factor(p.refuses, i, p.now, 0)
		g.speed.RecordSend(p.clock(), refused)
		if refused {
			answer(crrouter.Refused, 0)
			return
		}
		g.queue = append(g.queue, func() { p.start(i, answer) })
		p.next(i)
	})
}

func (p *replay) next(i int) {
	if g := p.gates[i]; g.running < p.slots && len(g.queue) > 0 {
		start := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		start()
	}
}

// start runs a call on a server; the work advances in steps, so that a change of the speed affects a run that has begun.
func (p *replay) start(i int, answer func(crrouter.Outcome, time.Duration)) {
	const step = 10 * time.Millisecond
	g, started := p.gates[i], p.now
	begin := g.speed.Begin(p.clock(), g.running)
	left := time.Duration(float64(p.run) * (0.5 + p.random.Float64()))
	var advance func()
	advance = func() {
		slow := factor(p.slow, i, p.now, 1)
		part := min(left, step)
		p.after(time.Duration(float64(part)*slow), func() {
			if left -= part; left > 0 {
				advance()
				return
			}
			g.running--
			if v := factor(p.reported, i, p.now, 0); v > 0 {
				g.speed.RecordLoad(p.clock(), crspeed.Load{Running: g.running, Slots: p.slots, Slowness: v})
			}
			g.speed.End(p.clock(), crspeed.Run{Route: "r", Begin: begin, OwnShare: 1, Running: g.running + 1})
			answer(crrouter.OK, p.now-started)
			p.next(i)
		})
	}
	advance()
}

// mean and over describe completion times: their mean, and the share that exceeds a target.
func (p *replay) mean() time.Duration {
	var sum time.Duration
	for _, t := range p.took {
		sum += t
	}
	return sum / time.Duration(max(len(p.took), 1))
}

func (p *replay) over(target time.Duration) float64 {
	n := 0
	for _, t := range p.took {
		if t > target {
			n++
		}
	}
	return float64(n) / float64(max(len(p.took), 1))
}

// share returns the share of the calls between two times that were sent to a server.
func (p *replay) share(server int, from, to time.Duration) float64 {
	own, all := 0, 0
	for i, counts := range p.sent {
		for _, n := range counts[from/(100*time.Millisecond) : to/(100*time.Millisecond)] {
			all += n
			if i == server {
				own += n
			}
		}
	}
	return float64(own) / float64(max(all, 1))
}
