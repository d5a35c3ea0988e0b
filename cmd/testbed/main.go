// Command testbed runs experiments on real routers among fake servers, on this machine's loopback alone. The
// experiments are those of internal/testbed.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"fennelarch/internal/testbed"
	"fennelarch/internal/testbed/soak"

	"github.com/alecthomas/kong"
)

// Exit codes besides 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Bounds of the flags.
const (
	maxScale   = 10
	maxRouters = 200
)

type listCommand struct{}

type runCommand struct {
	Name    string  `arg:"" help:"The experiment; 'testbed list' names them."`
	Seed    uint64  `default:"1" help:"What chance is drawn from; the same seed gives the same script."`
	Scale   float64 `default:"1" help:"Of rates and durations; 1 is the scale of docs/results.md."`
	Routers int     `help:"How many routers, where the experiment leaves it open; 0: its own choice."`
	Plan    string  `type:"path" placeholder:"FILE" help:"The plan of a soak, a fault a line; none: by the seed."`
	Out     string  `type:"path" placeholder:"DIR" help:"Where the result is written, as NAME-SEED.json."`
	JSON    bool    `name:"json" help:"Print the result as JSON."`
}

type upCommand struct {
	DiscoveryAddress string `name:"bulletin" default:"127.0.0.1:7070" help:"Where discovery listens."`
}

// usageError is a flag that cannot be used.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

func (e usageError) Unwrap() error { return e.err }

var errAssertion = errors.New("an assertion failed")

// Run lists the experiments.
func (listCommand) Run() error {
	for _, experiment := range testbed.Experiments() {
		if _, err := fmt.Printf("%-20s %s\n", experiment.Name, experiment.Shows); err != nil {
			return err
		}
	}
	return nil
}

// Run runs an experiment.
func (c runCommand) Run() error {
	options, err := c.options()
	if err != nil {
		return err
	}
	result, err := testbed.Run(c.Name, options)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	if err := c.write(text); err != nil {
		return err
	}
	if c.JSON {
		fmt.Println(string(text))
	} else {
		printResult(result)
	}
	if !result.Passed() {
		return errAssertion
	}
	return nil
}

func (c runCommand) options() (testbed.Options, error) {
	options := testbed.Options{Seed: c.Seed, Scale: c.Scale, Routers: c.Routers, Out: c.Out}
	if c.Scale <= 0 || c.Scale > maxScale {
		return options, usageError{fmt.Errorf("--scale: %g is not between 0 and %d", c.Scale, maxScale)}
	}
	if c.Routers < 0 || c.Routers > maxRouters {
		return options, usageError{fmt.Errorf("--routers: %d is not between 0 and %d", c.Routers, maxRouters)}
	}
	if c.Plan != "" {
		text, err := os.ReadFile(c.Plan)
		if err != nil {
			return options, usageError{fmt.Errorf("--plan: %w", err)}
		}
		options.Plan = string(text)
	}
	if !c.JSON {
		options.Log = os.Stderr
	}
	return options, nil
}

// write writes the result, where it is to be written.
func (c runCommand) write(text []byte) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	path := filepath.Join(c.Out, fmt.Sprintf("%s-%d.json", c.Name, c.Seed))
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func printResult(result *testbed.Result) {
	for _, name := range slices.Sorted(maps.Keys(result.Figures)) {
		fmt.Printf("  %-44s %10.3f\n", name, result.Figures[name])
	}
	for _, assertion := range result.Assertions {
		outcome := "passed"
		if !assertion.Passed {
			outcome = "FAILED"
		}
		fmt.Printf("%-6s %s: %s\n", outcome, assertion.Name, assertion.Detail)
	}
}

// Run starts the fake servers of the example configuration.
func (c upCommand) Run() error { return testbed.ServeExample(c.DiscoveryAddress, os.Stdout) }

func main() {
	var commands struct {
		List listCommand `cmd:"" help:"List the experiments."`
		Run  runCommand  `cmd:"" help:"Run an experiment; exit code 0 only if every assertion passed."`
		Up   upCommand   `cmd:"" help:"Start the fake servers of the example files in deploy/, until interrupted."`
	}
	context := kong.Parse(&commands, kong.Name("testbed"),
		kong.Description("Experiments on real routers among fake servers, on loopback."))
	if err := context.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode tells what cannot be used from what has failed.
func exitCode(err error) int {
	if errors.As(err, &usageError{}) || errors.As(err, &soak.PlanError{}) {
		return exitUsage
	}
	return exitFailed
}
