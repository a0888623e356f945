package crdemo

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/citronramp/citronramp/internal/crnode"
)

// Compound describes a run with a compound fault: at the same time a service deep in the call graph becomes slow, the
// request rate rises, and callers retry aggressively.
type Compound struct {
	Scenario Scenario
	Policy   crnode.Policy
	Seed     uint64
	// Warmup, Before, Fault and After are the lengths of the phases.
	Warmup, Before, Fault, After time.Duration
	// Slowdown multiplies the service time of the slow service, Surge the request rate.
	Slowdown int
	Surge    float64
	// Load is the request rate before and after the fault, as a fraction of the capacity.
	Load   float64
	Logger log.Logger
}

// DefaultCompound returns the compound fault with the parameters of the design page; the caller may change the lengths of
// the phases.
func DefaultCompound(s Scenario, p crnode.Policy, seed uint64) Compound {
	return Compound{
		Scenario: s, Policy: p, Seed: seed, Warmup: 3 * time.Second, Before: 3 * time.Second, Fault: 20 * time.Second, After: 8 * time.Second,
		Slowdown: 10, Surge: 3, Load: 0.5, Logger: log.NewNopLogger(),
	}
}

// Outcome holds the measurements of a run of the compound fault.
type Outcome struct {
	Policy crnode.Policy
	Rows   map[Phase]map[string]Row
	// GoodputBefore and GoodputFault are the worth (the value of the request kinds) per second of complete answers before
	// and during the fault.
	GoodputBefore float64
	GoodputFault  float64
	// BestGoodput is the highest worth per second that the reduced capacity during the fault allows.
	BestGoodput float64
	// ProtectedAnswered is the fraction of the protected requests offered during the fault that got a complete answer.
	ProtectedAnswered float64
	Recovered         bool
	Recovery          time.Duration
	// ObservedFor is the length of the observation of recovery after the fault.
	ObservedFor time.Duration
	// WastedFraction is the fraction of executions during the fault that belong to requests without a complete answer.
	WastedFraction float64
	P99            time.Duration
	Violations     Violations
}

// RecoveryOrEnd returns the recovery time, or the length of the observation if the goodput did not recover.
func (o Outcome) RecoveryOrEnd() time.Duration {
	if o.Recovered {
		return o.Recovery
	}
	return o.ObservedFor
}

// Run starts the deployment, offers load through all phases and stops it.
func (c Compound) Run(ctx context.Context) (Outcome, error) {
	d := &Deployment{Scenario: c.Scenario, Policy: c.Policy, Logger: c.Logger}
	startCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.Start(startCtx); err != nil {
		return Outcome{}, fmt.Errorf("start: %w", err)
	}
	callers := d.newCallers(c.Seed)
	callers.Start()
	rate := c.Load * c.Scenario.Capacity(1)
	callers.Phase(ctx, Warmup, rate, c.Warmup)
	before := time.Now()
	callers.Phase(ctx, Before, rate, c.Before)
	d.SetSlowdown(c.Slowdown)
	fault := time.Now()
	callers.Phase(ctx, Fault, rate*c.Surge, c.Fault)
	d.SetSlowdown(1)
	end := time.Now()
	callers.Phase(ctx, After, rate, c.After)
	last := time.Now()
	callers.Wait()
	out := c.outcome(callers.Tally, d.Runs, rate, [4]time.Time{before, fault, end, last})
	stopCtx, cancelStop := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancelStop()
	if err := d.Stop(stopCtx); err != nil && c.Policy == crnode.Adaptive {
		return out, fmt.Errorf("stop: %w", err)
	}
	return out, ctx.Err()
}

func (c Compound) outcome(t *Tally, l *RunCounter, rate float64, at [4]time.Time) Outcome {
	before, fault, end, last := at[0], at[1], at[2], at[3]
	out := Outcome{Policy: c.Policy, Rows: map[Phase]map[string]Row{}}
	for _, p := range []Phase{Before, Fault, After} {
		out.Rows[p] = t.Rows(p)
	}
	out.GoodputBefore = t.Goodput(before, fault)
	out.GoodputFault = t.Goodput(fault, end)
	out.BestGoodput, _ = c.Scenario.BestGoodput(rate*c.Surge, c.Slowdown)
	protected := Row{}
	for _, k := range c.Scenario.Kinds {
		if k.Class.String() == "protected" {
			protected.Add(out.Rows[Fault][k.ID()])
		}
	}
	if protected.Offered > 0 {
		out.ProtectedAnswered = float64(protected.Answered) / float64(protected.Offered)
	}
	out.Recovery, out.Recovered = t.Recovery(end, last, t.AnsweredFraction(Before))
	out.ObservedFor = last.Sub(end)
	out.WastedFraction = t.WastedFraction(l, Fault)
	out.P99 = t.Latency(Before, fault, 0.99)
	out.Violations = t.Check(c.Scenario, l)
	return out
}
