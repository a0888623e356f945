package crcli

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crsoak"
)

// soakCommand returns the command that runs a small deployment of real processes, injects faults by a seeded schedule and
// checks the guarantees of the system.
func soakCommand(s streams) *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run coordinators and nodes as processes, break them by a seeded schedule, check the promises",
		Description: "Prints the seed and the schedule first and the broken promises with the lines of their request last.\n" +
			"Exits with 1 when a promise was broken.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "plays the schedule of a seed again; by default a new one"},
			&cli.DurationFlag{Name: "duration", Aliases: []string{"d"}, Value: 20 * time.Second, Usage: "time in which faults come"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of runs, each with the next seed"},
			&cli.IntFlag{Name: "crowd", Usage: "number of clients that misbehave at the listeners of all processes"},
			&cli.StringFlag{Name: "keep", Usage: "`FOLDER` for settings, logs and data, by default a temporary one"},
			&cli.StringFlag{Name: "network", Value: "127.90.0", Usage: "first three bytes of the loopback addresses"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			program, err := os.Executable()
			if err != nil {
				return failure.Wrap(err)
			}
			seed := c.Uint64("seed")
			if !c.IsSet("seed") {
				seed = rand.Uint64() >> 32
			}
			broken := 0
			for i := range c.Int("runs") {
				result, err := soakOnce(ctx, s, c, program, seed+uint64(i))
				if err != nil {
					return failure.Wrap(err)
				}
				if len(result.Broken) > 0 {
					broken++
				}
			}
			if c.Int("runs") > 1 {
				_, _ = fmt.Fprintf(s.out, "%d of %d runs broke a promise\n", broken, c.Int("runs"))
			}
			if broken > 0 {
				return exitError{exitFailed}
			}
			return nil
		},
	}
}

func soakOnce(ctx context.Context, s streams, c *cli.Command, program string, seed uint64) (crsoak.Result, error) {
	dir := c.String("keep")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "citronramp-soak"); err != nil {
			return crsoak.Result{}, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return crsoak.Result{}, err
	}
	soak := crsoak.Soak{Program: program, Dir: dir, Seed: seed, Duration: c.Duration("duration"), Network: c.String("network"), Crowd: c.Int("crowd"), Out: s.out}
	return soak.Run(ctx)
}
