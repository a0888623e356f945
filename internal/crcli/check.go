package crcli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crsettings"
)

func checkCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files and print every fault with its line",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return failure.New("check needs at least one settings file")
			}
			bad := false
			for _, path := range c.Args().Slice() {
				if err := checkFile(s, path); err != nil {
					bad = true
				}
			}
			if bad {
				return exitError{exitFailed}
			}
			return nil
		},
	}
}

func checkFile(s streams, path string) error {
	if _, err := crsettings.Load(path); err != nil {
		_, _ = fmt.Fprintln(s.out, err)
		return err
	}
	_, _ = fmt.Fprintf(s.out, "%s: ok\n", path)
	return nil
}
