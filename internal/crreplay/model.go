package crreplay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crrouter"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// event is a moment of the replay; order keeps events of the same time in the order in which they were made.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// model is the state of a replay.
type model struct {
	load    *Load
	rnd     *rand.Rand
	now     time.Duration
	order   int
	events  events
	kinds   map[string]*Kind
	servers map[string][]*server
	nodes   []*node
	costs   map[string]map[string]float64
	rows    map[string]*Row
	seconds []Second
	busy    map[string]float64
}

// node is an entrance, and the node of a server when there is one beside it.
type node struct {
	board   crshed.Board
	shares  crshed.Shares
	roots   crshed.Roots
	routers map[string]*crrouter.Router
	retries map[string]*crbudget.Ratio
}

// server is one server with its gate.
type server struct {
	id        string
	service   *Service
	speed     float64
	node      *node
	running   int
	queue     cradmission.Queue
	ranks     cradmission.Ranks
	regulator crshed.Regulator
	counted   time.Duration
	// left is set while the server takes no new work, since is when it came back, told when the directory knows of that.
	left  bool
	since time.Time
	known bool
}

// work is one request or call.
type work struct {
	kind     *Kind
	node     *node
	deadline time.Duration
	// due is when the answer is late by the target of its kind.
	due    time.Duration
	deeper bool
	// rates is what was let in when the client's request was.
	rates crshed.Rates
	// counted is set once a gate has counted it as asked for.
	counted bool
	done    func(good, refused bool)
}

// target is the time within which an answer has its full worth; a kind that names none has its time limit.
func (k *Kind) target() time.Duration {
	if k.Target > 0 {
		return time.Duration(min(k.Target, k.Timeout))
	}
	return time.Duration(k.Timeout)
}

func (w *work) sender() cradmission.Sender {
	if w.deeper {
		return cradmission.Server
	}
	return cradmission.Client
}

var epoch = time.Unix(1_000_000, 0)

func (m *model) clock() time.Time { return epoch.Add(m.now) }

func (m *model) after(d time.Duration, f func()) {
	m.order++
	heap.Push(&m.events, event{m.now + d, m.order, f})
}

func newModel(l *Load, rnd *rand.Rand) *model {
	m := &model{
		load: l, rnd: rnd, kinds: map[string]*Kind{}, servers: map[string][]*server{}, costs: map[string]map[string]float64{},
		rows: map[string]*Row{}, busy: map[string]float64{},
	}
	for range l.Nodes {
		m.nodes = append(m.nodes, &node{routers: map[string]*crrouter.Router{}, retries: map[string]*crbudget.Ratio{}})
	}
	next := 0
	for i := range l.Services {
		s := &l.Services[i]
		for j, speed := range s.Speeds {
			m.servers[s.Name] = append(m.servers[s.Name], &server{
				id: s.Name + strconv.Itoa(j), service: s, speed: speed, node: m.nodes[next%l.Nodes],
				queue: cradmission.Queue{Length: 4 * s.Slots, MaxWait: time.Minute}, known: true,
			})
			next++
		}
	}
	for i := range l.Kinds {
		m.kinds[l.Kinds[i].Name] = &l.Kinds[i]
		m.rows[l.Kinds[i].Name] = &Row{Kind: l.Kinds[i].Name}
	}
	for name := range m.kinds {
		m.costs[name] = map[string]float64{}
		m.cost(name, 1, m.costs[name])
	}
	for i := range l.Kinds {
		if k := &l.Kinds[i]; k.Rate > 0 {
			m.arrivals(k)
		}
	}
	for _, p := range l.Phases {
		if p.Leave > 0 {
			m.after(time.Duration(p.At), func() { m.leave(p, true) })
			m.after(time.Duration(p.At+p.For), func() { m.leave(p, false) })
		}
	}
	m.seconds = make([]Second, (time.Duration(l.Length)+time.Second-1)/time.Second)
	m.after(crshed.TickInterval, m.tick)
	return m
}

// leave lets servers of a service leave or come back; the directory tells the callers after a while.
func (m *model) leave(p Phase, left bool) {
	list := m.servers[p.Service]
	for _, s := range list[:min(p.Leave, len(list))] {
		s.left = left
		if left {
			for it, ok := s.queue.Pop(m.clock()); ok; it, ok = s.queue.Pop(m.clock()) {
				it.Value.(func(bool))(false)
			}
		}
	}
	m.after(time.Duration(p.Notice), func() {
		for _, s := range list {
			s.known = !s.left
			if !left {
				s.since = m.clock()
			}
		}
		for _, n := range m.nodes {
			if r := n.routers[p.Service]; r != nil {
				r.Update(m.clock(), m.known(p.Service))
			}
		}
	})
}

// known returns the servers of a service that the directory tells.
func (m *model) known(service string) (list []crrouter.Server) {
	for _, s := range m.servers[service] {
		if s.known {
			list = append(list, crrouter.Server{ID: s.id, Slots: s.service.Slots, Started: s.since})
		}
	}
	return list
}

// cost adds the seconds of each service that times runs of a kind take.
func (m *model) cost(kind string, times float64, to map[string]float64) {
	k := m.kinds[kind]
	to[k.Service] += times * time.Duration(k.Work).Seconds()
	for _, c := range k.Calls {
		m.cost(c.Kind, times*float64(c.Times), to)
	}
}

func (m *model) phase(apply func(p Phase)) {
	for _, p := range m.load.Phases {
		if m.now >= time.Duration(p.At) && m.now < time.Duration(p.At+p.For) {
			apply(p)
		}
	}
}

// arrivals makes the requests of clients of a kind.
func (m *model) arrivals(k *Kind) {
	rate := k.Rate
	m.phase(func(p Phase) {
		if p.Rate > 0 {
			rate *= p.Rate
		}
	})
	m.after(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now < time.Duration(m.load.Length) {
			m.request(k)
			m.arrivals(k)
		}
	})
}

// request is one client's request with what it does after a refusal.
func (m *model) request(k *Kind) {
	row, second := m.rows[k.Name], &m.seconds[m.now/time.Second]
	row.Asked++
	second.Asked++
	row.Owed += k.Worth
	second.Owed += k.Worth
	abuse := 0.0
	m.phase(func(p Phase) { abuse = max(abuse, p.Abuse) })
	left := 1
	abuser := m.rnd.Float64() < abuse
	if abuser {
		left = 3
	}
	first := m.now
	at := m.nodes[m.rnd.IntN(len(m.nodes))]
	var try func()
	try = func() {
		m.enter(k, at, func(good, refused bool) {
			took := m.now - first
			switch {
			case good && took <= time.Duration(k.Target):
				row.InTime++
				row.Worth += k.Worth
				second.Served++
				second.Worth += k.Worth
			case good:
				row.Late++
				row.Worth += k.Late
				second.Served++
				second.Worth += k.Late
			case (refused || k.Repeat) && left > 0 && took < time.Duration(k.Patience):
				left--
				wait := (time.Duration(k.Patience) - took) / 3
				if hint := m.hint(k, took); hint < wait {
					wait = hint
				}
				if abuser {
					wait = 0
				}
				m.after(wait, try)
			case refused:
				row.Refused++
				second.Refused++
			default:
				row.Failed++
				second.Failed++
			}
		})
	}
	try()
}

// enter is the entrance of a request of a client.
func (m *model) enter(k *Kind, at *node, done func(good, refused bool)) {
	unlearned := false
	m.phase(func(p Phase) { unlearned = unlearned || p.Unlearned })
	rates := crshed.Rates{}
	if m.load.Control == ControlShed && !unlearned {
		share := 1.0
		for s, seconds := range m.costs[k.Name] {
			pressure := at.board.Pressure(m.clock(), s)
			at.shares.Offer(m.clock(), s, k.Priority, time.Duration(seconds*float64(time.Second)))
			share = min(share, at.shares.Share(m.clock(), s, k.Priority, pressure))
			rates[s] = at.shares.Passed(m.clock(), s, pressure)
		}
		if !at.shares.Admit(k.Name, share) {
			done(false, true)
			return
		}
	}
	m.send(&work{kind: k, node: at, rates: rates, deadline: m.now + time.Duration(k.Timeout), due: m.now + k.target(), done: done}, nil)
}

// hint returns when a client that was turned away is told to come back.
func (m *model) hint(k *Kind, took time.Duration) time.Duration {
	return crshed.ComeBack(k.target()-took-m.chain(k), func(d time.Duration) time.Duration {
		return time.Duration(m.rnd.Int64N(int64(d)))
	})
}

// chain returns the time of a run with its calls while nothing waits.
func (m *model) chain(k *Kind) time.Duration {
	d := time.Duration(k.Work)
	for _, c := range k.Calls {
		n := time.Duration(c.Times)
		if c.Together {
			n = 1
		}
		d += n * m.chain(m.kinds[c.Kind])
	}
	return d
}

func (m *model) tick() {
	second := &m.seconds[min(int(m.now/time.Second), len(m.seconds)-1)]
	second.Pressure, second.Queued = 0, 0
	for _, list := range m.servers {
		for _, s := range list {
			m.occupied(s)
			s.regulator.Tick(m.clock())
			second.Pressure, second.Queued = max(second.Pressure, s.regulator.Pressure()), max(second.Queued, s.queue.Len())
		}
	}
	if m.now < time.Duration(m.load.Length) {
		m.after(crshed.TickInterval, m.tick)
	}
}

// table sums up the replay.
func (m *model) table() *Table {
	t := &Table{Occupied: map[string]float64{}, Seconds: m.seconds}
	for i := range m.load.Kinds {
		if k := &m.load.Kinds[i]; k.Rate > 0 {
			t.Rows = append(t.Rows, *m.rows[k.Name])
		}
	}
	seconds := time.Duration(m.load.Length).Seconds()
	for name, list := range m.servers {
		for _, s := range list {
			t.Occupied[name] += m.busy[s.id] / seconds / float64(s.service.Slots*len(list))
		}
	}
	t.Possible = m.possible()
	return t
}

// possible fills the slots of the tightest service with the kinds worth most for its time, as a bound on what any control
// could earn over the whole replay.
func (m *model) possible() float64 {
	best := 1.0
	for _, s := range m.load.Services {
		capacity := 0.0
		for _, speed := range s.Speeds {
			capacity += speed * float64(s.Slots) * time.Duration(m.load.Length).Seconds()
		}
		kinds := slices.Clone(m.load.Kinds)
		slices.SortFunc(kinds, func(a, b Kind) int {
			x, y := a.Worth/max(m.costs[a.Name][s.Name], 1e-9), b.Worth/max(m.costs[b.Name][s.Name], 1e-9)
			if x > y {
				return -1
			}
			return 1
		})
		worth, owed := 0.0, 0.0
		for _, k := range kinds {
			row := m.rows[k.Name]
			need := float64(row.Asked) * m.costs[k.Name][s.Name]
			part := 1.0
			if need > 0 {
				part = min(1, capacity/need)
			}
			capacity -= part * need
			worth += part * row.Owed
			owed += row.Owed
		}
		if owed > 0 {
			best = min(best, worth/owed)
		}
	}
	return best
}

// Name returns a short description of the load.
func (l *Load) Name() string {
	return fmt.Sprintf("%d nodes, %d services, %d kinds, %s", l.Nodes, len(l.Services), len(l.Kinds), time.Duration(l.Length))
}
