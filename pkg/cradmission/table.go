package cradmission

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// LevelExpiry is how long a learned level holds without news.
	LevelExpiry = time.Second
	// LevelFade is how long an expired level gives way: requests below it are let through in growing part, by their hash.
	// Where all requests for a service are refused no answer brings news, and without the fade they would all be let
	// through at once when the level expires.
	LevelFade = 2 * time.Second
	// MaxLevels bounds the levels on one answer.
	MaxLevels = 16
	// answerRefresh is how often the levels for answers are collected again, which keeps the cost per answer small.
	answerRefresh = 20 * time.Millisecond
)

// LevelEntry is a level as it travels on an answer. An empty Server means the whole service; priority zero means that
// the service admits everything.
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
	// raised is when the level was last above zero; the news that it is gone travels on answers for a while.
	raised time.Time
}

// LevelTable keeps the levels that a node learned from answers. Max is set before use; zero means 1,024 levels.
type LevelTable struct {
	Max int

	mu       sync.RWMutex
	levels   map[levelKey]levelValue
	answer   []LevelEntry // Age is relative to answered
	answered time.Time
}

// Learn stores a level unless it is expired or a fresher one is known.
func (t *LevelTable) Learn(now time.Time, e LevelEntry) {
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
	v.raised = old.raised
	if v.priority > 0 {
		v.raised = v.at
	}
	// A level of zero is kept as well, so that an older, higher one cannot come back.
	t.levels[key] = v
}

// Level returns the valid level of a service, or of one of its servers when server is not empty; zero means none.
func (t *LevelTable) Level(now time.Time, service, server string) Priority {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.levels[levelKey{service, server}]
	if !ok || now.Sub(v.at) >= LevelExpiry {
		return 0
	}
	return v.priority
}

// held returns the level of a service whatever its age.
func (t *LevelTable) held(service string) Priority {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.levels[levelKey{service, ""}].priority
}

// View returns all valid levels in order of service and server, for dumps.
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

// Admits reports whether a request of priority p may be sent to the service; probes always may.
func (t *LevelTable) Admits(now time.Time, service string, p Priority) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.levels[levelKey{service, ""}]
	if !ok || p >= v.priority || p.Probe() {
		return true
	}
	late := now.Sub(v.at) - LevelExpiry
	if late <= 0 {
		return false
	}
	return float64(p&(hashSpace-1)) >= (1-late.Seconds()/LevelFade.Seconds())*hashSpace
}

// AppendAnswer appends the service levels for an answer, at most MaxLevels, the freshest first.
func (t *LevelTable) AppendAnswer(now time.Time, dst []LevelEntry) []LevelEntry {
	t.mu.RLock()
	if d := now.Sub(t.answered); d >= 0 && d < answerRefresh {
		dst = t.appendCached(d, dst)
		t.mu.RUnlock()
		return dst
	}
	t.mu.RUnlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purge(now)
	t.answer, t.answered = t.answer[:0], now
	for k, v := range t.levels {
		if k.server == "" && now.Sub(v.at) < LevelExpiry && (v.priority > 0 || now.Sub(v.raised) < LevelExpiry+LevelFade) {
			t.answer = append(t.answer, LevelEntry{Service: k.service, Priority: v.priority, Age: now.Sub(v.at)})
		}
	}
	slices.SortFunc(t.answer, func(a, b LevelEntry) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Service, b.Service))
	})
	t.answer = t.answer[:min(len(t.answer), MaxLevels)]
	return t.appendCached(0, dst)
}

func (t *LevelTable) appendCached(d time.Duration, dst []LevelEntry) []LevelEntry {
	for _, e := range t.answer {
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
	// ReachExpiry is how long the reach of a kind is kept without an answer.
	ReachExpiry = time.Minute
	// maxReached bounds the services kept per kind.
	maxReached = 16
	// likely is the share of runs above which a kind counts as reaching a service.
	likely = 0.5
)

// Reach learns from answers which deep services the runs of a kind call. Max is set before use and bounds the kinds;
// zero means 1,024.
type Reach struct {
	Max int

	mu    sync.RWMutex
	kinds map[string]*reached
}

type reached struct {
	at       time.Time
	answers  int
	services []string
	shares   []float64
}

// ReachView is what is known about one kind, for dumps; Shares are parallel to Services.
type ReachView struct {
	Kind     string
	Age      time.Duration
	Answers  int
	Services []string
	Shares   []float64
}

// View returns all kinds in order of their names.
func (r *Reach) View(now time.Time) []ReachView {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]ReachView, 0, len(r.kinds))
	for name, k := range r.kinds {
		out = append(out, ReachView{name, now.Sub(k.at), k.answers, slices.Clone(k.services), slices.Clone(k.shares)})
	}
	slices.SortFunc(out, func(a, b ReachView) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// Learn counts one complete answer of a kind (named service/kind by the caller) and the services that its run called.
// Refusals are not learned: they would make the refusing service look unreached.
func (r *Reach) Learn(now time.Time, kind string, services []string) {
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
		if len(k.services) < maxReached && !slices.Contains(k.services, s) {
			k.services = append(k.services, s)
			k.shares = append(k.shares, weight)
		}
	}
}

// Of returns the services that most runs of the kind call.
func (r *Reach) Of(now time.Time, kind string) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []string
	if k := r.kinds[kind]; k != nil && now.Sub(k.at) < ReachExpiry {
		for i, s := range k.services {
			if k.shares[i] >= likely {
				out = append(out, s)
			}
		}
	}
	return out
}

// Refuses reports whether a request of the kind would be refused below, by which service and at which level.
func (r *Reach) Refuses(now time.Time, kind string, p Priority, t *LevelTable) (service string, level Priority, refused bool) {
	if p.Probe() {
		return "", 0, false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	k := r.kinds[kind]
	if k == nil || now.Sub(k.at) >= ReachExpiry {
		return "", 0, false
	}
	for i, s := range k.services {
		if k.shares[i] < likely {
			continue
		}
		if l := t.held(s); l > level && !t.Admits(now, s, p) {
			service, level, refused = s, l, true
		}
	}
	return service, level, refused
}

func (r *Reach) add(now time.Time, kind string) *reached {
	limit := r.Max
	if limit == 0 {
		limit = 1024
	}
	if len(r.kinds) >= limit {
		for name, k := range r.kinds {
			if now.Sub(k.at) >= ReachExpiry {
				delete(r.kinds, name)
			}
		}
		if len(r.kinds) >= limit {
			return nil
		}
	}
	if r.kinds == nil {
		r.kinds = make(map[string]*reached)
	}
	k := &reached{}
	r.kinds[kind] = k
	return k
}
