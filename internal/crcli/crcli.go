// Package crcli implements the commands of citronramp, one file for each command.
package crcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// failure is the error class of the errors that Main prints before it returns exitUsage.
var failure = errs.Class("citronramp")

// streams are the standard streams of the process.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// exitError sets the exit code after the message has already been printed.
type exitError struct{ code int }

func (e exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

// Main runs the command in args and returns the exit code. SIGTERM and SIGINT cancel the context of the command.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := streams{in: in, out: out, err: errOut}
	err := root(s).Run(ctx, args)
	var exit exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	}
	_, _ = fmt.Fprintln(errOut, failure.Wrap(err))
	return exitUsage
}

func root(s streams) *cli.Command {
	return &cli.Command{
		Name:            "citronramp",
		Usage:           "overload control for deep service call graphs",
		Description:     "Start with \"citronramp demo\". To run a service for real see README.md, for operators docs/operators.md.",
		Writer:          s.out,
		ErrWriter:       s.err,
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return cli.ShowAppHelp(c)
			}
			return failure.New("no command %q; see citronramp --help", c.Args().First())
		},
		Commands: []*cli.Command{
			nodeCommand(s), controlCommand(s), checkCommand(s), dumpCommand(s), ctlCommand(s), demoCommand(s), benchCommand(s),
			capacityCommand(s), platformCommand(s), explainCommand(s), replayCommand(s), soakCommand(s),
		},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "`FILE` with the settings in TOML", Required: true}
}
