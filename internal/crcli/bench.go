package crcli

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crdemo"
	"github.com/citronramp/citronramp/internal/crnode"
)

func benchCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure the compound fault under no control, a fixed limit and citronramp",
		Description: "Runs the three policies in turn, round after round, and prints each round and the medians.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "collective", Usage: "collective or cooperative"},
			&cli.IntFlag{Name: "rounds", Value: 5, Usage: "rounds, each with its own seed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first round"},
			&cli.DurationFlag{Name: "fault", Value: 20 * time.Second, Usage: "length of the fault"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"none", "fixed", "adaptive"}, Usage: "policies to run"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			scenario, err := scenarioByName(c.String("deployment"))
			if err != nil {
				return err
			}
			policies, err := parsePolicies(c.StringSlice("policy"))
			if err != nil {
				return err
			}
			return runBench(ctx, s, scenario, policies, c.Int("rounds"), c.Uint64("seed"), c.Duration("fault"))
		},
	}
}

func parsePolicies(names []string) ([]crnode.Policy, error) {
	all := map[string]crnode.Policy{"none": crnode.NoControl, "fixed": crnode.FixedLimit, "adaptive": crnode.Adaptive}
	var out []crnode.Policy
	for _, n := range names {
		p, ok := all[n]
		if !ok {
			return nil, failure.New("no policy %q; allowed is none, fixed or adaptive", n)
		}
		out = append(out, p)
	}
	return out, nil
}

func runBench(ctx context.Context, s streams, scenario crdemo.Scenario, policies []crnode.Policy, rounds int, seed uint64, length time.Duration) error {
	outcomes := map[crnode.Policy][]crdemo.Outcome{}
	for round := range rounds {
		var row []crdemo.Outcome
		for _, p := range policies {
			fault := crdemo.DefaultCompound(scenario, p, seed+uint64(round))
			fault.Fault = length
			o, err := fault.Run(ctx)
			if err != nil {
				return failure.New("%s, round %d: %w", crdemo.PolicyName(p), round+1, err)
			}
			outcomes[p] = append(outcomes[p], o)
			row = append(row, o)
		}
		_, _ = fmt.Fprintf(s.out, "round %d, seed %d\n", round+1, seed+uint64(round))
		if err := crdemo.WriteFigures(s.out, row); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(s.out)
	}
	return writeMedians(s, policies, outcomes)
}

// writeMedians prints the median, minimum and maximum of each metric over the rounds.
func writeMedians(s streams, policies []crnode.Policy, outcomes map[crnode.Policy][]crdemo.Outcome) error {
	figures := []struct {
		name string
		of   func(crdemo.Outcome) float64
	}{
		{"part of the best possible", func(o crdemo.Outcome) float64 { return o.GoodputFault / o.BestGoodput }},
		{"protected answered whole", func(o crdemo.Outcome) float64 { return o.ProtectedAnswered }},
		{"recovery, s (run length if none)", func(o crdemo.Outcome) float64 { return o.RecoveryOrEnd().Seconds() }},
		{"wasted runs", func(o crdemo.Outcome) float64 { return o.WastedFraction }},
		{"p99 before the fault, ms", func(o crdemo.Outcome) float64 { return o.P99.Seconds() * 1000 }},
		{"broken promises", func(o crdemo.Outcome) float64 { return float64(o.Violations.Sum()) }},
	}
	for _, p := range policies {
		_, _ = fmt.Fprintf(s.out, "%s, %d rounds: median (lowest to highest)\n", crdemo.PolicyName(p), len(outcomes[p]))
		for _, f := range figures {
			var values []float64
			for _, o := range outcomes[p] {
				values = append(values, f.of(o))
			}
			slices.Sort(values)
			_, _ = fmt.Fprintf(s.out, "  %-34s %8.3f (%.3f to %.3f)\n", f.name, values[len(values)/2], values[0], values[len(values)-1])
		}
	}
	return nil
}
