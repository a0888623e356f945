package crcli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crdemo"
	"github.com/citronramp/citronramp/internal/crnode"
)

// Durations of the phases of a demo run; the two runs together take less than 60 s.
const (
	demoWarmup = 2 * time.Second
	demoBefore = 2 * time.Second
	demoFault  = 8 * time.Second
	demoAfter  = 5 * time.Second
)

func demoCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a deployment on loopback through a slow service, a surge and hard retries, without and with control",
		Description: "Starts nodes, a control instance and stand-in backend servers in this process, for the services and sizes of\n" +
			"one co-operative at a tenth of their slots. Takes under 60 s. Exits with 1 when a promise was broken under control.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "collective", Usage: "collective or cooperative"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the callers"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			scenario, err := scenarioByName(c.String("deployment"))
			if err != nil {
				return err
			}
			return runDemo(ctx, s, scenario, c.Uint64("seed"))
		},
	}
}

func scenarioByName(name string) (crdemo.Scenario, error) {
	switch name {
	case "collective":
		return crdemo.Collective(), nil
	case "cooperative":
		return crdemo.Cooperative(), nil
	}
	return crdemo.Scenario{}, failure.New("no deployment %q; allowed is collective or cooperative", name)
}

func runDemo(ctx context.Context, s streams, scenario crdemo.Scenario, seed uint64) error {
	_, _ = fmt.Fprintf(s.out, "%s: %s slows to a tenth, demand triples, callers retry hard, for %s\n\n", scenario.Name, scenario.SlowService, demoFault)
	var outcomes []crdemo.Outcome
	for _, p := range []crnode.Policy{crnode.NoControl, crnode.Adaptive} {
		fault := crdemo.DefaultCompound(scenario, p, seed)
		fault.Warmup, fault.Before, fault.Fault, fault.After = demoWarmup, demoBefore, demoFault, demoAfter
		o, err := fault.Run(ctx)
		if err != nil {
			return failure.New("%s: %w", crdemo.PolicyName(p), err)
		}
		outcomes = append(outcomes, o)
	}
	if err := crdemo.WriteKinds(s.out, scenario, outcomes); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(s.out)
	if err := crdemo.WriteFigures(s.out, outcomes); err != nil {
		return err
	}
	if n := outcomes[1].Violations.Sum(); n > 0 {
		_, _ = fmt.Fprintf(s.out, "\n%d promises were broken under control\n", n)
		return exitError{exitFailed}
	}
	_, _ = fmt.Fprintln(s.out, "\nno promise was broken under control")
	return nil
}
