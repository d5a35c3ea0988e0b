// Command testbed runs the experiments of package internal/testbed, with real routers and fake servers on the loopback
// interface.
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

// Largest values of the flags.
const (
	maxScale   = 10
	maxRouters = 200
)

type listCommand struct{}

type runCommand struct {
	Name    string  `arg:"" help:"The experiment; 'testbed list' names them."`
	Seed    uint64  `default:"1" help:"Seed of the random script. The same seed gives the same script."`
	Scale   float64 `default:"1" help:"Factor on rates and durations. 1 is the scale of docs/results.md."`
	Routers int     `help:"Number of routers, if the experiment allows a choice. 0: the default of the experiment."`
	Plan    string  `type:"path" placeholder:"FILE" help:"Fault plan of a soak, one fault per line. Default: by the seed."`
	Out     string  `type:"path" placeholder:"DIR" help:"Folder for the result, written as NAME-SEED.json."`
	JSON    bool    `name:"json" help:"Print the result as JSON."`
}

type upCommand struct {
	DiscoveryAddress string `name:"bulletin" default:"127.0.0.1:7070" help:"Listen address of the discovery server."`
}

// usageError is the error of an invalid flag.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

func (e usageError) Unwrap() error { return e.err }

var errAssertion = errors.New("an assertion failed")

// Run lists the experiments.
func (listCommand) Run() error {
	for _, experiment := range testbed.Experiments() {
		if _, err := fmt.Printf("%-20s %s\n", experiment.Name, experiment.Description); err != nil {
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

// options checks the flags and returns the options of the experiment.
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

// write writes the result to the output folder, if one is set.
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

// printResult prints the figures and assertions of a result.
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

// Run runs the fake servers of the example configuration.
func (c upCommand) Run() error { return testbed.ServeExample(c.DiscoveryAddress, os.Stdout) }

func main() {
	var commands struct {
		List listCommand `cmd:"" help:"List the experiments."`
		Run  runCommand  `cmd:"" help:"Run an experiment; exit code 0 only if every assertion passed."`
		Up   upCommand   `cmd:"" help:"Run the fake servers of the example files in deploy/ until interrupted."`
	}
	context := kong.Parse(&commands, kong.Name("testbed"),
		kong.Description("Experiments on real routers among fake servers, on loopback."))
	if err := context.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns exitUsage for an invalid flag or plan and exitFailed for any other error.
func exitCode(err error) int {
	if errors.As(err, &usageError{}) || errors.As(err, &soak.PlanError{}) {
		return exitUsage
	}
	return exitFailed
}
