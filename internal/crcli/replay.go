package crcli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crreplay"
)

func replayCommand(s streams) *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay a load file in virtual time against the decision code of many nodes",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers"},
			&cli.StringFlag{Name: "control", Usage: "\"shed\" or \"none\" in place of what the file says"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return failure.New("replay needs one load file")
			}
			l, err := crreplay.Read(c.Args().First())
			if err != nil {
				_, _ = fmt.Fprintln(s.err, err)
				return exitError{exitFailed}
			}
			if v := c.String("control"); v != "" {
				if v != crreplay.ControlShed && v != crreplay.ControlNone {
					return failure.New("control must be %q or %q", crreplay.ControlShed, crreplay.ControlNone)
				}
				l.Control = v
			}
			_, err = fmt.Fprintf(s.out, "%s, control %s\n%s", l.Name(), l.Control, l.Run(c.Uint64("seed")))
			return err
		},
	}
}
