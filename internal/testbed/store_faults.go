package testbed

import (
	"strings"
	"time"

	"fennelarch/internal/fake/redis"
)

var _ = Register(Experiment{
	Name:        "store-faults",
	Description: "requests are served whatever the store answers, and the store is used again after it recovers",
	Run:         runStoreFaults,
})

// storeFault is a fault of the store and a text of the log line with which routers report it.
type storeFault struct {
	name    string
	fault   redis.Fault
	logLine string
	bytes   int // size of each object's body, 0: by the object's nominal size
}

var (
	storeWrites           = []string{"SET", "PSETEX", "ZADD"}
	storeWritesAndDeletes = []string{"SET", "PSETEX", "ZADD", "DEL"}
)

// storeFaults are the faults that the experiment injects. The error replies are those of Redis.
var storeFaults = []storeFault{
	errorFault("LOADING", "LOADING Redis is loading the dataset in memory", "store reads its data in"),
	errorFault("OOM", "OOM command not allowed when used memory > 'maxmemory'.", "store has no memory left",
		storeWrites...),
	errorFault("READONLY", "READONLY You can't write against a read only replica.", "store takes no writes",
		storeWritesAndDeletes...),
	errorFault("NOAUTH", "NOAUTH Authentication required.", "store refuses this user"),
	errorFault("BUSY", "BUSY Redis is busy running a script.", "store is busy"),
	errorFault("MOVED", "MOVED 3999 127.0.0.1:1", "part of a cluster"),
	errorFault("odd", "ERR something else", "store refuses"),
	{name: "cut", fault: redis.Fault{ResetDuringValue: true}, logLine: "store not connected"},
	{name: "length", fault: redis.Fault{WrongLength: true}, logLine: "store not connected"},
	{name: "flipped", fault: redis.Fault{Corruption: redis.BitFlipped}, logLine: "checksum mismatch"},
	{name: "halved", fault: redis.Fault{Corruption: redis.Truncated}, logLine: "store value cannot be used"},
	{name: "foreign", fault: redis.Fault{Corruption: redis.ForeignValue}, logLine: "not a value of this router"},
	{name: "newer", fault: redis.Fault{Corruption: redis.NewerFormat}, logLine: "newer format"},
	{name: "silent", fault: redis.Fault{Silent: true}, logLine: "store not connected"},
	{name: "crowded", fault: redis.Fault{TooManyClients: true}, logLine: "store not connected"},
	{name: "240,000 bytes", logLine: "store connected", bytes: 240_000}, // large objects without a fault
}

// errorFault returns a fault by which the store answers the given commands, or all if none is given, with an error.
func errorFault(name, answer, logLine string, commands ...string) storeFault {
	return storeFault{name: name, fault: redis.Fault{ErrorReply: answer, Verbs: commands}, logLine: logLine}
}

func runStoreFaults(options Options, result *Result) error {
	for _, fault := range storeFaults {
		if err := fault.run(options, result); err != nil {
			return err
		}
	}
	return nil
}

func (f storeFault) run(options Options, result *Result) error {
	const routers = 2
	load := Load{RequestsPerSecond: 120, Duration: options.duration(3200 * time.Millisecond)}
	config := warmStoreConfig(routers)
	config.Objects, config.FixedBytes = 60, f.bytes
	hitsBefore, hitsAfter := 0, 0
	isLogged := false
	observed, err := arm{
		name: f.name, seed: options.Seed, config: config, routers: routers, load: load,
		script: func(cluster *Cluster) {
			quarter := load.Duration / 4
			time.Sleep(quarter)
			cluster.Store.SetFault(f.fault)
			time.Sleep(quarter)
			cluster.Store.SetFault(redis.Fault{})
			time.Sleep(quarter)
			hitsBefore = cluster.Store.Counts().Hits
			time.Sleep(quarter)
			hitsAfter = cluster.Store.Counts().Hits
			for _, router := range cluster.Routers {
				isLogged = isLogged || strings.Contains(router.Log(), f.logLine)
			}
		},
	}.run(result)
	if err != nil {
		return err
	}
	result.Assert(observed.InTimeShare() >= 0.97, f.name+": requests are in time all the same", "%.4f",
		observed.InTimeShare())
	result.Assert(hitsAfter > hitsBefore+20, f.name+": the store serves again a quarter later", "%d hits",
		hitsAfter-hitsBefore)
	result.Assert(isLogged, f.name+": the log says so", "%q", f.logLine)
	return nil
}
