package testbed

import (
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/internal/fake/site"
)

// noStoreConfig is a cluster without a shared store, that the experiments on stores compare with.
func noStoreConfig(routers int) ClusterConfig {
	return ClusterConfig{
		Settings: DefaultSettings(routers), Objects: 400, Groups: 40, PopularitySkew: 1.2, MedianSizeKB: 150,
		OriginTime: site.ServiceTime{Base: 30 * time.Millisecond, Jitter: 20 * time.Millisecond},
		ParentTime: site.ServiceTime{Base: 4 * time.Millisecond, Jitter: 2 * time.Millisecond},
	}
}

// coldStoreConfig is a cluster whose store, the only cache of its location, has just been started.
func coldStoreConfig(routers int) ClusterConfig {
	config := noStoreConfig(routers)
	config.StoreConfig = &redis.Config{CommandsPerSecond: 4000, ColdCapacityShare: 0.1, WarmUpTime: 6 * time.Second}
	config.SharedStore = map[string]any{"capacity_per_s": 4000, "cold_share": 0.1, "cold_ms": 6000, "multiple": 1}
	return config
}

// warmStoreConfig is a cluster whose store has run for long: its start is not what is tested.
func warmStoreConfig(routers int) ClusterConfig {
	config := coldStoreConfig(routers)
	config.StoreConfig.InitialAge = time.Hour
	return config
}

// arm is one arm of an experiment: a load on a cluster, and a script that runs beside it.
type arm struct {
	name    string
	seed    uint64
	config  ClusterConfig
	routers int
	load    Load
	script  func(*Cluster) // nil: none
}

// run plays the arm, and asserts the rules.
func (a arm) run(result *Result) (*Observations, error) {
	cluster, err := startCluster(a.seed, a.config, a.routers)
	if err != nil {
		return nil, err
	}
	if a.script != nil {
		cluster.inBackground(func() { a.script(cluster) })
	}
	cluster.Play(a.load)
	seen := cluster.End()
	result.assertRules(a.name, seen)
	return seen, nil
}
