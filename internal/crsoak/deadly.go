package crsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
)

// Settings of the crashing request, which crashes each server that executes it.
const (
	crashPath = "/deadly/"
	// crashInterval is the longest pause before its caller sends it again, crashDowntime the longest time until a crashed
	// server restarts.
	crashInterval = 800 * time.Millisecond
	crashDowntime = 1500 * time.Millisecond
	// crashAfterLastFault is how long it is still sent after the last fault.
	crashAfterLastFault = 2 * time.Second
	// blockTime is the time after the third crash by which all nodes must block the request, lateArrivals how often it may
	// reach a server after that; both are limits of the platform.
	blockTime    = 3 * time.Second
	lateArrivals = 3
	// blockedCode is the result code of a request that is blocked.
	blockedCode = "216"
)

// sendCrashing sends the crashing request to entrances chosen at random until ctx ends.
func (r *run) sendCrashing(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 5))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; crpause.For(ctx, time.Duration(rng.Float64()*float64(crashInterval))) == nil; i++ {
		q := request{id: fmt.Sprintf("%x.deadly.%d", r.Seed, i), method: http.MethodPost, path: crashPath, body: []byte("deadly"), left: requestTimeout}
		if got := q.send(ctx, client, "http://"+r.entrances[rng.IntN(sidecars)].ln.Addr().String()); got.outcome == outcomeRefused {
			r.promises.recordNotRun(time.Now(), q.id)
		}
	}
}

// crashAndRestart crashes the server and restarts it after a random pause.
func (l *lifetime) crashAndRestart() {
	if !l.backend.endLifetime(l) {
		return
	}
	time.Sleep(time.Duration(rand.Float64() * float64(crashDowntime)))
	if err := l.backend.start(); err != nil {
		l.backend.promises.report("soak", "", err.Error())
	}
}

// recordCrashing records that the crashing request reached a server.
func (p *promises) recordCrashing(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashArrivals = append(p.crashArrivals, now)
	if len(p.crashArrivals) < 3 || now.Sub(p.crashArrivals[2]) <= blockTime {
		return
	}
	if p.found.Late++; p.found.Late > lateArrivals {
		p.reportLocked(now, "crashing request", id, fmt.Sprintf("reaches a server for the %dth time, %d of these late", len(p.crashArrivals), p.found.Late))
	}
}
