package crcli

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

// dumpTimeout limits the request to the admin address.
const dumpTimeout = 5 * time.Second

func dumpCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:      "dump",
		Usage:     "print the state of a running process, or its counters, as JSON",
		ArgsUsage: "ADMIN_ADDRESS",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "counters", Usage: "print the counters in place of the state"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return failure.New("dump needs the admin address of one process, as in 127.0.0.1:7301")
			}
			path := "/v1/dump"
			if c.Bool("counters") {
				path = "/debug/vars"
			}
			return fetch(ctx, s.out, "http://"+c.Args().First()+path)
		},
	}
}

func fetch(ctx context.Context, out io.Writer, url string) error {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return failure.New("the process does not answer; check the address: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failure.New("the process answered %s", resp.Status)
	}
	_, err = io.Copy(out, resp.Body)
	return err
}
