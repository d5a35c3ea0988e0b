package testbed

import (
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/internal/fake/site"
)

var _ = Register(Experiment{
	Name:        "store-drain",
	Description: "a store that drains while sets are in flight gets no get, lease or set after the grace",
	Run:         runStoreDrain,
})

func runStoreDrain(options Options, result *Result) error {
	const routers = 3
	config := warmStoreConfig(routers)
	config.IsStoreListed, config.CacheCount = true, 1
	load := Load{RequestsPerSecond: 120, Duration: options.duration(8 * time.Second), WriteShare: 0.02}
	commandsAtGrace, commandsLater := 0, 0
	observed, err := arm{
		name: "drain", seed: options.Seed, config: config, routers: routers, load: load,
		script: func(cluster *Cluster) {
			discovery := cluster.Site.Discovery
			time.Sleep(load.Duration / 4)
			cluster.Store.SetFault(redis.Fault{Delay: 20 * time.Millisecond, Verbs: []string{"PSETEX"}})
			time.Sleep(300 * time.Millisecond)
			cluster.DrainStore()
			time.Sleep(cluster.Settings.Grace + slack)
			commandsAtGrace = cluster.Store.ValueCommands()
			time.Sleep(load.Duration / 4)
			commandsLater = cluster.Store.ValueCommands()
			discovery.PublishChanges(cluster.storeEndpoint(site.StateGone))
			time.Sleep(500 * time.Millisecond)
			if cluster.Store.ValueCommands() != commandsLater {
				commandsLater = -1 // the store received commands after it was gone
			}
			discovery.PublishChanges(cluster.storeEndpoint(site.StateReady))
		},
	}.run(result)
	if err != nil {
		return err
	}
	result.Assert(commandsAtGrace > 0 && commandsLater == commandsAtGrace, "no get, lease or set past the grace",
		"%d before, %d later", commandsAtGrace, commandsLater)
	result.Assert(observed.Store.Hits > 0 && observed.InTimeShare() >= 0.97, "requests are in time all the same", "%.4f",
		observed.InTimeShare())
	return nil
}
