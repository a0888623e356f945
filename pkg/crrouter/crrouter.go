// Package crrouter selects among the known servers of one service: power of two choices by expected completion time,
// preference for the own failure domain, slow start, ejection with probing, and admission levels per server. It has no
// clock and no goroutine and is safe for concurrent use.
package crrouter

import (
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// MaxServers is the maximum number of servers of a router; Update ignores further ones.
const MaxServers = 20

// Server is one known server. Slots is its announced number of slots. Started is when it became available, for its
// slow start; the zero time means that it is warm. If Started of a known ID changes, the measurements of the server
// are reset.
type Server struct {
	ID      string
	Domain  string
	Slots   int
	Started time.Time
}

// Request is the input of Pick. Servers in Tried are excluded, and if Among is not empty, all but those in it. NoProbe keeps
// the request from ejected servers that are due for a probe. If AffinityKey is not empty, all nodes that know the same servers
// send requests with this key to the same server, if possible a warm one.
type Request struct {
	Priority    cradmission.Priority
	Tried       []string
	Among       []string
	NoProbe     bool
	AffinityKey string
}

// Outcome is how a call to a server ended.
type Outcome uint8

// The results of a call.
const (
	// OK is a complete and correct answer.
	OK Outcome = iota
	// Refused means that the gate or the backend server did not run the request; this does not count as a failure.
	Refused
	// Failed is an error answer, or an answer that is incomplete or does not match its checksum.
	Failed
	// TimedOut means that no answer came in time.
	TimedOut
	// Unreachable means that no connection could be made.
	Unreachable
	// Cancelled means that the caller gave up.
	Cancelled
	// Leaving means that the server reported that it accepts no new work; this takes precedence over other reports
	// about it.
	Leaving
)

// Result is the result of a call. Latency excludes waiting in the gate's queue if the gate reports its service time.
type Result struct {
	Outcome  Outcome
	Latency  time.Duration
	Feedback *Feedback // nil when no answer came
}

// Feedback is the load reported with an answer. Limit zero means unknown. Level zero means that the server admits all
// priorities. Speed is the lasting speed of the server relative to the others of its service, Slowness the factor by
// which its work takes longer at present, and Acceptance the share of the requests sent to the server that it does not
// refuse; zero means unknown and counts as 1.
type Feedback struct {
	InFlight   int
	Limit      int
	Queued     int
	Level      cradmission.Priority
	Speed      float64
	Slowness   float64
	Acceptance float64
}

// Router selects servers of one service for one calling node. The exported fields are set before use.
type Router struct {
	// Domain is the caller's own failure domain.
	Domain string
	// Rand is the source for random choices; nil means a new random source.
	Rand *rand.Rand

	mu      sync.Mutex
	servers []*server
	// unevenUntil is until when a server may have a speed or acceptance other than 1.
	unevenUntil time.Time
}

// Update replaces the known servers and keeps the measurements of those that remain.
func (r *Router) Update(now time.Time, servers []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make([]*server, 0, min(len(servers), MaxServers))
	for _, s := range servers[:min(len(servers), MaxServers)] {
		if slices.ContainsFunc(next, func(o *server) bool { return o.ID == s.ID }) {
			continue
		}
		old := r.find(s.ID)
		if old == nil || !old.Started.Equal(s.Started) {
			old = &server{warmFrom: s.Started}
		}
		old.Server, old.local = s, s.Domain == r.Domain
		next = append(next, old)
	}
	r.servers = next
}

// Pick selects a server and counts the call as in flight; the caller must call Done. The error is a *crcode.Error:
// Overloaded if there are untried servers but none admits the priority, otherwise NoServer.
func (r *Router) Pick(now time.Time, req Request) (Server, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var local, remote [MaxServers]*server
	var locals, remotes int
	var lastEjected *server
	refusing := false
	for _, s := range r.servers {
		if len(req.Tried) > 0 && slices.Contains(req.Tried, s.ID) || len(req.Among) > 0 && !slices.Contains(req.Among, s.ID) {
			continue
		}
		if now.Before(s.awayUntil) {
			continue
		}
		if !s.admits(now, req.Priority) {
			refusing = true
			continue
		}
		switch {
		case s.ejected && s.probeDue(now) && !req.NoProbe && len(req.Tried) == 0 && req.AffinityKey == "":
			return s.takeProbe(now), nil
		case s.ejected:
			lastEjected = s
		case s.local:
			local[locals] = s
			locals++
		default:
			remote[remotes] = s
			remotes++
		}
	}
	choose := r.choose
	if req.AffinityKey != "" {
		choose = func(now time.Time, local, remote []*server) *server {
			return affinityServer(now, req.AffinityKey, local, remote)
		}
	}
	if s := choose(now, local[:locals], remote[:remotes]); s != nil {
		return s.take(), nil
	}
	// If all other servers were tried or are leaving, an ejected server is better than none.
	if !refusing && lastEjected != nil {
		return lastEjected.take(), nil
	}
	if refusing {
		return Server{}, crcode.New(crcode.Overloaded, "no server admits the priority")
	}
	return Server{}, crcode.New(crcode.NoServer, "%d servers known, %d tried", len(r.servers), len(req.Tried))
}

// EjectionChange is the change of a server's ejection state by the result of a call, and the measurements that caused it: the
// error rate and the number of failures in a row.
type EjectionChange struct {
	Ejected, Returned bool
	ErrorRate         float64
	Failures          int
}

// Done records the result of a call that Pick started. A server that was removed in the meantime is ignored.
func (r *Router) Done(now time.Time, id string, res Result) EjectionChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.find(id)
	if s == nil {
		return EjectionChange{}
	}
	was := s.ejected
	s.inFlight = max(s.inFlight-1, 0)
	if res.Feedback != nil {
		s.feedback, s.feedbackAt = *res.Feedback, now
		if s.pace(now) != 1 {
			r.unevenUntil = now.Add(speedExpiry)
		}
	}
	r.recordResult(now, s, res)
	return EjectionChange{Ejected: s.ejected && !was, Returned: was && !s.ejected, ErrorRate: s.errorRate, Failures: s.failures}
}

// Level returns the median level of the servers in use, the lower one of two, which this node reports in its own
// answers. Reporting the lowest level would attract requests that only one server admits.
func (r *Router) Level(now time.Time) cradmission.Priority {
	r.mu.Lock()
	defer r.mu.Unlock()
	levels := make([]cradmission.Priority, 0, MaxServers)
	for _, s := range r.servers {
		if !s.ejected {
			levels = append(levels, s.level(now))
		}
	}
	if len(levels) == 0 {
		return 0
	}
	slices.Sort(levels)
	return levels[(len(levels)-1)/2]
}

// View is the state of one server, for diagnostic output.
type View struct {
	Server
	InFlight  int
	Ejected   bool
	Latency   time.Duration
	ErrorRate float64
	Level     cradmission.Priority
	// Speed, Slowness and Acceptance are what the gate of the server reported. Factor is the product of warmth, speed and
	// acceptance by which the router weights the server.
	Speed, Slowness, Acceptance, Factor float64
}

// View returns the state of all known servers.
func (r *Router) View(now time.Time) []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]View, 0, len(r.servers))
	for _, s := range r.servers {
		out = append(out, View{
			s.Server, s.inFlight, s.ejected, time.Duration(s.latency * 1e9), s.errorRate, s.level(now),
			s.feedback.Speed, s.feedback.Slowness, s.feedback.Acceptance, s.factor(now),
		})
	}
	return out
}

func (r *Router) find(id string) *server {
	for _, s := range r.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// choose prefers the own failure domain. A server of another one is considered if the server selected in the own domain is
// loaded or crossing is worth it, and selected if it completes the call earlier although it is further away.
func (r *Router) choose(now time.Time, local, remote []*server) *server {
	a := r.pickOne(now, local)
	if a != nil && (len(remote) == 0 || a.load(now) < loadedScore && !r.worthCrossing(now, a, remote)) {
		return a
	}
	b := r.pickOne(now, remote)
	if a == nil || (b != nil && b.completion(now)+r.crossing() < a.completion(now)) {
		return b
	}
	return a
}

// worthCrossing reports whether a server of another failure domain is so much better than a that an unloaded a is not enough:
// because a refuses requests that the other accepts, or is several times slower. A smaller gain in speed is worth less to callers
// than the traffic between failure domains costs.
func (r *Router) worthCrossing(now time.Time, a *server, remote []*server) bool {
	if !now.Before(r.unevenUntil) {
		return false
	}
	_, accepts := a.figures(now)
	return slices.ContainsFunc(remote, func(s *server) bool {
		_, other := s.figures(now)
		return now.Sub(s.feedbackAt) < clearAge && (other > clearFactor*accepts || s.factor(now) > crossingFactor*a.factor(now))
	})
}

// pickOne selects one of several servers: the better of two drawn ones, unless another is clearly better than both and
// completes the call earlier.
func (r *Router) pickOne(now time.Time, from []*server) *server {
	a := r.pickOfTwo(now, from)
	if a == nil {
		return nil
	}
	if b := r.clearlyBetter(now, a, from); b != nil && b.completion(now) < a.completion(now) {
		return b
	}
	return a
}

// clearlyBetter returns the server with the earliest completion among those whose factor is clearly better than that of
// a, nil if there is none. Among servers that are alike, or whose load was not reported just now, the draw of two decides:
// otherwise all callers would choose the best one at the same time.
func (r *Router) clearlyBetter(now time.Time, a *server, from []*server) *server {
	if !now.Before(r.unevenUntil) {
		return nil
	}
	var best *server
	least := clearFactor * a.factor(now)
	for _, s := range from {
		if now.Sub(s.feedbackAt) < clearAge && s.factor(now) > least && (best == nil || s.completion(now) < best.completion(now)) {
			best = s
		}
	}
	return best
}

// crossing is the cost of a call to another failure domain, as a part of the usual run time of the service: the round trip,
// at least minCrossing.
func (r *Router) crossing() float64 {
	run := r.median(nil, func(s *server) float64 { return s.latency })
	if run <= 0 {
		return minCrossing
	}
	return min(max(domainRoundTrip.Seconds()/run, minCrossing), 1)
}

// affinityServer returns the server of an affinity key: the highest by rendezvous hashing, among the warm servers if
// there are any.
func affinityServer(now time.Time, key string, local, remote []*server) *server {
	var best *server
	var bestWarm bool
	var bestScore uint64
	for _, s := range slices.Concat(local, remote) {
		sum := sha256.Sum256([]byte(key + "\x00" + s.ID))
		score, warm := binary.BigEndian.Uint64(sum[:8]), s.warmth(now) >= 1
		if best == nil || warm && !bestWarm || warm == bestWarm && score > bestScore {
			best, bestWarm, bestScore = s, warm, score
		}
	}
	return best
}

// pickOfTwo draws two servers and returns the one with the earlier completion. If that one is cold, the warmer one is returned
// instead with a probability of one minus its warmth.
func (r *Router) pickOfTwo(now time.Time, from []*server) *server {
	switch len(from) {
	case 0:
		return nil
	case 1:
		return from[0]
	}
	i := r.intN(len(from))
	j := r.intN(len(from) - 1)
	if j >= i {
		j++
	}
	a, b := from[i], from[j]
	if b.completion(now) < a.completion(now) {
		a, b = b, a
	}
	if warm := a.warmth(now); warm < 1 && warm < b.warmth(now) && r.float() >= warm {
		return b
	}
	return a
}

func (r *Router) intN(n int) int {
	if r.Rand == nil {
		r.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return r.Rand.IntN(n)
}

func (r *Router) float() float64 { return float64(r.intN(1<<20)) / (1 << 20) }
