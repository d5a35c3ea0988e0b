package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"fennelarch/internal/testbed/soak"
)

func TestExitCodeTellsUsageFromFailure(t *testing.T) {
	_, planError := soak.ParsePlan("stop-router 3")
	for _, test := range []struct {
		name string
		err  error
		want int
	}{
		{"failed assertion", errAssertion, exitFailed},
		{"invalid flag", usageError{errors.New("--scale")}, exitUsage},
		{"invalid plan", fmt.Errorf("soak: %w", soak.PlanError{Err: planError}), exitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := exitCode(test.err); got != test.want {
				t.Errorf("got exit code %d, want %d", got, test.want)
			}
		})
	}
}

func TestFlagsAreBounded(t *testing.T) {
	plan := filepath.Join(t.TempDir(), "plan.txt")
	if err := os.WriteFile(plan, []byte("at 1s for 1s stop-router 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		command runCommand
		isValid bool
	}{
		{"defaults", runCommand{Scale: 1}, true},
		{"plan", runCommand{Scale: 1, Plan: plan}, true},
		{"scale of zero", runCommand{}, false},
		{"scale too large", runCommand{Scale: maxScale + 1}, false},
		{"too many routers", runCommand{Scale: 1, Routers: maxRouters + 1}, false},
		{"missing plan file", runCommand{Scale: 1, Plan: plan + "x"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := test.command.options()
			if (err == nil) != test.isValid {
				t.Fatalf("got error %v, want an error only for invalid flags", err)
			}
			if err != nil && exitCode(err) != exitUsage {
				t.Errorf("got exit code %d for %v, want that of invalid flags", exitCode(err), err)
			}
		})
	}
}
