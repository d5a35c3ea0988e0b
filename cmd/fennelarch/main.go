// Command fennelarch is the router as a service. This file owns the command line; what a router is made of is put
// together in serve.go.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"fennelarch/internal/config"
	"fennelarch/internal/operatorconfig"
	"fennelarch/internal/system"

	"github.com/alecthomas/kong"
)

// version is the release; the revision is added where the build knows it.
const version = "0.1.0"

type serveCmd struct {
	Operator string `help:"The operator's own file: what this installation has beyond the platform." env:"RELAY_OPERATOR" placeholder:"FILE"`
	Recorder string `help:"The folder into which the flight recorder is written at SIGUSR1 and at a violated invariant; none: standard error." env:"RELAY_RECORDER" placeholder:"DIR"`
}

type checkCmd struct {
	Operator string `help:"The operator's own file, which is checked too." env:"RELAY_OPERATOR" placeholder:"FILE"`
}

type schemaCmd struct{}

type versionCmd struct{}

func (s serveCmd) Run() error { return serve(s.Operator, s.Recorder) }

func (schemaCmd) Run() error {
	_, err := os.Stdout.Write(operatorconfig.Schema)
	return err
}

func (k checkCmd) Run() error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	own, err := operatorconfig.Load(k.Operator)
	if err != nil {
		return err
	}
	if err := fits(own, c); err != nil {
		return err
	}
	fmt.Printf("%s on %s: %d tariffs, %g cores, %d MB, %d sockets\n", c.Name, c.Listen, len(c.Routing.Classes), c.Cores, c.MemoryMB,
		c.Sockets)
	for _, s := range own.Stores {
		fmt.Printf("store %s at %s\n", s.UID, strings.Join(s.Addresses, ", "))
	}
	return nil
}

func (versionCmd) Run() error {
	fmt.Print("fennelarch ", version)
	if info, known := debug.ReadBuildInfo(); known {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				fmt.Print(" ", s.Value)
			}
		}
		fmt.Print(" ", info.GoVersion)
	}
	if system.Faulty {
		fmt.Print(" with injected faults, not for service")
	}
	fmt.Println()
	return nil
}

func main() {
	var cli struct {
		Serve   serveCmd   `cmd:"" help:"Run one router, as the environment tells: RELAY_NAME, RELAY_LISTEN, RELAY_CONFIG."`
		Check   checkCmd   `cmd:"" help:"Read the configuration, say what it holds, and end."`
		Schema  schemaCmd  `cmd:"" help:"Print the JSON schema of the operator's file."`
		Keys    keysCmd    `cmd:"" help:"Make a development authority, and pairs for the router and for clients."`
		Version versionCmd `cmd:"" help:"Print the version."`
	}
	ctx := kong.Parse(&cli, kong.Name("fennelarch"),
		kong.Description("A router that decides where objects are served, kept and filled from."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fennelarch:", err)
		os.Exit(1)
	}
}
