// Command testbed plays experiments on real routers among stand-ins, on this machine's loopback alone. This file owns its
// command line; the experiments are those of internal/testbed.
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

type listCmd struct{}

type runCmd struct {
	Name    string  `arg:"" help:"The experiment; 'testbed list' names them."`
	Seed    uint64  `default:"1" help:"What chance is drawn from; the same seed gives the same script."`
	Scale   float64 `default:"1" help:"Of rates and durations; 1 is what docs/results.md tells."`
	Routers int     `help:"How many routers, where the experiment leaves it open; 0: its own choice."`
	Plan    string  `type:"path" placeholder:"FILE" help:"The plan of a soak, a trouble a line; none: by the seed."`
	Out     string  `type:"path" placeholder:"DIR" help:"Where the result is written, as NAME-SEED.json."`
	JSON    bool    `name:"json" help:"Print the result as JSON."`
}

type upCmd struct {
	Bulletin string `default:"127.0.0.1:7070" help:"Where the bulletin listens."`
}

func (listCmd) Run() error {
	for _, e := range testbed.Experiments() {
		fmt.Printf("%-20s %s\n", e.Name, e.Shows)
	}
	return nil
}

// usageError is a flag that can't be used.
type usageError struct{ error }

var errClaim = errors.New("a claim did not hold")

func (c runCmd) Run() error {
	o := testbed.Options{Seed: c.Seed, Scale: c.Scale, Routers: c.Routers, Out: c.Out}
	if c.Scale <= 0 || c.Scale > 10 {
		return usageError{fmt.Errorf("--scale: %g is not between 0 and 10", c.Scale)}
	}
	if c.Routers < 0 || c.Routers > 200 {
		return usageError{fmt.Errorf("--routers: %d is not between 0 and 200", c.Routers)}
	}
	if c.Plan != "" {
		text, err := os.ReadFile(c.Plan)
		if err != nil {
			return usageError{fmt.Errorf("--plan: %w", err)}
		}
		o.Plan = string(text)
	}
	if !c.JSON {
		o.Note = os.Stderr
	}
	r, err := testbed.Run(c.Name, o)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(c.Out, fmt.Sprintf("%s-%d.json", c.Name, c.Seed)), append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if c.JSON {
		fmt.Println(string(text))
	} else {
		print(r)
	}
	if !r.Held() {
		return errClaim
	}
	return nil
}

func print(r *testbed.Result) {
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Printf("  %-44s %10.3f\n", name, r.Figures[name])
	}
	for _, c := range r.Claims {
		word := "held"
		if !c.Held {
			word = "FAILED"
		}
		fmt.Printf("%-6s %s: %s\n", word, c.Name, c.Told)
	}
}

func (c upCmd) Run() error { return testbed.Up(c.Bulletin, os.Stdout) }

func main() {
	var cli struct {
		List listCmd `cmd:"" help:"List the experiments."`
		Run  runCmd  `cmd:"" help:"Run an experiment; exit code 0 only if every claim held."`
		Up   upCmd   `cmd:"" help:"Start the stand-ins of deploy/example.json and of deploy/operator.example.json, until interrupted."`
	}
	ctx := kong.Parse(&cli, kong.Name("testbed"), kong.Description("Experiments on real routers among stand-ins, on loopback."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		if errors.As(err, &usageError{}) || errors.As(err, &soak.PlanError{}) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
