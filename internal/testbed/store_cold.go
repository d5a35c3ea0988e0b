package testbed

import (
	"fmt"
	"time"

	"fennelarch/internal/fake/site"
)

var _ = Register(Experiment{
	Name:        "store-cold",
	Description: "1, 4 or 16 routers do not overload a store that restarts empty under load",
	Run:         runStoreCold,
})

// coldStoreLoad is the number of requests per second to all routers together. It exceeds the capacity of a cold store.
const coldStoreLoad = 1600

func runStoreCold(options Options, result *Result) error {
	counts := []int{1, 4, 16}
	if options.Routers > 0 {
		counts = []int{options.Routers}
	}
	for _, routers := range counts {
		name := fmt.Sprintf("%d routers", routers)
		peak, err := runColdStore(options, result, name, routers, coldStoreConfig(routers))
		if err != nil {
			return err
		}
		result.Assert(peak <= 1, name+": never sent more than its capacity",
			"at most %.2f of its capacity, in any second since a start", peak)
	}
	listed := coldStoreConfig(4)
	listed.IsStoreListed = true
	peak, err := runColdStore(options, result, "4 routers, notified by the list", 4, listed)
	if err != nil {
		return err
	}
	result.Assert(peak <= 1, "notified by the list: never sent more than its capacity", "at most %.2f", peak)
	routers := counts[len(counts)-1]
	unlimited := coldStoreConfig(routers)
	unlimited.SharedStore["cold_ms"] = 0 // the routers do not know that the store is cold after a start
	peak, err = runColdStore(options, result, fmt.Sprintf("%d routers, no budget", routers), routers, unlimited)
	result.Assert(peak > 1, "without a budget the same script overloads it", "%.2f of its capacity", peak)
	return err
}

// runColdStore restarts the store empty under load. It returns the store's highest load as a multiple of its capacity.
func runColdStore(options Options, result *Result, name string, routers int, config ClusterConfig) (float64, error) {
	peak := 0.0
	observed, err := arm{
		name: name, seed: options.Seed + uint64(routers), config: config, routers: routers,
		load: Load{
			RequestsPerSecond: coldStoreLoad / float64(routers), Duration: options.duration(10 * time.Second),
			WriteShare: 0.02,
		},
		script: func(cluster *Cluster) {
			time.Sleep(options.duration(3 * time.Second))
			peak = cluster.Store.Counts().PeakLoad
			cluster.Store.Crash()
			time.Sleep(200 * time.Millisecond)
			cluster.fail(cluster.Store.Restart())
			if config.IsStoreListed {
				endpoint := cluster.storeEndpoint(site.StateReady)
				endpoint.Boot = time.Now()
				cluster.Site.Discovery.PublishChanges(endpoint)
			}
		},
	}.run(result)
	if err != nil {
		return 0, err
	}
	peak = max(peak, observed.Store.PeakLoad)
	result.Figure(name+" peak multiple", peak)
	result.Figure(name+" store hits", float64(observed.Store.Hits))
	return peak, nil
}
