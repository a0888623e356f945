package crlimiter

import "time"

const (
	// minWindow is the minimum duration of a window, which must also cover one and a half average latencies. maxSettle is the
	// maximum time after a change of the limit for which samples are ignored.
	minWindow = 100 * time.Millisecond
	maxSettle = time.Second
	// minSuccesses is the number of successes that a window needs; with exponentially distributed service times 200 answers
	// give the mean within about 7%.
	minSuccesses = 200
	// earlySuccesses is the number of successes after which a downward probe that clearly reduces throughput may end.
	earlySuccesses = 50
	// maxWindow limits the duration of a window; one that does not get enough answers by then is restarted.
	maxWindow = 5 * time.Second
	// maxUsefulWaitShare and minUselessWaitShare are the limits for the share of the additional concurrency that waited
	// inside the server: up to the first the higher limit of a probe is used, from the second on the lower one.
	maxUsefulWaitShare  = 0.4
	minUselessWaitShare = 0.8
	// firstReduction is the share by which the first downward probe reduces the limit; it is well above the noise of two
	// windows.
	firstReduction = 0.2
	// probeInterval is the pause between probes once a search has converged; a downward probe costs up to 20% of the
	// throughput for 50 answers.
	probeInterval = 10 * time.Second
	// minUtilization is the mean utilization of the limit from which a window is evidence about the limit.
	minUtilization = 0.85
	// headroom is the factor on the estimated concurrency that covers gaps between a release and the next start.
	headroom = 1.05
	// changeTolerance is the factor of change in the unexpected direction from which the server itself must have changed.
	changeTolerance = 1.1
)

// measurement is the result of one window.
type measurement struct {
	limit    int
	work     float64 // completed work in baseline seconds per second
	slowdown float64 // run time relative to the baseline
	inFlight float64 // mean
}

// search is the state of the comparison of a base window with a probe, a window at another limit.
type search struct {
	base           measurement // its limit is zero until a base window has ended
	probing        bool
	reduction      float64 // share by which a downward probe reduces the limit; zero means the default
	upward         bool    // whether the next probe is upward
	increaseFactor float64 // factor of an upward probe; zero means the default
	nextProbe      time.Time
	lowerIndicated bool // whether the previous downward probe already indicated a lower limit
}

// evaluate ends the window if it is long enough and has enough answers.
func (l *Limiter) evaluate(now time.Time) {
	w := &l.window
	if l.detectHang(now) {
		return
	}
	length := now.Sub(w.settle)
	if l.probing() && w.successes >= earlySuccesses && w.successes < minSuccesses &&
		length >= max(minWindow, l.serviceTime) && l.losesThroughput(length) {
		// The server made use of the higher concurrency; the limit is restored before the probe costs more throughput.
		l.state.probing = false
		l.startWindow(now, 0)
		l.accept(now, l.state.base.limit, true)
		return
	}
	if length < max(minWindow, l.serviceTime+l.serviceTime/2) || w.successes < minSuccesses || w.work == 0 {
		if length > max(maxWindow, 4*l.serviceTime) {
			l.startWindow(now, 0)
		}
		return
	}
	m := measurement{
		limit:    l.limit,
		work:     w.work / length.Seconds(),
		slowdown: w.ownSeconds / w.work,
		inFlight: w.inFlightSeconds / length.Seconds(),
	}
	l.startWindow(now, 0)
	s := &l.state
	if m.inFlight < minUtilization*float64(m.limit) {
		// The load does not reach the limit, so the window is no evidence about it.
		if s.probing {
			l.revert(now)
		}
		s.base = measurement{}
		return
	}
	if s.probing {
		l.compare(now, m)
		return
	}
	s.base = m
	if now.Before(s.nextProbe) {
		return
	}
	l.probe(now)
}

// probing reports whether the current window is a downward probe.
func (l *Limiter) probing() bool { return l.state.probing && !l.state.upward }

// losesThroughput reports whether the throughput of a downward probe fell by about as much as the limit.
func (l *Limiter) losesThroughput(length time.Duration) bool {
	base := l.state.base
	cut := 1 - float64(l.limit)/float64(base.limit)
	return l.window.work/length.Seconds() < base.work*(1-cut*(1-maxUsefulWaitShare))
}

// detectHang lowers the limit if all runs time out, and saves the former limit until the first success.
func (l *Limiter) detectHang(now time.Time) bool {
	w := &l.window
	if now.Sub(w.begin) < minWindow || w.successes > 0 || w.timeouts == 0 {
		return false
	}
	if l.limitBeforeHang == 0 {
		l.limitBeforeHang = l.limit
		if l.state.probing {
			l.limitBeforeHang = l.state.base.limit
		}
	}
	l.state = search{}
	l.setLimit(now, max(l.limitBeforeHang/4, l.limit/2))
	return true
}

func (l *Limiter) probe(now time.Time) {
	s := &l.state
	n := l.limit
	if s.upward {
		if s.increaseFactor == 0 {
			s.increaseFactor = 1.25
		}
		n = l.clamp(max(int(float64(n)*s.increaseFactor), n+1))
	} else {
		if s.reduction == 0 {
			s.reduction = firstReduction
		}
		n = l.clamp(min(int(float64(n)*(1-s.reduction)+0.5), n-1))
	}
	if n == l.limit {
		s.upward = !s.upward
		s.nextProbe = now.Add(probeInterval)
		return
	}
	s.probing = true
	l.setLimit(now, n)
}

func (l *Limiter) revert(now time.Time) {
	l.state.probing = false
	l.setLimit(now, l.state.base.limit)
}

// compare evaluates a probe by comparing the windows at the lower and the higher limit.
func (l *Limiter) compare(now time.Time, m measurement) {
	s := &l.state
	lower, higher := s.base, m
	if !s.upward {
		lower, higher = m, s.base
	}
	if lower.work > higher.work*changeTolerance || higher.slowdown*changeTolerance < lower.slowdown {
		// Neither more work at the lower limit nor shorter runs at the higher one can result from the limit, so the server
		// itself has changed.
		l.revert(now)
		s.base, s.reduction, s.increaseFactor = measurement{}, 0, 0
		return
	}
	// The additional time that the same work took at the higher limit was spent waiting inside the server.
	waiting := higher.work * (higher.slowdown - lower.slowdown)
	waitingShare := waiting / max(higher.inFlight-lower.inFlight, 1)
	s.probing = false
	switch {
	case waitingShare <= maxUsefulWaitShare:
		l.accept(now, higher.limit, true)
	case waitingShare < minUselessWaitShare:
		// The estimated limit is between the two windows.
		s.reduction, s.increaseFactor, s.upward, s.lowerIndicated = 0, 0, false, false
		s.nextProbe = now.Add(probeInterval)
		s.base = measurement{}
		working := higher.inFlight - waiting
		l.setLimit(now, min(max(int(working*headroom+0.999), lower.limit), max(higher.limit, lower.limit+1)))
	case !s.upward && !s.lowerIndicated:
		// One pair of windows may be noise, and a limit that is too low costs throughput, so the probe is repeated.
		l.setLimit(now, higher.limit)
		s.base, s.lowerIndicated, s.nextProbe = measurement{}, true, now
	default:
		l.accept(now, lower.limit, false)
	}
}

// accept sets a limit and continues the search with a longer step in the same direction, or reverses the direction. An
// upward probe that fails is followed by a pause.
func (l *Limiter) accept(now time.Time, n int, upward bool) {
	s := &l.state
	s.lowerIndicated = !upward && !s.upward
	if upward == s.upward {
		s.increaseFactor = min(max(s.increaseFactor*1.3, 1.25), 2)
		s.reduction = min(max(s.reduction*1.5, firstReduction), 0.5)
		s.nextProbe = now
	} else {
		s.increaseFactor, s.reduction = 0, 0
		s.upward = upward
		s.nextProbe = now
		if !upward {
			s.nextProbe = now.Add(probeInterval)
		}
	}
	s.base = measurement{}
	l.setLimit(now, n)
}
