package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"fennelarch/internal/testbed"
)

// router is a router process with its clients.
type router struct {
	*testbed.Router
	index    int
	clients  *clientGroup
	control  sync.Mutex // serializes faults in the process
	settings testbed.Settings
}

// FaultyProgram returns the path of the router built with fault injection: FENNELARCH_FAULTY if set, otherwise a file
// in the folder of this program.
func FaultyProgram() (string, error) {
	path := os.Getenv("FENNELARCH_FAULTY")
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "fennelarch-faults")
	}
	if _, err := os.Stat(path); err != nil {
		const build = "go build -tags faults -o bin/fennelarch-faults ./cmd/fennelarch"
		return "", fmt.Errorf("the router with injected faults is not built (%s): %w", build, err)
	}
	return path, nil
}

func (c *cluster) newRouter(program string, index, routers int) (*router, error) {
	address, err := c.discovery.open(index)
	if err != nil {
		return nil, err
	}
	settings := testbed.DefaultSettings(routers)
	settings.Grace, settings.TransferKBPerSecond = drainGrace, transferKBPerSecond
	settings.SlowStart, settings.ColdCapacityShare = coldDuration, coldCapacityShare
	settings.Sockets, settings.MemoryMB = 512, 96
	settings.Override = overrideSettings
	r := &router{index: index, settings: settings}
	r.Router, err = testbed.NewRouter(testbed.RouterOptions{
		Program: program, Folder: c.folder, Name: routerName(index),
		Environment: []string{"FENNELARCH_FAULTS=" + c.systemFaults(index), "RELAY_RECORDER=" + c.folder},
	}, c.configuration(r, c.routerSeed(index), address))
	if err != nil {
		return nil, err
	}
	r.clients = &clientGroup{
		router: index, address: r.Address, record: c.record, behaviour: &c.behaviour, objects: objects,
		rng: rand.New(rand.NewPCG(c.routerSeed(index), clientStream)),
	}
	return r, nil
}

// configuration returns the current configuration of a router.
func (c *cluster) configuration(r *router, seed uint64, discoveryAddress string) testbed.Configuration {
	return testbed.Configuration{
		Seed: seed, Settings: r.settings, DiscoveryAddress: discoveryAddress, KnownEvents: c.discovery.knownEvents(),
	}
}

// overrideSettings replaces the classes in the deployment's settings with those of the soak.
func overrideSettings(settings map[string]any) {
	var list []map[string]any
	var writes []bool
	var maxAgesMS []float64
	for _, class := range classes {
		list = append(list, map[string]any{
			"name": class.Name, "target_ms": 600, "aim_stretch": 1.6, "deadline_ms": class.Timeout.Milliseconds(),
			"importance": 2, "late_worth": 0.15, "effect": class.Idempotency.settingsName(), "group": "cell",
			"window_ms": class.IdempotencyWindow.Milliseconds(),
		})
		writes = append(writes, class.IsWrite)
		maxAgesMS = append(maxAgesMS, float64(class.MaxAge.Milliseconds()))
	}
	settings["classes"] = list
	specifics := settings["specifics"].(map[string]any)
	specifics["class_write"], specifics["lifetime_by_class_ms"] = writes, maxAgesMS
	specifics["gone_everywhere_ms"] = purgeCompletesAfter.Milliseconds()
}

// systemFaults returns the plan of the failing system calls and clock steps in one router's process, as the router
// reads it from FENNELARCH_FAULTS.
func (c *cluster) systemFaults(router int) string {
	rng := rand.New(rand.NewPCG(c.options.Seed, systemFaultsStream+uint64(router)))
	words := []string{fmt.Sprintf("seed=%d", c.routerSeed(router))}
	for _, call := range []struct {
		name           string
		maxProbability float64
	}{
		{"accept", 0.2},
		{"dial", 0.1},
		{"read", 0.05},
		{"write", 0.05},
		{"reset", 0.002},
		{"file", 0.3},
	} {
		if rng.Float64() < 0.6 {
			words = append(words, fmt.Sprintf("%s=%.4f", call.name, call.maxProbability*rng.Float64()))
		}
	}
	if rng.Float64() < 0.4 {
		words = append(words, fmt.Sprintf("listen=%d", 1+rng.IntN(5)))
	}
	if rng.Float64() < 0.7 {
		words = append(words, drawClockSteps(rng))
	}
	return strings.Join(words, " ")
}

// drawClockSteps returns two random steps of a router's clock.
func drawClockSteps(rng *rand.Rand) string {
	sizes := []string{"1h", "-1h", "3s", "-3s", "40s", "-40s"}
	firstAt := time.Duration(500+rng.IntN(5000)) * time.Millisecond
	first := sizes[rng.IntN(len(sizes))]
	secondAt := time.Duration(6000+rng.IntN(9000)) * time.Millisecond
	second := sizes[rng.IntN(len(sizes))]
	return fmt.Sprintf("clock=%dms:%s,%dms:%s", firstAt.Milliseconds(), first, secondAt.Milliseconds(), second)
}
