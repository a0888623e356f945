package crcli

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crexplain"
)

func explainCommand(s streams) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell the story of one request from the logs of any number of processes",
		ArgsUsage:   "ID [FILE...]",
		Description: "Reads logs from the files, or from standard input, and prints every line about the request and the calls below it.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return failure.New("explain needs the id of a request")
			}
			story := &crexplain.RequestHistory{ID: c.Args().First()}
			if c.NArg() == 1 {
				if err := story.Read(s.in); err != nil {
					return failure.Wrap(err)
				}
			}
			for _, path := range c.Args().Tail() {
				if err := readLog(story, path); err != nil {
					return err
				}
			}
			return failure.Wrap(story.Write(s.out))
		},
	}
}

func readLog(story *crexplain.RequestHistory, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return failure.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return failure.Wrap(story.Read(f))
}
