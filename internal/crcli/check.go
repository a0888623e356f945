package crcli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crsettings"
	"github.com/citronramp/citronramp/platform"
)

func checkCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files and print every fault with its line",
		ArgsUsage: "FILE...",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "platform", Usage: "the files are settings that the users' platform writes"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return failure.New("check needs at least one settings file")
			}
			bad := false
			for _, path := range c.Args().Slice() {
				if err := checkFile(s, path, c.Bool("platform")); err != nil {
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

func checkFile(s streams, path string, ofPlatform bool) error {
	var err error
	if ofPlatform {
		_, err = platform.Load(path)
	} else {
		_, err = crsettings.Load(path)
	}
	if err != nil {
		_, _ = fmt.Fprintln(s.out, err)
		return err
	}
	_, _ = fmt.Fprintf(s.out, "%s: ok\n", path)
	return nil
}
