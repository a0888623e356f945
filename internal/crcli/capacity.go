package crcli

import (
	"context"
	"os"
	"runtime/pprof"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crcapacity"
)

func capacityCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:        "capacity",
		Usage:       "measure what a call and the control of nodes cost",
		Description: "Runs control instances and nodes in this process and prints the tables of docs/CAPACITY.md and docs/measurements.md.",
		Commands: []*cli.Command{
			capacityCall(s), capacityControl(s), capacityCost(s),
		},
	}
}

func profileFlag() cli.Flag {
	return &cli.StringFlag{Name: "cpuprofile", Usage: "write a CPU profile to `FILE`"}
}

// withCPUProfile runs f and records a CPU profile if the flag --cpuprofile is set.
func withCPUProfile(c *cli.Command, f func() error) error {
	name := c.String("cpuprofile")
	if name == "" {
		return f()
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return err
	}
	err = f()
	pprof.StopCPUProfile()
	if closed := file.Close(); err == nil {
		err = closed
	}
	return err
}

func capacityCall(s streams) *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "measure what nodes add to a call, against a direct call in the same run",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "slots", Value: 50, Usage: "slots of the backend server; half of them are busy"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "time of a run on the backend server"},
			&cli.IntFlag{Name: "rounds", Value: 5, Usage: "rounds"},
			&cli.DurationFlag{Name: "round", Value: 6 * time.Second, Usage: "length of a round"},
			&cli.IntFlag{Name: "cost-calls", Value: 8000, Usage: "calls of each path and round for processor time"},
			&cli.BoolFlag{Name: "processes", Usage: "run each control instance and node as a process of its own"},
			profileFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			m := crcapacity.Call{
				Slots: c.Int("slots"), Work: c.Duration("work"), Rounds: c.Int("rounds"), Round: c.Duration("round"),
				CostCalls: c.Int("cost-calls"), Processes: c.Bool("processes"), Out: s.out,
			}
			return withCPUProfile(c, func() error { return m.Run(ctx) })
		},
	}
}

func capacityControl(s streams) *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measure acceptance, time until in force and fail-over",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "rounds", Value: 10, Usage: "fail-overs of each sort"},
			&cli.IntFlag{Name: "changes", Value: 200, Usage: "changes for acceptance; a tenth of them for each size of the tree"},
			&cli.IntSliceFlag{Name: "nodes", Value: []int{1, 50, 300}, Usage: "sizes of the tree"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return crcapacity.Control{Rounds: c.Int("rounds"), Changes: c.Int("changes"), Nodes: c.IntSlice("nodes"), Out: s.out}.Run()
		},
	}
}

func capacityCost(s streams) *cli.Command {
	return &cli.Command{
		Name:  "cost",
		Usage: "measure processor time, bytes and memory of control for each node",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{10, 50, 100, 300}, Usage: "sizes"},
			&cli.IntSliceFlag{Name: "rate", Value: []int{0, 50}, Usage: "changes a second"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "windows of each size and rate"},
			&cli.DurationFlag{Name: "window", Value: 10 * time.Second, Usage: "length of a window"},
			&cli.IntFlag{Name: "services", Value: 10, Usage: "services; each node watches four of them"},
			&cli.IntFlag{Name: "controls", Value: 3, Usage: "control instances: 1, 3 or 5"},
			profileFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if len(c.IntSlice("nodes")) == 0 {
				return failure.New("no sizes")
			}
			m := crcapacity.Cost{
				Nodes: c.IntSlice("nodes"), Rates: c.IntSlice("rate"), Rounds: c.Int("rounds"), Window: c.Duration("window"),
				Controls: c.Int("controls"), Services: c.Int("services"), Out: s.out,
			}
			return withCPUProfile(c, m.Run)
		},
	}
}
