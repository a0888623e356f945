package crquota

import (
	"math"
	"time"
)

// need returns the number of tokens to ask for, the number of spare ones, and how long after the last message they are to be
// asked for. Spare tokens make up for arrivals at random times, so that few requests have to wait.
func (a *account) need(now time.Time) (need, spare uint32, within time.Duration) {
	expected, reserve := a.demand.perSecond(now)*horizon.Seconds(), 0.0
	if now.Sub(a.demand.last) < spareMemory && !now.Before(a.noSpareUntil) {
		reserve = max(expected+math.Sqrt(expected), 1)
	}
	if expected < minExpected {
		expected = 0
	}
	held := float64(a.held(now.Add(renewBefore)) + a.pending)
	usable := float64(a.held(now) + a.pending)
	waiting := float64(a.waiting)
	needed := min(math.Ceil(max(0, waiting+expected-held)), maxNeed)
	more := min(math.Ceil(max(0, waiting+reserve-held-needed-float64(a.pendingSpare))), maxNeed)
	within = keepAlive
	switch {
	case waiting > usable:
		within = MinWait
	case held < askBelow*expected || a.held(now) > a.held(now.Add(returnBefore)):
		within = refillInterval
	case held < askBelow*reserve:
		within = spareInterval
	}
	return uint32(needed), uint32(more), within
}

// idle reports whether nothing of the account is left to do.
func (a *account) idle(now time.Time) bool {
	return a.waiting == 0 && a.pending+a.pendingSpare == 0 && now.Sub(a.demand.last) >= spareMemory && a.held(now) == 0
}

// held returns the number of tokens that can still be spent at a time.
func (a *account) held(at time.Time) (n uint32) {
	for _, l := range a.lots {
		if at.Before(l.expires) {
			n += l.count
		}
	}
	return n
}

// add stores tokens in the order of their expiry.
func (a *account) add(l lot) {
	i := len(a.lots)
	for i > 0 && l.expires.Before(a.lots[i-1].expires) {
		i--
	}
	if i > 0 && a.lots[i-1].expires.Equal(l.expires) {
		a.lots[i-1].count += l.count
		return
	}
	a.lots = append(a.lots, lot{})
	copy(a.lots[i+1:], a.lots[i:])
	a.lots[i] = l
}

// spend takes the token that expires first.
func (a *account) spend(now time.Time) (expires time.Time, ok bool) {
	for len(a.lots) > 0 && (a.lots[0].count == 0 || !now.Before(a.lots[0].expires)) {
		a.lots = a.lots[1:]
	}
	if len(a.lots) == 0 {
		a.lots = nil
		return time.Time{}, false
	}
	a.lots[0].count--
	return a.lots[0].expires, true
}

// spendStatic takes a token of the static share, which begins at the given time. The tokens come at the rate of the share from
// a random phase on, and each can be spent for staticLifetime only, so that those of many nodes do not come together.
func (a *account) spendStatic(now, begin time.Time, nodes uint32, random func() float64) Decision {
	s := &a.static
	rate, _, _ := a.limit.bucket()
	rate *= staticPart / float64(max(nodes, 1))
	if !s.begin.Equal(begin) || s.rate != rate {
		*s = staticShare{begin: begin, rate: rate, phase: random()}
		s.spent = s.count(now.Add(-staticLifetime))
	}
	s.spent = max(s.spent, s.count(now.Add(-staticLifetime)))
	if s.spent < s.count(now) {
		s.spent++
		return Decision{Expires: now.Add(staticLifetime), Static: true}
	}
	next := s.begin.Add(time.Duration((s.spent + 1 - s.phase) / s.rate * float64(time.Second)))
	return Decision{Verdict: Refused, RetryAfter: min(max(next.Sub(now), MinWait), maxWait), Static: true}
}

// staticShare counts the tokens of a static share.
type staticShare struct {
	begin time.Time
	// rate is in tokens per second; phase is the part of the first token that is there at the beginning.
	rate, phase, spent float64
}

// count returns the number of tokens that have come up to a time.
func (s *staticShare) count(at time.Time) float64 {
	return math.Floor(max(0, at.Sub(s.begin).Seconds())*s.rate + s.phase)
}

// decayingRate estimates the rate of events by their number, which decays with a time constant.
type decayingRate struct {
	memory time.Duration
	count  float64
	at     time.Time
	// last is the time of the last event.
	last time.Time
}

func (r *decayingRate) add(now time.Time) {
	r.decay(now)
	r.count++
	r.last = now
}

func (r *decayingRate) decay(now time.Time) {
	if now.After(r.at) {
		if !r.at.IsZero() {
			r.count *= math.Exp(-now.Sub(r.at).Seconds() / r.memory.Seconds())
		}
		r.at = now
	}
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.count / r.memory.Seconds()
}
