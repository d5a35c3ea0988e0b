package config

// This file owns the configuration that a router of the service finds at its start: its environment and the file
// that it names. It checks that the whole can be used, and decides nothing.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"fennelarch/internal/system"
	"fennelarch/policy/routing"
)

// Config is what a router of the service is told at its start.
type Config struct {
	Name               string
	Listen             string
	DiscoveryAddress   string
	Seed               uint64
	Cores              float64
	MemoryMB           int
	Sockets            int
	FlowBytesPerSecond float64         // bytes a second of one transfer from the router's own memory
	LinkBytesPerSecond float64         // and of all together
	KnownEvents        json.RawMessage // the bulletin's events so far
	Routing            routing.Settings
	Names              Names
	Immutable          string // all that holds until the next start, as text
}

// Load reads the environment and the file that it names.
func Load(env func(string) string) (*Config, error) {
	path := env("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG is not set")
	}
	text, err := system.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(text, env("RELAY_NAME"), env("RELAY_LISTEN"))
}

// Read takes the text of a configuration; a name and an address from the environment go before its own.
func Read(text []byte, name, listen string) (*Config, error) {
	var f struct {
		Name     string `json:"name"`
		Listen   string `json:"listen"`
		Seed     string `json:"seed"`
		Bulletin string `json:"bulletin"`
		Limits   struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Flow     float64         `json:"flow_bytes_per_s"`
		Link     float64         `json:"link_bytes_per_s"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, plain("configuration", text, err)
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, DiscoveryAddress: f.Bulletin, Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		Sockets: f.Limits.Sockets, FlowBytesPerSecond: f.Flow, LinkBytesPerSecond: f.Link, KnownEvents: f.Known,
	}
	if name != "" {
		c.Name = name
	}
	if listen != "" {
		c.Listen = listen
	}
	var all map[string]json.RawMessage
	err := json.Unmarshal(text, &all)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for _, moves := range []string{"bulletin", "known", "seed"} {
		delete(all, moves)
	}
	fixed, err := json.Marshal(all)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c.Immutable = string(fixed)
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("configuration: seed %q is not hexadecimal", f.Seed)
	}
	for _, a := range []struct{ what, address string }{{"listen", c.Listen}, {"bulletin", c.DiscoveryAddress}} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return nil, fmt.Errorf("configuration: %s: %w", a.what, err)
		}
	}
	if c.Cores <= 0 || c.MemoryMB < 16 || c.Sockets < 32 {
		return nil, fmt.Errorf("configuration: limits of %g cores, %d MB, %d sockets are too small", c.Cores, c.MemoryMB, c.Sockets)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("configuration: settings are missing")
	}
	if c.Routing, c.Names, err = Decode(f.Settings); err != nil {
		return nil, err
	}
	if len(c.Routing.Classes) == 0 {
		return nil, errors.New("settings: no classes")
	}
	return c, nil
}
