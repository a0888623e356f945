package cradmission

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// LevelExpiry is how long a received level is in effect without an update.
	LevelExpiry = time.Second
	// LevelFade is how long an expired level is phased out: a growing share of the requests below it, selected by hash, is
	// admitted. If all requests for a service are refused, no answer updates the level, and without this phase all requests
	// would be admitted at once when the level expires.
	LevelFade = 2 * time.Second
	// MaxLevels limits the levels on one answer.
	MaxLevels = 16
	// answerRefresh is how long the collected levels for answers are cached, which keeps the cost per answer small.
	answerRefresh = 20 * time.Millisecond
)

// LevelEntry is a level as answers carry it. An empty Server stands for the whole service; priority zero means that the
// service admits all requests.
type LevelEntry struct {
	Service  string
	Server   string
	Priority Priority
	Age      time.Duration
}

type levelKey struct{ service, server string }

type levelValue struct {
	priority Priority
	at       time.Time
	// lastNonzero is when the level was last above zero; answers carry a level of zero for some time after that.
	lastNonzero time.Time
}

// LevelTable holds the levels that a node received with answers. Max limits their number and is set before use; zero means
// 1,024 levels.
type LevelTable struct {
	Max int

	mu       sync.RWMutex
	levels   map[levelKey]levelValue
	cached   []LevelEntry // Age is relative to cachedAt
	cachedAt time.Time
}

// Update stores a received level unless it has expired or a more recent one is known.
func (t *LevelTable) Update(now time.Time, e LevelEntry) {
	age := max(e.Age, 0)
	if age >= LevelExpiry {
		return
	}
	key, v := levelKey{e.Service, e.Server}, levelValue{priority: e.Priority, at: now.Add(-age)}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.levels[key]
	if known && old.at.After(v.at) {
		return
	}
	limit := t.Max
	if limit == 0 {
		limit = 1024
	}
	if !known && len(t.levels) >= limit {
		t.purge(now)
		if len(t.levels) >= limit {
			return
		}
	}
	if t.levels == nil {
		t.levels = make(map[levelKey]levelValue)
	}
	v.lastNonzero = old.lastNonzero
	if v.priority > 0 {
		v.lastNonzero = v.at
	}
	// A level of zero is stored as well, so that an older, higher one cannot replace it.
	t.levels[key] = v
}

// Level returns the unexpired level of a service, or of one of its servers if server is not empty; zero means none.
func (t *LevelTable) Level(now time.Time, service, server string) Priority {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.levels[levelKey{service, server}]
	if !ok || now.Sub(v.at) >= LevelExpiry {
		return 0
	}
	return v.priority
}

// latest returns the latest level of a service, expired or not.
func (t *LevelTable) latest(service string) Priority {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.levels[levelKey{service, ""}].priority
}

// View returns all unexpired levels in order of service and server, for dumps.
func (t *LevelTable) View(now time.Time) []LevelEntry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]LevelEntry, 0, len(t.levels))
	for k, v := range t.levels {
		if age := now.Sub(v.at); age < LevelExpiry {
			out = append(out, LevelEntry{k.service, k.server, v.priority, age})
		}
	}
	slices.SortFunc(out, func(a, b LevelEntry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return out
}

// Admits reports whether a request of priority p may be sent to the service; probes may always be sent.
func (t *LevelTable) Admits(now time.Time, service string, p Priority) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.levels[levelKey{service, ""}]
	if !ok || p >= v.priority || p.Probe() {
		return true
	}
	sinceExpiry := now.Sub(v.at) - LevelExpiry
	if sinceExpiry <= 0 {
		return false
	}
	return float64(p&(hashSpace-1)) >= (1-sinceExpiry.Seconds()/LevelFade.Seconds())*hashSpace
}

// AppendAnswer appends to dst the service levels that an answer carries, at most MaxLevels, the most recent first.
func (t *LevelTable) AppendAnswer(now time.Time, dst []LevelEntry) []LevelEntry {
	t.mu.RLock()
	if d := now.Sub(t.cachedAt); d >= 0 && d < answerRefresh {
		dst = t.appendCached(d, dst)
		t.mu.RUnlock()
		return dst
	}
	t.mu.RUnlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purge(now)
	t.cached, t.cachedAt = t.cached[:0], now
	for k, v := range t.levels {
		if k.server == "" && now.Sub(v.at) < LevelExpiry && (v.priority > 0 || now.Sub(v.lastNonzero) < LevelExpiry+LevelFade) {
			t.cached = append(t.cached, LevelEntry{Service: k.service, Priority: v.priority, Age: now.Sub(v.at)})
		}
	}
	slices.SortFunc(t.cached, func(a, b LevelEntry) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Service, b.Service))
	})
	t.cached = t.cached[:min(len(t.cached), MaxLevels)]
	return t.appendCached(0, dst)
}

func (t *LevelTable) appendCached(d time.Duration, dst []LevelEntry) []LevelEntry {
	for _, e := range t.cached {
		e.Age += d
		dst = append(dst, e)
	}
	return dst
}

func (t *LevelTable) purge(now time.Time) {
	for k, v := range t.levels {
		if now.Sub(v.at) >= LevelExpiry+LevelFade {
			delete(t.levels, k)
		}
	}
}

const (
	// DependencyExpiry is how long the entry of a kind is kept without an answer.
	DependencyExpiry = time.Minute
	// maxServicesPerKind limits the services per kind.
	maxServicesPerKind = 16
	// minCallShare is the share of runs from which a service counts as called by a kind.
	minCallShare = 0.5
)

// DependencyTable records, from answers, which deeper services the runs of each kind of request call. Max limits the kinds and is set
// before use; zero means 1,024.
type DependencyTable struct {
	Max int

	mu    sync.RWMutex
	kinds map[string]*kindServices
}

type kindServices struct {
	at       time.Time
	answers  int
	services []string
	shares   []float64
}

// DependencyView is the entry of one kind, for dumps. Shares holds, for each element of Services, the share of runs that
// call it.
type DependencyView struct {
	Kind     string
	Age      time.Duration
	Answers  int
	Services []string
	Shares   []float64
}

// View returns the entries of all kinds in order of their names.
func (r *DependencyTable) View(now time.Time) []DependencyView {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]DependencyView, 0, len(r.kinds))
	for name, k := range r.kinds {
		out = append(out, DependencyView{name, now.Sub(k.at), k.answers, slices.Clone(k.services), slices.Clone(k.shares)})
	}
	slices.SortFunc(out, func(a, b DependencyView) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// RecordAnswer records one complete answer of a kind, which the caller names service/kind, and the services that its run called.
// Refusals must not be recorded: the runs would appear not to call the refusing service.
func (r *DependencyTable) RecordAnswer(now time.Time, kind string, services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[kind]
	if k == nil {
		if k = r.add(now, kind); k == nil {
			return
		}
	}
	k.at = now
	k.answers++
	weight := max(1/float64(k.answers), 0.02)
	for i := len(k.services) - 1; i >= 0; i-- {
		hit := 0.0
		if slices.Contains(services, k.services[i]) {
			hit = 1
		}
		k.shares[i] += weight * (hit - k.shares[i])
		if k.shares[i] < 0.01 {
			k.services = slices.Delete(k.services, i, i+1)
			k.shares = slices.Delete(k.shares, i, i+1)
		}
	}
	for _, s := range services {
		if len(k.services) < maxServicesPerKind && !slices.Contains(k.services, s) {
			k.services = append(k.services, s)
			k.shares = append(k.shares, weight)
		}
	}
}

// Of returns the services that at least half of the runs of the kind call.
func (r *DependencyTable) Of(now time.Time, kind string) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []string
	if k := r.kinds[kind]; k != nil && now.Sub(k.at) < DependencyExpiry {
		for i, s := range k.services {
			if k.shares[i] >= minCallShare {
				out = append(out, s)
			}
		}
	}
	return out
}

// Refuses reports whether a deeper service would refuse a call of a request of the kind, and returns that service and its
// level.
func (r *DependencyTable) Refuses(now time.Time, kind string, p Priority, t *LevelTable) (service string, level Priority, refused bool) {
	if p.Probe() {
		return "", 0, false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	k := r.kinds[kind]
	if k == nil || now.Sub(k.at) >= DependencyExpiry {
		return "", 0, false
	}
	for i, s := range k.services {
		if k.shares[i] < minCallShare {
			continue
		}
		if l := t.latest(s); l > level && !t.Admits(now, s, p) {
			service, level, refused = s, l, true
		}
	}
	return service, level, refused
}

func (r *DependencyTable) add(now time.Time, kind string) *kindServices {
	limit := r.Max
	if limit == 0 {
		limit = 1024
	}
	if len(r.kinds) >= limit {
		for name, k := range r.kinds {
			if now.Sub(k.at) >= DependencyExpiry {
				delete(r.kinds, name)
			}
		}
		if len(r.kinds) >= limit {
			return nil
		}
	}
	if r.kinds == nil {
		r.kinds = make(map[string]*kindServices)
	}
	k := &kindServices{}
	r.kinds[kind] = k
	return k
}
