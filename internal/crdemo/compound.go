package crdemo

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/citronramp/citronramp/internal/crnode"
)

// Compound is the compound fault of the brief: a deep service slows, demand surges and callers retry hard, together.
type Compound struct {
	Scenario Scenario
	Policy   crnode.Policy
	Seed     uint64
	// Warmup, Before, Fault and After are the lengths of the phases.
	Warmup, Before, Fault, After time.Duration
	// Slowdown multiplies the service time of the slow service, Surge the demand.
	Slowdown int
	Surge    float64
	// Load is the part of the capacity that is offered before the fault.
	Load   float64
	Logger log.Logger
}

// DefaultCompound returns the fault with the figures of the design page; lengths are set by the caller.
func DefaultCompound(s Scenario, p crnode.Policy, seed uint64) Compound {
	return Compound{
		Scenario: s, Policy: p, Seed: seed, Warmup: 3 * time.Second, Before: 3 * time.Second, Fault: 20 * time.Second, After: 8 * time.Second,
		Slowdown: 10, Surge: 3, Load: 0.5, Logger: log.NewNopLogger(),
	}
}

// Outcome is what a run of the compound fault came to.
type Outcome struct {
	Policy crnode.Policy
	Rows   map[Phase]map[string]Row
	// GoodputBefore and GoodputFault are worth a second.
	GoodputBefore float64
	GoodputFault  float64
	// Best is the highest worth a second that the capacity left during the fault allows.
	Best float64
	// ProtectedWhole is the part of the protected requests offered during the fault that got a whole answer.
	ProtectedWhole float64
	Recovered      bool
	Recovery       time.Duration
	// Watched is the time after the fault in which recovery was looked for.
	Watched time.Duration
	// Waste is the part of the runs during the fault that were done for requests without a whole answer.
	Waste    float64
	P99      time.Duration
	Breaches Breaches
}

// RecoveryOrEnd returns the recovery time, or the time that was watched when there was no recovery in it.
func (o Outcome) RecoveryOrEnd() time.Duration {
	if o.Recovered {
		return o.Recovery
	}
	return o.Watched
}

// Run starts the deployment, drives it through all phases and stops it.
func (c Compound) Run(ctx context.Context) (Outcome, error) {
	d := &Deployment{Scenario: c.Scenario, Policy: c.Policy, Logger: c.Logger}
	startCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.Start(startCtx); err != nil {
		return Outcome{}, fmt.Errorf("start: %w", err)
	}
	callers := d.callers(c.Seed)
	callers.Start()
	rate := c.Load * c.Scenario.Capacity(1)
	callers.Phase(ctx, Warmup, rate, c.Warmup)
	before := time.Now()
	callers.Phase(ctx, Before, rate, c.Before)
	d.Slow(c.Slowdown)
	fault := time.Now()
	callers.Phase(ctx, Fault, rate*c.Surge, c.Fault)
	d.Slow(1)
	end := time.Now()
	callers.Phase(ctx, After, rate, c.After)
	last := time.Now()
	callers.Wait()
	out := c.outcome(callers.Tally, d.Ledger, rate, [4]time.Time{before, fault, end, last})
	stopCtx, cancelStop := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancelStop()
	if err := d.Stop(stopCtx); err != nil && c.Policy == crnode.Adaptive {
		return out, fmt.Errorf("stop: %w", err)
	}
	return out, ctx.Err()
}

func (c Compound) outcome(t *Tally, l *Ledger, rate float64, at [4]time.Time) Outcome {
	before, fault, end, last := at[0], at[1], at[2], at[3]
	out := Outcome{Policy: c.Policy, Rows: map[Phase]map[string]Row{}}
	for _, p := range []Phase{Before, Fault, After} {
		out.Rows[p] = t.Rows(p)
	}
	out.GoodputBefore = t.Goodput(before, fault)
	out.GoodputFault = t.Goodput(fault, end)
	out.Best, _ = c.Scenario.Best(rate*c.Surge, c.Slowdown)
	protected := Row{}
	for _, k := range c.Scenario.Kinds {
		if k.Class.String() == "protected" {
			protected.Add(out.Rows[Fault][k.ID()])
		}
	}
	if protected.Offered > 0 {
		out.ProtectedWhole = float64(protected.Whole) / float64(protected.Offered)
	}
	out.Recovery, out.Recovered = t.Recovery(end, last, t.Share(Before))
	out.Watched = last.Sub(end)
	out.Waste = t.Waste(l, Fault)
	out.P99 = t.Latency(Before, fault, 0.99)
	out.Breaches = t.Check(c.Scenario, l)
	return out
}
