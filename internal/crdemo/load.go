package crdemo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Phase is a phase of a run.
type Phase int

// The phases of a run, in order.
const (
	Warmup Phase = iota
	Before
	Fault
	After
)

// Callers simulates external callers: requests arrive in an open loop, and each request without a complete answer is resent
// aggressively.
type Callers struct {
	Scenario Scenario
	// Entrances are the HTTP addresses of nodes by service; a caller sends a request first to a node of the service that it
	// calls.
	Entrances map[string][]string
	// MaxResends is the maximum number of resends, ResendPause the mean pause before each; these callers ignore Retry-After.
	MaxResends  int
	ResendPause time.Duration
	Tally       *Tally
	Seed        uint64
	// IDPrefix is the prefix of new request ids of a node, by the node's HTTP address.
	IDPrefix map[string]string

	client *http.Client
	wg     sync.WaitGroup
	rng    *rand.Rand
}

// maxConnsPerNode is the maximum number of connections of callers to one node.
const maxConnsPerNode = 100

// maxInFlight is the maximum number of requests in flight; without it, a run without overload control would not end.
const maxInFlight = 20000

// Start creates the HTTP client of the callers and their random source.
func (c *Callers) Start() {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConns: 4000, MaxIdleConnsPerHost: maxConnsPerNode, MaxConnsPerHost: maxConnsPerNode, DisableCompression: true}}
	c.rng = rand.New(rand.NewPCG(c.Seed, 1))
}

// Phase sends requests at rate per second for the time d; it does not wait for the answers.
func (c *Callers) Phase(ctx context.Context, p Phase, rate float64, d time.Duration) {
	end := time.Now().Add(d)
	next := time.Now()
	sem := make(chan struct{}, maxInFlight)
	for time.Now().Before(end) && ctx.Err() == nil {
		next = next.Add(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		r, entrances, seed := c.newRequest(p)
		select {
		case sem <- struct{}{}:
		default:
			continue
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			defer func() { <-sem }()
			c.run(ctx, r, entrances, seed)
		}()
	}
}

// Wait waits until every request has ended.
func (c *Callers) Wait() {
	c.wg.Wait()
	c.client.CloseIdleConnections()
}

func (c *Callers) newRequest(p Phase) (request, []string, uint64) {
	x := c.rng.Float64()
	kind := c.Scenario.Kinds[0]
	for _, k := range c.Scenario.Kinds {
		if k.Share > 0 {
			kind = k
			if x -= k.Share; x < 0 {
				break
			}
		}
	}
	all := c.Entrances[kind.Service]
	first := c.rng.IntN(len(all))
	entrances := append(append([]string(nil), all[first:]...), all[:first]...)
	now := time.Now()
	id := fmt.Sprintf("%s.%d.%016x", c.IDPrefix[entrances[0]], now.UnixMilli(), c.rng.Uint64())
	return request{id: id, kind: kind, phase: p, start: now}, entrances, c.rng.Uint64()
}

// run sends one request until it gets a complete answer or all resends are used.
func (c *Callers) run(ctx context.Context, r request, entrances []string, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	body := bytes.Repeat([]byte{'x'}, 50+rnd.IntN(200))
	r.outcome = crcode.NotRun
	for send := 0; send <= c.MaxResends; send++ {
		r.sends++
		code, right := c.send(ctx, r, entrances[send%len(entrances)], body)
		r.wrong = r.wrong || !right
		r.codes = append(r.codes, code)
		outcome := code.Outcome()
		if outcome == crcode.Run && right {
			r.outcome = crcode.Run
			break
		}
		if outcome != crcode.NotRun {
			r.outcome = crcode.Unknown
		}
		if send < c.MaxResends && crpause.For(ctx, c.ResendPause/2+time.Duration(rnd.Int64N(int64(c.ResendPause)))) != nil {
			break
		}
	}
	r.end = time.Now()
	c.Tally.add(r)
}

// send sends the request once; right is false if the answer is not the complete answer to this request.
// The code ConnectionLost is also returned if the deadline of the request expired.
func (c *Callers) send(ctx context.Context, r request, entrance string, body []byte) (code crcode.Code, right bool) {
	ctx, cancel := context.WithTimeout(ctx, r.kind.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entrance+"/v1/call/"+r.kind.ID(), bytes.NewReader(body))
	if err != nil {
		return crcode.BadRequest, true
	}
	req.Header.Set(crnode.HeaderRequestID, r.id)
	resp, err := c.client.Do(req)
	if err != nil {
		return crcode.ConnectionLost, true
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return crcode.ConnectionLost, true
	}
	number, _ := strconv.Atoi(resp.Header.Get(crnode.HeaderCode))
	if code = crcode.Code(number); code != crcode.OK && code != crcode.Replayed {
		return code, true
	}
	if resp.StatusCode != http.StatusOK {
		// The backend server answered that a downstream call failed: the answer is complete, but no result for the caller.
		return crcode.AnswerLost, true
	}
	return code, bytes.Equal(got, expectedAnswer(r.id, body))
}

// probe sends one request of a kind to an entrance and returns an error unless the code is OK.
func (c *Callers) probe(ctx context.Context, k KindSpec, entrance string) error {
	now := time.Now()
	r := request{id: fmt.Sprintf("%s.%d.%016x", c.IDPrefix[entrance], now.UnixMilli(), c.rng.Uint64()), kind: k, start: now}
	if code, _ := c.send(ctx, r, entrance, []byte("probe")); code != crcode.OK {
		return fmt.Errorf("code %s", code)
	}
	return nil
}
