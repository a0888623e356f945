package crquota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crquota"
)

const (
	step         = 5 * time.Millisecond
	lifetime     = 500 * time.Millisecond
	answerWithin = 500 * time.Millisecond
	waitLimit    = 150 * time.Millisecond
	mergeEvery   = 20 * time.Millisecond
	calmMerge    = 60 * time.Millisecond
	organisation = "pulo"
)

// world is a simulation of nodes, coordinators and successive leaders, and of the messages between them.
type world struct {
	rnd *rand.Rand
	now time.Time
	// events are functions to call at a time; those of one step run in random order.
	events map[time.Time][]func()
	nodes  []*worldNode
	// queues holds the requests that wait at each coordinator.
	queues [][]ticket
	seen   map[int]*crquota.Sequences
	owner  *crquota.Owner
	term   uint64
	limit  crquota.Limit
	// lossRate, copyRate and lateRate are the probabilities that a message is lost, sent twice or late by up to lateBy.
	lossRate, copyRate, lateRate float64
	lateBy                       time.Duration
	// notRunRate is the probability that a request which got a token is refused by admission.
	notRunRate       float64
	ran, refused     []time.Time
	byNode           map[int]int
	waited, messages int
	// regular makes requests come at equal intervals instead of random times.
	regular bool
	// killed is the number of nodes, the first ones, that do not run.
	killed int
}

type ticket struct {
	request crquota.Request
	reply   func(crquota.Reply)
}

type worldNode struct {
	world       *world
	name        string
	wallet      *crquota.Wallet
	coordinator int
	// cutUntil is the end of a loss of contact, deafUntil of one in which answers are lost only.
	cutUntil, deafUntil time.Time
	limit               crquota.Limit
	waiting             []time.Time
	index               int
	// offered is the integral of the demand, and next its value at the next request.
	offered, next float64
}

func newWorld(seed uint64, nodes, coordinators int, l crquota.Limit) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), events: map[time.Time][]func(){}, queues: make([][]ticket, coordinators), limit: l,
		byNode: map[int]int{}, seen: map[int]*crquota.Sequences{},
	}
	for i := range nodes {
		n := &worldNode{world: w, name: fmt.Sprint("n", i), limit: l, index: i, coordinator: i % coordinators, next: w.rnd.Float64()}
		n.restart()
		w.nodes = append(w.nodes, n)
	}
	w.lead()
	return w
}

func (n *worldNode) restart() {
	n.wallet = &crquota.Wallet{Lifetime: lifetime, Random: n.world.rnd.Float64}
	n.waiting = nil
}

// lead starts a new leader.
func (w *world) lead() {
	w.term++
	w.owner = crquota.NewOwner(w.now, w.term)
}

func (w *world) after(d time.Duration, f func()) {
	at := w.now.Add(max(d.Round(step), step))
	w.events[at] = append(w.events[at], f)
}

// transmit delivers a message after a random time, perhaps twice, late or not at all.
func (w *world) transmit(f func()) {
	w.messages++
	for range 2 {
		if w.rnd.Float64() >= w.lossRate {
			delay := time.Duration(w.rnd.Int64N(int64(2 * step)))
			if w.rnd.Float64() < w.lateRate {
				delay += time.Duration(w.rnd.Int64N(int64(w.lateBy)))
			}
			w.after(delay, f)
		}
		if w.rnd.Float64() >= w.copyRate {
			return
		}
	}
}

// advance runs the world for d and offers requests to the nodes; demand returns the requests per second at a node.
func (w *world) advance(d time.Duration, demand func(node int) float64) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		due := w.events[w.now]
		delete(w.events, w.now)
		w.rnd.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, f := range due {
			f()
		}
		for i, q := range w.queues {
			urgent := slices.ContainsFunc(q, func(t ticket) bool { return t.request.Urgent })
			if w.now.UnixNano()%int64(calmMerge) == 0 || urgent && w.now.UnixNano()%int64(mergeEvery) == 0 {
				w.merge(i)
			}
		}
		for i, n := range w.nodes {
			if i < w.killed {
				n.restart()
				continue
			}
			for n.offered += demand(i) * step.Seconds(); n.offered >= n.next; n.next++ {
				if !w.regular {
					n.next += w.rnd.ExpFloat64() - 1
				}
				n.arrive()
			}
			n.giveUp()
			n.ask()
		}
	}
}

// merge sends the requests that wait at a coordinator to the leader.
func (w *world) merge(coordinator int) {
	tickets := w.queues[coordinator]
	w.queues[coordinator] = nil
	if len(tickets) == 0 {
		return
	}
	requests := make([]crquota.Request, len(tickets))
	for i, t := range tickets {
		requests[i] = t.request
	}
	turn := w.rnd.IntN(100)
	merged := crquota.Merge(requests)
	merged.Sequence = uint64(w.now.UnixNano())
	w.transmit(func() {
		if w.owner == nil {
			return
		}
		r := w.owner.Acquire(w.now, fmt.Sprint(coordinator), merged)
		w.transmit(func() {
			for i, part := range crquota.Split(requests, r, turn) {
				tickets[i].reply(part)
			}
		})
	})
}

func (n *worldNode) arrive() {
	w := n.world
	d := n.wallet.Take(w.now, organisation, n.limit)
	switch d.Verdict {
	case crquota.Granted:
		n.run(d.Expires)
	case crquota.Wait:
		w.waited++
		n.waiting = append(n.waiting, w.now)
		n.wallet.AddWaiting(organisation, 1)
	case crquota.Refused:
		w.refused = append(w.refused, w.now)
	}
}

func (n *worldNode) run(expires time.Time) {
	if n.world.rnd.Float64() < n.world.notRunRate {
		n.world.after(step, func() { n.wallet.Return(n.world.now, organisation, expires) })
		return
	}
	n.world.byNode[n.index]++
	n.world.ran = append(n.world.ran, n.world.now)
}

// giveUp refuses the requests that have waited for long.
func (n *worldNode) giveUp() {
	for len(n.waiting) > 0 && n.world.now.Sub(n.waiting[0]) > waitLimit {
		n.refuseFirst()
	}
}

func (n *worldNode) refuseFirst() {
	n.waiting = n.waiting[1:]
	n.wallet.AddWaiting(organisation, -1)
	n.world.refused = append(n.world.refused, n.world.now)
}

func (n *worldNode) ask() {
	w := n.world
	req, due := n.wallet.Ask(w.now)
	if !due {
		return
	}
	wallet, sent, answered := n.wallet, w.now, false
	w.after(answerWithin, func() {
		if !answered {
			answered = true
			wallet.Failed(req)
		}
	})
	w.transmit(func() {
		if w.now.Before(n.cutUntil) {
			return
		}
		named := req
		named.Demands, named.Contacts = slices.Clone(req.Demands), slices.Clone(req.Contacts)
		named.Contacts[0].Node = n.name
		if w.seen[n.coordinator] == nil {
			w.seen[n.coordinator] = &crquota.Sequences{}
		}
		if !w.seen[n.coordinator].Fresh(n.name, req.Sequence) {
			named.DropReturned()
		}
		w.queues[n.coordinator] = append(w.queues[n.coordinator], ticket{named, func(r crquota.Reply) {
			w.transmit(func() {
				if answered || w.now.Before(n.cutUntil) || w.now.Before(n.deafUntil) || wallet != n.wallet {
					return
				}
				answered = true
				n.answer(sent, req, r)
			})
		}})
	})
}

func (n *worldNode) answer(sent time.Time, req crquota.Request, r crquota.Reply) {
	w := n.world
	n.wallet.Answer(w.now, sent, req, r)
	for len(n.waiting) > 0 {
		expires, ok := n.wallet.Spend(w.now, organisation)
		if !ok {
			break
		}
		n.waiting = n.waiting[1:]
		n.wallet.AddWaiting(organisation, -1)
		n.run(expires)
	}
	for n.wallet.Exhausted(w.now, organisation) && len(n.waiting) > 0 {
		n.refuseFirst()
	}
}

// loseCoordinator loses the requests at a coordinator; its nodes find another one 300 ms later.
func (w *world) loseCoordinator(lost int) {
	w.queues[lost] = nil
	for _, n := range w.nodes {
		if n.coordinator == lost {
			n.cutUntil, n.coordinator = w.now.Add(300*time.Millisecond), (lost+1)%len(w.queues)
		}
	}
}

// mostInWindow returns the largest number of requests that ran in a window of 5 s that begins at or after a time.
func (w *world) mostInWindow(from time.Time) (most int) {
	first := 0
	for i, t := range w.ran {
		for w.ran[first].Before(from) && first < i || t.Sub(w.ran[first]) > 5*time.Second {
			first++
		}
		if !t.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func bound(l crquota.Limit) float64 { return (l.Rate*5+l.Burst)*1.1 + 20 }
