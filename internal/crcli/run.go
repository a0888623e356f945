package crcli

import (
	"context"
	"fmt"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/cradmin"
	"github.com/citronramp/citronramp/internal/crcontrol"
	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crsettings"
)

func nodeCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:        "node",
		Usage:       "run the node beside a backend server",
		Description: "Stops gracefully on SIGTERM or SIGINT: exit 0 when no request was cut off, 1 otherwise.",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			set, logger, err := loadSettings(s, c.String("settings"))
			if err != nil {
				return err
			}
			if set.Node == nil {
				return failure.New("the settings file has no [node] table")
			}
			ln, err := cradmin.Listen(set.Node.Listen, set.Node.Inner, set.Node.Admin)
			if err != nil {
				return err
			}
			crintake.SetSoftMemoryLimit(int64(set.Node.MemoryMB) << 20)
			n := &crnode.Node{Settings: *set.Node, Callers: ln[0], Inner: ln[1], Admin: ln[2], Logger: logger}
			n.Counters.Publish("citronramp")
			return exitStatus(s, n.Run(ctx))
		},
	}
}

func controlCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run a control instance",
		Description: "The first start of a new cluster needs --new-cluster on each first member, and only then: an instance with an empty\n" +
			"data folder that starts without it waits until an operator adds it.",
		Flags: []cli.Flag{settingsFlag(), &cli.BoolFlag{Name: "new-cluster", Usage: "start a new log when the data folder is empty"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			set, logger, err := loadSettings(s, c.String("settings"))
			if err != nil {
				return err
			}
			if set.Control == nil {
				return failure.New("the settings file has no [control] table")
			}
			ln, err := cradmin.Listen(set.Control.Inner, set.Control.Operator, set.Control.Admin)
			if err != nil {
				return err
			}
			crintake.SetSoftMemoryLimit(int64(set.Control.MemoryMB) << 20)
			ctl := &crcontrol.Control{
				Settings: *set.Control, Inner: ln[0], Operator: ln[1], Admin: ln[2], Logger: logger, NewCluster: c.Bool("new-cluster"),
			}
			ctl.Counters.Publish("citronramp")
			return exitStatus(s, ctl.Run(ctx))
		},
	}
}

// loadSettings reads the settings file and creates the logger. It prints the errors of the settings, one on each line.
func loadSettings(s streams, path string) (*crsettings.Settings, log.Logger, error) {
	set, err := crsettings.Load(path)
	if err != nil {
		_, _ = fmt.Fprintln(s.err, err)
		return nil, nil, exitError{exitFailed}
	}
	return set, cradmin.NewLogger(s.err, set.LogLevel), nil
}

// exitStatus prints the error with which a process ended, if any, and returns an error that sets the exit code.
func exitStatus(s streams, err error) error {
	if err == nil {
		return nil
	}
	_, _ = fmt.Fprintln(s.err, failure.Wrap(err))
	return exitError{exitFailed}
}
