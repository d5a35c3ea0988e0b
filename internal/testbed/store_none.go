package testbed

import "time"

var _ = Register(Experiment{
	Name:        "store-none",
	Description: "the baseline of the store experiments: load without a store",
	Run:         runStoreNone,
})

func runStoreNone(options Options, result *Result) error {
	const routers = 4
	_, err := arm{
		name: "none", seed: options.Seed, config: noStoreConfig(routers), routers: routers,
		load: Load{RequestsPerSecond: 60, Duration: options.duration(8 * time.Second), WriteShare: 0.05},
	}.run(result)
	return err
}
