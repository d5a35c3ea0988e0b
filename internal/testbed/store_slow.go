package testbed

import (
	"time"

	"fennelarch/internal/fake/redis"
)

var _ = Register(Experiment{
	Name:        "store-slow",
	Description: "requests meet their latency objectives even if the store is slow or never answers",
	Run:         runStoreSlow,
})

func runStoreSlow(options Options, result *Result) error {
	routers := options.routers(4)
	load := Load{RequestsPerSecond: 100, Duration: options.duration(12 * time.Second), WriteShare: 0.02}
	baseline, err := arm{
		name: "none", seed: options.Seed, config: noStoreConfig(routers), routers: routers, load: load,
	}.run(result)
	if err != nil {
		return err
	}
	for _, slowness := range []struct {
		name  string
		fault redis.Fault
	}{
		{"well", redis.Fault{}},
		{"10 ms", redis.Fault{Delay: 10 * time.Millisecond}},
		{"300 ms", redis.Fault{Delay: 300 * time.Millisecond, DelayJitter: 20 * time.Millisecond}},
		{"for ever", redis.Fault{Silent: true}},
	} {
		observed, err := arm{
			name: slowness.name, seed: options.Seed, config: warmStoreConfig(routers), routers: routers, load: load,
			script: func(cluster *Cluster) {
				time.Sleep(load.Duration / 3)
				cluster.Store.SetFault(slowness.fault)
				time.Sleep(load.Duration / 3)
				cluster.Store.SetFault(redis.Fault{})
			},
		}.run(result)
		if err != nil {
			return err
		}
		result.Assert(observed.InTimeShare() >= baseline.InTimeShare()-0.01,
			"a store that answers "+slowness.name+" costs no latency objectives",
			"%.4f of requests in time, without a store %.4f; p99 %.0f ms and %.0f ms", observed.InTimeShare(),
			baseline.InTimeShare(), observed.PercentileMS(99), baseline.PercentileMS(99))
	}
	return nil
}
