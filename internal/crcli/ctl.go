package crcli

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crlang"
	"github.com/citronramp/citronramp/internal/croperator"
	"github.com/citronramp/citronramp/internal/crsettings"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// ctlTimeout limits the time of one command; the timeout of a wait command is added to it.
const ctlTimeout = 10 * time.Second

func ctlCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:      "ctl",
		Usage:     "send operator commands to a control instance",
		ArgsUsage: "[COMMAND...]",
		Description: "With a command as arguments it runs that one; without, it reads one command a line from standard input. Empty lines and\n" +
			"lines that start with # are skipped. \"ctl help\" lists the commands; docs/operators.md explains them. Exits with 1 when a\n" +
			"command was refused.",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringSliceFlag{Name: "at", Usage: "operator `ADDRESS` of a control instance in place of the one in the settings; may be given again"},
			&cli.StringFlag{Name: "as", Usage: "`NAME` of the operator, shown to others"},
			&cli.BoolFlag{Name: "json", Usage: "print answers as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			if c.NArg() > 0 {
				return client.runCommand(ctx, s.out, strings.Join(c.Args().Slice(), " "))
			}
			return client.runLines(ctx, s.in, s.out)
		},
	}
}

// operatorClient sends operator commands to the first control instance that accepts them.
type operatorClient struct {
	addrs    []string
	secret   string
	operator string
	json     bool
}

func newOperatorClient(c *cli.Command) (*operatorClient, error) {
	set, err := crsettings.Load(c.String("settings"))
	if err != nil {
		return nil, err
	}
	out := &operatorClient{addrs: c.StringSlice("at"), operator: c.String("as"), json: c.Bool("json")}
	switch {
	case set.Control != nil:
		out.secret = set.Control.Secret
		if len(out.addrs) == 0 {
			out.addrs = []string{set.Control.Operator}
		}
	case len(out.addrs) == 0:
		return nil, failure.New("the settings file has no [control] table; name the operator address with --at")
	default:
		out.secret = set.Node.Secret
	}
	return out, nil
}

// runLines runs one command for each line of in and continues after a failed command. Empty lines and comments are skipped.
func (o *operatorClient) runLines(ctx context.Context, in io.Reader, out io.Writer) error {
	failed := false
	sc := bufio.NewScanner(in)
	for sc.Scan() {
		line := sc.Text()
		if t := strings.TrimSpace(line); t == "" || strings.HasPrefix(t, "#") {
			continue
		}
		if err := o.runCommand(ctx, out, line); err != nil {
			failed = true
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	if failed {
		return exitError{exitFailed}
	}
	return nil
}

// runCommand sends one command and prints the answer.
func (o *operatorClient) runCommand(ctx context.Context, out io.Writer, line string) error {
	line, timeout := withCommandID(line)
	code, text, err := o.send(ctx, line, timeout)
	if err != nil {
		return err
	}
	_, _ = io.WriteString(out, text)
	if code != crcode.OK && code != crcode.Replayed {
		return exitError{exitFailed}
	}
	return nil
}

// withCommandID appends a command id to a configuration change, which makes the command idempotent so that it can be resent
// after its answer is lost. It also returns the timeout of the command. A line that does not parse is returned unchanged; the
// control instance refuses it.
func withCommandID(line string) (string, time.Duration) {
	cmd, err := crlang.Parse(line)
	if err != nil {
		return line, ctlTimeout
	}
	if w, ok := cmd.(crlang.Wait); ok {
		return line, ctlTimeout + w.Timeout
	}
	if ch, ok := cmd.(crlang.Change); ok && ch.ChangeOptions().ID == "" && !isMembershipChange(cmd) {
		return strings.TrimRight(line, "\r\n") + " id " + crconfig.CommandID(time.Now(), rand.Uint64()), ctlTimeout
	}
	return line, ctlTimeout
}

// isMembershipChange reports whether a command changes the members of the control cluster. Such commands take no command id.
func isMembershipChange(cmd crlang.Command) bool {
	switch cmd.(type) {
	case crlang.AddMember, crlang.RemoveMember, crlang.ReplaceMember:
		return true
	}
	return false
}

// mustNotResend reports whether a command must not be resent if its answer may have been lost: a change of members has no
// command id that would detect the second send.
func mustNotResend(line string) bool {
	cmd, err := crlang.Parse(line)
	return err == nil && isMembershipChange(cmd)
}

// notSent reports whether dialing failed, so that the command cannot have arrived.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// send tries each control instance in turn. A configuration change has a command id, so a second send cannot apply it twice.
// A change of members has none, so send returns an error as soon as its answer may have been lost.
func (o *operatorClient) send(ctx context.Context, line string, timeout time.Duration) (crcode.Code, string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var last error
	for _, addr := range o.addrs {
		client := croperator.Client{Address: addr, Secret: o.secret, Operator: o.operator, JSON: o.json}
		code, text, err := client.Send(ctx, line)
		if err == nil && code != crcode.NoLeader {
			return code, text, nil
		}
		if err != nil && mustNotResend(line) && !notSent(err) {
			return 0, "", failure.New("the answer was lost; read show members before you send the command again: %w", err)
		}
		if err == nil {
			err = failure.New("%s", strings.TrimSpace(text))
		}
		last = err
	}
	return 0, "", failure.New("no control instance took the command; check --at: %w", last)
}
