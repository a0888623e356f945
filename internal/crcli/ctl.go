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

// ctlTimeout bounds one command beyond its own waiting time.
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
				return client.one(ctx, s.out, strings.Join(c.Args().Slice(), " "))
			}
			return client.session(ctx, s.in, s.out)
		},
	}
}

// operatorClient sends commands to the first control instance that answers.
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

// session runs one command a line and goes on after a refused one.
func (o *operatorClient) session(ctx context.Context, in io.Reader, out io.Writer) error {
	failed := false
	sc := bufio.NewScanner(in)
	for sc.Scan() {
		line := sc.Text()
		if t := strings.TrimSpace(line); t == "" || strings.HasPrefix(t, "#") {
			continue
		}
		if err := o.one(ctx, out, line); err != nil {
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

// one runs a command and prints its answer.
func (o *operatorClient) one(ctx context.Context, out io.Writer, line string) error {
	line, timeout := withID(line)
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

// withID gives a change a command id, so that it can be sent again when its answer is lost, and returns how long the
// command may take. A line that does not parse is sent as it is, for the control instance to refuse.
func withID(line string) (string, time.Duration) {
	cmd, err := crlang.Parse(line)
	if err != nil {
		return line, ctlTimeout
	}
	if w, ok := cmd.(crlang.Wait); ok {
		return line, ctlTimeout + w.Timeout
	}
	if ch, ok := cmd.(crlang.Change); ok && ch.ChangeOptions().ID == "" && !ofMembers(cmd) {
		return strings.TrimRight(line, "\r\n") + " id " + crconfig.CommandID(time.Now(), rand.Uint64()), ctlTimeout
	}
	return line, ctlTimeout
}

// ofMembers reports whether a command changes the control members, which takes no command id.
func ofMembers(cmd crlang.Command) bool {
	switch cmd.(type) {
	case crlang.AddMember, crlang.RemoveMember, crlang.ReplaceMember:
		return true
	}
	return false
}

// once reports whether a command must not be sent again when its answer may have been lost.
func once(line string) bool {
	cmd, err := crlang.Parse(line)
	return err == nil && ofMembers(cmd)
}

// notSent reports whether no connection was made, so that the command did not arrive.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// send tries each control instance in turn; a change carries an id, so a second send cannot apply it twice. A change of
// members has none and ends at the first answer that may be lost.
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
		if err != nil && once(line) && !notSent(err) {
			return 0, "", failure.New("the answer was lost; read show members before you send the command again: %w", err)
		}
		if err == nil {
			err = failure.New("%s", strings.TrimSpace(text))
		}
		last = err
	}
	return 0, "", failure.New("no control instance took the command; check --at: %w", last)
}
