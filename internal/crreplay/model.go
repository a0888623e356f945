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

// event is a scheduled event. Events of the same time run in the order in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	run   func()
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

// node is an entrance for clients; it may also be the node of one or more servers.
type node struct {
	board   crshed.PressureTable
	shares  crshed.Admitter
	roots   crshed.RootRates
	routers map[string]*crrouter.Router
	retries map[string]*retryBudget
	repeats crbudget.Repeats
}

// server is a server and its gate.
type server struct {
	id          string
	service     *Service
	speed       float64
	node        *node
	running     int
	queue       cradmission.Queue
	ranks       cradmission.Ranks
	regulator   crshed.Regulator
	refusals    crshed.Refusals
	lastCounted time.Duration
	// leaving is true while the server takes no new work; returnedAt is when it returned; listed is true while the directory of
	// the callers lists it.
	leaving    bool
	returnedAt time.Time
	listed     bool
}

// work is one client request, or one call of a server.
type work struct {
	kind     *Kind
	node     *node
	deadline time.Duration
	// targetTime is the time after which the answer misses the latency target of its kind.
	targetTime time.Duration
	fromServer bool
	// rates are the admitted shares of the work offered for each service when the entrance admitted the client request.
	rates crshed.Rates
	// repeat is true if the run counts as a repeat.
	repeat bool
	// counted is true once a gate has counted the work as offered load.
	counted bool
	done    func(good, refused bool)
}

// target is the latency within which an answer has its full worth; the default is the timeout of the kind.
func (k *Kind) target() time.Duration {
	if k.Target > 0 {
		return time.Duration(min(k.Target, k.Timeout))
	}
	return time.Duration(k.Timeout)
}

func (w *work) sender() cradmission.Sender {
	if w.fromServer {
		return cradmission.Server
	}
	return cradmission.Client
}

var epoch = time.Unix(1_000_000, 0)

func (m *model) clock() time.Time { return epoch.Add(m.now) }

func (m *model) schedule(d time.Duration, f func()) {
	m.order++
	heap.Push(&m.events, event{m.now + d, m.order, f})
}

func newModel(l *Load, rnd *rand.Rand) *model {
	m := &model{
		load: l, rnd: rnd, kinds: map[string]*Kind{}, servers: map[string][]*server{}, costs: map[string]map[string]float64{},
		rows: map[string]*Row{}, busy: map[string]float64{},
	}
	for range l.Nodes {
		m.nodes = append(m.nodes, &node{routers: map[string]*crrouter.Router{}, retries: map[string]*retryBudget{}})
	}
	next := 0
	for i := range l.Services {
		s := &l.Services[i]
		for j, speed := range s.Speeds {
			m.servers[s.Name] = append(m.servers[s.Name], &server{
				id: s.Name + strconv.Itoa(j), service: s, speed: speed, node: m.nodes[next%l.Nodes],
				queue: cradmission.Queue{Length: 4 * s.Slots, MaxWait: time.Minute}, listed: true,
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
		m.addCost(name, 1, m.costs[name])
	}
	for i := range l.Kinds {
		if k := &l.Kinds[i]; k.Rate > 0 {
			m.arrivals(k)
		}
	}
	for _, p := range l.Phases {
		if p.LeavingServers > 0 {
			m.schedule(time.Duration(p.At), func() { m.setLeaving(p, true) })
			m.schedule(time.Duration(p.At+p.For), func() { m.setLeaving(p, false) })
		}
	}
	for _, n := range m.nodes {
		for name, list := range m.servers {
			n.board.UpdateServers(map[string]int{name: len(list)})
		}
	}
	m.seconds = make([]Second, (time.Duration(l.Length)+time.Second-1)/time.Second)
	m.schedule(crshed.TickInterval, m.tick)
	return m
}

// setLeaving makes servers of a service leave or return. The directory of the callers is updated after NoticeDelay.
func (m *model) setLeaving(p Phase, leaving bool) {
	list := m.servers[p.Service]
	for _, s := range list[:min(p.LeavingServers, len(list))] {
		s.leaving = leaving
		if leaving {
			for it, ok := s.queue.Pop(m.clock()); ok; it, ok = s.queue.Pop(m.clock()) {
				it.Value.(func(bool))(false)
			}
		}
	}
	m.schedule(time.Duration(p.NoticeDelay), func() {
		for _, s := range list {
			s.listed = !s.leaving
			if !leaving {
				s.returnedAt = m.clock()
			}
		}
		for _, n := range m.nodes {
			if r := n.routers[p.Service]; r != nil {
				r.Update(m.clock(), m.listedServers(p.Service))
			}
		}
	})
}

// listedServers returns the servers of a service that the directory lists.
func (m *model) listedServers(service string) (list []crrouter.Server) {
	for _, s := range m.servers[service] {
		if s.listed {
			list = append(list, crrouter.Server{ID: s.id, Slots: s.service.Slots, Started: s.returnedAt})
		}
	}
	return list
}

// addCost adds to the map the seconds of work on each service that the given number of runs of a kind causes, calls included.
func (m *model) addCost(kind string, times float64, to map[string]float64) {
	k := m.kinds[kind]
	to[k.Service] += times * time.Duration(k.Work).Seconds()
	for _, c := range k.Calls {
		m.addCost(c.Kind, times*float64(c.Times), to)
	}
}

func (m *model) eachActivePhase(apply func(p Phase)) {
	for _, p := range m.load.Phases {
		if m.now >= time.Duration(p.At) && m.now < time.Duration(p.At+p.For) {
			apply(p)
		}
	}
}

// arrivals schedules the client requests of a kind with exponentially distributed intervals.
func (m *model) arrivals(k *Kind) {
	rate := k.Rate
	m.eachActivePhase(func(p Phase) {
		if p.RateFactor > 0 {
			rate *= p.RateFactor
		}
	})
	m.schedule(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now < time.Duration(m.load.Length) {
			m.request(k)
			m.arrivals(k)
		}
	})
}

// request sends one client request and retries it as its client would after a refusal or failure.
func (m *model) request(k *Kind) {
	row, second := m.rows[k.Name], &m.seconds[m.now/time.Second]
	row.Requests++
	second.Requests++
	row.MaxWorth += k.Worth
	second.MaxWorth += k.Worth
	abuse := 0.0
	m.eachActivePhase(func(p Phase) { abuse = max(abuse, p.AbuserShare) })
	retriesLeft := 1
	abuser := m.rnd.Float64() < abuse
	if abuser {
		retriesLeft = 3
	}
	first := m.now
	at := m.nodes[m.rnd.IntN(len(m.nodes))]
	var try func()
	try = func() {
		m.admit(k, at, func(good, refused bool) {
			took := m.now - first
			switch {
			case good && took <= time.Duration(k.Target):
				row.InTime++
				row.Worth += k.Worth
				second.Served++
				second.Worth += k.Worth
			case good:
				row.Late++
				row.Worth += k.LateWorth
				second.Served++
				second.Worth += k.LateWorth
			case (refused || k.RetryFailed) && retriesLeft > 0 && took < time.Duration(k.Patience):
				retriesLeft--
				wait := (time.Duration(k.Patience) - took) / 3
				if hint := m.retryDelay(k, took); hint < wait {
					wait = hint
				}
				if abuser {
					wait = 0
				}
				m.schedule(wait, try)
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

// admit decides at the entrance whether a client request is admitted, and sends it if so.
func (m *model) admit(k *Kind, at *node, done func(good, refused bool)) {
	unlearned := false
	m.eachActivePhase(func(p Phase) { unlearned = unlearned || p.CostsUnknown })
	rates := crshed.Rates{}
	if m.load.Control == ControlShed && !unlearned {
		share := 1.0
		for s, seconds := range m.costs[k.Name] {
			pressure := at.board.Pressure(m.clock(), s)
			at.shares.RecordOffered(m.clock(), s, k.Priority, time.Duration(seconds*float64(time.Second)))
			share = min(share, at.shares.AdmittedFraction(m.clock(), s, k.Priority, pressure))
			rates[s] = at.shares.TotalAdmittedFraction(m.clock(), s, pressure)
		}
		if !at.shares.Admit(k.Name, share) {
			done(false, true)
			return
		}
	}
	m.send(&work{kind: k, node: at, rates: rates, deadline: m.now + time.Duration(k.Timeout), targetTime: m.now + k.target(), done: done}, nil)
}

// retryDelay returns the retry hint that a refused client receives.
func (m *model) retryDelay(k *Kind, took time.Duration) time.Duration {
	return crshed.RetryDelay(k.target()-took-m.unloadedTime(k), func(d time.Duration) time.Duration {
		return time.Duration(m.rnd.Int64N(int64(d)))
	})
}

// unloadedTime returns the duration of a run with all its calls if nothing waits in a queue.
func (m *model) unloadedTime(k *Kind) time.Duration {
	d := time.Duration(k.Work)
	for _, c := range k.Calls {
		n := time.Duration(c.Times)
		if c.Concurrent {
			n = 1
		}
		d += n * m.unloadedTime(m.kinds[c.Kind])
	}
	return d
}

func (m *model) tick() {
	second := &m.seconds[min(int(m.now/time.Second), len(m.seconds)-1)]
	second.Pressure, second.Queued = 0, 0
	for _, list := range m.servers {
		for _, s := range list {
			m.updateOccupancy(s)
			s.regulator.Tick(m.clock())
			s.refusals.Tick(m.clock())
			second.Pressure, second.Queued = max(second.Pressure, s.regulator.Pressure()), max(second.Queued, s.queue.Len())
		}
	}
	if m.now < time.Duration(m.load.Length) {
		m.schedule(crshed.TickInterval, m.tick)
	}
}

// table computes the result of the replay.
func (m *model) table() *Table {
	t := &Table{Utilization: map[string]float64{}, Seconds: m.seconds}
	for i := range m.load.Kinds {
		if k := &m.load.Kinds[i]; k.Rate > 0 {
			t.Rows = append(t.Rows, *m.rows[k.Name])
		}
	}
	seconds := time.Duration(m.load.Length).Seconds()
	for name, list := range m.servers {
		for _, s := range list {
			t.Utilization[name] += m.busy[s.id] / seconds / float64(s.service.Slots*len(list))
		}
	}
	t.PossibleShare = m.possibleShare()
	return t
}

// possibleShare returns the upper bound of the share of the maximum worth that any control could earn over the replay. For each
// service it fills the slots with the kinds of the highest worth per second of work; the tightest service gives the bound.
func (m *model) possibleShare() float64 {
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
			need := float64(row.Requests) * m.costs[k.Name][s.Name]
			part := 1.0
			if need > 0 {
				part = min(1, capacity/need)
			}
			capacity -= part * need
			worth += part * row.MaxWorth
			owed += row.MaxWorth
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
