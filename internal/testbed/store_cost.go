package testbed

import "time"

var _ = Register(Experiment{
	Name:        "store-cost",
	Description: "processor time and memory of routers that use a store, compared with a cache",
	Run:         runStoreCost,
})

// maxStoreMB is the memory that a router may use in addition when it has a store.
const maxStoreMB = 16

func runStoreCost(options Options, result *Result) error {
	const routers = 2
	load := Load{RequestsPerSecond: 300, Duration: options.duration(6 * time.Second)}
	cacheConfig := noStoreConfig(routers)
	cacheConfig.CacheCount = 1
	baseline, err := arm{
		name: "cache", seed: options.Seed, config: cacheConfig, routers: routers, load: load,
	}.run(result)
	if err != nil {
		return err
	}
	observed, err := arm{
		name: "store", seed: options.Seed, config: warmStoreConfig(routers), routers: routers, load: load,
	}.run(result)
	if err != nil {
		return err
	}
	result.Assert(observed.InTimeShare() >= baseline.InTimeShare()-0.01, "a store is as good as a cache",
		"%.4f of requests in time, by a cache %.4f", observed.InTimeShare(), baseline.InTimeShare())
	result.Assert(observed.CPU <= 2*baseline.CPU, "and costs less than twice its processor time", "%v and %v",
		observed.CPU, baseline.CPU)
	result.Assert(observed.PeakMB <= baseline.PeakMB+maxStoreMB, "and no more than 16 MB besides", "%.0f MB and %.0f MB",
		observed.PeakMB, baseline.PeakMB)
	return nil
}
