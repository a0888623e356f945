package crcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/citronramp/citronramp/internal/crcheck"
	"github.com/citronramp/citronramp/internal/crsettings"
	"github.com/citronramp/citronramp/platform"
)

func checkCommand(s streams) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files, or a configuration before it is sent, and print every fault with its line",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "platform", Usage: "the files are settings that the users' platform writes"},
			&cli.BoolFlag{Name: "configuration", Usage: "the file is a configuration as operators send it; exit code 1 for warnings, 2 for errors"},
			&cli.StringFlag{Name: "against", Usage: "also print the differences from a configuration in `FILE` or in force at HOST:PORT"},
			&cli.BoolFlag{Name: "json", Usage: "print findings and differences of a configuration as JSON"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return failure.New("check needs at least one file")
			}
			if c.Bool("configuration") {
				if c.NArg() > 1 {
					return failure.New("check --configuration needs exactly one file")
				}
				return checkConfiguration(s, c.Args().First(), c.String("against"), c.Bool("json"))
			}
			if c.String("against") != "" || c.Bool("json") {
				return failure.New("--against and --json need --configuration")
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

// Exit codes of check --configuration.
const (
	exitWarnings = 1
	exitErrors   = 2
)

// checkConfiguration prints the findings of a configuration, and its differences from another one if against is not empty.
func checkConfiguration(s streams, path, against string, asJSON bool) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	next, findings := platform.CheckConfiguration(body)
	var differences []crcheck.Difference
	if against != "" && next != nil {
		if differences, err = differencesFrom(against, next); err != nil {
			return err
		}
	}
	if err := printCheck(s, path, findings, differences, asJSON); err != nil {
		return err
	}
	switch {
	case slices.ContainsFunc(findings, func(f crcheck.Finding) bool { return f.Level == crcheck.Error }):
		return exitError{exitErrors}
	case len(findings) > 0:
		return exitError{exitWarnings}
	}
	return nil
}

// differencesFrom compares a configuration with that of a file or, if there is no such file, of a coordinator.
func differencesFrom(against string, next *crcheck.Configuration) ([]crcheck.Difference, error) {
	body, err := os.ReadFile(against)
	if errors.Is(err, fs.ErrNotExist) {
		body, err = platform.ReadConfiguration(against)
	}
	if err != nil {
		return nil, failure.New("the configuration to compare with: %v", err)
	}
	inForce, findings := platform.CheckConfiguration(body)
	if inForce == nil {
		return nil, failure.New("the configuration to compare with: %s", findings[0].Text)
	}
	return crcheck.Compare(inForce, next), nil
}

func printCheck(s streams, path string, findings []crcheck.Finding, differences []crcheck.Difference, asJSON bool) error {
	if asJSON {
		out := json.NewEncoder(s.out)
		out.SetIndent("", "  ")
		return out.Encode(struct {
			Findings    []crcheck.Finding    `json:"findings"`
			Differences []crcheck.Difference `json:"differences"`
		}{append([]crcheck.Finding{}, findings...), append([]crcheck.Difference{}, differences...)})
	}
	for _, f := range findings {
		_, _ = fmt.Fprintf(s.out, "%s: %s: %s: %s\n", path, f.Place, f.Level, f.Text)
	}
	for _, d := range differences {
		text := fmt.Sprintf("%s: %s %s", path, d.Entry, d.Change)
		if d.Text != "" {
			text += ": " + d.Text
		}
		_, _ = fmt.Fprintln(s.out, text)
	}
	if len(findings) == 0 {
		_, _ = fmt.Fprintf(s.out, "%s: ok\n", path)
	}
	return nil
}
