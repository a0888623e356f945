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

// Phase is a part of a run.
type Phase int

// The phases of a run, in order.
const (
	Warmup Phase = iota
	Before
	Fault
	After
)

// Callers hold what outside callers do: open-loop arrivals, and hard resends of whatever was not answered whole.
type Callers struct {
	Scenario Scenario
	// Entrances are the HTTP addresses of nodes by service; a caller starts at a node of the service that it calls.
	Entrances map[string][]string
	// Resends is how often a caller sends again, ResendAfter how soon; hard callers don't heed Retry-After.
	Resends     int
	ResendAfter time.Duration
	Tally       *Tally
	Seed        uint64
	// Prefix is the first part of a new id for a node, by HTTP address.
	Prefix map[string]string

	client *http.Client
	wg     sync.WaitGroup
	rnd    *rand.Rand
}

// callerConns bounds the connections of callers to one node.
const callerConns = 100

// maxCallers bounds the requests of callers in flight, so that a run without control ends.
const maxCallers = 20000

// Start makes the HTTP client of the callers.
func (c *Callers) Start() {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConns: 4000, MaxIdleConnsPerHost: callerConns, MaxConnsPerHost: callerConns, DisableCompression: true}}
	c.rnd = rand.New(rand.NewPCG(c.Seed, 1))
}

// Phase sends requests at rate a second for d; answers may arrive later.
func (c *Callers) Phase(ctx context.Context, p Phase, rate float64, d time.Duration) {
	end := time.Now().Add(d)
	next := time.Now()
	sem := make(chan struct{}, maxCallers)
	for time.Now().Before(end) && ctx.Err() == nil {
		next = next.Add(time.Duration(c.rnd.ExpFloat64() / rate * float64(time.Second)))
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

// Wait returns when every request has ended.
func (c *Callers) Wait() {
	c.wg.Wait()
	c.client.CloseIdleConnections()
}

func (c *Callers) newRequest(p Phase) (request, []string, uint64) {
	x := c.rnd.Float64()
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
	first := c.rnd.IntN(len(all))
	entrances := append(append([]string(nil), all[first:]...), all[:first]...)
	now := time.Now()
	id := fmt.Sprintf("%s.%d.%016x", c.Prefix[entrances[0]], now.UnixMilli(), c.rnd.Uint64())
	return request{id: id, kind: kind, phase: p, start: now}, entrances, c.rnd.Uint64()
}

// run sends one request until it is answered whole or the resends are spent.
func (c *Callers) run(ctx context.Context, r request, entrances []string, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	body := bytes.Repeat([]byte{'x'}, 50+rnd.IntN(200))
	r.outcome = crcode.NotRun
	for send := 0; send <= c.Resends; send++ {
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
		if send < c.Resends && crpause.For(ctx, c.ResendAfter/2+time.Duration(rnd.Int64N(int64(c.ResendAfter)))) != nil {
			break
		}
	}
	r.end = time.Now()
	c.Tally.add(r)
}

// send makes one send; right is false for an answer that is not the whole answer to this request.
// The code ConnectionLost also stands for a caller that gave up waiting.
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
		// The backend server answered that a deeper call failed: the answer is whole but of no use to the caller.
		return crcode.AnswerLost, true
	}
	return code, bytes.Equal(got, answerFor(r.id, body))
}

// probe sends one request of a kind to an entrance and wants a whole answer.
func (c *Callers) probe(ctx context.Context, k KindSpec, entrance string) error {
	now := time.Now()
	r := request{id: fmt.Sprintf("%s.%d.%016x", c.Prefix[entrance], now.UnixMilli(), c.rnd.Uint64()), kind: k, start: now}
	if code, _ := c.send(ctx, r, entrance, []byte("probe")); code != crcode.OK {
		return fmt.Errorf("code %s", code)
	}
	return nil
}
