package testbed

import (
	"math/rand/v2"
	"time"

	"fennelarch/internal/fake/redis"
)

var _ = Register(Experiment{
	Name:        "store-purge",
	Description: "no purged copy is served after the grace, whatever fails in the store and the routers",
	Run:         runStorePurge,
})

const (
	// purgeCycle is the number of purges after which the script of faults starts again.
	purgeCycle = 130
	// purgedObjects is the number of the most popular objects among which purges choose.
	purgedObjects = 60
)

func runStorePurge(options Options, result *Result) error {
	routers := options.routers(3)
	config := warmStoreConfig(routers)
	config.Objects, config.MedianSizeKB = 120, 30
	// These times are short because the store restarts often.
	config.Settings.SlowStart, config.SharedStore["cold_ms"] = 500*time.Millisecond, 500
	load := Load{RequestsPerSecond: 150, Duration: options.duration(24 * time.Second)}
	purges := 0
	observed, err := arm{
		name: "purges", seed: options.Seed, config: config, routers: routers, load: load,
		script: func(cluster *Cluster) {
			rng := rand.New(rand.NewPCG(options.Seed, 9))
			end := time.Now().Add(load.Duration - time.Second)
			for ; time.Now().Before(end); purges++ {
				cluster.purgeNext(rng)
				time.Sleep(time.Duration(10+rng.IntN(25)) * time.Millisecond)
				cluster.runPurgeStep(rng, purges)
			}
		},
	}.run(result)
	if err != nil {
		return err
	}
	result.Figure("purges", float64(purges))
	result.Figure("store hits", float64(observed.Store.Hits))
	result.Assert(observed.Store.Hits > observed.Requests/20, "the store was of use meanwhile", "%d hits for %d requests",
		observed.Store.Hits, observed.Requests)
	return nil
}

// purgeNext purges an object or, in one of eight cases, a group.
func (c *Cluster) purgeNext(rng *rand.Rand) {
	if rng.IntN(8) == 0 {
		c.PurgeGroup(rng.IntN(c.Groups))
		return
	}
	c.PurgeObject(c.pickObject(rng, purgedObjects))
}

// runPurgeStep runs the step of the script that follows the given number of purges.
func (c *Cluster) runPurgeStep(rng *rand.Rand, purges int) {
	switch purges % purgeCycle {
	case 15:
		c.Store.Save()
	case 30: // the store is unreachable while purges are published
		c.Store.Crash()
	case 45: // the store restarts with its data from before those purges
		c.fail(c.Store.RestartFromSnapshot())
	case 65: // the invalidation log is lost, the values remain
		c.Store.DropSets()
	case 80: // a router restarts without memory of earlier purges
		c.Restart(purges / purgeCycle % len(c.Routers))
	case 95:
		c.Store.SetFault(redis.Fault{Delay: 40 * time.Millisecond, DelayJitter: 40 * time.Millisecond})
	case 105:
		c.Store.SetFault(redis.Fault{Corruption: redis.Corruption(1 + rng.IntN(4))})
	case 112:
		c.Store.SetFault(redis.Fault{})
	case 120: // all routers are killed, so that none remembers the purges
		for i := range c.Routers {
			c.Kill(i)
		}
		c.PurgeObject(c.pickObject(rng, purgedObjects))
		for i := range c.Routers {
			c.StartAgain(i)
		}
	}
}
