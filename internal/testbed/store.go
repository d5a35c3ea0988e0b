package testbed

import (
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/internal/fake/site"
)

// noStoreConfig configures a cluster without a shared store, the baseline of the store experiments.
func noStoreConfig(routers int) ClusterConfig {
	return ClusterConfig{
		Settings: DefaultSettings(routers), Objects: 400, Groups: 40, PopularitySkew: 1.2, MedianSizeKB: 150,
		OriginTime: site.ServiceTime{Base: 30 * time.Millisecond, Jitter: 20 * time.Millisecond},
		ParentTime: site.ServiceTime{Base: 4 * time.Millisecond, Jitter: 2 * time.Millisecond},
	}
}

// coldStoreConfig configures a cluster whose store, the only cache of its location, has just started.
func coldStoreConfig(routers int) ClusterConfig {
	config := noStoreConfig(routers)
	config.StoreConfig = &redis.Config{CommandsPerSecond: 4000, ColdCapacityShare: 0.1, WarmUpTime: 6 * time.Second}
	config.SharedStore = map[string]any{"capacity_per_s": 4000, "cold_share": 0.1, "cold_ms": 6000, "multiple": 1}
	return config
}

// warmStoreConfig configures a cluster whose store has been running long enough to have its full capacity, for
// experiments that do not test its start.
func warmStoreConfig(routers int) ClusterConfig {
	config := coldStoreConfig(routers)
	config.StoreConfig.InitialAge = time.Hour
	return config
}

// arm is an arm of an experiment: a load on a cluster and a script that runs during the load.
type arm struct {
	name    string
	seed    uint64
	config  ClusterConfig
	routers int
	load    Load
	script  func(*Cluster) // nil: none
}

// run runs the arm and asserts the rules.
func (a arm) run(result *Result) (*Observations, error) {
	cluster, err := startCluster(a.seed, a.config, a.routers)
	if err != nil {
		return nil, err
	}
	if a.script != nil {
		cluster.inBackground(func() { a.script(cluster) })
	}
	cluster.ApplyLoad(a.load)
	observed := cluster.End()
	result.assertRules(a.name, observed)
	return observed, nil
}
