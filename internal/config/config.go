// Package config reads the configuration that the platform gives to a router: environment variables, the file that they
// name, and the settings in that file. The simulator gives settings of the same form. The package validates the
// configuration; other packages act on it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"fennelarch/internal/system"
	"fennelarch/policy/routing"
)

// Environment variables that the platform sets.
const (
	configVariable = "RELAY_CONFIG"
	nameVariable   = "RELAY_NAME"
	listenVariable = "RELAY_LISTEN"
)

// Minimum limits that a router can run with.
const (
	minMemoryMB = 16
	minSockets  = 32
)

// mutableKeys are the configuration keys whose values may change while a router runs.
var mutableKeys = []string{"bulletin", "known", "seed"}

// Config is the configuration of a router.
type Config struct {
	Name               string
	Listen             string
	DiscoveryAddress   string
	Seed               uint64
	Cores              float64
	MemoryMB           int
	Sockets            int
	FlowBytesPerSecond float64         // rate of one response from the local cache
	LinkBytesPerSecond float64         // rate of all responses from the local cache together
	KnownEvents        json.RawMessage // discovery events published so far
	Routing            routing.Settings
	Names              Names
	ImmutableText      string // JSON text of the keys whose changes take effect only at the next start
}

// Load reads the environment variables and the configuration file that they name.
func Load(env func(string) string) (*Config, error) {
	path := env(configVariable)
	if path == "" {
		return nil, errors.New("RELAY_CONFIG is not set")
	}
	text, err := system.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(text, env(nameVariable), env(listenVariable))
}

// Read parses and validates the text of a configuration. A name or listen address that is not empty replaces the one in
// the text.
func Read(text []byte, name, listen string) (*Config, error) {
	var keys configurationKeys
	if err := json.Unmarshal(text, &keys); err != nil {
		return nil, describeJSONError("configuration", text, err)
	}
	config := &Config{
		Name:               keys.Name,
		Listen:             keys.Listen,
		DiscoveryAddress:   keys.Discovery,
		Cores:              keys.Limits.Cores,
		MemoryMB:           keys.Limits.MemoryMB,
		Sockets:            keys.Limits.Sockets,
		FlowBytesPerSecond: keys.Flow,
		LinkBytesPerSecond: keys.Link,
		KnownEvents:        keys.Known,
	}
	if name != "" {
		config.Name = name
	}
	if listen != "" {
		config.Listen = listen
	}
	var err error
	if config.ImmutableText, err = immutableText(text); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if config.Seed, err = strconv.ParseUint(keys.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("configuration: seed %q is not hexadecimal", keys.Seed)
	}
	if err := config.check(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := config.decodeSettings(keys.Settings); err != nil {
		return nil, err
	}
	return config, nil
}

// immutableText returns the JSON text of the keys whose changes take effect only at the next start.
func immutableText(text []byte) (string, error) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(text, &values); err != nil {
		return "", err
	}
	for _, key := range mutableKeys {
		delete(values, key)
	}
	immutable, err := json.Marshal(values)
	return string(immutable), err
}

// check returns an error if an address has no port or a limit is below its minimum.
func (c *Config) check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.DiscoveryAddress); err != nil {
		return fmt.Errorf("bulletin: %w", err)
	}
	if c.Cores <= 0 || c.MemoryMB < minMemoryMB || c.Sockets < minSockets {
		return fmt.Errorf("limits of %g cores, %d MB, %d sockets are too small", c.Cores, c.MemoryMB, c.Sockets)
	}
	return nil
}

// decodeSettings decodes the settings, which must have at least one request class.
func (c *Config) decodeSettings(text json.RawMessage) (err error) {
	if len(text) == 0 {
		return errors.New("configuration: settings are missing")
	}
	if c.Routing, c.Names, err = Decode(text); err != nil {
		return err
	}
	if len(c.Routing.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	return nil
}
