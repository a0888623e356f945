package crcli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/platform"
)

// platformCommand returns the commands that run a sidecar or a coordinator on the users' platform, with the settings file that
// the platform writes. SIGHUP reloads the settings.
func platformCommand(s streams) *cli.Command {
	role := func(name, usage string, run func(context.Context, string, io.Writer, <-chan os.Signal) error) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage,
			Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "`FILE` from the platform; by default the one that its environment variable names"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				path := c.String("settings")
				if path == "" {
					path = platform.SettingsPath()
				}
				reload := make(chan os.Signal, 1)
				signal.Notify(reload, syscall.SIGHUP)
				defer signal.Stop(reload)
				return exitStatus(s, run(ctx, path, s.out, reload))
			},
		}
	}
	return &cli.Command{
		Name: "platform", Usage: "run a process on the users' platform",
		Commands: []*cli.Command{
			role("sidecar", "run the node that forwards HTTP beside a backend server", platform.RunSidecar),
			role("core", "run a coordinator", platform.RunCore),
		},
	}
}
