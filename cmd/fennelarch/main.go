// Command fennelarch runs a router as a service. It also checks the router's files and generates development keys.
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

// version is the release. The version command adds the source revision if the build recorded one.
const version = "0.1.0"

type serveCmd struct {
	Operator string `help:"The operator's file: settings besides the platform's." env:"RELAY_OPERATOR" placeholder:"FILE"`
	Recorder string `help:"Folder for flight recorder dumps (or standard error)." env:"RELAY_RECORDER" placeholder:"DIR"`
}

type checkCmd struct {
	Operator string `help:"The operator's file, which is checked too." env:"RELAY_OPERATOR" placeholder:"FILE"`
}

type schemaCmd struct{}

type versionCmd struct{}

func (s serveCmd) Run() error { return serve(s.Operator, s.Recorder) }

func (schemaCmd) Run() error {
	_, err := os.Stdout.Write(operatorconfig.Schema)
	return err
}

func (c checkCmd) Run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	operatorFile, err := operatorconfig.Load(c.Operator)
	if err != nil {
		return err
	}
	if err := checkStoresUsable(operatorFile, cfg); err != nil {
		return err
	}
	// The output of check is stable, so it keeps the platform's word for request classes.
	fmt.Printf("%s on %s: %d tariffs, %g cores, %d MB, %d sockets\n",
		cfg.Name, cfg.Listen, len(cfg.Routing.Classes), cfg.Cores, cfg.MemoryMB, cfg.Sockets)
	for _, store := range operatorFile.Stores {
		fmt.Printf("store %s at %s\n", store.UID, strings.Join(store.Addresses, ", "))
	}
	return nil
}

func (versionCmd) Run() error {
	text := "fennelarch " + version
	if info, hasInfo := debug.ReadBuildInfo(); hasInfo {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				text += " " + setting.Value
			}
		}
		text += " " + info.GoVersion
	}
	if system.InjectsFaults {
		text += " with injected faults, not for service"
	}
	_, err := fmt.Println(text)
	return err
}

type commands struct {
	Serve   serveCmd   `cmd:"" help:"Run one router. The environment sets RELAY_NAME, RELAY_LISTEN and RELAY_CONFIG."`
	Check   checkCmd   `cmd:"" help:"Check the configuration and print a summary of it."`
	Schema  schemaCmd  `cmd:"" help:"Print the JSON schema of the operator's file."`
	Keys    keysCmd    `cmd:"" help:"Generate a development CA, and key pairs for the router and for clients."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("fennelarch"),
		kong.Description("A router that decides where objects are served, kept and filled from."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fennelarch:", err)
		os.Exit(1)
	}
}
